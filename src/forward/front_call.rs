//! One call of a caller: attempts at upstreams until one of them returns a response to pass on.

mod attempt;
mod crash_check;
pub mod stream_source;

use std::borrow::Cow;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};

use crate::dialect::{EdgeDialect, PromptPrefix};
use crate::forward::choice_record::ChoiceRecord;
use crate::forward::event_batch::EventBatch;
use crate::forward::relay_progress::RelayProgress;
use crate::forward::traffic_state::{TrafficState, UpstreamGuard};
use crate::forward::upstream_response::{CallPlan, FullResponse, OpenStream, UpstreamResponse};
use crate::forward::wait_limits::WaitLimits;
use crate::ids::{ServiceId, SuspectTag, UpstreamKey};
use crate::mono::MonoTime;
use crate::policy::call_attempts::{AttemptFault, CallAttempts, CallFailure, NextStep, RunVerdict};
use crate::policy::call_exclusions::CallExclusions;
use crate::route::PriorityRank;

/// A call in progress. Dropping it before [`FrontCall::finish`] logs that the caller left.
pub struct FrontCall<D: EdgeDialect> {
    state: Rc<TrafficState<D>>,
    plan: CallPlan,
    service: ServiceId,
    attempts: CallAttempts,
    /// Upstreams that provably did not run the call. Only a stream that is resumed later chooses them
    /// again.
    excluded: CallExclusions,
    /// Upstreams that may have run the call and failed. They are chosen again only if no other
    /// upstream is left.
    suspect: Vec<UpstreamKey>,
    /// The parts of the prompt that other requests share. `None` if the route's upstreams cache no
    /// prompts.
    prompt: Option<PromptPrefix>,
    /// The work that may crash upstreams: the whole call, then the parts that make up `prompt`.
    ///
    /// Invariant: not empty.
    suspects: Vec<SuspectTag>,
    /// Whether an upstream has answered beyond the first events, so that the parts of the prompt are
    /// known not to crash upstreams.
    is_sound: bool,
    /// What the caller has of the stream.
    progress: RelayProgress,
    first_event: Option<MonoTime>,
    /// The latest choice of an upstream, for log lines.
    choice: Option<ChoiceRecord>,
    /// Whether the next repeat is already counted in the retry budget.
    has_reserved_repeat: Cell<bool>,
    ended: bool,
}

impl<D: EdgeDialect> FrontCall<D> {
    /// Creates a call without attempts and counts it in the retry budget of its service.
    pub fn new(state: Rc<TrafficState<D>>, plan: CallPlan) -> Self {
        let service = plan.route.pick_service(state.draw()).clone();
        state.count_call(&service);
        let prompt = plan
            .head
            .shared_prefix()
            .filter(|_| plan.route.cached_prompts);
        let parts = plan.head.shared_parts().filter(|_| prompt.is_some());
        let parts = parts.map(SuspectTag::Part);
        let account = plan.grant.as_ref().map(|grant| &grant.account);
        let call = SuspectTag::Call(plan.head.work_tag(account, &plan.body));
        Self {
            suspects: std::iter::once(call).chain(parts).collect(),
            is_sound: false,
            prompt,
            attempts: CallAttempts::new(plan.route.kind, plan.route.max_attempts),
            progress: RelayProgress::new(plan.head.resume_after),
            service,
            state,
            plan,
            excluded: CallExclusions::default(),
            suspect: Vec::new(),
            first_event: None,
            choice: None,
            has_reserved_repeat: Cell::new(false),
            ended: false,
        }
    }

    /// Makes attempts until one returns a response for the caller.
    pub async fn forward(&mut self) -> Result<UpstreamResponse<D>, CallFailure> {
        loop {
            if let Some(failure) = self.find_hold() {
                return Err(failure);
            }
            let Some(guard) = self.choose_upstream() else {
                let failure = self.declined(self.attempts.exhausted(self.in_time()));
                let limited = self.state.limit_wait(&self.service);
                return Err(match limited {
                    Some(wait) if failure == CallFailure::NotRun && self.in_time() => {
                        CallFailure::Limited(wait)
                    }
                    _ => failure,
                });
            };
            let started = self.state.now();
            let key = guard.key;
            self.choice = Some(ChoiceRecord {
                upstream: guard.entry.id.clone(),
                load: guard.load,
                view_age_ms: self.state.store_age_ms(),
                reused: false,
                cache_source: None,
                partial_bytes: 0,
            });
            let entry = Arc::clone(&guard.entry);
            let is_replacement = self.has_reserved_repeat.get();
            let result = self.attempt(guard).await;
            if is_replacement {
                self.log_replacement(result.as_ref().err().copied(), started);
            }
            match result {
                Ok(response) => return Ok(response),
                Err(fault) => {
                    self.record_crash(&entry, fault).await;
                    match self.handle_fault(key, fault, started) {
                        NextStep::Retry => {}
                        NextStep::Fail(failure) => return Err(self.declined(failure)),
                    }
                }
            }
        }
    }

    /// Returns the failure to report for a call that ends with `failure`. If the call did not run and
    /// all upstreams leave or want no requests, it tells the caller when to return.
    fn declined(&self, failure: CallFailure) -> CallFailure {
        if failure != CallFailure::NotRun || !self.in_time() {
            return failure;
        }
        let wait = self.state.declined_wait(&self.service);
        wait.map_or(failure, CallFailure::Declined)
    }

    /// Returns the next events of a stream, or `None` at its end. If the upstream fails and the
    /// route allows a repeat, the stream is resumed at another upstream.
    pub async fn next_events(
        &mut self,
        stream: &mut Option<OpenStream<D>>,
    ) -> Result<Option<Bytes>, CallFailure> {
        loop {
            let Some(open) = stream.as_mut() else {
                return Ok(None);
            };
            let first = std::mem::take(&mut open.first);
            if !first.is_empty() {
                return Ok(Some(self.relay(first)));
            }
            if open.ended {
                self.record_complete();
                if let Some(open) = stream.take() {
                    self.state.record_success(open.source.guard.key);
                    self.release(open.source);
                }
                return Ok(None);
            }
            let started = self.state.now();
            let key = open.source.guard.key;
            match self
                .read_events(
                    &mut open.source,
                    WaitLimits::for_next_event(&self.plan.route),
                )
                .await
            {
                Ok((events, ended)) => {
                    open.ended = ended;
                    if !events.is_empty() {
                        self.record_sound();
                        return Ok(Some(self.relay(events)));
                    }
                }
                Err(fault) => {
                    let fault = fault.after_events();
                    let entry = Arc::clone(&open.source.guard.entry);
                    // Closes the connection, so that the upstream stops running the call
                    // before another one continues it.
                    *stream = None;
                    self.record_crash(&entry, fault).await;
                    match self.handle_fault(key, fault, started) {
                        NextStep::Fail(failure) => return Err(failure),
                        NextStep::Retry => *stream = Some(self.resume().await?),
                    }
                }
            }
        }
    }

    /// Reads a stream to its end, as [`FrontCall::next_events`] does.
    pub async fn collect_events(
        &mut self,
        mut stream: OpenStream<D>,
    ) -> Result<FullResponse, CallFailure> {
        let status = stream.status;
        let headers = std::mem::take(&mut stream.headers);
        let mut reservation = self.state.body_budget.open();
        let mut body = BytesMut::new();
        let mut source = Some(stream);
        while let Some(events) = self.next_events(&mut source).await? {
            if !reservation.grow_to(body.len() + events.len()) {
                return Err(CallFailure::Unknown);
            }
            body.extend_from_slice(&events);
        }
        Ok(FullResponse {
            status,
            headers,
            body: body.freeze(),
        })
    }

    /// Continues a stream at another upstream.
    async fn resume(&mut self) -> Result<OpenStream<D>, CallFailure> {
        self.excluded.remove_expired(self.state.now());
        match self.forward().await? {
            UpstreamResponse::Stream(open) => Ok(*open),
            UpstreamResponse::Full(_) => Err(CallFailure::Unknown),
        }
    }

    /// Records that events go to the caller and returns their bytes.
    fn relay(&mut self, events: EventBatch) -> Bytes {
        if self.first_event.is_none() {
            self.record_first_event();
        }
        self.progress.relay(events)
    }

    fn record_first_event(&mut self) {
        self.attempts.mark_streaming();
        let now = self.state.now();
        self.first_event = Some(now);
        self.state
            .telemetry
            .first_event_seconds
            .observe(now.since(self.plan.began).as_secs_f64());
    }

    /// Records the outcome of the call in the log and the metrics. Log lines of answered calls with
    /// a status below 500 are rate limited.
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
        let is_success = outcome == "answered" && status < 500;
        // The line of a held call is `call-held`.
        let is_unlogged = match outcome {
            "held" => true,
            "limited" | "declined" => !self.state.may_log_refusal(),
            _ => is_success && !self.state.may_log_call(),
        };
        if is_unlogged {
            return;
        }
        let first = self.first_event.unwrap_or_default().since(self.plan.began);
        let verdict = match outcome {
            "answered" => RunVerdict::Ran,
            _ => self.attempts.verdict(),
        };
        let account = self.plan.grant.as_ref();
        spdlog::info!("call", kv: {
            id: = self.request_id(), outcome: = outcome, status: = status, kind: = kind,
            route: = self.plan.route.name, service: = self.service, rank: = self.rank(),
            account: = account.map_or("none", |grant| grant.account.as_str()),
            ms: = spent.as_millis(), first_ms: = first.as_millis(),
            events: = self.progress.event_count(), choice: = self.choice_text(),
            failed: = self.attempts.arrivals(), verdict:? = verdict,
            config: = self.plan.table.version
        });
    }

    fn request_id(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.plan.head.request_id)
    }

    fn choice_text(&self) -> String {
        let choice = self.choice.as_ref();
        choice.map_or_else(|| "none".to_owned(), ToString::to_string)
    }

    fn choose_upstream(&self) -> Option<UpstreamGuard<D>> {
        self.state.pick(
            &self.plan.table,
            &self.service,
            self.prompt,
            &self.excluded.keys(),
            &self.suspect,
        )
    }

    /// Returns the time until the deadline of the call.
    pub fn time_left(&self) -> Duration {
        self.plan.deadline.since(self.state.now())
    }

    fn in_time(&self) -> bool {
        !self.time_left().is_zero()
    }

    /// Records a fault of an attempt that began at `started`, and decides whether to retry.
    fn handle_fault(
        &mut self,
        key: UpstreamKey,
        fault: AttemptFault,
        started: MonoTime,
    ) -> NextStep {
        let silent = !self.state.active_after(key, started);
        self.state.record_failure(key, fault, silent);
        match fault {
            // An idle connection that closed before the request was written does not show that
            // the upstream is faulty.
            AttemptFault::Unsent => {}
            _ if fault.verdict() == RunVerdict::NotRun => {
                self.excluded.insert(key, self.state.now());
            }
            _ => self.suspect.push(key),
        }
        let in_time = self.in_time();
        let affordable = (self.has_reserved_repeat.get() || self.state.affordable(&self.service))
            && self.progress.can_continue()
            && self.state.board.suspects().may_repeat(&self.suspects);
        let step = self.attempts.record_fault(fault, in_time, affordable);
        spdlog::info!("attempt-failed", kv: {
            id: = self.request_id(), fault: = fault.label(), code:? = fault,
            verdict:? = self.attempts.verdict(), choice: = self.choice_text(),
            events: = self.progress.event_count(),
            partial_bytes: = self.choice.as_ref().map_or(0, |choice| choice.partial_bytes),
            alone: = silent, in_time: = in_time, affordable: = affordable, next:? = step,
            ms: = self.state.now().since(started).as_millis(), config: = self.plan.table.version
        });
        step
    }

    /// Records what became of a call at the upstream that was chosen because nothing came from the
    /// one before.
    fn log_replacement(&self, fault: Option<AttemptFault>, started: MonoTime) {
        let outcome = match fault {
            None => "accepted",
            Some(fault) if fault.verdict() == RunVerdict::NotRun => "refused",
            Some(_) => "failed",
        };
        let telemetry = &self.state.telemetry;
        telemetry.replacements.with_label_values(&[outcome]).inc();
        spdlog::info!("replacement", kv: {
            id: = self.request_id(), outcome: = outcome, choice: = self.choice_text(),
            fault: = fault.map_or("none", AttemptFault::label), events: = self.progress.event_count(),
            ms: = self.state.now().since(started).as_millis()
        });
    }

    /// Takes the right to repeat the call at another upstream, before the attempt at `key` is given
    /// up only because nothing has come from it. Returns false if the call can't be repeated: the
    /// upstream may just be slow, so the attempt must go on.
    fn reserve_repeat(&self, key: UpstreamKey) -> bool {
        let can_repeat = self.in_time()
            && self.state.affordable(&self.service)
            && self.state.board.suspects().may_repeat(&self.suspects)
            && self.has_alternative(key);
        if can_repeat {
            self.state.count_repeat(&self.service);
            self.has_reserved_repeat.set(true);
        }
        can_repeat
    }

    /// Returns whether an upstream other than `key` can take the call that has not failed it yet.
    fn has_alternative(&self, key: UpstreamKey) -> bool {
        let mut excluded = self.excluded.keys();
        excluded.extend(&self.suspect);
        excluded.push(key);
        self.state
            .has_candidate(&self.plan.table, &self.service, &excluded)
    }

    fn update_choice<F: FnOnce(&mut ChoiceRecord)>(&mut self, change: F) {
        if let Some(choice) = &mut self.choice {
            change(choice);
        }
    }

    fn rank(&self) -> PriorityRank {
        let account_rank = self.plan.grant.as_ref().and_then(|grant| grant.rank);
        account_rank.unwrap_or(self.plan.route.rank)
    }
}

impl<D: EdgeDialect> Drop for FrontCall<D> {
    fn drop(&mut self) {
        if !self.ended {
            self.finish("caller-left", 0);
        }
    }
}
