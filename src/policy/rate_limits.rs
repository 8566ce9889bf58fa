//! The limits that upstreams set on the requests that they take per second from all routers.
//!
//! Each router sends its share of a limit. If the shares of all routers would be too small to send a
//! request in good time, only some routers have one; all agree which, since they are the first in a
//! rendezvous order of the upstream.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::dialect::RateStatement;
use crate::mono::MonoTime;
use crate::policy::latest_loads::UpstreamTag;
use crate::policy::locate_choice::RouterPlace;
use crate::policy::token_bucket::TokenBucket;
use crate::units::RequestRate;

/// Requests per second of a limit for each router that has a share of it, beyond the first router.
const MIN_SHARE_PER_S: f64 = 1.0;

/// Number of reports in one heartbeat.
const MAX_RATE_REPORTS: usize = 3;

/// The routers among which limits are shared, as this router sees them.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlace<'a> {
    /// Address of this router.
    pub own: Ipv4Addr,
    /// The routers that serve callers.
    pub routers: &'a [RouterPlace],
    /// Upper estimate of the number of routers, which a network partition doesn't reduce at once.
    pub size: usize,
}

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
    /// This router's requests to upstreams with a limit.
    buckets: BTreeMap<UpstreamTag, TokenBucket>,
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

    /// Returns how long this router has to wait until it may send a request to an upstream, or `None`
    /// if it has no share of the upstream's limit.
    pub fn wait(
        &self,
        upstream: UpstreamTag,
        place: FleetPlace<'_>,
        now: MonoTime,
    ) -> Option<Duration> {
        let Some(limit) = self.limit(upstream) else {
            return Some(Duration::ZERO);
        };
        let rate = share(limit, upstream, place)?;
        let bucket = self.buckets.get(&upstream).copied().unwrap_or_default();
        Some(bucket.wait(rate, now))
    }

    /// Counts a request that this router sends to an upstream.
    pub fn count(&mut self, upstream: UpstreamTag, place: FleetPlace<'_>, now: MonoTime) {
        let limit = self.limit(upstream);
        if let Some(rate) = limit.and_then(|limit| share(limit, upstream, place)) {
            self.buckets.entry(upstream).or_default().take(rate, now);
        }
    }

    /// Selects reports for a heartbeat, at random so that each is passed on some time.
    pub fn reports<R: Rng>(&self, rng: &mut R) -> Vec<RateReport> {
        self.reports.values().copied().sample(rng, MAX_RATE_REPORTS)
    }

    /// Whether no upstream has ever set a limit.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
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
        let reports = &self.reports;
        self.buckets
            .retain(|upstream, _| reports.contains_key(upstream));
    }
}

/// Returns this router's share of a limit, in requests per second, or `None` if it has none.
fn share(limit: RequestRate, upstream: UpstreamTag, place: FleetPlace<'_>) -> Option<f64> {
    let limit = limit.get();
    let others = (limit / MIN_SHARE_PER_S) as usize;
    let sharing = place.size.max(1).min(others.saturating_add(1));
    (limit > 0.0 && share_rank(upstream, place) < sharing).then(|| limit / sharing as f64)
}

/// Returns the number of routers that come before this one in the rendezvous order of an upstream.
pub(crate) fn share_rank(upstream: UpstreamTag, place: FleetPlace<'_>) -> usize {
    let score = |address: Ipv4Addr| {
        let seed = u64::from(upstream.0);
        (xxh3_64_with_seed(&address.octets(), seed), address)
    };
    let own = score(place.own);
    let routers = place.routers.iter();
    routers.filter(|router| score(router.address) > own).count()
}
