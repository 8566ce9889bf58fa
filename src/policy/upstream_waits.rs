//! The times until which upstreams want no requests from this router.
//!
//! An upstream that turns a request away may name a time for which it wants no other. What it told
//! one router holds for that router only, and for that start of the upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::UpstreamStart;
use crate::mono::MonoTime;
use crate::units::{MAX_TIME_SPAN, RetryDelay};

/// Wait of a caller where all upstreams of a service leave. It is not known when others come;
/// upstreams are replaced within seconds.
const ALL_LEAVE_WAIT: Duration = Duration::from_millis(500);

/// Shortest span over which callers are spread that have to wait.
const MIN_SPREAD: Duration = Duration::from_millis(100);

/// Part of the wait over which callers are spread that have to wait.
const SPREAD_SHARE: f64 = 0.25;

/// A time in which an upstream wants no requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct UpstreamWait {
    from: MonoTime,
    until: MonoTime,
}

/// The waits of all upstreams that have asked for one and that have not ended.
#[derive(Clone, Debug, Default)]
pub struct UpstreamWaits {
    /// Bounded by the number of upstreams that respond within the longest wait.
    waits: BTreeMap<UpstreamStart, UpstreamWait>,
}

impl UpstreamWaits {
    /// Records that an upstream has turned a request away and wants no other for `delay`. A shorter
    /// wait does not end a longer one. Returns whether a wait begins.
    pub fn record(&mut self, upstream: UpstreamStart, delay: RetryDelay, now: MonoTime) -> bool {
        if delay.get().is_zero() {
            return false;
        }
        let until = now + delay.get();
        let known = self.waits.get_mut(&upstream);
        if let Some(wait) = known {
            wait.until = wait.until.max(until);
            return false;
        }
        self.waits
            .insert(upstream, UpstreamWait { from: now, until });
        true
    }

    /// Returns how long the upstream wants no request yet.
    pub fn wait(&self, upstream: UpstreamStart, now: MonoTime) -> Duration {
        let wait = self.waits.get(&upstream);
        wait.map_or(Duration::ZERO, |wait| wait.until.since(now))
    }

    pub fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }

    /// Number of upstreams that want no requests, or whose wait has ended since the last
    /// [`Self::take_ended`].
    pub fn len(&self) -> usize {
        self.waits.len()
    }

    /// Removes the waits that have ended, and returns their upstreams and lengths.
    pub fn take_ended(&mut self, now: MonoTime) -> Vec<(UpstreamStart, Duration)> {
        let ended = self.waits.extract_if(.., |_, wait| wait.until <= now);
        ended
            .map(|(upstream, wait)| (upstream, wait.until.since(wait.from)))
            .collect()
    }
}

/// When an upstream takes a request of this router, by what it has said.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamOpening {
    /// Never: it leaves.
    Never,
    /// After this time; zero if it takes one now.
    After(Duration),
}

/// Returns how long a caller has to wait until an upstream of the service takes its request, or
/// `None` if one takes requests now or none is known. If all leave, it is not known how long.
pub fn service_wait<I>(openings: I) -> Option<Duration>
where
    I: Iterator<Item = UpstreamOpening>,
{
    openings
        .map(|opening| match opening {
            UpstreamOpening::Never => None,
            UpstreamOpening::After(wait) => Some(wait),
        })
        .min_by_key(|wait| (wait.is_none(), *wait))
        .map(|wait| wait.unwrap_or(ALL_LEAVE_WAIT))
        .filter(|wait| !wait.is_zero())
}

/// Returns a time after `wait`, so that callers do not return together. `draw` is uniform over 0 to
/// 1.
pub fn spread_wait(wait: Duration, draw: f64) -> Duration {
    let wait = wait.min(MAX_TIME_SPAN);
    let spread = wait.mul_f64(SPREAD_SHARE).max(MIN_SPREAD);
    wait + spread.mul_f64(draw)
}
