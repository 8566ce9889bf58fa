//! One attempt of a call at one upstream.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use super::stream_source::StreamSource;
use crate::dialect::{EdgeDialect, UpstreamCallHead};
use crate::forward::attempt_record::AttemptRecord;
use crate::forward::connection_pool::ReuseCondition;
use crate::forward::http_connection::HttpConnection;
use crate::forward::relay_progress::RelayProgress;
use crate::forward::spliced_head::is_spliced;
use crate::forward::traffic_state::{TrafficState, UpstreamGuard};
use crate::forward::upstream_response::{
    CallPlan, ConnectionReuse, FullResponse, OpenStream, UpstreamResponse,
};
use crate::ids::ServiceId;
use crate::policy::call_attempts::AttemptFault;
use crate::policy::response_head_check::{
    BodyKind, ExpectedBody, ResponseHeadSummary, ResponseOrigin, check_response_head,
};

/// Timeout of a connection attempt. A running VM accepts within a round trip plus the wait in its
/// accept queue.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Content type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Whether the end of a body that is not encoded can be told without the end of its connection.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Whether a body has an encoding that the router never requests. The HTTP library decodes chunks
/// and nothing else.
fn is_encoded(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let has_chunks_alone = match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        _ => false,
    };
    headers.contains_key(CONTENT_ENCODING) || !has_chunks_alone
}

/// Reads the kind of a body. Upstreams may leave the content type of streams out.
fn body_kind(headers: &HeaderMap) -> BodyKind {
    let is_stream = headers.get(CONTENT_TYPE).is_none_or(|kind| {
        let name = kind.as_bytes().get(..EVENT_STREAM.len());
        name.is_some_and(|name| name.eq_ignore_ascii_case(EVENT_STREAM.as_bytes()))
    });
    if is_stream {
        BodyKind::Events
    } else {
        BodyKind::Other
    }
}

/// How an attempt counts towards the retry budget of its service. The first one needs none; any other
/// is made only if the budget covers it when the call is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptRole {
    /// The first one of its call.
    First,
    /// It follows on one that failed.
    Repeat,
    /// It is made beside one from which nothing comes.
    Replacement,
}

/// An attempt, which owns all that it needs, so that two of them can run at once.
pub struct UpstreamAttempt<D: EdgeDialect> {
    pub state: Rc<TrafficState<D>>,
    pub plan: Rc<CallPlan>,
    pub service: ServiceId,
    pub guard: UpstreamGuard<D>,
    pub record: Rc<AttemptRecord>,
    pub role: AttemptRole,
    /// Whether another upstream may receive the call if this attempt fails after it was written.
    pub may_repeat: bool,
    /// What the caller has of the stream.
    pub progress: RelayProgress,
}

impl<D: EdgeDialect> UpstreamAttempt<D> {
    /// Sends the call to the upstream and reads the full response, or the first events of a stream.
    pub async fn respond(self) -> Result<UpstreamResponse<D>, AttemptFault> {
        let mut connection = self.acquire_connection().await?;
        if self.state.declines(&self.guard.entry) || !self.state.may_write(&self.guard) {
            return Err(AttemptFault::Unsent);
        }
        let request = self.build_request()?;
        let sent = self.state.now();
        self.count_repeat()?;
        self.record.wait.record_sent(sent);
        let response = connection.send(request, self.plan.body.len()).await;
        let response = response.inspect_err(|&fault| {
            if fault == AttemptFault::Unsent && self.role != AttemptRole::First {
                self.state.retract_repeat(&self.service, self.state.now());
            }
        })?;
        self.check_response(&connection, &response)?;
        self.read_response(connection, response).await
    }

    /// Counts the attempt in the retry budget, if it is a repeat. Other calls may have used the budget
    /// up since it was asked for.
    fn count_repeat(&self) -> Result<(), AttemptFault> {
        if self.role == AttemptRole::First {
            return Ok(());
        }
        if !self.state.affordable(&self.service) {
            return Err(AttemptFault::Unsent);
        }
        self.state.count_repeat(&self.service);
        Ok(())
    }

    async fn read_response(
        self,
        connection: HttpConnection,
        response: Response<Incoming>,
    ) -> Result<UpstreamResponse<D>, AttemptFault> {
        let reuse = ConnectionReuse::from_response(&response, connection.can_continue());
        let (parts, body) = response.into_parts();
        let mut source = StreamSource {
            state: Rc::clone(&self.state),
            guard: self.guard,
            record: self.record,
            connection,
            body,
            reuse,
            reader: self.progress.next_reader(),
            held: BytesMut::new(),
            waited: Duration::ZERO,
            is_framed: is_framed(&parts.headers),
            has_begun: self.progress.has_begun(),
            deadline: self.plan.deadline,
        };
        if parts.status.is_success() && self.plan.route.kind.streams() {
            let (first, ended) = source.read_first_events().await?;
            if ended && self.progress.has_begun() {
                // The upstream before was not at its end.
                return Err(AttemptFault::BadAnswer);
            }
            return Ok(UpstreamResponse::Stream(Box::new(OpenStream {
                status: parts.status,
                headers: parts.headers,
                first,
                ended,
                source,
            })));
        }
        let body = source.read_body().await?;
        let ends_unmarked = self.plan.head.method != Method::HEAD
            && parts.status != StatusCode::NO_CONTENT
            && !source.is_framed;
        if body.is_empty() && parts.status.is_success() && ends_unmarked {
            // A crash of the upstream between the head and the body looks the same.
            return Err(AttemptFault::Broken);
        }
        if parts.status.is_server_error() {
            self.state.record_failure(
                source.guard.key,
                AttemptFault::Failed(parts.status.as_u16()),
                false,
            );
        } else {
            self.state.record_success(source.guard.key);
        }
        source.release();
        Ok(UpstreamResponse::Full(FullResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        }))
    }

    /// Decides whether a response may go to the caller, and records what its head says about the
    /// upstream.
    fn check_response(
        &self,
        connection: &HttpConnection,
        response: &Response<Incoming>,
    ) -> Result<(), AttemptFault> {
        let head = self
            .state
            .dialect
            .read_response_head(response.status(), response.headers());
        let repeatable = self.may_repeat && self.state.affordable(&self.service);
        let id_matches = head
            .request_id
            .as_ref()
            .map(|id| *id == self.plan.head.request_id);
        let origin = if is_spliced(response) {
            ResponseOrigin::Unproven
        } else {
            ResponseOrigin::new(id_matches, connection.is_first_call())
        };
        let summary = ResponseHeadSummary {
            status: response.status().as_u16(),
            encoded: is_encoded(response.headers()),
            not_executed: head.not_executed,
            stamped: head.stamped,
            origin,
            body: body_kind(response.headers()),
            expected: if self.progress.has_begun() {
                ExpectedBody::MoreEvents
            } else {
                ExpectedBody::Any
            },
        };
        if summary.is_current() {
            self.state.record_response_head(&self.guard.entry, &head);
        }
        if summary.origin == ResponseOrigin::Unproven {
            let id = String::from_utf8_lossy(&self.plan.head.request_id);
            let response_id = head.request_id.as_deref().map(String::from_utf8_lossy);
            spdlog::info!("foreign-response", kv: {
                id: = id, response_id: = response_id.as_deref().unwrap_or("none"),
                status: = summary.status, choice: = self.record.choice
            });
            let now = self.state.now();
            self.state.pool.borrow_mut().distrust(self.guard.key, now);
        }
        check_response_head(summary, repeatable || self.record.has_fallback.get())
    }

    /// Takes an idle connection to the upstream from the pool, or opens a new one. A call that may
    /// not be repeated takes only a recently used connection.
    async fn acquire_connection(&self) -> Result<HttpConnection, AttemptFault> {
        let condition = if self.may_repeat {
            ReuseCondition::Any
        } else {
            ReuseCondition::RecentlyUsed
        };
        let now = self.state.now();
        let entry = &self.guard.entry;
        let idle = {
            let mut pool = self.state.pool.borrow_mut();
            pool.take(self.guard.key, entry.start(), condition, now)
        };
        if let Some(connection) = idle {
            self.record.choice.reused.set(true);
            return Ok(connection);
        }
        self.state.telemetry.connects.inc();
        let timeout = CONNECT_TIMEOUT.min(self.plan.deadline.since(now));
        HttpConnection::open(entry.address, timeout)
            .await
            .inspect(|_| self.state.record_reached())
            .map_err(|error| {
                // A short wait shows nothing.
                if timeout == CONNECT_TIMEOUT || error.kind() != ErrorKind::TimedOut {
                    self.state.record_unreached(self.guard.key);
                }
                let id = String::from_utf8_lossy(&self.plan.head.request_id);
                spdlog::info!("connect-failed", kv: {
                    id: = id, upstream: = entry.id, peer: = entry.address, reason: = error
                });
                match error.kind() {
                    ErrorKind::ConnectionRefused => AttemptFault::Refused,
                    _ => AttemptFault::Unreachable,
                }
            })
    }

    fn build_request(&self) -> Result<Request<Full<Bytes>>, AttemptFault> {
        let head = &self.plan.head;
        let board = &self.state.board;
        // The connection may have taken long to open.
        let cache_source = self.guard.cache_source.and_then(|source| {
            let evacuations = board.evacuations.load();
            evacuations.open_source(source, &board.upstreams.load())
        });
        let upstream_head = UpstreamCallHead {
            upstream: &self.guard.entry.id,
            account: self.plan.grant.as_ref().map(|grant| &grant.account),
            time_left: self.plan.deadline.since(self.state.now()),
            rank: self.plan.rank(),
            resume_after: self.progress.last_id(),
            cache_source,
        };
        let dialect = &self.state.dialect;
        let headers = dialect.upstream_call_headers(head, &upstream_head);
        self.plan.request(headers).ok_or(AttemptFault::Unsent)
    }
}
