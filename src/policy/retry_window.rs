//! This router's part of the fleet's retry budget of a service.
//!
//! The fleet may repeat a share of the calls in any window, and a fixed number beside. Each router
//! spends the share of its own calls and an equal part of the fixed number, so the sum holds
//! without a message, also in a partition.

use std::collections::VecDeque;
use std::time::Duration;

use crate::mono::MonoTime;

/// Kept back of the budget: the windows of the routers and of the one who checks don't coincide.
const SPENT_SHARE: f64 = 0.85;

/// Terms of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// Repeats for each call.
    pub ratio: f64,
    /// Repeats that the whole fleet may make beside, in a window.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

/// Calls and repeats of the last window.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    calls: VecDeque<MonoTime>,
    repeats: VecDeque<MonoTime>,
}

impl RetryWindow {
    /// Counts a call.
    pub fn record_call(&mut self, terms: &RetryTerms, now: MonoTime) {
        self.forget(terms, now);
        self.calls.push_back(now);
    }

    /// Whether a repeat fits into the budget of a fleet of `routers`.
    pub fn affordable(&mut self, terms: &RetryTerms, routers: usize, now: MonoTime) -> bool {
        self.forget(terms, now);
        let part = terms.slack / routers.max(1) as f64;
        let room = SPENT_SHARE * (terms.ratio * self.calls.len() as f64 + part);
        ((self.repeats.len() + 1) as f64) <= room
    }

    /// Counts a repeat.
    pub fn record_repeat(&mut self, now: MonoTime) {
        self.repeats.push_back(now);
    }

    fn forget(&mut self, terms: &RetryTerms, now: MonoTime) {
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
