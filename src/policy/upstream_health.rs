//! Judges an upstream by what this router sees of it.

use std::time::Duration;

use crate::mono::MonoTime;

/// How long an upstream that refused a connection is left alone at first.
const FIRST_REST: Duration = Duration::from_millis(250);

/// Longest rest: an upstream that returned waits this long at most for its next call.
const LAST_REST: Duration = Duration::from_secs(2);

/// Weight of the newest outcome in the failure share: about the last eight outcomes count.
const OUTCOME_WEIGHT: f64 = 0.125;

/// Failure share above which an upstream is doubtful: a plain service may fail one call in seven
/// for reasons of its own.
const DOUBT_SHARE: f64 = 0.4;

/// How long an outcome counts: an upstream that is left alone gets calls again after this.
const OUTCOME_LIFE: Duration = Duration::from_secs(3);

/// What this router saw of an upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    /// Invariant: between 0 and 1.
    failure_share: f64,
    last_failure: Option<MonoTime>,
    last_heard: Option<MonoTime>,
    rest: Duration,
    rest_until: Option<MonoTime>,
}

impl UpstreamHealth {
    /// The upstream answered, with whatever status.
    pub fn record_activity(&mut self, now: MonoTime) {
        self.last_heard = Some(now);
        self.rest = Duration::ZERO;
        self.rest_until = None;
    }

    /// A call ended well.
    pub fn record_success(&mut self, now: MonoTime) {
        self.record_activity(now);
        self.failure_share *= 1.0 - OUTCOME_WEIGHT;
    }

    /// A call failed after it was written.
    pub fn record_failure(&mut self, now: MonoTime) {
        self.failure_share += (1.0 - self.failure_share) * OUTCOME_WEIGHT;
        self.last_failure = Some(now);
    }

    /// No connection could be made, or everything sent there stays without an answer.
    pub fn mark_unreachable(&mut self, now: MonoTime) {
        self.rest = (self.rest * 2).clamp(FIRST_REST, LAST_REST);
        self.rest_until = Some(now + self.rest);
        self.last_failure = Some(now);
    }

    /// Whether the upstream rests after it was unreachable.
    pub fn in_backoff(&self, now: MonoTime) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }

    /// The share of failures, 0 once they are old.
    pub fn failure_share(&self, now: MonoTime) -> f64 {
        let recent = self
            .last_failure
            .is_some_and(|at| now.since(at) <= OUTCOME_LIFE);
        if recent { self.failure_share } else { 0.0 }
    }

    /// Whether the failures speak against the upstream, beside others that fail `usual` of theirs.
    pub fn is_suspect(&self, usual: f64, now: MonoTime) -> bool {
        let share = self.failure_share(now);
        share > DOUBT_SHARE && share > 2.0 * usual
    }

    /// Whether the upstream was heard after `since`.
    pub fn active_after(&self, since: MonoTime) -> bool {
        self.last_heard.is_some_and(|heard| heard > since)
    }
}
