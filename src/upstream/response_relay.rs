//! Relays the response to one request: waits for an engine, verifies the events, and resumes or
//! retries after failures.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc::Sender;
use tokio::sync::{Notify, oneshot};

use crate::board::ConfigSection;
use crate::client::{ClientError, HttpClient};
use crate::control::{ControlEvent, ControlHandle, EngineRun, WorkRequest, WorkVerdict};
use crate::error::{RouterError, StepName};
use crate::ids::EngineKey;
use crate::mono::{MonoTime, ProcessClock};
use crate::policy::refusal::{RefusalReason, WorkRefusal};
use crate::policy::response_check::{EndVerdict, EventVerdict, ResponseCheck};
use crate::policy::work_item::WorkItem;
use crate::rules::RankRule;
use crate::upstream::engine_stream::{EngineEvent, EngineRequest, EngineStream, OpenFault};
use crate::upstream::event_text::{content_event, end_event, error_event};

/// Maximum number of times that a response is resumed on one engine.
const MAX_RESUMES_PER_ENGINE: u32 = 3;

/// Maximum number of engines that one request is sent to, one after the other.
const MAX_ENGINES: u32 = 3;

/// Wait beyond a limit after which a silent engine is given up also without a retry.
const MAX_EXTRA_SILENCE: Duration = Duration::from_secs(3);

/// Minimum time between two requests for a retry during one silence, whatever the rules say.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Retry hint of the refusals that the relay itself makes.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A message from a relay to the handler of the caller's connection.
#[derive(Debug)]
pub enum RelayMessage {
    /// The request did not run and never will.
    Refused(WorkRefusal),
    /// Encoded events of the response.
    Bytes(Bytes),
}

/// Handles that a relay shares with the rest of its process.
#[derive(Clone)]
pub struct RelayContext {
    /// HTTP client for engines.
    pub client: HttpClient,
    /// Handle for sending events to the control thread, which assigns engines to requests.
    pub control: ControlHandle,
    /// Monotonic clock of this process.
    pub clock: ProcessClock,
}

/// The relay of one request, which lasts until the response has ended or the caller disconnects.
pub struct ResponseRelay {
    context: RelayContext,
    config: Arc<ConfigSection>,
    item: WorkItem,
    request: EngineRequest,
    check: ResponseCheck,
    out: Sender<RelayMessage>,
    /// Whether an engine may have received any byte of the request without refusing it.
    may_have_run: bool,
    /// Number of engines that failed before an event was relayed.
    failed_engines: u32,
    /// Number of times that the response was resumed on the current engine.
    resumes: u32,
    /// Whether the retry budget granted a retry that no attempt has used yet.
    has_retry: bool,
}

/// The end of a wait for an engine.
enum EngineWait<T> {
    /// The engine sent what was waited for, or failed.
    Done(T),
    /// The engine was silent for too long, or a retry was granted.
    Silent { has_retry: bool },
    /// The run ends with this outcome, whatever the engine does.
    Ended(EngineOutcome),
}

/// The result of running a request on one engine.
enum EngineOutcome {
    /// Every event of the response was relayed.
    Complete,
    /// The engine did not run the request, so another engine can.
    NotRun(RouterError),
    /// The engine failed before an event was relayed, so another engine can start over.
    FailedBeforeFirstEvent(RouterError),
    /// The engine failed after events had been relayed, so the response can only end with an error.
    Interrupted(RouterError),
    /// The request must give its slot up to more urgent work.
    Preempted,
    /// The caller disconnected, or accepted no event within the rule `caller_stall`.
    CallerDisconnected,
}

impl ResponseRelay {
    /// Creates a relay that sends its messages for the caller to `out`.
    pub fn new(
        context: RelayContext,
        config: Arc<ConfigSection>,
        item: WorkItem,
        request: EngineRequest,
        out: Sender<RelayMessage>,
    ) -> Self {
        Self {
            check: ResponseCheck::new(&request.id),
            context,
            config,
            item,
            request,
            out,
            may_have_run: false,
            failed_engines: 0,
            resumes: 0,
            has_retry: false,
        }
    }

    /// Runs the request until the caller has a complete response, a refusal or an error event.
    pub async fn run(mut self) {
        let mut verdict = self.submit().await;
        loop {
            let run = match verdict {
                Some(WorkVerdict::Run(run)) => run,
                Some(WorkVerdict::Refused(refusal)) => return self.send_refusal(refusal).await,
                None => return,
            };
            let slot = SlotGuard::new(&self.context.control, self.item.request, run.engine);
            let outcome = self.run_on_engine(&run).await;
            if matches!(outcome, EngineOutcome::Preempted) {
                slot.disarm();
                verdict = self.yield_slot().await;
                continue;
            }
            slot.finish(matches!(
                outcome,
                EngineOutcome::Complete | EngineOutcome::CallerDisconnected
            ));
            let error = match outcome {
                EngineOutcome::Complete
                | EngineOutcome::CallerDisconnected
                | EngineOutcome::Preempted => return,
                EngineOutcome::Interrupted(error) => return self.send_interrupted(&error).await,
                EngineOutcome::NotRun(error) | EngineOutcome::FailedBeforeFirstEvent(error) => {
                    error
                }
            };
            self.log_fault("engine-failed", &error);
            if !self.may_retry().await {
                return self.send_no_upstream(&error).await;
            }
            self.failed_engines += 1;
            self.item.avoid = Some(run.engine);
            verdict = self.submit().await;
        }
    }

    fn rule(&self) -> &RankRule {
        self.config.bundle.rules.ranks.of(self.item.rank)
    }

    fn is_deadline_expired(&self) -> bool {
        self.time_left() == Duration::ZERO
    }

    fn time_left(&self) -> Duration {
        let deadline: MonoTime = self.item.accepted + self.rule().deadline.0;
        deadline.since(self.context.clock.now())
    }

    /// Queues the request and waits for an engine. Returns `None` when the caller disconnects.
    async fn submit(&self) -> Option<WorkVerdict> {
        let (reply, verdict) = oneshot::channel();
        let work_request = WorkRequest {
            item: self.item.clone(),
            reply,
        };
        self.context
            .control
            .send(ControlEvent::Submit(work_request));
        self.wait_for_verdict(verdict).await
    }

    /// Gives the slot up and waits for another one on the same engine, the only one that can resume
    /// the response.
    async fn yield_slot(&self) -> Option<WorkVerdict> {
        let (reply, verdict) = oneshot::channel();
        let request = self.item.request;
        self.context
            .control
            .send(ControlEvent::Preempted { request, reply });
        self.wait_for_verdict(verdict).await
    }

    async fn wait_for_verdict(
        &self,
        verdict: oneshot::Receiver<WorkVerdict>,
    ) -> Option<WorkVerdict> {
        let guard = WaitGuard {
            control: &self.context.control,
            item: &self.item,
        };
        let verdict = tokio::select! {
            verdict = verdict => Some(verdict.unwrap_or(WorkVerdict::Refused(WorkRefusal {
                // The reply is dropped unused when the control thread ends.
                reason: RefusalReason::Draining,
                retry_after: RETRY_AFTER,
            }))),
            () = self.out.closed() => None,
        };
        if verdict.is_some() {
            guard.disarm();
        }
        verdict
    }

    /// Returns whether another attempt may follow, and uses up a retry for it.
    async fn may_retry(&mut self) -> bool {
        std::mem::take(&mut self.has_retry) || self.request_retry().await
    }

    /// Withdraws a retry from the budget, unless no attempt is left.
    async fn request_retry(&self) -> bool {
        let is_attempt_left = if self.check.relayed() == 0 {
            self.failed_engines + 1 < MAX_ENGINES
        } else {
            self.resumes < MAX_RESUMES_PER_ENGINE
        };
        if !is_attempt_left || self.is_deadline_expired() {
            return false;
        }
        self.context
            .control
            .request(ControlEvent::Retry)
            .await
            .unwrap_or(false)
    }

    /// Waits until `step` of an engine is done. An engine that is silent for `limit` may go on, so
    /// it is not given up before a retry is granted or [`MAX_EXTRA_SILENCE`] has passed as well.
    /// `step` must end at the request's deadline.
    async fn wait_for_engine<T>(
        &self,
        step: impl Future<Output = T>,
        mut limit: Duration,
        preempt_signal: &Notify,
        mut can_preempt: bool,
    ) -> EngineWait<T> {
        let mut step = pin!(step);
        let give_up_at = self.context.clock.now() + limit + MAX_EXTRA_SILENCE;
        loop {
            let silence = async {
                tokio::time::sleep(limit).await;
                self.request_retry().await
            };
            tokio::select! {
                biased;
                () = self.out.closed() => {
                    return EngineWait::Ended(EngineOutcome::CallerDisconnected);
                }
                () = preempt_signal.notified(), if can_preempt => {
                    return EngineWait::Ended(EngineOutcome::Preempted);
                }
                // Before the silence: a failure to connect by the same limit shows that the request
                // did not run.
                done = &mut step => return EngineWait::Done(done),
                has_retry = silence => {
                    let now = self.context.clock.now();
                    if has_retry || now >= give_up_at {
                        return EngineWait::Silent { has_retry };
                    }
                    can_preempt = true;
                    limit = limit.max(MIN_RETRY_INTERVAL).min(give_up_at.since(now));
                }
            }
        }
    }

    /// Relays the response of one engine, reconnecting to resume it after a failure.
    async fn run_on_engine(&mut self, run: &EngineRun) -> EngineOutcome {
        let engine = run.engine;
        let Some(entry) = self.config.engines.get(&engine) else {
            let text = "engine is not in the configuration that this request uses";
            let error = RouterError::step_text(StepName::Connect, engine, text);
            return EngineOutcome::NotRun(error);
        };
        let address = entry.address;
        self.resumes = 0;
        loop {
            let limit = self.rule().first_event.0;
            let opened = EngineStream::open(
                &self.context.client,
                address,
                &self.request,
                self.check.relayed(),
                limit.min(self.time_left()),
                self.time_left(),
            );
            let opened = self
                .wait_for_engine(opened, limit, &run.preempt_signal, false)
                .await;
            let opened = match opened {
                EngineWait::Done(opened) => opened,
                EngineWait::Silent { has_retry } => {
                    self.has_retry = has_retry;
                    let error = ClientError::TimedOut;
                    let error = RouterError::step(StepName::FirstEvent, address, error);
                    Err(OpenFault::Unknown(error))
                }
                EngineWait::Ended(outcome) => {
                    self.may_have_run = true;
                    return outcome;
                }
            };
            let error = match opened {
                Ok(stream) => {
                    self.may_have_run = true;
                    match self.relay_stream(stream, &run.preempt_signal).await {
                        Ok(outcome) => return outcome,
                        Err(error) => error,
                    }
                }
                Err(OpenFault::NotRun(error)) if self.check.relayed() == 0 => {
                    return EngineOutcome::NotRun(error);
                }
                Err(OpenFault::NotRun(error)) => error,
                Err(OpenFault::Unknown(error)) => {
                    self.may_have_run = true;
                    error
                }
            };
            if self.check.relayed() == 0 {
                return EngineOutcome::FailedBeforeFirstEvent(error);
            }
            if !self.may_retry().await {
                return EngineOutcome::Interrupted(error);
            }
            self.resumes += 1;
            self.log_fault("answer-resumed", &error);
        }
    }

    /// Relays the events of one connection. After an error, the response may be resumed on another
    /// connection.
    async fn relay_stream(
        &mut self,
        mut stream: EngineStream,
        preempt_signal: &Notify,
    ) -> Result<EngineOutcome, RouterError> {
        let mut event_timeout = self.rule().first_event.0;
        loop {
            let next = stream.next(self.time_left());
            let event = match self
                .wait_for_engine(next, event_timeout, preempt_signal, true)
                .await
            {
                EngineWait::Done(event) => event?,
                EngineWait::Silent { has_retry } => {
                    self.has_retry = has_retry;
                    return Err(stream.silence());
                }
                EngineWait::Ended(outcome) => return Ok(outcome),
            };
            match event {
                EngineEvent::Content {
                    request,
                    sequence,
                    data,
                } => match self.check.verify_event(&request, sequence) {
                    EventVerdict::Relay => {
                        event_timeout = self.rule().next_event.0;
                        if !self.send(content_event(sequence, &data)).await {
                            return Ok(EngineOutcome::CallerDisconnected);
                        }
                    }
                    EventVerdict::Foreign | EventVerdict::Repeated => {}
                    EventVerdict::Gap => {
                        return Err(stream_fault(&request, "the sequence of events has a gap"));
                    }
                },
                EngineEvent::End { request, events } if self.check.is_own(&request) => {
                    if self.check.verify_end(events) == EndVerdict::Incomplete {
                        return Err(stream_fault(
                            &request,
                            "the event count of the end marker differs from the events received",
                        ));
                    }
                    self.send(end_event(events)).await;
                    return Ok(EngineOutcome::Complete);
                }
                EngineEvent::End { .. } | EngineEvent::Other => {}
            }
        }
    }

    /// Sends bytes to the caller. Returns false when the caller disconnected or accepted nothing
    /// within the rule `caller_stall`.
    async fn send(&self, bytes: Bytes) -> bool {
        let stall = self.config.bundle.rules.caller_stall.0;
        let sent = self
            .out
            .send_timeout(RelayMessage::Bytes(bytes), stall)
            .await;
        sent.is_ok()
    }

    async fn send_refusal(&self, refusal: WorkRefusal) {
        if self.may_have_run {
            let reason = refusal.reason.to_string();
            self.send(error_event("unknown", &reason, self.check.relayed()))
                .await;
        } else {
            let _ = self.out.send(RelayMessage::Refused(refusal)).await;
        }
    }

    async fn send_no_upstream(&self, error: &RouterError) {
        if self.may_have_run {
            return self.send_interrupted(error).await;
        }
        let refusal = WorkRefusal {
            reason: RefusalReason::NoUpstream,
            retry_after: RETRY_AFTER,
        };
        let _ = self.out.send(RelayMessage::Refused(refusal)).await;
    }

    async fn send_interrupted(&self, error: &RouterError) {
        self.log_fault("answer-cut", error);
        let event = error_event("unknown", "upstream failed", self.check.relayed());
        self.send(event).await;
    }

    fn log_fault(&self, event: &str, error: &RouterError) {
        let request = self.request.id.to_string();
        let rank = self.item.rank.to_string();
        let error = error.to_string();
        spdlog::warn!("{event}", kv: { request, rank, events = self.check.relayed(), error });
    }
}

fn stream_fault(request: &str, text: &str) -> RouterError {
    RouterError::step_text(StepName::NextEvent, request, text)
}

/// Reports the end of the request on its engine when dropped, so that the slot is released even if
/// the relay is dropped halfway.
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

    /// Drops the guard without a report, for a slot that is released by another event.
    fn disarm(mut self) {
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

/// Removes the request from its queue when dropped, unless disarmed.
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
