//! Tracks an upstream's health from the outcomes of this router's own calls.

use std::time::Duration;

use crate::mono::MonoTime;
use crate::policy::call_attempts::AttemptFault;

/// First backoff after an upstream could not be reached.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Longest backoff, and so the longest time that an upstream that is available again waits for its
/// next call.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Weight of the newest outcome in the moving average of failures, which thus covers about the last
/// eight outcomes.
const OUTCOME_WEIGHT: f64 = 0.125;

/// Failure share above which an upstream is suspect. A healthy service may fail one call in seven
/// for reasons of its own.
const SUSPECT_SHARE: f64 = 0.4;

/// Time after the last failure at which the failure share is disregarded, so that an upstream that
/// was avoided gets calls again.
const FAILURE_EXPIRY: Duration = Duration::from_secs(3);

/// Health of one upstream as seen by this router.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    /// Exponential moving average of failures.
    ///
    /// Invariant: between 0 and 1.
    failure_share: f64,
    last_failure: Option<MonoTime>,
    last_activity: Option<MonoTime>,
    backoff: Duration,
    backoff_until: Option<MonoTime>,
}

impl UpstreamHealth {
    /// Records that a response or a part of one arrived, whatever its status, and ends the backoff.
    pub fn record_activity(&mut self, now: MonoTime) {
        self.last_activity = Some(now);
        self.backoff = Duration::ZERO;
        self.backoff_until = None;
    }

    /// Records a call that succeeded.
    pub fn record_success(&mut self, now: MonoTime) {
        self.record_activity(now);
        self.failure_share *= 1.0 - OUTCOME_WEIGHT;
    }

    /// Records a call that failed after it was written.
    pub fn record_failure(&mut self, now: MonoTime) {
        self.failure_share += (1.0 - self.failure_share) * OUTCOME_WEIGHT;
        self.last_failure = Some(now);
    }

    /// Records a failed attempt. `silent` is true if the upstream sent nothing on any call since the
    /// attempt began; after a timeout it then counts as unreachable.
    pub fn record_fault(&mut self, fault: AttemptFault, silent: bool, now: MonoTime) {
        match fault {
            AttemptFault::Unreachable | AttemptFault::Refused | AttemptFault::WrongInstance => {
                self.mark_unreachable(now);
            }
            AttemptFault::Silent | AttemptFault::Stalled if silent => self.mark_unreachable(now),
            _ if fault.is_upstream_failure() => self.record_failure(now),
            _ => {}
        }
    }

    /// Records that no connection could be made, or that the upstream responds to nothing that is
    /// sent to it, and doubles the backoff.
    pub fn mark_unreachable(&mut self, now: MonoTime) {
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.backoff_until = Some(now + self.backoff);
        self.last_failure = Some(now);
    }

    /// Returns whether the upstream is in backoff after it was unreachable.
    pub fn in_backoff(&self, now: MonoTime) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Returns the failure share, or 0 if the last failure has expired.
    pub fn failure_share(&self, now: MonoTime) -> f64 {
        let recent = self
            .last_failure
            .is_some_and(|at| now.since(at) <= FAILURE_EXPIRY);
        if recent { self.failure_share } else { 0.0 }
    }

    /// Returns whether the upstream fails significantly more often than the upstreams of its
    /// service do on average; `mean_share` is their mean failure share.
    pub fn is_suspect(&self, mean_share: f64, now: MonoTime) -> bool {
        let share = self.failure_share(now);
        share > SUSPECT_SHARE && share > 2.0 * mean_share
    }

    /// Returns whether any part of a response arrived after `since`.
    pub fn active_after(&self, since: MonoTime) -> bool {
        self.last_activity.is_some_and(|at| at > since)
    }
}
