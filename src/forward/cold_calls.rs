//! Calls to cold upstreams, as the state of a traffic thread shows them.

use std::time::Duration;

use crate::dialect::{ColdStatement, EdgeDialect};
use crate::fleet::upstream_entry::UpstreamEntry;
use crate::forward::traffic_state::{TrafficState, UpstreamGuard};
use crate::forward::upstream_gates::ColdGate;
use crate::ids::{ServiceId, UpstreamKey};
use crate::policy::call_attempts::AttemptFault;
use crate::policy::cold_upstreams::{ColdPlace, ColdUpstreams};

/// Least time until a rejected caller may try a service again whose upstreams are cold.
const MIN_COLD_WAIT: Duration = Duration::from_millis(100);

impl<D: EdgeDialect> TrafficState<D> {
    fn cold_place(&self) -> ColdPlace {
        ColdPlace {
            fleet_size: self.board.fleet_size(),
            contact: self.board.contact(),
            bound: self.board.settings.load().cold_bound,
        }
    }

    /// Returns this router's shares of the rates of cold upstreams.
    pub(super) fn cold_gate(&self) -> ColdGate<'_> {
        ColdGate {
            cold: self.board.cold_upstreams(),
            place: self.cold_place(),
            now: self.now(),
        }
    }

    /// Counts a call for which an upstream was chosen. Returns whether it took a share.
    pub(super) fn take_cold_share(&self, upstream: UpstreamKey) -> bool {
        let now = self.now();
        let mut cold = self.board.cold_upstreams();
        cold.take(upstream.into(), self.cold_place(), now)
    }

    /// Returns whether the call may be written to its upstream, which may have become cold since it
    /// was chosen.
    pub fn may_write(&self, guard: &UpstreamGuard<D>) -> bool {
        let now = self.now();
        let taken = guard.took_cold_share;
        let mut cold = self.board.cold_upstreams();
        let may_write = cold.may_write(guard.key.into(), taken, self.cold_place(), now);
        if !may_write {
            self.telemetry.cold_calls_held.inc();
        }
        may_write
    }

    /// Records what a response says about the cold time of its upstream.
    pub(super) fn record_cold(&self, entry: &UpstreamEntry, said: ColdStatement) {
        let now = self.now();
        let mut cold = self.board.cold_upstreams();
        cold.record_answer(entry.id.key().into(), said, now);
        self.announce_cold(&cold);
    }

    /// Records that no connection to an upstream could be made, or that it ended one during a call: it
    /// may have started again since, which nothing else shows before its entry.
    pub(super) fn record_cold_failure(&self, upstream: UpstreamKey, fault: AttemptFault) {
        let has_ended = matches!(fault, AttemptFault::Refused | AttemptFault::Broken);
        if !has_ended && fault != AttemptFault::Unreachable {
            return;
        }
        let now = self.now();
        let mut cold = self.board.cold_upstreams();
        cold.record_failure(upstream.into(), has_ended, now);
        self.announce_cold(&cold);
    }

    fn announce_cold(&self, cold: &ColdUpstreams) {
        if cold.has_news() {
            self.board.streams_changed.notify_one();
        }
    }

    /// Returns how long a caller has to wait until an upstream of `service` that is cold takes a call,
    /// or `None` if none is cold.
    pub(super) fn cold_wait(&self, service: &ServiceId) -> Option<Duration> {
        let upstreams = self.board.upstreams.load();
        let members = upstreams.iter().filter(|entry| entry.service == *service);
        let gate = self.cold_gate();
        let waits = members.map(|entry| gate.wait(entry).unwrap_or_else(|until| until));
        let held = waits.filter(|wait| !wait.is_zero());
        held.map(|wait| wait.max(MIN_COLD_WAIT)).min()
    }
}
