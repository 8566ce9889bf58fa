//! One request from its offer to its end: attempts, checks, resumption, and the caller's events.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc::Sender;
use tokio::sync::{Notify, oneshot};

use crate::board::ConfigSection;
use crate::client::HttpClient;
use crate::control::{ControlEvent, ControlHandle, WorkRequest, WorkVerdict};
use crate::error::RouterError;
use crate::ids::EngineKey;
use crate::mono::{MonoTime, ProcessClock};
use crate::policy::refusal::{RefusalReason, WorkRefusal};
use crate::policy::response_check::{EndVerdict, EventVerdict, ResponseCheck};
use crate::policy::work_item::WorkItem;
use crate::rules::RankRule;
use crate::upstream::engine_stream::{EngineEvent, EngineRequest, EngineStream, OpenFault};
use crate::upstream::event_text::{answer_event, end_event, error_event};

/// Resumptions of one answer on its engine.
const MAX_RESUMES: u32 = 3;

/// Engines that one request is sent to, one after the other.
const MAX_ENGINES: u32 = 3;

/// What the relay tells the caller's side.
#[derive(Debug)]
pub enum RelayMessage {
    /// The request did not run and never will.
    Refused(WorkRefusal),
    /// Bytes of the answer.
    Bytes(Bytes),
}

/// What a relay needs of its process.
#[derive(Clone)]
pub struct RelayContext {
    /// The client towards engines.
    pub client: HttpClient,
    /// The control thread.
    pub control: ControlHandle,
    /// The clock of this process.
    pub clock: ProcessClock,
}

/// One request on its way.
pub struct AnswerRelay {
    context: RelayContext,
    config: Arc<ConfigSection>,
    item: WorkItem,
    request: EngineRequest,
    check: ResponseCheck,
    out: Sender<RelayMessage>,
    /// Notified when the request is to give its slot up.
    stop: Arc<Notify>,
    /// Set once any byte of the request may have reached an engine that did not refuse it.
    maybe_run: bool,
}

/// How one engine's part in an answer ended.
enum EngineEnd {
    /// The answer is whole.
    Whole,
    /// The engine did not run it; another may.
    NotRun(RouterError),
    /// The engine failed before its first event; another may try, as nothing was relayed.
    FailedUnseen(RouterError),
    /// The engine failed within the answer.
    Cut(RouterError),
    /// The request gave its slot up to more urgent work.
    Stopped,
    /// The caller is gone or takes nothing.
    CallerGone,
}

impl AnswerRelay {
    /// A relay that tells `out` what to send to the caller.
    pub fn new(
        context: RelayContext,
        config: Arc<ConfigSection>,
        item: WorkItem,
        request: EngineRequest,
        out: Sender<RelayMessage>,
    ) -> Self {
        Self {
            check: ResponseCheck::new(&request.request),
            context,
            config,
            item,
            request,
            out,
            stop: Arc::new(Notify::new()),
            maybe_run: false,
        }
    }

    /// Runs the request to its end.
    pub async fn run(mut self) {
        let mut engines = 0;
        let mut verdict = self.offer().await;
        loop {
            let engine = match verdict {
                Some(WorkVerdict::Run(engine)) => engine,
                Some(WorkVerdict::Refused(refusal)) => return self.end_refused(refusal).await,
                None => return,
            };
            let slot = SlotGuard::new(&self.context.control, self.item.request, engine);
            let end = self.run_on(engine).await;
            if matches!(end, EngineEnd::Stopped) {
                slot.forget();
                verdict = self.give_way().await;
                continue;
            }
            slot.finish(matches!(end, EngineEnd::Whole | EngineEnd::CallerGone));
            let error = match end {
                EngineEnd::Whole | EngineEnd::CallerGone | EngineEnd::Stopped => return,
                EngineEnd::Cut(error) => return self.end_cut(&error).await,
                EngineEnd::NotRun(error) | EngineEnd::FailedUnseen(error) => error,
            };
            self.log_fault("engine-failed", &error);
            engines += 1;
            if engines >= MAX_ENGINES || self.is_late() || !self.may_retry().await {
                return self.end_unserved(&error).await;
            }
            self.item.avoid = Some(engine);
            verdict = self.offer().await;
        }
    }

    fn rule(&self) -> &RankRule {
        self.config.bundle.rules.ranks.of(self.item.rank)
    }

    fn is_late(&self) -> bool {
        self.time_left() == Duration::ZERO
    }

    fn time_left(&self) -> Duration {
        let end: MonoTime = self.item.accepted + self.rule().deadline.0;
        end.since(self.context.clock.now())
    }

    /// Waits for an engine; none when the caller left.
    async fn offer(&self) -> Option<WorkVerdict> {
        let (reply, verdict) = oneshot::channel();
        let offer = WorkRequest {
            item: self.item.clone(),
            stop: Arc::clone(&self.stop),
            reply,
        };
        self.context.control.send(ControlEvent::Submit(offer));
        self.wait_for(verdict).await
    }

    /// Gives the slot up and waits to go on with the answer.
    async fn give_way(&self) -> Option<WorkVerdict> {
        let (reply, verdict) = oneshot::channel();
        let request = self.item.request;
        self.context
            .control
            .send(ControlEvent::Preempted { request, reply });
        self.wait_for(verdict).await
    }

    async fn wait_for(&self, verdict: oneshot::Receiver<WorkVerdict>) -> Option<WorkVerdict> {
        let waiting = WaitGuard {
            control: &self.context.control,
            item: &self.item,
        };
        let verdict = tokio::select! {
            verdict = verdict => verdict.ok(),
            () = self.out.closed() => None,
        };
        if verdict.is_some() {
            waiting.disarm();
        }
        verdict
    }

    async fn may_retry(&self) -> bool {
        self.context
            .control
            .request(ControlEvent::Retry)
            .await
            .unwrap_or(false)
    }

    /// Carries the answer over as many connections to one engine as it takes.
    async fn run_on(&mut self, engine: EngineKey) -> EngineEnd {
        let Some(entry) = self.config.engines.get(&engine) else {
            let text = "not in the register of this request";
            let error = RouterError::step_text(crate::error::StepName::Connect, engine, text);
            return EngineEnd::NotRun(error);
        };
        let address = entry.address;
        let mut resumes = 0;
        loop {
            let limit = self.rule().first_event.0.min(self.time_left());
            let opened = EngineStream::open(
                &self.context.client,
                address,
                &self.request,
                self.check.relayed(),
                limit,
            );
            let opened = tokio::select! {
                opened = opened => opened,
                () = self.out.closed() => return EngineEnd::CallerGone,
            };
            let error = match opened {
                Ok(stream) => {
                    self.maybe_run = true;
                    match self.relay_stream(stream).await {
                        Ok(end) => return end,
                        Err(error) => error,
                    }
                }
                Err(OpenFault::NotRun(error)) if self.check.relayed() == 0 => {
                    return EngineEnd::NotRun(error);
                }
                Err(OpenFault::NotRun(error)) => error,
                Err(OpenFault::Unknown(error)) => {
                    self.maybe_run = true;
                    error
                }
            };
            if self.check.relayed() == 0 {
                return EngineEnd::FailedUnseen(error);
            }
            resumes += 1;
            if resumes > MAX_RESUMES || self.is_late() || !self.may_retry().await {
                return EngineEnd::Cut(error);
            }
            self.log_fault("answer-resumed", &error);
        }
    }

    /// Relays one connection's events; an error means that the answer may go on over another.
    async fn relay_stream(&mut self, mut stream: EngineStream) -> Result<EngineEnd, RouterError> {
        let mut silence = self.rule().first_event.0;
        loop {
            let event = tokio::select! {
                event = stream.next(silence.min(self.time_left())) => event?,
                () = self.out.closed() => return Ok(EngineEnd::CallerGone),
                () = self.stop.notified() => return Ok(EngineEnd::Stopped),
            };
            match event {
                EngineEvent::Piece {
                    request,
                    sequence,
                    data,
                } => match self.check.verify_event(&request, sequence) {
                    EventVerdict::Relay => {
                        silence = self.rule().next_event.0;
                        if !self.send(answer_event(sequence, &data)).await {
                            return Ok(EngineEnd::CallerGone);
                        }
                    }
                    EventVerdict::Foreign | EventVerdict::Repeated => {}
                    EventVerdict::Gap => {
                        return Err(stream_fault(&request, "an event is missing"));
                    }
                },
                EngineEvent::End { request, events } if self.check.is_own(&request) => {
                    if self.check.verify_end(events) == EndVerdict::Incomplete {
                        return Err(stream_fault(&request, "the end came too early"));
                    }
                    self.send(end_event(events)).await;
                    return Ok(EngineEnd::Whole);
                }
                EngineEvent::End { .. } | EngineEvent::Other => {}
            }
        }
    }

    /// Hands bytes to the caller; false when it is gone or takes nothing for too long.
    async fn send(&self, bytes: Bytes) -> bool {
        let stall = self.config.bundle.rules.caller_stall.0;
        let sent = self
            .out
            .send_timeout(RelayMessage::Bytes(bytes), stall)
            .await;
        sent.is_ok()
    }

    async fn end_refused(&self, refusal: WorkRefusal) {
        if self.maybe_run {
            let reason = refusal.reason.to_string();
            self.send(error_event("unknown", &reason, self.check.relayed()))
                .await;
        } else {
            let _ = self.out.send(RelayMessage::Refused(refusal)).await;
        }
    }

    async fn end_unserved(&self, error: &RouterError) {
        if self.maybe_run {
            return self.end_cut(error).await;
        }
        let refusal = WorkRefusal {
            reason: RefusalReason::NoUpstream,
            retry_after: Duration::from_secs(1),
        };
        let _ = self.out.send(RelayMessage::Refused(refusal)).await;
    }

    async fn end_cut(&self, error: &RouterError) {
        self.log_fault("answer-cut", error);
        let event = error_event("unknown", "upstream failed", self.check.relayed());
        self.send(event).await;
    }

    fn log_fault(&self, event: &str, error: &RouterError) {
        let request = self.request.request.to_string();
        let rank = self.item.rank.to_string();
        let error = error.to_string();
        spdlog::warn!("{event}", kv: { request, rank, events = self.check.relayed(), error });
    }
}

fn stream_fault(request: &str, text: &str) -> RouterError {
    RouterError::step_text(crate::error::StepName::NextEvent, request, text)
}

/// Gives the slot back, also when the relay is dropped in the middle.
struct SlotGuard {
    control: ControlHandle,
    finish: Option<ControlEvent>,
}

impl SlotGuard {
    fn new(control: &ControlHandle, request: crate::ids::RequestKey, engine: EngineKey) -> Self {
        let finish = ControlEvent::Finish {
            request,
            engine,
            answered: true,
        };
        Self {
            control: control.clone(),
            finish: Some(finish),
        }
    }

    /// Leaves the slot to an event of another kind.
    fn forget(mut self) {
        self.finish = None;
    }

    fn finish(mut self, ok: bool) {
        if let Some(ControlEvent::Finish { answered, .. }) = &mut self.finish {
            *answered = ok;
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(event) = self.finish.take() {
            self.control.send(event);
        }
    }
}

/// Takes the request out of its queue when the caller leaves.
struct WaitGuard<'a> {
    control: &'a ControlHandle,
    item: &'a WorkItem,
}

impl WaitGuard<'_> {
    fn disarm(self) {
        std::mem::forget(self);
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.control.send(ControlEvent::Cancel(self.item.request));
    }
}
