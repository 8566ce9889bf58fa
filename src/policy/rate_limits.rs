//! The limits that upstreams set on the requests that they take per second from all routers.

use std::collections::BTreeMap;

use crate::dialect::RateStatement;
use crate::mono::MonoTime;
use crate::policy::latest_loads::UpstreamTag;
use crate::units::RequestRate;

/// What an upstream said last about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateReport {
    pub upstream: UpstreamTag,
    /// `None` if the upstream no longer sets a limit.
    pub limit: Option<RequestRate>,
    /// Time of the statement, on this router's clock.
    pub at: MonoTime,
}

/// The limits of all upstreams that have ever set one.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    reports: BTreeMap<UpstreamTag, RateReport>,
}

impl RateLimits {
    /// Records what a response says. Returns whether the limit changed.
    pub fn record(&mut self, upstream: UpstreamTag, rate: RateStatement, now: MonoTime) -> bool {
        let limit = match rate {
            RateStatement::Limit(limit) => Some(limit),
            RateStatement::Unlimited if self.reports.contains_key(&upstream) => None,
            RateStatement::Unlimited | RateStatement::Unreadable => return false,
        };
        let report = RateReport {
            upstream,
            limit,
            at: now,
        };
        self.merge(report)
    }

    /// Merges a report unless a later one is known. Returns whether the limit changed.
    pub fn merge(&mut self, report: RateReport) -> bool {
        let known = self.reports.get(&report.upstream);
        if known.is_some_and(|known| known.at >= report.at) {
            return false;
        }
        let before = known.and_then(|known| known.limit);
        self.reports.insert(report.upstream, report);
        before != report.limit
    }

    /// The limit of an upstream, if it sets one.
    pub fn limit(&self, upstream: UpstreamTag) -> Option<RequestRate> {
        self.reports.get(&upstream)?.limit
    }

    /// Number of upstreams that set a limit.
    pub fn limited(&self) -> usize {
        let limits = self.reports.values().filter_map(|report| report.limit);
        limits.count()
    }

    /// Removes the limits of upstreams for which `is_known` is false.
    pub fn retain<F: Fn(UpstreamTag) -> bool>(&mut self, is_known: F) {
        self.reports.retain(|&upstream, _| is_known(upstream));
    }
}
