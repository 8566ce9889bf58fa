//! The bound on an engine's load against the mean.

use crate::rules::LoadMultiple;

/// Requests by which the limit stays below the multiple.
const TOTAL_SLACK: f64 = 0.8;

/// Computes how many requests an engine may hold.
#[derive(Clone, Copy, Debug)]
pub struct LoadBound {
    multiple: LoadMultiple,
}

impl LoadBound {
    /// A bound at `multiple` of the mean.
    pub fn new(multiple: LoadMultiple) -> Self {
        Self { multiple }
    }

    /// The most requests that an engine with `share` of the pool's capacity may hold once one
    /// more joins the `total` in flight.
    ///
    /// Rounding up the fair share keeps room for every request. Above it, some slack stays below the multiple, since `total` may have fallen since it was told. With a true
    /// total the result never exceeds the multiple of the mean plus one.
    pub fn limit(self, total: u32, share: f64) -> u32 {
        let fair = f64::from(total + 1) * share;
        let above = (fair * (self.multiple.get() - 1.0) - TOTAL_SLACK).max(0.0);
        fair.ceil().max((fair + above).floor()) as u32
    }

    /// The limit for a router that can't ask anyone: its own share of the multiple, rounded down.
    ///
    /// The limits of all routers add up to at most the multiple of the fleet's mean.
    pub fn isolated_limit(self, own_total: u32, share: f64) -> u32 {
        (f64::from(own_total + 1) * share * self.multiple.get()).floor() as u32
    }
}
