//! One call of a caller: attempts at upstreams until one of them returns a response to pass on.

mod crash_check;
mod replacement;
mod stream_origin;
pub mod stream_source;
mod upstream_attempt;

use std::borrow::Cow;
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::dialect::{EdgeDialect, PromptPrefix};
use crate::forward::attempt_record::AttemptRecord;
use crate::forward::choice_record::ChoiceRecord;
use crate::forward::event_batch::EventBatch;
use crate::forward::relay_progress::RelayProgress;
use crate::forward::traffic_state::{TrafficState, UpstreamGuard};
use crate::forward::upstream_response::{CallPlan, FullResponse, OpenStream, UpstreamResponse};
use crate::forward::wait_clock::WaitClock;
use crate::forward::wait_limits::WaitLimits;
use crate::ids::{ServiceId, StreamTag, SuspectTag, UpstreamKey, UpstreamStart, VersionTag};
use crate::mono::MonoTime;
use crate::policy::call_attempts::{AttemptFault, CallAttempts, CallFailure, NextStep, RunVerdict};
use crate::policy::call_exclusions::CallExclusions;
use crate::policy::spent_attempts::SpentAttempts;

use self::replacement::{AttemptEnd, RunningAttempt};
use self::stream_origin::OriginSource;
use self::upstream_attempt::{AttemptRole, UpstreamAttempt};

/// A call in progress. Dropping it before [`FrontCall::finish`] logs that the caller left.
pub struct FrontCall<D: EdgeDialect> {
    state: Rc<TrafficState<D>>,
    plan: Rc<CallPlan>,
    service: ServiceId,
    attempts: CallAttempts,
    /// Upstreams that provably did not run the call. Only a stream that is resumed later chooses them
    /// again.
    excluded: CallExclusions,
    /// Upstreams that may have run the call and failed. They are chosen again only if no other
    /// upstream is left.
    suspect: Vec<UpstreamKey>,
    /// Upstreams that were given up for their silence. They may have the call again without being more
    /// upstreams than the route allows.
    unheard: Vec<UpstreamKey>,
    /// Upstreams that received the call and did not run it, at this router or one before.
    tried: Vec<UpstreamStart>,
    /// Number of times that this router has sent the call in vain.
    own_sends: u32,
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
    /// The stream that the call begins or takes up.
    stream: StreamTag,
    /// The only software version at which the stream may go on; `None` if it may begin at any.
    version: Option<VersionTag>,
    /// How the version of a stream that is taken up was found; `None` before the search.
    origin: Option<OriginSource>,
    /// Whether the call takes a stream up and this router failed to read the store for it.
    lacks_news: bool,
    first_event: Option<MonoTime>,
    /// When a wait of the call was last checked for silence.
    checked_at: Option<MonoTime>,
    /// The attempt that the response to the caller comes from, or the latest one that failed.
    latest: Option<Rc<AttemptRecord>>,
    ended: bool,
}

impl<D: EdgeDialect> FrontCall<D> {
    /// Creates a call without attempts at this router and counts it in the retry budget of its
    /// service, unless another router has counted it.
    pub fn new(state: Rc<TrafficState<D>>, plan: Rc<CallPlan>) -> Self {
        let service = plan.route.pick_service(state.draw()).clone();
        let spent = state.open_spent(&plan);
        if spent.is_none() {
            state.count_call(&service);
        }
        let spent = spent.unwrap_or_default();
        let excluded = CallExclusions::lasting(state.keys_of(&spent.tried));
        let prompt = plan
            .head
            .shared_prefix()
            .filter(|_| plan.route.cached_prompts);
        let parts = plan.head.shared_parts().filter(|_| prompt.is_some());
        let parts = parts.map(SuspectTag::Part);
        let account = plan.account();
        let first_id = plan.head.resumes.as_ref();
        let first_id = first_id.filter(|_| plan.head.resume_after.is_some());
        let first_id = first_id.unwrap_or(&plan.head.request_id);
        let stream = plan.head.stream_tag(account, first_id);
        let call = SuspectTag::Call(plan.head.work_tag(account, &plan.body));
        Self {
            suspects: std::iter::once(call).chain(parts).collect(),
            is_sound: false,
            prompt,
            attempts: CallAttempts::new(plan.route.kind, plan.route.max_attempts)
                .with_spent(&spent),
            tried: spent.tried,
            own_sends: 0,
            progress: RelayProgress::new(plan.head.resume_after),
            service,
            state,
            plan,
            excluded,
            suspect: Vec::new(),
            unheard: Vec::new(),
            stream,
            version: None,
            origin: None,
            lacks_news: false,
            first_event: None,
            checked_at: None,
            latest: None,
            ended: false,
        }
    }

    /// Makes attempts until one returns a response for the caller.
    pub async fn forward(&mut self) -> Result<UpstreamResponse<D>, CallFailure> {
        if self.origin.is_none() && !self.progress.has_begun() {
            self.find_origin().await?;
        }
        if !self.may_begin() {
            return Err(CallFailure::NotRun);
        }
        loop {
            if let Some(failure) = self.find_hold() {
                return Err(failure);
            }
            // Another router may reach an upstream.
            if self.attempts.verdict() == RunVerdict::NotRun
                && !self.progress.has_begun()
                && self.state.is_stranded()
            {
                return Err(CallFailure::NotRun);
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
            let role = if self.attempts.is_repeat() {
                AttemptRole::Repeat
            } else {
                AttemptRole::First
            };
            let attempt = self.new_attempt(guard, role);
            let running = RunningAttempt {
                record: Rc::clone(&attempt.record),
                response: Box::pin(attempt.respond()),
            };
            match self.see_through(running, UpstreamAttempt::respond).await {
                Ok(response) => return Ok(response),
                Err(NextStep::Retry) => {}
                Err(NextStep::Fail(failure)) => return Err(self.declined(failure)),
            }
        }
    }

    /// Returns whether the first attempt of this router may be made: it is a repeat if another router
    /// has sent the call before.
    fn may_begin(&self) -> bool {
        if self.latest.is_some() {
            return true;
        }
        let is_affordable = !self.attempts.is_repeat() || self.state.affordable(&self.service);
        self.attempts.may_begin() && is_affordable
    }

    /// Returns what the attempts of the call have used up.
    pub fn spent(&self) -> SpentAttempts {
        SpentAttempts {
            tried: self.tried.clone(),
            ..self.attempts.spent()
        }
    }

    /// Returns how often this router has sent the call in vain.
    pub fn own_sends(&self) -> u32 {
        self.own_sends
    }

    fn new_attempt(&self, guard: UpstreamGuard<D>, role: AttemptRole) -> UpstreamAttempt<D> {
        let choice = ChoiceRecord {
            upstream: guard.entry.id.clone(),
            version: guard.entry.version.clone(),
            load: guard.load,
            view_age_ms: self.state.store_age_ms(),
            reused: Cell::new(false),
            cache_source: guard.cache_source,
            partial_bytes: Cell::new(0),
        };
        let is_replacement = role == AttemptRole::Replacement;
        let record = AttemptRecord {
            entry: Arc::clone(&guard.entry),
            choice,
            started: self.state.now(),
            wait: WaitClock::default(),
            has_fallback: Cell::new(is_replacement),
            is_contested: Cell::new(false),
        };
        UpstreamAttempt {
            state: Rc::clone(&self.state),
            plan: Rc::clone(&self.plan),
            service: self.service.clone(),
            guard,
            record: Rc::new(record),
            role,
            may_repeat: if is_replacement {
                self.attempts.may_repeat_replacement()
            } else {
                self.attempts.may_repeat()
            },
            progress: self.progress.clone(),
        }
    }

    /// Waits for the response of an attempt, or of the attempt that takes its place.
    async fn see_through<F, M>(
        &mut self,
        mut running: RunningAttempt<F>,
        respond: M,
    ) -> Result<UpstreamResponse<D>, NextStep>
    where
        F: Future<Output = Result<UpstreamResponse<D>, AttemptFault>>,
        M: Fn(UpstreamAttempt<D>) -> F,
    {
        let limits = self.first_response_limits();
        loop {
            let record = Rc::clone(&running.record);
            self.latest = Some(Rc::clone(&record));
            let response = running.response.as_mut();
            match self.supervise(&record, limits, response, &respond).await {
                AttemptEnd::Ended(Ok(response)) => return Ok(self.receive(record, response)),
                AttemptEnd::Answered(record, response) => {
                    return Ok(self.receive(record, response));
                }
                AttemptEnd::Replaced(next) => running = next,
                AttemptEnd::Ended(Err(fault)) => {
                    // Closes the connection, so that the upstream stops running the call.
                    drop(running);
                    self.record_crash(&record.entry, fault).await;
                    return Err(self.handle_fault(&record, fault));
                }
            }
        }
    }

    fn first_response_limits(&self) -> WaitLimits {
        let limits = WaitLimits::for_first_response(&self.plan.route);
        if self.prompt.is_some() && self.state.shares_hosts(&self.service) {
            let parts = self.plan.head.prompt.iter();
            let tokens = parts.fold(0, |sum: u32, part| sum.saturating_add(part.tokens));
            limits.with_prompt(tokens)
        } else {
            limits
        }
    }

    /// Records that the response of an attempt goes to the caller.
    fn receive(
        &mut self,
        record: Rc<AttemptRecord>,
        response: UpstreamResponse<D>,
    ) -> UpstreamResponse<D> {
        self.latest = Some(record);
        if matches!(response, UpstreamResponse::Full(_)) {
            self.record_complete();
        }
        response
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
                let version = open.source.guard.entry.version_tag();
                return Ok(Some(self.relay(first, version)));
            }
            if open.ended {
                self.record_complete();
                if let Some(open) = stream.take() {
                    self.state.record_success(open.source.guard.key);
                    open.source.release();
                }
                return Ok(None);
            }
            let record = Rc::clone(&open.source.record);
            let limits = WaitLimits::for_next_event(&self.plan.route);
            let end = {
                let events = pin!(open.source.read_events());
                self.supervise(&record, limits, events, UpstreamAttempt::respond)
                    .await
            };
            match end {
                AttemptEnd::Ended(Ok((events, ended))) => {
                    open.ended = ended;
                    if !events.is_empty() {
                        self.record_sound();
                        let version = open.source.guard.entry.version_tag();
                        return Ok(Some(self.relay(events, version)));
                    }
                }
                AttemptEnd::Ended(Err(fault)) => {
                    let fault = fault.after_events();
                    // Closes the connection, so that the upstream stops running the call
                    // before another one continues it.
                    *stream = None;
                    self.record_crash(&record.entry, fault).await;
                    match self.handle_fault(&record, fault) {
                        NextStep::Fail(failure) => return Err(failure),
                        NextStep::Retry => *stream = Some(self.resume().await?),
                    }
                }
                AttemptEnd::Answered(record, response) => {
                    let response = self.receive(record, response);
                    *stream = Some(continued_stream(response)?);
                }
                AttemptEnd::Replaced(next) => {
                    *stream = None;
                    *stream = Some(self.resume_with(next, UpstreamAttempt::respond).await?);
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
        let state = Rc::clone(&self.state);
        let mut source = Some(stream);
        let next = async || self.next_events(&mut source).await;
        let body = state.body_budget.read_body(next, CallFailure::Unknown);
        Ok(FullResponse {
            status,
            headers,
            body: body.await?,
        })
    }

    /// Continues a stream at another upstream.
    async fn resume(&mut self) -> Result<OpenStream<D>, CallFailure> {
        self.excluded.remove_expired(self.state.now());
        continued_stream(self.forward().await?)
    }

    /// Continues a stream with an attempt that runs already.
    async fn resume_with<F, M>(
        &mut self,
        running: RunningAttempt<F>,
        respond: M,
    ) -> Result<OpenStream<D>, CallFailure>
    where
        F: Future<Output = Result<UpstreamResponse<D>, AttemptFault>>,
        M: Fn(UpstreamAttempt<D>) -> F,
    {
        match self.see_through(running, respond).await {
            Ok(response) => continued_stream(response),
            Err(NextStep::Retry) => self.resume().await,
            Err(NextStep::Fail(failure)) => Err(failure),
        }
    }

    /// Records that events of a software version go to the caller and returns their bytes.
    fn relay(&mut self, events: EventBatch, version: VersionTag) -> Bytes {
        if self.first_event.is_none() {
            self.record_first_event();
            self.bind_version(version);
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
            route: = self.plan.route.name, service: = self.service, rank: = self.plan.rank(),
            account: = account.map_or("none", |grant| grant.account.as_str()),
            resumes: = self.resumed_id(),
            origin: = self.origin.map_or("none", OriginSource::label),
            ms: = spent.as_millis(), first_ms: = first.as_millis(),
            events: = self.progress.event_count(), choice: = self.choice_text(),
            failed: = self.attempts.arrivals(), verdict:? = verdict,
            config: = self.plan.table.version
        });
    }

    /// Whether the call takes a stream up that a router which reads the store may know.
    pub fn lacks_news(&self) -> bool {
        self.lacks_news
    }

    fn request_id(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.plan.head.request_id)
    }

    /// The call that began the stream which this one takes up, for the log.
    fn resumed_id(&self) -> Cow<'_, str> {
        let resumes = self.plan.head.resumes.as_deref();
        resumes.map_or(Cow::Borrowed("none"), String::from_utf8_lossy)
    }

    fn choice_text(&self) -> String {
        let latest = self.latest.as_ref();
        latest.map_or_else(|| "none".to_owned(), |latest| latest.choice.to_string())
    }

    fn choose_upstream(&self) -> Option<UpstreamGuard<D>> {
        let mut excluded = self.excluded.keys();
        if !self.attempts.may_add() {
            excluded.extend(self.keys_but_unheard());
        }
        self.state.pick(
            &self.plan.table,
            &self.service,
            self.prompt,
            &excluded,
            &self.suspect,
            self.version,
        )
    }

    /// Returns the upstreams other than those that may have the call again.
    fn keys_but_unheard(&self) -> Vec<UpstreamKey> {
        let upstreams = self.state.board.upstreams.load();
        let keys = upstreams.iter().map(|entry| entry.id.key());
        keys.filter(|key| !self.unheard.contains(key)).collect()
    }

    /// Returns the time until the deadline of the call.
    pub fn time_left(&self) -> Duration {
        self.plan.deadline.since(self.state.now())
    }

    fn in_time(&self) -> bool {
        !self.time_left().is_zero()
    }

    /// Returns whether the upstream of an attempt has sent nothing on any call since the attempt
    /// began to wait.
    fn is_silent(&self, record: &AttemptRecord) -> bool {
        !self
            .state
            .active_after(record.key(), record.waiting_since())
    }

    /// Records the fault of an attempt. Returns whether its upstream is silent.
    fn record_fault(&mut self, record: &AttemptRecord, fault: AttemptFault) -> bool {
        let key = record.key();
        if fault == AttemptFault::WrongInstance {
            let reused = record.choice.reused.get();
            self.state.record_wrong_instance(&record.entry, reused);
        }
        let silent = self.is_silent(record);
        self.state.record_failure(key, fault, silent);
        self.own_sends += u32::from(fault.arrived());
        if fault.arrived() && fault.verdict() == RunVerdict::NotRun {
            self.tried.push(record.entry.start());
        }
        match fault {
            // An idle connection that closed before the request was written does not show that
            // the upstream is faulty.
            AttemptFault::Unsent => {}
            _ if fault.verdict() == RunVerdict::NotRun => {
                self.excluded.insert(key, self.state.now());
            }
            _ => self.suspect.push(key),
        }
        silent
    }

    /// Records that an upstream has failed, if it had the call once more.
    fn forget_unheard(&mut self, key: UpstreamKey, fault: AttemptFault) {
        if fault.verdict() != RunVerdict::NotRun && self.unheard.contains(&key) {
            self.unheard.retain(|unheard| *unheard != key);
            self.attempts.forget_arrival();
            self.attempts.set_may_return(!self.unheard.is_empty());
        }
    }

    /// Records the fault of the only attempt that ran, and decides whether to retry.
    fn handle_fault(&mut self, record: &AttemptRecord, fault: AttemptFault) -> NextStep {
        self.forget_unheard(record.key(), fault);
        let silent = self.record_fault(record, fault);
        let affordable = self.state.affordable(&self.service)
            && self.progress.can_continue()
            && self.state.board.suspects().may_repeat(&self.suspects);
        let step = self
            .attempts
            .record_fault(fault, self.in_time(), affordable);
        self.log_fault(record, fault, silent, &format!("{step:?}"));
        step
    }

    fn log_fault(&self, record: &AttemptRecord, fault: AttemptFault, silent: bool, next: &str) {
        spdlog::info!("attempt-failed", kv: {
            id: = self.request_id(), fault: = fault.label(), code:? = fault,
            verdict:? = self.attempts.verdict(), choice: = record.choice,
            events: = self.progress.event_count(),
            partial_bytes: = record.choice.partial_bytes.get(), resumes: = self.resumed_id(),
            alone: = silent, in_time: = self.in_time(),
            affordable: = self.state.affordable(&self.service), next: = next,
            ms: = self.state.now().since(record.waiting_since()).as_millis(),
            config: = self.plan.table.version
        });
    }
}

/// Returns the stream with which a call goes on that has begun as a stream.
fn continued_stream<D: EdgeDialect>(
    response: UpstreamResponse<D>,
) -> Result<OpenStream<D>, CallFailure> {
    match response {
        UpstreamResponse::Stream(open) => Ok(*open),
        UpstreamResponse::Full(_) => Err(CallFailure::Unknown),
    }
}

impl<D: EdgeDialect> Drop for FrontCall<D> {
    fn drop(&mut self) {
        if !self.ended {
            self.finish("caller-left", 0);
        }
    }
}
