//! What the traffic thread remembers of one upstream.

use std::time::Duration;

use crate::dialect::LoadReport;
use crate::mono::MonoTime;
use crate::policy::upstream_health::UpstreamHealth;

/// How long a load report counts; then this router's own calls are all it knows.
const REPORT_LIFE: Duration = Duration::from_secs(2);

/// A load report, and what was known when it came.
#[derive(Clone, Copy, Debug)]
struct TrackReport {
    load: LoadReport,
    /// When the upstream was at this load.
    at: MonoTime,
    /// This router's calls at the upstream when the report came.
    own_calls: u32,
}

/// This router's calls at an upstream, and what the upstream reported.
#[derive(Clone, Debug, Default)]
pub struct UpstreamStats {
    /// Calls of this router that the upstream has.
    pub own_calls: u32,
    /// Judgement by what was seen.
    pub health: UpstreamHealth,
    report: Option<TrackReport>,
}

impl UpstreamStats {
    /// Takes a report of the upstream's load at `at`, unless a later one is known.
    pub fn record_report(&mut self, load: LoadReport, at: MonoTime) {
        if self.report.is_none_or(|known| known.at < at) {
            let own_calls = self.own_calls;
            self.report = Some(TrackReport {
                load,
                at,
                own_calls,
            });
        }
    }

    /// Calls that the upstream has from all of `routers`, as far as known.
    pub fn load(&self, routers: usize, now: MonoTime) -> f64 {
        let own_calls = f64::from(self.own_calls);
        match self.fresh_report(now) {
            Some(report) => {
                let reported = f64::from(report.load.running + report.load.waiting);
                (reported + own_calls - f64::from(report.own_calls)).max(own_calls)
            }
            None => own_calls * routers as f64,
        }
    }

    /// Whether the upstream lately said that calls wait there.
    pub fn is_queued(&self, now: MonoTime) -> bool {
        self.fresh_report(now)
            .is_some_and(|report| report.load.waiting > 0)
    }

    fn fresh_report(&self, now: MonoTime) -> Option<TrackReport> {
        self.report
            .filter(|report| now.since(report.at) <= REPORT_LIFE)
    }
}
