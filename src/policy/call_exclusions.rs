//! Upstreams that a call does not choose again.

use std::time::Duration;

use crate::ids::UpstreamKey;
use crate::mono::MonoTime;

/// Time after which a stream that is resumed may use an upstream that had no room for the call.
const EXCLUSION_PERIOD: Duration = Duration::from_secs(1);

/// Upstreams that provably did not run a call, with the times at which they said so.
#[derive(Clone, Debug, Default)]
pub struct CallExclusions {
    recent: Vec<(UpstreamKey, MonoTime)>,
    /// Those that another router has tried for the call.
    lasting: Vec<UpstreamKey>,
}

impl CallExclusions {
    /// Creates exclusions that last as long as the call.
    pub fn lasting(upstreams: Vec<UpstreamKey>) -> Self {
        Self {
            recent: Vec::new(),
            lasting: upstreams,
        }
    }

    /// Excludes an upstream.
    pub fn insert(&mut self, upstream: UpstreamKey, now: MonoTime) {
        self.recent.push((upstream, now));
    }

    /// Removes the upstreams that were excluded too long ago to say anything about now.
    pub fn remove_expired(&mut self, now: MonoTime) {
        self.recent
            .retain(|&(_, at)| now.since(at) < EXCLUSION_PERIOD);
    }

    /// Returns the excluded upstreams.
    pub fn keys(&self) -> Vec<UpstreamKey> {
        let recent = self.recent.iter().map(|&(upstream, _)| upstream);
        recent.chain(self.lasting.iter().copied()).collect()
    }
}
