//! Estimates the load of upstreams that have sent no recent load report, in a fleet with many more
//! routers than calls at one upstream.
//!
//! There, one own call says little about the calls of the other routers: multiplied by the number of
//! routers, it makes an idle upstream look overloaded, and no call makes a busy one look idle. Callers
//! choose routers at random, so the mean over all upstreams is known well.

use std::time::Duration;

use crate::mono::MonoTime;

/// Time constant over which this router's calls are averaged. It spans several calls of a router that
/// takes a few per second.
const AVERAGING_WINDOW: Duration = Duration::from_secs(4);

/// Number of own calls at which an upstream's own count weighs as much as the mean of its service.
const MEAN_WEIGHT: f64 = 4.0;

/// This router's open calls per upstream of a service, averaged over [`AVERAGING_WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnCallMean {
    mean: f64,
    updated: Option<MonoTime>,
}

impl OwnCallMean {
    /// Records the open calls at `upstreams` upstreams and returns the mean per upstream.
    pub fn record(&mut self, open_calls: u32, upstreams: usize, now: MonoTime) -> f64 {
        let current = f64::from(open_calls) / upstreams.max(1) as f64;
        self.mean = match self.updated {
            None => current,
            Some(updated) => {
                let windows = now.since(updated).as_secs_f64() / AVERAGING_WINDOW.as_secs_f64();
                current + (self.mean - current) * (-windows).exp()
            }
        };
        self.updated = Some(now);
        self.mean
    }
}

/// Estimates the calls of all `routers` routers at an upstream with `own_calls` calls of this one,
/// which has `mean` calls per upstream.
pub fn estimate_calls(own_calls: u32, mean: f64, routers: usize) -> f64 {
    let own_calls = f64::from(own_calls);
    let others = routers.saturating_sub(1) as f64;
    if mean <= 0.0 {
        return own_calls + own_calls * others;
    }
    // The mean of a Poisson rate whose prior is a gamma distribution of shape `MEAN_WEIGHT`.
    let rate = (MEAN_WEIGHT + own_calls) / (MEAN_WEIGHT / mean + 1.0);
    own_calls + rate * others
}
