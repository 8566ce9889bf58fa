//! Upstreams that a call does not choose again.

use std::time::Duration;

use crate::ids::UpstreamKey;
use crate::mono::MonoTime;

/// Time after which a stream that is resumed may use an upstream that had no room for the call.
const EXCLUSION_PERIOD: Duration = Duration::from_secs(1);

/// Upstreams that provably did not run a call, with the times at which they said so.
#[derive(Clone, Debug, Default)]
pub struct CallExclusions(Vec<(UpstreamKey, MonoTime)>);

impl CallExclusions {
    /// Excludes an upstream.
    pub fn insert(&mut self, upstream: UpstreamKey, now: MonoTime) {
        self.0.push((upstream, now));
    }

    /// Removes the upstreams that were excluded too long ago to say anything about now.
    pub fn remove_expired(&mut self, now: MonoTime) {
        self.0.retain(|&(_, at)| now.since(at) < EXCLUSION_PERIOD);
    }

    /// Returns the excluded upstreams.
    pub fn keys(&self) -> Vec<UpstreamKey> {
        self.0.iter().map(|&(upstream, _)| upstream).collect()
    }
}
