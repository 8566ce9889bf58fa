//! One attempt of a call at one upstream.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Request;
use http::header::CONTENT_ENCODING;
use http_body_util::{BodyExt, Full};

use super::FrontCall;
use crate::dialect::{EdgeDialect, UpstreamCallHead};
use crate::forward::connection_pool::ReuseCondition;
use crate::forward::http_connection::HttpConnection;
use crate::forward::traffic_state::UpstreamGuard;
use crate::forward::upstream_response::{
    ConnectionReuse, FullResponse, OpenStream, StreamSource, UpstreamResponse,
};
use crate::forward::wait_limits::CallWait;
use crate::ids::UpstreamKey;
use crate::mono::MonoTime;
use crate::policy::call_attempts::AttemptFault;
use crate::policy::response_head_check::{ResponseHeadSummary, check_response_head};

/// Longest wait for a connection: a VM that is up answers within a round trip and its own queue.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest answer that is read whole before it is passed on.
const WHOLE_BYTES: usize = 16 << 20;

impl<D: EdgeDialect> FrontCall<D> {
    /// Sends the call to an upstream and reads its answer, or the first events of a stream.
    pub(super) async fn attempt(
        &mut self,
        guard: UpstreamGuard<D>,
    ) -> Result<UpstreamResponse<D>, AttemptFault> {
        let mut connection = self.connection(&guard).await?;
        if self.attempts.is_repeat() {
            self.state.count_repeat(&self.service);
        }
        let request = self.request(&guard)?;
        let sent = self.state.now();
        let wait = CallWait::first(&self.plan.route);
        let body_bytes = self.plan.body.len();
        let response = self
            .within(guard.key, sent, wait, connection.send(request, body_bytes))
            .await;
        let response = match response {
            Ok(Ok(response)) => response,
            Err(_) if !connection.has_written() => return Err(AttemptFault::Unsent),
            Ok(Err(fault)) | Err(fault) => return Err(fault),
        };
        let head = self
            .state
            .dialect
            .read_response_head(response.status(), response.headers());
        self.state.record_response_head(guard.key, &head);
        let elsewhere = self.attempts.may_repeat() && self.state.affordable(&self.service);
        let sight = ResponseHeadSummary {
            status: response.status().as_u16(),
            encoded: response.headers().contains_key(CONTENT_ENCODING),
            not_executed: head.not_executed,
            signed: head.signed,
            id_matches: head
                .request_id
                .as_ref()
                .map(|id| *id == self.plan.head.request_id),
        };
        check_response_head(sight, elsewhere)?;
        let reuse = ConnectionReuse::from_response(&response, connection.has_written_all());
        let (parts, body) = response.into_parts();
        let mut source = StreamSource {
            guard,
            connection,
            body,
            reuse,
        };
        if parts.status.is_success() && self.plan.route.kind.streams() {
            let (first, ended) = self.read_events(&mut source, wait).await?;
            return Ok(UpstreamResponse::Stream(OpenStream {
                status: parts.status,
                headers: parts.headers,
                first,
                ended,
                source,
            }));
        }
        let body = self.read_whole(&mut source, wait).await?;
        if parts.status.is_server_error() {
            self.state.record_failure(
                source.guard.key,
                AttemptFault::Failed(parts.status.as_u16()),
                false,
            );
        }
        self.release(source);
        Ok(UpstreamResponse::Full(FullResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        }))
    }

    /// An idle connection to the upstream, or a new one.
    async fn connection(
        &mut self,
        guard: &UpstreamGuard<D>,
    ) -> Result<HttpConnection, AttemptFault> {
        let condition = if self.attempts.may_repeat() {
            ReuseCondition::Any
        } else {
            ReuseCondition::RecentlyUsed
        };
        let now = self.state.now();
        let idle = self.state.pool.borrow_mut().take(guard.key, condition, now);
        if let Some(connection) = idle {
            self.note(|choice| choice.kept = true);
            return Ok(connection);
        }
        self.state.telemetry.connects.inc();
        let limit = CONNECT_TIMEOUT.min(self.plan.deadline.since(now));
        HttpConnection::open(guard.entry.address, limit)
            .await
            .map_err(|error| {
                spdlog::info!("connect-failed", kv: {
                    id: = self.id_text(), upstream: = guard.entry.id, peer: = guard.entry.address, reason: = error
                });
                AttemptFault::Unreachable
            })
    }

    fn request(&mut self, guard: &UpstreamGuard<D>) -> Result<Request<Full<Bytes>>, AttemptFault> {
        self.note(|choice| choice.source = guard.cache_source);
        let head = &self.plan.head;
        let rank = self.rank();
        let order = UpstreamCallHead {
            upstream: &guard.entry.id,
            account: self.plan.grant.as_ref().map(|grant| &grant.account),
            time_left: self.plan.deadline.since(self.state.now()),
            rank,
            resume_after: self.reader.last_id(),
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
        *request.headers_mut() = self.state.dialect.upstream_call_headers(head, &order);
        Ok(request)
    }

    /// Reads until whole events have come; also tells whether the stream ended.
    pub(super) async fn read_events(
        &mut self,
        source: &mut StreamSource<D>,
        wait: CallWait,
    ) -> Result<(Bytes, bool), AttemptFault> {
        let began = self.state.now();
        loop {
            let Some(bytes) = self.next_bytes(source, began, wait).await? else {
                return if self.reader.is_partial() {
                    Err(AttemptFault::Broken)
                } else {
                    Ok((Bytes::new(), true))
                };
            };
            let events = self.reader.push(&bytes)?;
            if !events.is_empty() {
                return Ok((events, false));
            }
        }
    }

    async fn read_whole(
        &self,
        source: &mut StreamSource<D>,
        wait: CallWait,
    ) -> Result<Bytes, AttemptFault> {
        let began = self.state.now();
        let mut whole = BytesMut::new();
        while let Some(bytes) = self.next_bytes(source, began, wait).await? {
            whole.extend_from_slice(&bytes);
            if whole.len() > WHOLE_BYTES {
                return Err(AttemptFault::BadAnswer);
            }
        }
        Ok(whole.freeze())
    }

    /// The next bytes of an answer's body; none at its orderly end.
    async fn next_bytes(
        &self,
        source: &mut StreamSource<D>,
        began: MonoTime,
        wait: CallWait,
    ) -> Result<Option<Bytes>, AttemptFault> {
        loop {
            let frame = self
                .within(source.guard.key, began, wait, source.body.frame())
                .await?;
            match frame {
                None => return Ok(None),
                Some(Err(_)) => return Err(AttemptFault::Broken),
                Some(Ok(frame)) => {
                    self.state.record_activity(source.guard.key);
                    // Trailers are no part of the body.
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Waits for `future` until the call's time is over or, where another upstream may take over,
    /// until this one has been silent for too long.
    async fn within<F: Future>(
        &self,
        key: UpstreamKey,
        began: MonoTime,
        wait: CallWait,
        future: F,
    ) -> Result<F::Output, AttemptFault> {
        tokio::pin!(future);
        let mut looks = 0;
        loop {
            let now = self.state.now();
            let replaceable = self.attempts.may_repeat() && self.state.affordable(&self.service);
            let look = match looks {
                0 => began + wait.alone,
                1 => began + wait.busy,
                _ => now + wait.busy,
            };
            let limit = if replaceable {
                look.min(self.plan.deadline)
            } else {
                self.plan.deadline
            };
            tokio::select! {
                biased;
                output = &mut future => return Ok(output),
                () = tokio::time::sleep(limit.since(now)) => {}
            }
            let now = self.state.now();
            if now >= self.plan.deadline {
                return Err(AttemptFault::Silent);
            }
            // Where calls wait, silence towards one of them shows nothing.
            let overdue = looks > 0 && !self.state.is_queued(key);
            if replaceable && (overdue || !self.state.active_after(key, began)) {
                return Err(if self.first_event.is_some() {
                    AttemptFault::Stalled
                } else {
                    AttemptFault::Silent
                });
            }
            looks += 1;
        }
    }

    /// An answer has ended well: its connection may carry another call.
    pub(super) fn release(&self, source: StreamSource<D>) {
        let StreamSource {
            guard,
            connection,
            reuse,
            ..
        } = source;
        self.state.record_success(guard.key);
        if reuse.allowed {
            let now = self.state.now();
            let mut pool = self.state.pool.borrow_mut();
            pool.put(guard.key, connection, reuse.idle_timeout, now);
        }
    }
}
