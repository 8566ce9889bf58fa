//! What a call is, and what an attempt at an upstream brings.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderMap;
use http::{Response, StatusCode, Version};
use hyper::body::Incoming;

use crate::dialect::{CallHead, EdgeDialect};
use crate::forward::connection_headers::named_headers;
use crate::forward::traffic_state::UpstreamHold;
use crate::forward::upstream_link::UpstreamLink;
use crate::mono::MonoTime;
use crate::route::{AccountGrant, RouteRule, RouteTable};

/// What a call is, once its head and body were read and its route found.
pub struct CallPlan {
    /// The configuration that allows it.
    pub table: Arc<RouteTable>,
    /// Its route.
    pub route: Arc<RouteRule>,
    /// What its key allows; none on public routes.
    pub grant: Option<Arc<AccountGrant>>,
    /// Its head.
    pub head: CallHead,
    /// Its body.
    pub body: Bytes,
    /// When its first byte came.
    pub began: MonoTime,
    /// When its final answer is due.
    pub ends: MonoTime,
}

/// An answer that was read whole.
pub struct WholeAnswer {
    /// Status, as the upstream gave it.
    pub status: StatusCode,
    /// Headers, as the upstream gave them.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A stream whose first events have come.
pub struct OpenStream<D: EdgeDialect> {
    /// Status, as the upstream gave it.
    pub status: StatusCode,
    /// Headers, as the upstream gave them.
    pub headers: HeaderMap,
    /// Events that were read already.
    pub first: Bytes,
    /// Whether the stream ended with them.
    pub ended: bool,
    /// Where more events come from.
    pub source: StreamSource<D>,
}

/// Where the events of a stream come from.
pub struct StreamSource<D: EdgeDialect> {
    /// The upstream.
    pub hold: UpstreamHold<D>,
    /// The connection.
    pub link: UpstreamLink,
    /// The body, as it comes.
    pub body: Incoming,
    /// Whether the connection may be kept.
    pub reuse: LinkReuse,
}

/// Whether a connection may carry another call after this answer.
#[derive(Clone, Copy, Debug)]
pub struct LinkReuse {
    /// Whether it may.
    pub allowed: bool,
    /// The idle time that the upstream announces.
    pub idle: Option<Duration>,
}

/// What an attempt brought.
pub enum UpstreamAnswer<D: EdgeDialect> {
    /// An answer to pass on.
    Whole(WholeAnswer),
    /// A stream to relay.
    Stream(OpenStream<D>),
}

impl LinkReuse {
    /// What the answer says; `wrote_all` tells whether the call had been written whole.
    pub fn of(response: &Response<Incoming>, wrote_all: bool) -> Self {
        let headers = response.headers();
        let closes = named_headers(headers).iter().any(|name| name == "close");
        let idle = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| {
                value
                    .split(',')
                    .find_map(|part| part.trim().strip_prefix("timeout="))
            })
            .and_then(|seconds| seconds.trim().parse().ok())
            .map(Duration::from_secs);
        Self {
            allowed: wrote_all && !closes && response.version() == Version::HTTP_11,
            idle,
        }
    }
}
