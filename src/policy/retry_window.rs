//! This router's share of the fleet-wide retry budget of a service.
//!
//! In any window, the fleet may repeat a given ratio of the calls plus a fixed number of calls.
//! Each router applies the ratio to its own calls and takes an equal part of the fixed number. The
//! fleet thus stays within the budget without coordination, also during a network partition.

use std::collections::VecDeque;
use std::time::Duration;

use crate::mono::MonoTime;

/// Share of the budget that is used. The rest is a reserve, since the windows of the routers and of
/// whoever checks the budget don't coincide.
const USED_SHARE: f64 = 0.85;

/// Parameters of the retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// Allowed repeats per call.
    pub ratio: f64,
    /// Number of repeats per window that the whole fleet may make in addition to `ratio`.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Times of this router's calls and repeats within the last window.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    calls: VecDeque<MonoTime>,
    repeats: VecDeque<MonoTime>,
}

impl RetryWindow {
    /// Records a call.
    pub fn record_call(&mut self, terms: &RetryTerms, now: MonoTime) {
        self.remove_expired(terms, now);
        self.calls.push_back(now);
    }

    /// Returns whether this router's share of the budget, in a fleet of `routers`, allows a repeat.
    pub fn affordable(&mut self, terms: &RetryTerms, routers: usize, now: MonoTime) -> bool {
        self.remove_expired(terms, now);
        let slack_share = terms.slack / routers.max(1) as f64;
        let allowed = USED_SHARE * (terms.ratio * self.calls.len() as f64 + slack_share);
        ((self.repeats.len() + 1) as f64) <= allowed
    }

    /// Records a repeat.
    pub fn record_repeat(&mut self, now: MonoTime) {
        self.repeats.push_back(now);
    }

    /// Takes back a repeat that was recorded at `at` and reached no upstream.
    pub fn retract_repeat(&mut self, at: MonoTime) {
        if let Some(index) = self.repeats.iter().rposition(|&repeat| repeat <= at) {
            self.repeats.remove(index);
        }
    }

    fn remove_expired(&mut self, terms: &RetryTerms, now: MonoTime) {
        for times in [&mut self.calls, &mut self.repeats] {
            while times
                .front()
                .is_some_and(|&at| now.since(at) > terms.window)
            {
                times.pop_front();
            }
        }
    }
}
