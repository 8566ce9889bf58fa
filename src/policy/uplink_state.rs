//! Whether this router reaches any upstream at all.
//!
//! Failed connections to one upstream show a dead upstream; failed connections to many, with no
//! successful one in between, raise the doubt that this router is cut off from them. Where most
//! upstreams have crashed, calls may meet as many dead ones in a row, so others are tried before the
//! doubt counts. Connections that were opened before say nothing: they may live on while new ones are
//! refused.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::UpstreamKey;
use crate::mono::MonoTime;

/// Share of the known upstreams that must have failed for a doubt.
const FAILED_SHARE: f64 = 1.0 / 3.0;

/// Bounds of the number of upstreams that must have failed for a doubt.
const MIN_FAILED: usize = 2;
const MAX_FAILED: usize = 6;

/// Number of upstreams that are tried in a doubt, all if there are fewer. With three tenths of the
/// upstreams left, one of these is reached in 99 of 100 cases.
const CONFIRMATIONS: usize = 16;

/// Time after the last failed connection at which the state is forgotten: nothing was tried since.
const FAILURE_EXPIRY: Duration = Duration::from_secs(3);

/// The connections to upstreams that failed since one was opened.
#[derive(Clone, Debug, Default)]
pub struct UplinkState {
    /// Upstreams that calls or trials did not reach.
    failed: BTreeSet<UpstreamKey>,
    /// Upstreams that trials did not reach. Calls don't count: while connections to the sound upstreams
    /// are reused, nearly all new ones go to dead upstreams.
    tried: BTreeSet<UpstreamKey>,
    /// Whether enough of these failed. New upstreams don't end it.
    is_confirmed: bool,
    last_failure: MonoTime,
}

impl UplinkState {
    /// Records that a connection was opened. Returns whether this ends the state of being cut off.
    pub fn record_reached(&mut self, now: MonoTime) -> bool {
        let was_stranded = self.is_stranded(now);
        self.forget();
        was_stranded
    }

    /// Records that a call could not open a connection to an upstream.
    pub fn record_unreachable(&mut self, upstream: UpstreamKey, now: MonoTime) {
        if now.since(self.last_failure) > FAILURE_EXPIRY {
            self.forget();
        }
        self.failed.insert(upstream);
        self.last_failure = now;
    }

    /// Records that a trial could not open a connection to one of the `upstreams`.
    pub fn record_failed_trial(&mut self, upstream: UpstreamKey, upstreams: usize, now: MonoTime) {
        self.record_unreachable(upstream, now);
        self.tried.insert(upstream);
        let is_doubtful = self.is_doubtful(upstreams, now);
        self.is_confirmed |= is_doubtful && self.tried.len() >= needed_trials(upstreams);
    }

    fn forget(&mut self) {
        self.failed.clear();
        self.tried.clear();
        self.is_confirmed = false;
    }

    /// Returns whether this router is cut off from its upstreams.
    pub fn is_stranded(&self, now: MonoTime) -> bool {
        self.is_confirmed && now.since(self.last_failure) <= FAILURE_EXPIRY
    }

    /// Returns whether this router may be cut off from its `upstreams`.
    pub fn is_doubtful(&self, upstreams: usize, now: MonoTime) -> bool {
        let share = (upstreams as f64 * FAILED_SHARE).ceil() as usize;
        self.failed.len() >= share.clamp(MIN_FAILED, MAX_FAILED)
            && now.since(self.last_failure) <= FAILURE_EXPIRY
    }

    /// Returns how many of the `upstreams` have to be tried to end a doubt.
    pub fn missing_trials(&self, upstreams: usize, now: MonoTime) -> usize {
        if self.is_doubtful(upstreams, now) {
            needed_trials(upstreams).saturating_sub(self.tried.len())
        } else {
            0
        }
    }

    /// Returns whether a trial did not reach the upstream since a connection to any was opened.
    pub fn has_failed(&self, upstream: UpstreamKey) -> bool {
        self.tried.contains(&upstream)
    }
}

fn needed_trials(upstreams: usize) -> usize {
    CONFIRMATIONS.min(upstreams)
}
