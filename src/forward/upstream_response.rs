//! What a call is, and what an attempt at an upstream brings.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderMap;
use http::{Response, StatusCode, Version};
use hyper::body::Incoming;

use crate::dialect::{CallHead, EdgeDialect};
use crate::forward::connection_headers::connection_options;
use crate::forward::http_connection::HttpConnection;
use crate::forward::traffic_state::UpstreamGuard;
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
    pub deadline: MonoTime,
}

/// An answer that was read whole.
pub struct FullResponse {
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
    pub guard: UpstreamGuard<D>,
    /// The connection.
    pub connection: HttpConnection,
    /// The body, as it comes.
    pub body: Incoming,
    /// Whether the connection may be kept.
    pub reuse: ConnectionReuse,
}

/// Whether a connection may carry another call after this answer.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionReuse {
    /// Whether it may.
    pub allowed: bool,
    /// The idle time that the upstream announces.
    pub idle_timeout: Option<Duration>,
}

/// What an attempt brought.
pub enum UpstreamResponse<D: EdgeDialect> {
    /// An answer to pass on.
    Full(FullResponse),
    /// A stream to relay.
    Stream(OpenStream<D>),
}

impl ConnectionReuse {
    /// What the answer says; `has_written_all` tells whether the call had been written whole.
    pub fn from_response(response: &Response<Incoming>, has_written_all: bool) -> Self {
        let headers = response.headers();
        let closes = connection_options(headers)
            .iter()
            .any(|name| name == "close");
        let idle_timeout = headers
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
            allowed: has_written_all && !closes && response.version() == Version::HTTP_11,
            idle_timeout,
        }
    }
}
