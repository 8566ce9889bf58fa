//! What routers tell each other of the loads of upstreams.
//!
//! A router among many gets few answers of each upstream, so that it takes a busy one for idle.
//! Each heartbeat passes on the latest reports of the busiest upstreams, whoever got them.

use std::collections::HashMap;
use std::time::Duration;

use crate::dialect::LoadReport;
use crate::ids::UpstreamKey;
use crate::mono::MonoTime;

/// Age up to which a report is passed on: a load changes within the length of a call.
const NEWS_LIFE: Duration = Duration::from_secs(1);

/// Reports that one heartbeat carries: with more, a router spends over 5 KB/s on control.
const FRAME_REPORTS: usize = 12;

/// A short form of an upstream's key. Two upstreams share one so seldom that a wrong load does no
/// harm.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UpstreamTag(pub u32);

impl From<UpstreamKey> for UpstreamTag {
    fn from(key: UpstreamKey) -> Self {
        Self(key.0 as u32)
    }
}

/// A report of an upstream's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamTag,
    /// Its load.
    pub load: LoadReport,
    /// When it was at this load, by this router's clock.
    pub at: MonoTime,
}

/// The latest report of each upstream, from this router's calls and from other routers.
#[derive(Clone, Debug, Default)]
pub struct LatestLoads {
    words: HashMap<UpstreamTag, UpstreamLoad>,
}

impl LatestLoads {
    /// Takes a report, unless a later one of the upstream is known.
    pub fn merge(&mut self, word: UpstreamLoad) {
        let known = self.words.entry(word.upstream).or_insert(word);
        if known.at < word.at {
            *known = word;
        }
    }

    /// The latest report of an upstream.
    pub fn latest(&self, upstream: UpstreamKey) -> Option<UpstreamLoad> {
        self.words.get(&upstream.into()).copied()
    }

    /// Forgets old reports and gives those of the busiest upstreams for a heartbeat.
    pub fn busiest(&mut self, now: MonoTime) -> Vec<UpstreamLoad> {
        self.words.retain(|_, word| now.since(word.at) <= NEWS_LIFE);
        let mut words: Vec<UpstreamLoad> = self.words.values().copied().collect();
        let calls = |word: &UpstreamLoad| word.load.running + word.load.waiting;
        words.sort_unstable_by(|left, right| {
            let load = calls(right).cmp(&calls(left));
            load.then_with(|| left.upstream.cmp(&right.upstream))
        });
        words.truncate(FRAME_REPORTS);
        words
    }
}
