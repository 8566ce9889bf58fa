//! The conditions under which an upstream takes a call, as the state of a traffic thread shows them.

use std::cell::Ref;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use crate::fleet::evacuation_table::EvacuationSet;
use crate::fleet::upstream_entry::{ServingState, UpstreamEntry};
use crate::ids::UpstreamKey;
use crate::mono::MonoTime;
use crate::policy::cold_upstreams::{ColdPlace, ColdUpstreams};
use crate::policy::gone_starts::GoneStarts;
use crate::policy::leaving_upstreams::LeavingUpstreams;
use crate::policy::locate_choice::RouterPlace;
use crate::policy::rate_limits::{FleetPlace, RateLimits};
use crate::policy::upstream_gate::{GateReason, UpstreamGate};
use crate::policy::upstream_stats::UpstreamStats;
use crate::policy::upstream_waits::{UpstreamOpening, UpstreamWaits};

/// What upstreams, their entries and other routers have said about taking requests.
pub struct StatementGate<'a> {
    pub leaving: MutexGuard<'a, LeavingUpstreams>,
    pub waits: Ref<'a, UpstreamWaits>,
    pub gone: Ref<'a, GoneStarts>,
    pub now: MonoTime,
}

impl StatementGate<'_> {
    /// Returns when the upstream takes a request.
    pub fn opening(&self, entry: &UpstreamEntry) -> UpstreamOpening {
        let start = entry.start();
        if entry.state == ServingState::Draining
            || entry.is_over(self.now)
            || self.leaving.contains(start)
            || self.gone.contains(start, self.now)
        {
            return UpstreamOpening::Never;
        }
        UpstreamOpening::After(self.waits.wait(start, self.now))
    }
}

impl UpstreamGate for StatementGate<'_> {
    fn check(&self, entry: &UpstreamEntry) -> Option<GateReason> {
        match self.opening(entry) {
            UpstreamOpening::Never => Some(GateReason::Leaving),
            UpstreamOpening::After(wait) if wait.is_zero() => None,
            UpstreamOpening::After(wait) => Some(GateReason::Declining(wait)),
        }
    }
}

/// The data centres that the operator has evacuated.
pub struct EvacuationGate {
    pub evacuations: Arc<EvacuationSet>,
}

impl UpstreamGate for EvacuationGate {
    fn check(&self, entry: &UpstreamEntry) -> Option<GateReason> {
        let is_evacuated = self.evacuations.contains(&entry.data_center);
        is_evacuated.then_some(GateReason::Evacuated)
    }
}

/// The upstreams that have not run a call when they received it.
pub struct TriedGate<'a> {
    pub excluded: &'a [UpstreamKey],
}

impl UpstreamGate for TriedGate<'_> {
    fn check(&self, entry: &UpstreamEntry) -> Option<GateReason> {
        let is_tried = self.excluded.contains(&entry.id.key());
        is_tried.then_some(GateReason::Tried)
    }
}

/// This router's shares of the limits that upstreams set.
pub struct RateGate<'a> {
    pub limits: MutexGuard<'a, RateLimits>,
    pub routers: Arc<Vec<RouterPlace>>,
    pub own: Ipv4Addr,
    pub fleet_size: usize,
    pub now: MonoTime,
}

impl RateGate<'_> {
    /// Returns the time until this router may send a request, or `None` if it has no share.
    pub fn wait(&self, entry: &UpstreamEntry) -> Option<Duration> {
        if self.limits.is_empty() {
            return Some(Duration::ZERO);
        }
        let place = FleetPlace {
            own: self.own,
            routers: &self.routers,
            size: self.fleet_size,
        };
        self.limits.wait(entry.id.key().into(), place, self.now)
    }
}

impl UpstreamGate for RateGate<'_> {
    fn check(&self, entry: &UpstreamEntry) -> Option<GateReason> {
        let wait = self.wait(entry);
        let may_send = wait.is_some_and(|wait| wait.is_zero());
        (!may_send).then_some(GateReason::Limited(wait))
    }
}

/// This router's shares of the rates of cold upstreams.
pub struct ColdGate<'a> {
    pub cold: MutexGuard<'a, ColdUpstreams>,
    pub place: ColdPlace,
    pub now: MonoTime,
}

impl ColdGate<'_> {
    /// Returns the time until this router may call the upstream, or `Err` with the time until it may
    /// have a share.
    pub fn wait(&self, entry: &UpstreamEntry) -> Result<Duration, Duration> {
        self.cold.wait(entry.id.key().into(), self.place, self.now)
    }
}

impl UpstreamGate for ColdGate<'_> {
    fn check(&self, entry: &UpstreamEntry) -> Option<GateReason> {
        let wait = self.wait(entry);
        (wait != Ok(Duration::ZERO)).then_some(GateReason::Cold(wait.ok()))
    }
}

/// This router's share of the connections to each upstream.
pub struct ConnectionGate<'a> {
    pub stats: &'a HashMap<UpstreamKey, UpstreamStats>,
    pub max_own_calls: u32,
}

impl UpstreamGate for ConnectionGate<'_> {
    fn check(&self, entry: &UpstreamEntry) -> Option<GateReason> {
        let stats = self.stats.get(&entry.id.key());
        let own_calls = stats.map_or(0, |stats| stats.own_calls);
        (own_calls >= self.max_own_calls).then_some(GateReason::Connections)
    }
}
