//! A connection to a store, for one question at a time.

use std::net::SocketAddrV4;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;

use crate::forward::upstream_link::UpstreamLink;

/// Longest wait for a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Largest answer: a page of a megabyte in base64, with room.
const ANSWER_BYTES: usize = 16 << 20;

/// Asks questions over a kept connection, and over a new one after any fault.
pub struct StoreLink {
    address: SocketAddrV4,
    link: Option<UpstreamLink>,
}

impl StoreLink {
    /// A link to the store at `address`, not yet connected.
    pub fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            link: None,
        }
    }

    /// Asks for `target` and waits for the answer for `limit` at most.
    pub async fn get(&mut self, target: &str, limit: Duration) -> anyhow::Result<(u16, Bytes)> {
        // A question that is dropped midway leaves its connection unusable.
        let kept = self.link.take().filter(UpstreamLink::usable);
        let mut link = match kept {
            Some(link) => link,
            None => UpstreamLink::open(self.address.into(), CONNECT_LIMIT)
                .await
                .context("connect")?,
        };
        let request = Request::get(target)
            .header(header::HOST, self.address.to_string())
            .body(Full::new(Bytes::new()))?;
        let exchange = async {
            let response = link
                .send(request, 0)
                .await
                .map_err(|fault| anyhow::anyhow!("{}", fault.label()))?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), ANSWER_BYTES)
                .collect()
                .await
                .map_err(|error| anyhow::anyhow!("body: {error}"))?;
            Ok::<_, anyhow::Error>((status, body.to_bytes()))
        };
        let (status, body) = timeout(limit, exchange)
            .await
            .context("no answer in time")??;
        if status < 500 {
            self.link = Some(link);
        }
        Ok((status, body))
    }
}
