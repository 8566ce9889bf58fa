//! The upper bound on an engine's load relative to the mean load.

use crate::rules::LoadMultiple;

/// Number of requests by which the limit stays below the multiple of the mean.
const TOTAL_SLACK: f64 = 0.8;

/// Computes how many requests may run on an engine.
#[derive(Clone, Copy, Debug)]
pub struct LoadBound {
    multiple: LoadMultiple,
}

impl LoadBound {
    /// Creates a bound at `multiple` times the mean.
    pub fn new(multiple: LoadMultiple) -> Self {
        Self { multiple }
    }

    /// Returns the maximum number of requests on an engine with `share` of the pool's capacity
    /// once one more joins the `total` in progress.
    ///
    /// The fair share is rounded up so that there is a slot for every request. Beyond it, the limit
    /// stays `TOTAL_SLACK` below the multiple, since `total` may have fallen since it was
    /// reported. With an exact total the result never exceeds the multiple of the mean plus one.
    pub fn limit(self, total: u32, share: f64) -> u32 {
        let fair = f64::from(total + 1) * share;
        let extra = (fair * (self.multiple.get() - 1.0) - TOTAL_SLACK).max(0.0);
        fair.ceil().max((fair + extra).floor()) as u32
    }

    /// Returns the limit for a router that can't reach the slot owner: its own share of the
    /// multiple, rounded down.
    ///
    /// The limits of all routers add up to at most the multiple of the fleet's mean.
    pub fn isolated_limit(self, own_running: u32, share: f64) -> u32 {
        (f64::from(own_running + 1) * share * self.multiple.get()).floor() as u32
    }
}
