//! One call: its attempts at upstreams until there is an answer for the caller.

use std::borrow::Cow;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Request;
use http::header::CONTENT_ENCODING;
use http_body_util::{BodyExt, Full};

use crate::dialect::{EdgeDialect, PromptRun, UpstreamOrder};
use crate::forward::call_wait::CallWait;
use crate::forward::choice_note::ChoiceNote;
use crate::forward::event_reader::EventReader;
use crate::forward::link_pool::LinkTrust;
use crate::forward::traffic_state::{TrafficState, UpstreamHold};
use crate::forward::upstream_answer::{
    CallPlan, LinkReuse, OpenStream, StreamSource, UpstreamAnswer, WholeAnswer,
};
use crate::forward::upstream_link::UpstreamLink;
use crate::ids::{ServiceId, UpstreamKey};
use crate::mono::MonoTime;
use crate::policy::answer_judge::{AnswerSight, judge_answer};
use crate::policy::call_attempts::{AttemptFault, CallAttempts, CallFailure, NextStep, RunVerdict};

use crate::route::PriorityRank;

/// Longest wait for a connection: a VM that is up answers within a round trip and its own queue.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// Largest answer that is read whole before it is passed on.
const WHOLE_BYTES: usize = 16 << 20;

/// A call in progress.
pub struct FrontCall<D: EdgeDialect> {
    state: Rc<TrafficState<D>>,
    plan: CallPlan,
    service: ServiceId,
    attempts: CallAttempts,
    /// Upstreams that said or showed that they can't take the call.
    tried: Vec<UpstreamKey>,
    /// Upstreams that failed the call, and get it again only when no other is left.
    doubted: Vec<UpstreamKey>,
    /// Shared parts of the prompt, where upstreams cache them.
    prompt: Option<PromptRun>,
    reader: EventReader,
    first_event: Option<MonoTime>,
    /// The latest choice of an upstream, for the log.
    choice: Option<ChoiceNote>,
    ended: bool,
}

impl<D: EdgeDialect> FrontCall<D> {
    /// A call without attempts.
    pub fn new(state: Rc<TrafficState<D>>, plan: CallPlan) -> Self {
        let service = plan.route.pick_service(state.draw()).clone();
        state.count_call(&service);
        let prompt = plan.head.shared_run().filter(|_| plan.route.cached_prompts);
        Self {
            prompt,
            attempts: CallAttempts::new(plan.route.kind, plan.route.max_attempts),
            reader: EventReader::new(plan.head.resume_after),
            service,
            state,
            plan,
            tried: Vec::new(),
            doubted: Vec::new(),
            first_event: None,
            choice: None,
            ended: false,
        }
    }

    /// Makes attempts until one brings an answer for the caller.
    pub async fn answer(&mut self) -> Result<UpstreamAnswer<D>, CallFailure> {
        loop {
            let Some(hold) = self.pick() else {
                return Err(self.attempts.exhausted(self.in_time()));
            };
            let began = self.state.now();
            let key = hold.key;
            self.choice = Some(ChoiceNote {
                upstream: hold.entry.id.clone(),
                load: hold.load,
                belief_ms: self.state.belief_age_ms(),
                kept: false,
                source: None,
            });
            match self.attempt(hold).await {
                Ok(answer) => return Ok(answer),
                Err(fault) => match self.after(key, fault, began) {
                    NextStep::Retry => {}
                    NextStep::Fail(failure) => return Err(failure),
                },
            }
        }
    }

    /// The next events of a stream, from another upstream where the first one fails and the
    /// route allows that; none at the end.
    pub async fn next_events(
        &mut self,
        stream: &mut Option<OpenStream<D>>,
    ) -> Result<Option<Bytes>, CallFailure> {
        loop {
            let Some(open) = stream.as_mut() else {
                return Ok(None);
            };
            if open.ended {
                if let Some(open) = stream.take() {
                    self.release(open.source);
                }
                return Ok(None);
            }
            let began = self.state.now();
            let key = open.source.hold.key;
            match self
                .read_events(&mut open.source, CallWait::next(&self.plan.route))
                .await
            {
                Ok((events, ended)) => {
                    open.ended = ended;
                    if !events.is_empty() {
                        return Ok(Some(events));
                    }
                }
                Err(fault) => {
                    // The upstream must stop before another one goes on.
                    *stream = None;
                    self.reader.restart();
                    match self.after(key, fault, began) {
                        NextStep::Fail(failure) => return Err(failure),
                        NextStep::Retry => *stream = Some(self.resume().await?),
                    }
                    if let Some(events) = take_first(stream) {
                        return Ok(Some(events));
                    }
                }
            }
        }
    }

    /// Goes on with a stream at another upstream.
    async fn resume(&mut self) -> Result<OpenStream<D>, CallFailure> {
        match self.answer().await? {
            UpstreamAnswer::Stream(open) => Ok(open),
            UpstreamAnswer::Whole(_) => Err(CallFailure::Unknown),
        }
    }

    /// The caller has events of the stream.
    pub fn started_stream(&mut self) {
        self.attempts.started_stream();
        let now = self.state.now();
        self.first_event = Some(now);
        self.state
            .telemetry
            .first_event_seconds
            .observe(now.since(self.plan.began).as_secs_f64());
    }

    /// Writes the end of the call to the log and the metrics.
    pub fn finish(&mut self, outcome: &'static str, status: u16) {
        self.ended = true;
        let now = self.state.now();
        let spent = now.since(self.plan.began);
        let kind = self.plan.route.kind.label();
        let telemetry = &self.state.telemetry;
        telemetry.calls.with_label_values(&[kind, outcome]).inc();
        telemetry
            .call_seconds
            .with_label_values(&[kind])
            .observe(spent.as_secs_f64());
        if outcome == "answered" && status < 500 && !self.state.admits_call_line() {
            return;
        }
        let first = self.first_event.unwrap_or_default().since(self.plan.began);
        let account = self.plan.grant.as_ref();
        spdlog::info!("call", kv: {
            id: = self.id_text(), outcome: = outcome, status: = status, kind: = kind,
            route: = self.plan.route.name, service: = self.service, rank: = self.rank(),
            account: = account.map_or("none", |grant| grant.account.as_str()),
            ms: = spent.as_millis(), first_ms: = first.as_millis(),
            events: = self.reader.events(), choice: = self.choice_text(),
            failed: = self.attempts.arrivals(), verdict:? = self.attempts.verdict(),
            config: = self.plan.table.version
        });
    }

    fn id_text(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.plan.head.request_id)
    }

    fn choice_text(&self) -> String {
        let choice = self.choice.as_ref();
        choice.map_or_else(|| "none".to_owned(), ToString::to_string)
    }

    fn pick(&self) -> Option<UpstreamHold<D>> {
        self.state.pick(
            &self.plan.table,
            &self.service,
            self.prompt,
            &self.tried,
            &self.doubted,
        )
    }

    fn in_time(&self) -> bool {
        self.state.now() < self.plan.ends
    }

    /// Counts a fault and decides what follows.
    fn after(&mut self, key: UpstreamKey, fault: AttemptFault, began: MonoTime) -> NextStep {
        let alone = !self.state.heard_after(key, began);
        self.state.upstream_failed(key, fault, alone);
        match fault {
            // A connection that closed before the call was written says nothing of its upstream.
            AttemptFault::Unsent => {}
            _ if fault.verdict() == RunVerdict::NotRun => self.tried.push(key),
            _ => self.doubted.push(key),
        }
        let in_time = self.in_time();
        let affordable = self.state.affordable(&self.service);
        let step = self.attempts.ended(fault, in_time, affordable);
        spdlog::info!("attempt-failed", kv: {
            id: = self.id_text(), fault: = fault.label(), code:? = fault,
            verdict:? = self.attempts.verdict(), choice: = self.choice_text(),
            alone: = alone, in_time: = in_time, affordable: = affordable, next:? = step,
            ms: = self.state.now().since(began).as_millis(), config: = self.plan.table.version
        });
        step
    }

    async fn attempt(&mut self, hold: UpstreamHold<D>) -> Result<UpstreamAnswer<D>, AttemptFault> {
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
            .read_answer(response.status(), response.headers());
        self.state.upstream_answered(hold.key, &head);
        let elsewhere = self.attempts.may_repeat() && self.state.affordable(&self.service);
        let sight = AnswerSight {
            status: response.status().as_u16(),
            encoded: response.headers().contains_key(CONTENT_ENCODING),
            not_executed: head.not_executed,
            signed: head.signed,
            id: head
                .request_id
                .as_ref()
                .map(|id| *id == self.plan.head.request_id),
        };
        judge_answer(sight, elsewhere)?;
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

    fn note<F: FnOnce(&mut ChoiceNote)>(&mut self, change: F) {
        if let Some(choice) = &mut self.choice {
            change(choice);
        }
    }

    fn request(&mut self, hold: &UpstreamHold<D>) -> Result<Request<Full<Bytes>>, AttemptFault> {
        self.note(|choice| choice.source = hold.cache_source);
        let head = &self.plan.head;
        let rank = self.rank();
        let order = UpstreamOrder {
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
        *request.headers_mut() = self.state.dialect.order_headers(head, &order);
        Ok(request)
    }

    fn rank(&self) -> PriorityRank {
        let account_rank = self.plan.grant.as_ref().and_then(|grant| grant.rank);
        account_rank.unwrap_or(self.plan.route.rank)
    }

    /// Reads until whole events have come; also tells whether the stream ended.
    async fn read_events(
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
    fn release(&self, source: StreamSource<D>) {
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

impl<D: EdgeDialect> Drop for FrontCall<D> {
    fn drop(&mut self) {
        if !self.ended {
            self.finish("caller-left", 0);
        }
    }
}

fn take_first<D: EdgeDialect>(stream: &mut Option<OpenStream<D>>) -> Option<Bytes> {
    let open = stream.as_mut()?;
    let events = std::mem::take(&mut open.first);
    (!events.is_empty()).then_some(events)
}
