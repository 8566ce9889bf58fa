//! Load reports of upstreams that routers exchange in heartbeats.
//!
//! In a large fleet, one router receives few responses from each upstream, and may take a busy
//! upstream for an idle one. Each heartbeat therefore passes on the latest reports of the busiest
//! upstreams, whichever router received them.

use std::collections::HashMap;
use std::time::Duration;

use crate::dialect::LoadReport;
use crate::ids::UpstreamKey;
use crate::mono::MonoTime;

/// Maximum age of a report that is passed on: a load changes within the length of a call.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Maximum number of reports in one heartbeat. With more, the control traffic of a router exceeds
/// 5 KB/s.
pub const MAX_HEARTBEAT_REPORTS: usize = 12;

/// The low 32 bits of an upstream's key. Collisions are rare, and a collision only makes a router
/// use the load of another upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UpstreamTag(pub u32);

impl From<UpstreamKey> for UpstreamTag {
    fn from(key: UpstreamKey) -> Self {
        Self(key.0 as u32)
    }
}

/// The load of an upstream at a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamLoad {
    /// Shortened key of the upstream.
    pub upstream: UpstreamTag,
    /// Calls that the upstream reported.
    pub load: LoadReport,
    /// Time of the report, on this router's clock.
    pub at: MonoTime,
}

/// The latest load report of each upstream, from this router's calls or from other routers.
#[derive(Clone, Debug, Default)]
pub struct LatestLoads {
    reports: HashMap<UpstreamTag, UpstreamLoad>,
}

impl LatestLoads {
    /// Stores a report unless a later one from the same upstream is present.
    pub fn merge(&mut self, report: UpstreamLoad) {
        let known = self.reports.entry(report.upstream).or_insert(report);
        if known.at < report.at {
            *known = report;
        }
    }

    /// Returns the latest report of an upstream.
    pub fn latest(&self, upstream: UpstreamKey) -> Option<UpstreamLoad> {
        self.reports.get(&upstream.into()).copied()
    }

    /// Removes outdated reports and returns those of the busiest upstreams for a heartbeat.
    pub fn busiest(&mut self, now: MonoTime) -> Vec<UpstreamLoad> {
        self.reports
            .retain(|_, report| now.since(report.at) <= MAX_REPORT_AGE);
        let mut reports: Vec<UpstreamLoad> = self.reports.values().copied().collect();
        reports.sort_unstable_by(|left, right| {
            let load = right.load.calls().cmp(&left.load.calls());
            load.then_with(|| left.upstream.cmp(&right.upstream))
        });
        reports.truncate(MAX_HEARTBEAT_REPORTS);
        reports
    }
}
