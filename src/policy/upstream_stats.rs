//! A traffic thread's view of one upstream: open calls, reported load and health.

use std::time::Duration;

use crate::dialect::LoadReport;
use crate::mono::MonoTime;
use crate::policy::own_call_rate::estimate_calls;
use crate::policy::upstream_health::UpstreamHealth;

/// Age after which a load report is disregarded and the load is estimated from this router's own
/// calls.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// A load report, with this router's own calls at the time when it arrived.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    load: LoadReport,
    /// Time at which the upstream had this load.
    at: MonoTime,
    /// Calls from this router that were open at the upstream when the report arrived.
    own_calls: u32,
}

/// This router's open calls at an upstream, the upstream's last load report and its health.
#[derive(Clone, Debug, Default)]
pub struct UpstreamStats {
    /// Calls from this router that are open at the upstream.
    pub own_calls: u32,
    /// Health as seen from the outcomes of this router's calls.
    pub health: UpstreamHealth,
    report: Option<ReceivedReport>,
}

impl UpstreamStats {
    /// Stores a report of the upstream's load at time `at`, unless a later one is present.
    pub fn record_report(&mut self, load: LoadReport, at: MonoTime) {
        if self.report.is_none_or(|known| known.at < at) {
            let own_calls = self.own_calls;
            self.report = Some(ReceivedReport {
                load,
                at,
                own_calls,
            });
        }
    }

    /// Estimates the calls that the upstream has from all routers, of which there are `routers`.
    ///
    /// The estimate is the last report, adjusted by the calls that this router has opened and
    /// closed since. Without a recent report, it assumes that each router has as many calls there
    /// as this one.
    pub fn load(&self, routers: usize, now: MonoTime) -> f64 {
        let own_calls = f64::from(self.own_calls);
        match self.recent_report(now) {
            Some(report) => {
                let reported = report.load.calls() as f64;
                (reported + own_calls - f64::from(report.own_calls)).max(own_calls)
            }
            None => own_calls * routers as f64,
        }
    }

    /// Estimates the calls that the upstream has, as [`Self::load`] does. Without a recent report, it
    /// follows from `mean`, the calls of this router per upstream of the service.
    pub fn load_by_mean(&self, mean: f64, routers: usize, now: MonoTime) -> f64 {
        if self.is_reported(now) {
            self.load(routers, now)
        } else {
            estimate_calls(self.own_calls, mean, routers)
        }
    }

    /// Returns whether the upstream has said at which pace its host works.
    pub fn tells_pace(&self) -> bool {
        self.report.is_some_and(|report| report.load.pace.is_some())
    }

    /// Returns whether the upstream's last report, if recent, shows waiting calls.
    pub fn is_queued(&self, now: MonoTime) -> bool {
        self.recent_report(now)
            .is_some_and(|report| report.load.waiting > 0)
    }

    /// Returns whether [`Self::load`] follows from a recent report.
    pub fn is_reported(&self, now: MonoTime) -> bool {
        self.recent_report(now).is_some()
    }

    fn recent_report(&self, now: MonoTime) -> Option<ReceivedReport> {
        self.report
            .filter(|report| now.since(report.at) <= MAX_REPORT_AGE)
    }
}
