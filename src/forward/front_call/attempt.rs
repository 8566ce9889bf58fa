//! One attempt of a call at one upstream.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Request;
use http::header::CONTENT_ENCODING;
use http_body_util::{BodyExt, Full};

use super::FrontCall;
use crate::dialect::{EdgeDialect, UpstreamCallHead};
use crate::forward::link_pool::LinkTrust;
use crate::forward::traffic_state::UpstreamHold;
use crate::forward::upstream_answer::{
    LinkReuse, OpenStream, StreamSource, UpstreamAnswer, WholeAnswer,
};
use crate::forward::upstream_link::UpstreamLink;
use crate::forward::wait_limits::CallWait;
use crate::ids::UpstreamKey;
use crate::mono::MonoTime;
use crate::policy::call_attempts::AttemptFault;
use crate::policy::response_head_check::{ResponseHeadSummary, check_response_head};

/// Longest wait for a connection: a VM that is up answers within a round trip and its own queue.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// Largest answer that is read whole before it is passed on.
const WHOLE_BYTES: usize = 16 << 20;

impl<D: EdgeDialect> FrontCall<D> {
    /// Sends the call to an upstream and reads its answer, or the first events of a stream.
    pub(super) async fn attempt(
        &mut self,
        hold: UpstreamHold<D>,
    ) -> Result<UpstreamAnswer<D>, AttemptFault> {
        let mut link = self.link(&hold).await?;
        if self.attempts.is_repeat() {
            self.state.count_repeat(&self.service);
        }
        let request = self.request(&hold)?;
        let sent = self.state.now();
        let wait = CallWait::first(&self.plan.route);
        let body_bytes = self.plan.body.len();
        let response = self
            .within(hold.key, sent, wait, link.send(request, body_bytes))
            .await;
        let response = match response {
            Ok(Ok(response)) => response,
            Err(_) if !link.wrote() => return Err(AttemptFault::Unsent),
            Ok(Err(fault)) | Err(fault) => return Err(fault),
        };
        let head = self
            .state
            .dialect
            .read_response_head(response.status(), response.headers());
        self.state.upstream_answered(hold.key, &head);
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
        let reuse = LinkReuse::of(&response, link.wrote_all());
        let (parts, body) = response.into_parts();
        let mut source = StreamSource {
            hold,
            link,
            body,
            reuse,
        };
        if parts.status.is_success() && self.plan.route.kind.streams() {
            let (first, ended) = self.read_events(&mut source, wait).await?;
            return Ok(UpstreamAnswer::Stream(OpenStream {
                status: parts.status,
                headers: parts.headers,
                first,
                ended,
                source,
            }));
        }
        let body = self.read_whole(&mut source, wait).await?;
        if parts.status.is_server_error() {
            self.state.upstream_failed(
                source.hold.key,
                AttemptFault::Failed(parts.status.as_u16()),
                false,
            );
        }
        self.release(source);
        Ok(UpstreamAnswer::Whole(WholeAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
        }))
    }

    /// An idle connection to the upstream, or a new one.
    async fn link(&mut self, hold: &UpstreamHold<D>) -> Result<UpstreamLink, AttemptFault> {
        let trust = if self.attempts.may_repeat() {
            LinkTrust::Any
        } else {
            LinkTrust::Fresh
        };
        let now = self.state.now();
        let idle = self.state.pool.borrow_mut().take(hold.key, trust, now);
        if let Some(link) = idle {
            self.note(|choice| choice.kept = true);
            return Ok(link);
        }
        self.state.telemetry.connects.inc();
        let limit = CONNECT_LIMIT.min(self.plan.ends.since(now));
        UpstreamLink::open(hold.entry.address, limit)
            .await
            .map_err(|error| {
                spdlog::info!("connect-failed", kv: {
                    id: = self.id_text(), upstream: = hold.entry.id, peer: = hold.entry.address, reason: = error
                });
                AttemptFault::Unreachable
            })
    }

    fn request(&mut self, hold: &UpstreamHold<D>) -> Result<Request<Full<Bytes>>, AttemptFault> {
        self.note(|choice| choice.source = hold.cache_source);
        let head = &self.plan.head;
        let rank = self.rank();
        let order = UpstreamCallHead {
            upstream: &hold.entry.id,
            account: self.plan.grant.as_ref().map(|grant| &grant.account),
            time_left: self.plan.ends.since(self.state.now()),
            rank,
            resume_after: self.reader.last(),
            cache_source: hold.cache_source,
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
                .within(source.hold.key, began, wait, source.body.frame())
                .await?;
            match frame {
                None => return Ok(None),
                Some(Err(_)) => return Err(AttemptFault::Broken),
                Some(Ok(frame)) => {
                    self.state.upstream_heard(source.hold.key);
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
                look.min(self.plan.ends)
            } else {
                self.plan.ends
            };
            tokio::select! {
                biased;
                output = &mut future => return Ok(output),
                () = tokio::time::sleep(limit.since(now)) => {}
            }
            let now = self.state.now();
            if now >= self.plan.ends {
                return Err(AttemptFault::Silent);
            }
            // Where calls wait, silence towards one of them shows nothing.
            let overdue = looks > 0 && !self.state.is_queued(key);
            if replaceable && (overdue || !self.state.heard_after(key, began)) {
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
            hold, link, reuse, ..
        } = source;
        self.state.upstream_succeeded(hold.key);
        if reuse.allowed {
            let now = self.state.now();
            let mut pool = self.state.pool.borrow_mut();
            pool.put(hold.key, link, reuse.idle, now);
        }
    }
}
