//! The limits that upstreams set on the requests that they take per second from all routers.
//!
//! Each router sends its share of a limit. If the shares of all routers would be too small to send a
//! request in good time, only some routers have one; all agree which, since they are the first in a
//! rendezvous order of the upstream.
//!
//! Only a response tells that a limit has changed, so each upstream gets a request now and then,
//! whatever it said last and whichever routers have a share: see [`TRIAL_PERIOD`] and
//! [`RELIEF_PERIOD`].

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

/// Time after a response, or after a request without one, in which nothing is sent to an upstream whose
/// limit allows fewer requests. Then the first router sends a trial.
const TRIAL_PERIOD: Duration = Duration::from_secs(5);

/// Time between the trials of two routers without a share, which replace the routers before them in the
/// order if nothing is heard of the upstream: these may have no calls for it or not reach it.
const RELIEF_PERIOD: Duration = Duration::from_secs(4);

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
    /// This router's last requests to upstreams of whose limits it had no share.
    trials: BTreeMap<UpstreamTag, MonoTime>,
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
    /// if it has no share of the upstream's limit and another router is to send the next trial.
    pub fn wait(
        &self,
        upstream: UpstreamTag,
        place: FleetPlace<'_>,
        now: MonoTime,
    ) -> Option<Duration> {
        let Some(limit) = self.limit(upstream) else {
            return Some(Duration::ZERO);
        };
        let rank = share_rank(upstream, place);
        if let Some(rate) = share(limit, rank, place.size) {
            let bucket = self.buckets.get(&upstream).copied().unwrap_or_default();
            return Some(bucket.wait(rate, now));
        }
        let own_wait = self.trial_at(upstream, rank, place).since(now);
        if rank == 0 || own_wait.is_zero() {
            return Some(own_wait);
        }
        let first_wait = (self.heard(upstream) + TRIAL_PERIOD).since(now);
        (is_low(limit) && !first_wait.is_zero()).then_some(first_wait)
    }

    /// When the upstream was heard of last.
    fn heard(&self, upstream: UpstreamTag) -> MonoTime {
        let report = self.reports.get(&upstream);
        report.map(|report| report.at).unwrap_or_default()
    }

    /// When this router, which has no share of an upstream's limit, may send it a trial.
    fn trial_at(&self, upstream: UpstreamTag, rank: usize, place: FleetPlace<'_>) -> MonoTime {
        let heard = self.heard(upstream);
        let tried = self.trials.get(&upstream).copied();
        // A router that knows few of the others may be one of several that take themselves for the first.
        let known = place.routers.len().max(1);
        let size = place.size.max(known);
        if rank == 0 {
            let period = TRIAL_PERIOD.mul_f64(size as f64 / known as f64);
            return heard.max(tried.unwrap_or_default()) + period;
        }
        let turn = heard + TRIAL_PERIOD + RELIEF_PERIOD * rank as u32;
        let round = RELIEF_PERIOD * size as u32;
        tried.map_or(turn, |tried| turn.max(tried + round))
    }

    /// Counts a request that this router sends to an upstream.
    pub fn count(&mut self, upstream: UpstreamTag, place: FleetPlace<'_>, now: MonoTime) {
        let Some(limit) = self.limit(upstream) else {
            return;
        };
        let rank = share_rank(upstream, place);
        if let Some(rate) = share(limit, rank, place.size) {
            self.buckets.entry(upstream).or_default().take(rate, now);
        } else {
            self.trials.insert(upstream, now);
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
        self.trials
            .retain(|upstream, _| reports.contains_key(upstream));
    }
}

/// Whether a limit allows fewer requests than trials, which replace them.
fn is_low(limit: RequestRate) -> bool {
    limit.get() * TRIAL_PERIOD.as_secs_f64() < 1.0
}

/// Returns the share of a limit that the router with this rank among `routers` has, in requests per second,
/// or `None` if it has none: the limit is low, or enough others come before it.
fn share(limit: RequestRate, rank: usize, routers: usize) -> Option<f64> {
    if is_low(limit) {
        return None;
    }
    let limit = limit.get();
    let others = (limit / MIN_SHARE_PER_S) as usize;
    let sharing = routers.max(1).min(others.saturating_add(1));
    (rank < sharing).then(|| limit / sharing as f64)
}

/// Returns the number of routers that come before this one in the rendezvous order of an upstream.
pub fn share_rank(upstream: UpstreamTag, place: FleetPlace<'_>) -> usize {
    let score = |address: Ipv4Addr| {
        let seed = u64::from(upstream.0);
        (xxh3_64_with_seed(&address.octets(), seed), address)
    };
    let own = score(place.own);
    let routers = place.routers.iter();
    routers.filter(|router| score(router.address) > own).count()
}
