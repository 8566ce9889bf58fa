//! One attempt of a call at one upstream.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use super::FrontCall;
use super::stream_source::StreamSource;
use crate::dialect::{EdgeDialect, UpstreamCallHead};
use crate::forward::connection_pool::ReuseCondition;
use crate::forward::event_batch::EventBatch;
use crate::forward::http_connection::HttpConnection;
use crate::forward::spliced_head::is_spliced;
use crate::forward::traffic_state::UpstreamGuard;
use crate::forward::upstream_response::{
    ConnectionReuse, FullResponse, OpenStream, UpstreamResponse,
};
use crate::forward::wait_limits::WaitLimits;
use crate::ids::UpstreamKey;
use crate::mono::MonoTime;
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

impl<D: EdgeDialect> FrontCall<D> {
    /// Sends the call to an upstream and reads the full response, or the first events of a stream.
    pub(super) async fn attempt(
        &mut self,
        guard: UpstreamGuard<D>,
    ) -> Result<UpstreamResponse<D>, AttemptFault> {
        let mut connection = self.acquire_connection(&guard).await?;
        if self.state.declines(&guard.entry) {
            return Err(AttemptFault::Unsent);
        }
        if self.attempts.is_repeat() && !self.has_reserved_repeat.take() {
            self.state.count_repeat(&self.service);
        }
        let request = self.build_request(&guard)?;
        let started = self.state.now();
        let limits = WaitLimits::for_first_response(&self.plan.route);
        let body_bytes = self.plan.body.len();
        let response = self
            .wait_for(
                guard.key,
                started,
                limits,
                connection.send(request, body_bytes),
            )
            .await;
        let response = match response {
            Ok(Ok(response)) => response,
            Err(_) if !connection.has_written() => return Err(AttemptFault::Unsent),
            Ok(Err(fault)) | Err(fault) => return Err(fault),
        };
        self.check_response(&guard, &connection, &response)?;
        let reuse = ConnectionReuse::from_response(&response, connection.can_continue());
        let (parts, body) = response.into_parts();
        let mut source = StreamSource {
            guard,
            connection,
            body,
            reuse,
            reader: self.progress.next_reader(),
            waited: Duration::ZERO,
            is_framed: is_framed(&parts.headers),
        };
        if parts.status.is_success() && self.plan.route.kind.streams() {
            let (first, ended) = self.read_first_events(&mut source, limits).await?;
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
        let body = self.read_body(&mut source, limits).await?;
        let ends_unmarked = self.plan.head.method != Method::HEAD
            && parts.status != StatusCode::NO_CONTENT
            && !source.is_framed;
        if body.is_empty() && parts.status.is_success() && ends_unmarked {
            // A crash of the upstream between the head and the body looks the same.
            return Err(AttemptFault::Broken);
        }
        self.record_complete();
        if parts.status.is_server_error() {
            self.state.record_failure(
                source.guard.key,
                AttemptFault::Failed(parts.status.as_u16()),
                false,
            );
        } else {
            self.state.record_success(source.guard.key);
        }
        self.release(source);
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
        guard: &UpstreamGuard<D>,
        connection: &HttpConnection,
        response: &Response<Incoming>,
    ) -> Result<(), AttemptFault> {
        let head = self
            .state
            .dialect
            .read_response_head(response.status(), response.headers());
        let repeatable = self.attempts.may_repeat() && self.state.affordable(&self.service);
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
            expected: if self.first_event.is_some() {
                ExpectedBody::MoreEvents
            } else {
                ExpectedBody::Any
            },
        };
        if summary.is_current() {
            self.state.record_response_head(&guard.entry, &head);
        }
        if summary.origin == ResponseOrigin::Unproven {
            let response_id = head.request_id.as_deref().map(String::from_utf8_lossy);
            spdlog::info!("foreign-response", kv: {
                id: = self.request_id(), response_id: = response_id.as_deref().unwrap_or("none"),
                status: = summary.status, choice: = self.choice_text()
            });
            let now = self.state.now();
            self.state.pool.borrow_mut().distrust(guard.key, now);
        }
        check_response_head(summary, repeatable)
    }

    /// Takes an idle connection to the upstream from the pool, or opens a new one. A call that may
    /// not be repeated takes only a recently used connection.
    async fn acquire_connection(
        &mut self,
        guard: &UpstreamGuard<D>,
    ) -> Result<HttpConnection, AttemptFault> {
        let condition = if self.attempts.may_repeat() {
            ReuseCondition::Any
        } else {
            ReuseCondition::RecentlyUsed
        };
        let now = self.state.now();
        let start = guard.entry.start();
        let idle = {
            let mut pool = self.state.pool.borrow_mut();
            pool.take(guard.key, start, condition, now)
        };
        if let Some(connection) = idle {
            self.update_choice(|choice| choice.reused = true);
            return Ok(connection);
        }
        self.state.telemetry.connects.inc();
        let timeout = CONNECT_TIMEOUT.min(self.plan.deadline.since(now));
        HttpConnection::open(guard.entry.address, timeout)
            .await
            .map_err(|error| {
                spdlog::info!("connect-failed", kv: {
                    id: = self.request_id(), upstream: = guard.entry.id, peer: = guard.entry.address, reason: = error
                });
                AttemptFault::Unreachable
            })
    }

    fn build_request(
        &mut self,
        guard: &UpstreamGuard<D>,
    ) -> Result<Request<Full<Bytes>>, AttemptFault> {
        self.update_choice(|choice| choice.cache_source = guard.cache_source);
        let head = &self.plan.head;
        let rank = self.rank();
        let upstream_head = UpstreamCallHead {
            upstream: &guard.entry.id,
            account: self.plan.grant.as_ref().map(|grant| &grant.account),
            time_left: self.plan.deadline.since(self.state.now()),
            rank,
            resume_after: self.progress.last_id(),
            cache_source: guard.cache_source,
        };
        let request = Request::builder()
            .method(head.method.clone())
            .uri(head.target.as_str())
            .body(Full::new(self.plan.body.clone()));
        let mut request = request.map_err(|error| {
            spdlog::warn!("request-unwritable", kv: { target: = head.target, reason: = error });
            AttemptFault::Unsent
        })?;
        *request.headers_mut() = self
            .state
            .dialect
            .upstream_call_headers(head, &upstream_head);
        Ok(request)
    }

    /// Reads until an event has arrived or the stream has ended. Comments before it do not begin
    /// the response to the caller, so that another upstream can still give all of it.
    async fn read_first_events(
        &mut self,
        source: &mut StreamSource<D>,
        limits: WaitLimits,
    ) -> Result<(EventBatch, bool), AttemptFault> {
        let mut comments = BytesMut::new();
        loop {
            let (events, ended) = self.read_events(source, limits).await?;
            if ended || events.has_event() {
                return Ok((events.preceded_by(comments), ended));
            }
            comments.extend_from_slice(&events.bytes);
        }
    }

    /// Reads until at least one complete event or comment has arrived or the stream has ended. The
    /// flag is true at the end of the stream.
    pub(super) async fn read_events(
        &mut self,
        source: &mut StreamSource<D>,
        limits: WaitLimits,
    ) -> Result<(EventBatch, bool), AttemptFault> {
        let result = self.read_batch(source, limits).await;
        if result.is_err() {
            let partial_bytes = source.reader.partial_bytes();
            self.update_choice(|choice| choice.partial_bytes = partial_bytes);
        }
        result
    }

    async fn read_batch(
        &self,
        source: &mut StreamSource<D>,
        limits: WaitLimits,
    ) -> Result<(EventBatch, bool), AttemptFault> {
        let started = self.state.now().saturating_sub(source.waited);
        loop {
            let Some(bytes) = self.next_chunk(source, started, limits).await? else {
                // Without an event, a crash of the upstream looks the same as an unframed end.
                let lacks_events = !source.is_framed && !self.progress.has_begun();
                return if source.reader.partial_bytes() > 0 || lacks_events {
                    Err(AttemptFault::Broken)
                } else {
                    Ok((EventBatch::default(), true))
                };
            };
            let events = source.reader.push(&bytes)?;
            source.waited = if events.has_event() {
                Duration::ZERO
            } else {
                self.state.now().since(started)
            };
            if !events.is_empty() {
                return Ok((events, false));
            }
        }
    }

    async fn read_body(
        &self,
        source: &mut StreamSource<D>,
        limits: WaitLimits,
    ) -> Result<Bytes, AttemptFault> {
        let started = self.state.now();
        let mut body = BytesMut::new();
        let mut reservation = self.state.body_budget.open();
        while let Some(bytes) = self.next_chunk(source, started, limits).await? {
            if !reservation.grow_to(body.len() + bytes.len()) {
                return Err(AttemptFault::BadAnswer);
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body.freeze())
    }

    /// Returns the next chunk of a response body, or `None` at its regular end.
    async fn next_chunk(
        &self,
        source: &mut StreamSource<D>,
        started: MonoTime,
        limits: WaitLimits,
    ) -> Result<Option<Bytes>, AttemptFault> {
        loop {
            let frame = self
                .wait_for(source.guard.key, started, limits, source.body.frame())
                .await?;
            match frame {
                None => return Ok(None),
                Some(Err(_)) => return Err(AttemptFault::Broken),
                Some(Ok(frame)) => {
                    self.state.record_activity(source.guard.key);
                    source.connection.record_body();
                    // Trailers are not part of the body.
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Waits for `future` until the deadline of the call, after which bytes that are ready are not
    /// read either. If a repeat at another upstream can be reserved, the wait ends earlier: after
    /// `limits.silent` if nothing has come from the upstream since `started`, and after
    /// `limits.active` unless calls are queued there.
    async fn wait_for<F: Future>(
        &self,
        key: UpstreamKey,
        started: MonoTime,
        limits: WaitLimits,
        future: F,
    ) -> Result<F::Output, AttemptFault> {
        tokio::pin!(future);
        // Whether the retry budget covers a repeat may change until the wait has lasted too long.
        let repeatable = self.attempts.may_repeat() && self.progress.can_continue();
        let mut checks = 0;
        loop {
            let now = self.state.now();
            if now >= self.plan.deadline {
                return Err(AttemptFault::Silent);
            }
            let check_at = match checks {
                0 => started + limits.silent,
                1 => started + limits.active,
                _ => now + limits.active,
            };
            let wait_until = if repeatable {
                check_at.min(self.plan.deadline)
            } else {
                self.plan.deadline
            };
            tokio::select! {
                biased;
                output = &mut future => return Ok(output),
                () = tokio::time::sleep(wait_until.since(now)) => {}
            }
            // While calls are queued at the upstream, this one may be among them, so a missing
            // response to it does not show a fault.
            let overdue = checks > 0 && !self.state.is_queued(key);
            let is_suspect = overdue || !self.state.active_after(key, started);
            if repeatable && is_suspect && self.reserve_repeat(key) {
                return Err(AttemptFault::Silent);
            }
            checks += 1;
        }
    }

    /// Returns the connection of a response that was read to its end to the pool if it can be
    /// reused.
    pub(super) fn release(&self, source: StreamSource<D>) {
        let StreamSource {
            guard,
            connection,
            reuse,
            ..
        } = source;
        if reuse.allowed && !self.state.leaves(&guard.entry) {
            let now = self.state.now();
            let mut pool = self.state.pool.borrow_mut();
            let start = guard.entry.start();
            pool.put(guard.key, start, connection, reuse.idle_timeout, now);
        }
    }
}
