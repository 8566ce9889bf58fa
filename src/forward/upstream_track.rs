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
        match self.report {
            Some((report, own_then, at)) if now.since(at) <= REPORT_LIFE => {
                let reported = f64::from(report.running + report.waiting);
                (reported + own - f64::from(own_then)).max(own)
            }
            _ => own * routers as f64,
        }
    }
}
