//! Upstreams in data centres that the operator has evacuated, as a traffic thread sees them.

use std::sync::Arc;

use crate::dialect::EdgeDialect;
use crate::fleet::upstream_entry::UpstreamEntry;
use crate::forward::traffic_state::TrafficState;
use crate::forward::upstream_gates::EvacuationGate;
use crate::policy::upstream_gate::UpstreamGate;

impl<D: EdgeDialect> TrafficState<D> {
    /// Returns the evacuated data centres.
    pub(super) fn evacuation_gate(&self) -> EvacuationGate {
        EvacuationGate {
            evacuations: self.board.evacuations.load_full(),
        }
    }

    /// Returns whether the upstream takes no calls for an unknown time: it leaves, is gone or is
    /// evacuated. Its idle connections are not kept.
    pub fn is_closed(&self, entry: &UpstreamEntry) -> bool {
        self.evacuation_gate().check(entry).is_some() || self.leaves(entry)
    }

    /// Returns the upstreams that are not evacuated. Only they are tried when none is in reach.
    pub(super) fn open_upstreams(&self) -> Vec<Arc<UpstreamEntry>> {
        let gate = self.evacuation_gate();
        let upstreams = self.board.upstreams.load();
        let open = upstreams.iter().filter(|entry| gate.check(entry).is_none());
        open.cloned().collect()
    }
}
