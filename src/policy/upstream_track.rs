//! What the traffic thread remembers of one upstream.

use std::time::Duration;

use crate::dialect::LoadReport;
use crate::mono::MonoTime;
use crate::policy::upstream_health::UpstreamHealth;

/// How long a load report counts; then this router's own calls are all it knows.
const REPORT_LIFE: Duration = Duration::from_secs(2);

/// This router's calls at an upstream, and what the upstream reported.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTrack {
    /// Calls of this router that the upstream has.
    pub own: u32,
    /// Judgement by what was seen.
    pub health: UpstreamHealth,
    report: Option<(LoadReport, u32, MonoTime)>,
}

impl UpstreamTrack {
    /// Takes a report.
    pub fn reported(&mut self, report: LoadReport, now: MonoTime) {
        self.report = Some((report, self.own, now));
    }

    /// Calls that the upstream has from all of `routers`, as far as known.
    pub fn load(&self, routers: usize, now: MonoTime) -> f64 {
        let own = f64::from(self.own);
        match self.fresh_report(now) {
            Some((report, own_then)) => {
                let reported = f64::from(report.running + report.waiting);
                (reported + own - f64::from(own_then)).max(own)
            }
            None => own * routers as f64,
        }
    }

    /// Whether the upstream lately said that calls wait there.
    pub fn is_queued(&self, now: MonoTime) -> bool {
        self.fresh_report(now)
            .is_some_and(|(report, _)| report.waiting > 0)
    }

    fn fresh_report(&self, now: MonoTime) -> Option<(LoadReport, u32)> {
        let (report, own_then, at) = self.report?;
        (now.since(at) <= REPORT_LIFE).then_some((report, own_then))
    }
}
