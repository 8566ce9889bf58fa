//! Replaces an attempt from which nothing comes by one at another upstream.
//!
//! The silent attempt goes on until the response of the other one has begun: its upstream may only be
//! slow, and the other upstream may refuse the call, fail or be silent as well.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use super::FrontCall;
use super::upstream_attempt::{AttemptRole, UpstreamAttempt};
use crate::dialect::EdgeDialect;
use crate::forward::attempt_record::AttemptRecord;
use crate::forward::traffic_state::UpstreamGuard;
use crate::forward::upstream_response::UpstreamResponse;
use crate::forward::wait_limits::{SilenceChecks, WaitLimits};
use crate::ids::UpstreamKey;
use crate::policy::call_attempts::{AttemptFault, RunVerdict};
use crate::policy::suspect_work::suspect_time;

/// Longest time for which a call is at two upstreams. A request that another upstream still works on
/// after 400 ms counts as run twice.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(300);

/// Bounds of the silence after which an upstream counts as gone: half of the time that the call has,
/// so that the rest suffices for another one. A sound upstream may send nothing for a second or so.
const MIN_SILENCE: Duration = Duration::from_millis(1500);
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Upstreams that are tried one after the other for a replacement, while none of them receives the
/// call.
const MAX_UNSENT_OFFERS: u32 = 4;

/// An attempt in progress.
pub(super) struct RunningAttempt<F> {
    pub record: Rc<AttemptRecord>,
    pub response: Pin<Box<F>>,
}

/// How the wait for an attempt ended.
pub(super) enum AttemptEnd<D: EdgeDialect, T, F> {
    /// By itself.
    Ended(Result<T, AttemptFault>),
    /// Another attempt has a response.
    Answered(Rc<AttemptRecord>, UpstreamResponse<D>),
    /// Another attempt goes on in its place.
    Replaced(RunningAttempt<F>),
}

/// How an offer of the call to another upstream ended.
enum OfferEnd<D: EdgeDialect, T, F> {
    /// The upstream did not receive the call.
    Unsent,
    /// The upstream did not take the call; the first attempt goes on.
    Declined,
    /// One of the two attempts is left.
    Decided(AttemptEnd<D, T, F>),
}

/// What became of a replacement, for logs and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReplacementOutcome {
    /// It took the place of the first attempt.
    Accepted,
    /// Its upstream did not run the call.
    Refused,
    /// It failed after its upstream may have run the call.
    Failed,
    /// Nothing came from its upstream in time.
    Unheard,
    /// The first attempt went on before it.
    Superseded,
}

impl ReplacementOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Unheard => "unheard",
            Self::Superseded => "superseded",
        }
    }
}

/// Marks an attempt as contested by another one until it is dropped.
struct ContestGuard<'a>(&'a Cell<bool>);

impl<'a> ContestGuard<'a> {
    fn new(is_contested: &'a Cell<bool>) -> Self {
        is_contested.set(true);
        Self(is_contested)
    }
}

impl Drop for ContestGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

impl<D: EdgeDialect> FrontCall<D> {
    /// Waits for `current`, the work of the attempt `record`, until the deadline of the call. If
    /// nothing has come from the upstream for `limits.silent`, or for `limits.active` while no calls
    /// are queued there, the call is offered to other upstreams meanwhile.
    pub(super) async fn supervise<T, C, F, M>(
        &mut self,
        record: &AttemptRecord,
        limits: WaitLimits,
        mut current: Pin<&mut C>,
        respond: M,
    ) -> AttemptEnd<D, T, F>
    where
        C: Future<Output = Result<T, AttemptFault>>,
        F: Future<Output = Result<UpstreamResponse<D>, AttemptFault>>,
        M: Fn(UpstreamAttempt<D>) -> F,
    {
        let mut checks = SilenceChecks::new(limits);
        loop {
            let now = self.state.now();
            if now >= self.plan.deadline {
                let is_sent = record.wait.sent().is_some();
                return AttemptEnd::Ended(Err(if is_sent {
                    AttemptFault::Silent
                } else {
                    AttemptFault::Unsent
                }));
            }
            let since = record.wait.since().filter(|_| self.can_be_repeated());
            let check_at = since.map(|since| {
                let check_at = checks.next_at(since, now);
                // Comments end a look at the stream, but not its wait.
                let checked = self
                    .checked_at
                    .filter(|&at| checks.count() == 0 && at >= since);
                checked.map_or(check_at, |at| check_at.max(at + limits.active))
            });
            let wait_until = check_at.map_or(self.plan.deadline, |at| at.min(self.plan.deadline));
            tokio::select! {
                biased;
                result = current.as_mut() => return AttemptEnd::Ended(result),
                () = record.wait.changed() => continue,
                () = tokio::time::sleep(wait_until.since(now)) => {}
            }
            let Some(since) = since.filter(|_| self.in_time()) else {
                continue;
            };
            let is_silent = !self.state.active_after(record.key(), since);
            if is_silent {
                self.state.record_silence(record.key());
            }
            // While calls are queued at the upstream, this one may be among them, so a missing
            // response to it does not show a fault.
            let is_overdue = checks.count() > 0 && !self.state.is_queued(record.key());
            checks.pass();
            self.checked_at = Some(self.state.now());
            if (is_silent || is_overdue)
                && let Some(end) = self.replace(record, current.as_mut(), &respond).await
            {
                return end;
            }
        }
    }

    /// Returns whether another upstream could give what the caller has not received yet.
    fn can_be_repeated(&self) -> bool {
        self.plan.route.kind.repeatable() && self.progress.can_continue()
    }

    /// Returns whether nothing has come for an attempt for so long that its upstream counts as gone.
    fn is_gone(&self, record: &AttemptRecord) -> bool {
        let half = self.plan.deadline.since(self.plan.began) / 2;
        let limit = half.clamp(MIN_SILENCE, MAX_SILENCE);
        self.state.now().since(record.silent_since()) >= limit
    }

    /// Offers the call to other upstreams until one receives it. Returns `None` if the first attempt
    /// goes on.
    async fn replace<T, C, F, M>(
        &mut self,
        first: &AttemptRecord,
        mut current: Pin<&mut C>,
        respond: &M,
    ) -> Option<AttemptEnd<D, T, F>>
    where
        C: Future<Output = Result<T, AttemptFault>>,
        F: Future<Output = Result<UpstreamResponse<D>, AttemptFault>>,
        M: Fn(UpstreamAttempt<D>) -> F,
    {
        for _ in 0..MAX_UNSENT_OFFERS {
            let guard = self.choose_replacement(first)?;
            let attempt = self.new_attempt(guard, AttemptRole::Replacement);
            let second = RunningAttempt {
                record: Rc::clone(&attempt.record),
                response: Box::pin(respond(attempt)),
            };
            match self.offer(first, current.as_mut(), second).await {
                OfferEnd::Unsent => {}
                OfferEnd::Declined => return None,
                OfferEnd::Decided(end) => return Some(end),
            }
        }
        None
    }

    /// Chooses an upstream beside that of `first`, if the call may be repeated now. One that had the
    /// call is chosen only if no other one may receive it and `first` is gone.
    fn choose_replacement(&mut self, first: &AttemptRecord) -> Option<UpstreamGuard<D>> {
        let is_sound = {
            let suspects = self.state.board.suspects();
            let now = suspect_time(self.state.now());
            suspects.may_repeat(&self.suspects) && !suspects.is_held(&self.suspects, now)
        };
        if !is_sound || !self.in_time() || !self.state.affordable(&self.service) {
            return None;
        }
        self.excluded.remove_expired(self.state.now());
        let pick = |excluded: &[UpstreamKey]| {
            let plan = &self.plan;
            self.state.pick(
                &plan.table,
                &self.service,
                self.prompt,
                excluded,
                &[],
                self.version,
            )
        };
        let mut excluded = self.excluded.keys();
        excluded.push(first.key());
        if self.attempts.may_add_beside() {
            let others = [&excluded[..], &self.suspect].concat();
            if let Some(guard) = pick(&others) {
                return Some(guard);
            }
        } else if self.unheard.is_empty() {
            return None;
        } else {
            excluded.extend(self.keys_but_unheard());
        }
        if !self.is_gone(first) {
            return None;
        }
        pick(&excluded)
    }

    /// Waits until one of two attempts is left, for [`ACCEPT_TIMEOUT`] at most after the second one
    /// was sent. Then the first one is kept, unless it has waited for too long.
    async fn offer<T, C, F>(
        &mut self,
        first: &AttemptRecord,
        mut current: Pin<&mut C>,
        mut second: RunningAttempt<F>,
    ) -> OfferEnd<D, T, F>
    where
        C: Future<Output = Result<T, AttemptFault>>,
        F: Future<Output = Result<UpstreamResponse<D>, AttemptFault>>,
    {
        let _contest = ContestGuard::new(&first.is_contested);
        loop {
            let sent = second.record.wait.sent();
            let due = sent.map_or(self.plan.deadline, |sent| sent + ACCEPT_TIMEOUT);
            let wait = due.min(self.plan.deadline).since(self.state.now());
            tokio::select! {
                biased;
                result = current.as_mut() => {
                    return OfferEnd::Decided(self.end_by_first(first, result, second).await);
                }
                result = second.response.as_mut() => {
                    return self.end_by_second(first, second.record, result).await;
                }
                () = second.record.wait.changed() => {}
                () = tokio::time::sleep(wait) => {
                    if sent.is_some() && self.in_time() && self.is_gone(first) {
                        return OfferEnd::Decided(self.accept(first, second));
                    }
                    self.log_replacement(&second.record, ReplacementOutcome::Unheard, None);
                    self.end_unfinished(&second.record);
                    return OfferEnd::Declined;
                }
            }
        }
    }

    /// Ends an offer because the first attempt has ended: the second one goes on only if the first
    /// one failed.
    async fn end_by_first<T, F>(
        &mut self,
        first: &AttemptRecord,
        result: Result<T, AttemptFault>,
        second: RunningAttempt<F>,
    ) -> AttemptEnd<D, T, F> {
        match result {
            Ok(value) => {
                self.log_replacement(&second.record, ReplacementOutcome::Superseded, None);
                self.end_unfinished(&second.record);
                AttemptEnd::Ended(Ok(value))
            }
            // Whether the call is repeated is decided as if there were no other attempt.
            Err(fault) if second.record.wait.sent().is_none() => AttemptEnd::Ended(Err(fault)),
            Err(fault) => {
                self.record_crash(&first.entry, fault).await;
                self.log_replacement(&second.record, ReplacementOutcome::Accepted, None);
                self.forget_unheard(first.key(), fault);
                let silent = self.record_fault(first, fault);
                self.attempts.record_beside(fault.verdict());
                self.log_fault(first, fault, silent, "Replaced");
                second.record.has_fallback.set(false);
                AttemptEnd::Replaced(second)
            }
        }
    }

    /// Ends an offer because the second attempt has a response or has failed.
    async fn end_by_second<T, F>(
        &mut self,
        first: &AttemptRecord,
        second: Rc<AttemptRecord>,
        result: Result<UpstreamResponse<D>, AttemptFault>,
    ) -> OfferEnd<D, T, F> {
        let fault = match result {
            Ok(response) => {
                self.log_replacement(&second, ReplacementOutcome::Accepted, None);
                self.end_silent(first);
                return OfferEnd::Decided(AttemptEnd::Answered(second, response));
            }
            Err(fault) => fault,
        };
        self.record_crash(&second.entry, fault).await;
        let outcome = if fault.verdict() == RunVerdict::NotRun {
            ReplacementOutcome::Refused
        } else {
            ReplacementOutcome::Failed
        };
        self.log_replacement(&second, outcome, Some(fault));
        self.forget_unheard(second.key(), fault);
        self.record_fault(&second, fault);
        self.attempts.record_beside(fault.verdict());
        if fault.arrived() {
            OfferEnd::Declined
        } else {
            OfferEnd::Unsent
        }
    }

    /// Gives the first attempt up for the second one, which goes on.
    fn accept<T, F>(
        &mut self,
        first: &AttemptRecord,
        second: RunningAttempt<F>,
    ) -> AttemptEnd<D, T, F> {
        self.log_replacement(&second.record, ReplacementOutcome::Accepted, None);
        self.end_silent(first);
        second.record.has_fallback.set(false);
        AttemptEnd::Replaced(second)
    }

    /// Records that an attempt is given up because nothing comes from its upstream.
    fn end_silent(&mut self, record: &AttemptRecord) {
        let fault = if self.progress.has_begun() {
            AttemptFault::Stalled
        } else {
            AttemptFault::Silent
        };
        let silent = self.is_silent(record);
        if silent {
            // The health of the upstream knows of the silence already.
            self.state.count_fault(fault);
        } else {
            self.state.record_failure(record.key(), fault, silent);
        }
        self.add_unheard(record.key());
        self.log_fault(record, fault, silent, "Replaced");
    }

    /// Records that an attempt is ended before its upstream has answered.
    fn end_unfinished(&mut self, record: &AttemptRecord) {
        if record.wait.sent().is_some() {
            self.add_unheard(record.key());
        }
    }

    /// Records that an upstream has the call and may receive it once more.
    fn add_unheard(&mut self, key: UpstreamKey) {
        if !self.unheard.contains(&key) {
            self.unheard.push(key);
            self.suspect.push(key);
            self.attempts.record_beside(RunVerdict::MayHaveRun);
            self.attempts.set_may_return(true);
        }
    }

    fn log_replacement(
        &self,
        record: &AttemptRecord,
        outcome: ReplacementOutcome,
        fault: Option<AttemptFault>,
    ) {
        let outcome = outcome.label();
        let telemetry = &self.state.telemetry;
        telemetry.replacements.with_label_values(&[outcome]).inc();
        spdlog::info!("replacement", kv: {
            id: = self.request_id(), outcome: = outcome, choice: = record.choice,
            replaces: = self.choice_text(), fault: = fault.map_or("none", AttemptFault::label),
            events: = self.progress.event_count(),
            ms: = self.state.now().since(record.started).as_millis()
        });
    }
}
