//! What a traffic thread knows of the load of a service beyond its single upstreams.

use std::sync::Arc;

use crate::dialect::EdgeDialect;
use crate::fleet::upstream_entry::UpstreamEntry;
use crate::forward::traffic_state::TrafficState;
use crate::ids::ServiceId;
use crate::mono::MonoTime;
use crate::policy::own_call_rate::OwnCallMean;
use crate::policy::upstream_stats::UpstreamStats;

/// Load of a service as this router sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLoad {
    /// Whether its upstreams share their hosts: they say at which pace these work.
    shares_hosts: bool,
    own_calls: OwnCallMean,
}

impl<D: EdgeDialect> TrafficState<D> {
    /// Returns whether the upstreams of a service share their hosts with others and may be slow for
    /// that reason.
    pub fn shares_hosts(&self, service: &ServiceId) -> bool {
        let loads = self.service_loads.borrow();
        loads.get(service).is_some_and(|load| load.shares_hosts)
    }

    /// Returns this router's open calls per upstream of a service whose upstreams share their hosts;
    /// `None` for other services. `stats` are those of all its upstreams.
    pub(super) fn mean_own_calls<'a, I>(
        &self,
        service: &ServiceId,
        stats: I,
        now: MonoTime,
    ) -> Option<f64>
    where
        I: Iterator<Item = &'a UpstreamStats> + Clone,
    {
        let mut loads = self.service_loads.borrow_mut();
        let load = loads.entry(service.clone()).or_default();
        load.shares_hosts |= stats.clone().any(UpstreamStats::tells_pace);
        let open_calls = stats.clone().map(|stats| stats.own_calls).sum();
        let mean = load.own_calls.record(open_calls, stats.count(), now);
        load.shares_hosts.then_some(mean)
    }

    /// Removes what is known of services without upstreams.
    pub(super) fn sweep_service_loads(&self, upstreams: &[Arc<UpstreamEntry>]) {
        let is_served = |service: &ServiceId| upstreams.iter().any(|up| up.service == *service);
        let mut loads = self.service_loads.borrow_mut();
        loads.retain(|service, _| is_served(service));
    }
}
