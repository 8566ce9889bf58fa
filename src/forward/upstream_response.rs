//! A call to be forwarded, and the response that an attempt at an upstream gives.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderMap;
use http::{Request, Response, StatusCode, Version};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::dialect::{CallHead, EdgeDialect};
use crate::forward::connection_headers::connection_options;
use crate::forward::event_batch::EventBatch;
use crate::forward::front_call::stream_source::StreamSource;
use crate::forward::memory_room::BodyRoom;
use crate::ids::AccountId;
use crate::mono::MonoTime;
use crate::route::{AccountGrant, PriorityRank, RouteRule, RouteTable};

/// An admitted call: its head and body were read, its route found and its key checked.
pub struct CallPlan {
    /// Configuration under which the call was admitted.
    pub table: Arc<RouteTable>,
    pub route: Arc<RouteRule>,
    /// Rights of the client account whose key the call carries; `None` on public routes and where
    /// the configuration has no keys.
    pub grant: Option<Arc<AccountGrant>>,
    pub head: CallHead,
    pub body: Bytes,
    /// The memory of the body.
    pub room: BodyRoom,
    /// When the request head arrived.
    pub began: MonoTime,
    /// When the complete response is due.
    pub deadline: MonoTime,
}

impl CallPlan {
    /// The client account of the caller.
    pub fn account(&self) -> Option<&AccountId> {
        self.grant.as_ref().map(|grant| &grant.account)
    }

    /// Returns the rank of the client account, or else that of the route.
    pub fn rank(&self) -> PriorityRank {
        let account_rank = self.grant.as_ref().and_then(|grant| grant.rank);
        account_rank.unwrap_or(self.route.rank)
    }

    /// Builds the request to send, with `headers` in place of the caller's. `None` if the caller's
    /// target can't be written, which is logged.
    pub fn request(&self, headers: HeaderMap) -> Option<Request<Full<Bytes>>> {
        let head = &self.head;
        let request = Request::builder()
            .method(head.method.clone())
            .uri(head.target.as_str())
            .body(Full::new(self.body.clone()));
        let mut request = request
            .inspect_err(|error| {
                spdlog::warn!("request-unwritable", kv: { target: = head.target, reason: = error });
            })
            .ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// A response that was read completely.
pub struct FullResponse {
    /// Status from the upstream, unchanged.
    pub status: StatusCode,
    /// Headers from the upstream, including those of its connection.
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A streamed response whose first events have arrived.
pub struct OpenStream<D: EdgeDialect> {
    /// Status from the upstream, unchanged.
    pub status: StatusCode,
    /// Headers from the upstream, including those of its connection.
    pub headers: HeaderMap,
    /// Events that were read already; they go to the caller first.
    pub first: EventBatch,
    /// Whether the stream is complete and no events follow those in `first`.
    pub ended: bool,
    /// Source of the following events.
    pub source: StreamSource<D>,
}

/// Whether and how long a connection may be reused after a response.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionReuse {
    /// Whether the connection may carry another call.
    pub allowed: bool,
    /// Idle timeout that the upstream announced in `Keep-Alive`.
    pub idle_timeout: Option<Duration>,
}

/// Response of an upstream that goes to the caller.
pub enum UpstreamResponse<D: EdgeDialect> {
    /// A response with its complete body.
    Full(FullResponse),
    /// An event stream to relay.
    Stream(Box<OpenStream<D>>),
}

impl ConnectionReuse {
    /// Reads the connection headers of a response. `can_continue` tells whether another call may
    /// follow on the connection as far as its bytes show.
    pub fn from_response(response: &Response<Incoming>, can_continue: bool) -> Self {
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
            allowed: can_continue && !closes && response.version() == Version::HTTP_11,
            idle_timeout,
        }
    }
}
