//! Whether this router reaches any upstream at all.
//!
//! Failed connections to one upstream show a dead upstream; failed connections to many, with no
//! successful one in between, show that this router is cut off from them. Connections that were opened
//! before say nothing: they may live on while new ones are refused.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::UpstreamKey;
use crate::mono::MonoTime;

/// Share of the known upstreams that must have failed.
const FAILED_SHARE: f64 = 1.0 / 3.0;

/// Bounds of the number of upstreams that must have failed.
const MIN_FAILED: usize = 2;
const MAX_FAILED: usize = 6;

/// Time after the last failed connection at which the state is forgotten: nothing was tried since.
const FAILURE_EXPIRY: Duration = Duration::from_secs(3);

/// The connections to upstreams that failed since one was opened.
#[derive(Clone, Debug, Default)]
pub struct UplinkState {
    failed: BTreeSet<UpstreamKey>,
    last_failure: MonoTime,
}

impl UplinkState {
    /// Records that a connection was opened. Returns whether this ends the state of being cut off.
    pub fn record_reached(&mut self, upstreams: usize, now: MonoTime) -> bool {
        let was_stranded = self.is_stranded(upstreams, now);
        self.failed.clear();
        was_stranded
    }

    /// Records that no connection to an upstream could be opened.
    pub fn record_unreachable(&mut self, upstream: UpstreamKey, now: MonoTime) {
        if now.since(self.last_failure) > FAILURE_EXPIRY {
            self.failed.clear();
        }
        self.failed.insert(upstream);
        self.last_failure = now;
    }

    /// Returns whether this router is cut off from its `upstreams`.
    pub fn is_stranded(&self, upstreams: usize, now: MonoTime) -> bool {
        let share = (upstreams as f64 * FAILED_SHARE).ceil() as usize;
        self.failed.len() >= share.clamp(MIN_FAILED, MAX_FAILED)
            && now.since(self.last_failure) <= FAILURE_EXPIRY
    }
}
