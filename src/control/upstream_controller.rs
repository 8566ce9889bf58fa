//! Maintains the last known state of the engines and selects those that this router probes.

use std::collections::HashMap;
use std::time::Duration;

use crate::control::event::{EngineProbe, ListedVm, ProbeTarget};
use crate::fleet::upstream_view::{EngineReport, UpstreamState, UpstreamView};
use crate::ids::{EngineKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::request_scheduler::{PoolEngine, RequestScheduler};
use crate::register::EngineEntry;
use crate::wire::ReportEntry;

/// Age at which a report is stale. A router probes an engine itself if it has no fresher report of
/// it, and sends only fresher reports to its peers.
const REPORT_MAX_AGE: Duration = Duration::from_secs(2);

/// Engines of the register with their last known state.
#[derive(Debug, Default)]
pub struct UpstreamController {
    engines: Vec<EngineEntry>,
    view: UpstreamView,
    /// The platform's list of VMs.
    listed_vms: Vec<ListedVm>,
    /// Reports from probes by this router, as opposed to those that peers relayed.
    own_reports: HashMap<EngineKey, EngineReport>,
    /// Engines as last passed to the scheduler.
    scheduler_engines: Vec<PoolEngine>,
}

impl UpstreamController {
    /// Replaces the engines with those of a new configuration.
    pub fn set_engines(&mut self, engines: Vec<EngineEntry>) {
        let keys: Vec<EngineKey> = engines.iter().map(|engine| engine.id.key()).collect();
        self.view.retain(&keys);
        self.own_reports.retain(|engine, _| keys.contains(engine));
        self.engines = engines;
        self.apply_vm_list();
    }

    /// Returns the engines of the register.
    pub fn engines(&self) -> &[EngineEntry] {
        &self.engines
    }

    /// Replaces the platform's list of VMs.
    pub fn set_vm_list(&mut self, vms: Vec<ListedVm>) {
        self.listed_vms = vms;
        self.apply_vm_list();
    }

    /// Records the result of a probe by this router; a probe without a report counts as a failure.
    pub fn record_probe(&mut self, now: MonoTime, probe: EngineProbe) {
        match probe.report {
            Some(report) => {
                self.own_reports.insert(probe.engine, report);
                self.view.merge_report(probe.engine, report);
            }
            None => self.view.record_failure(now, probe.engine),
        }
    }

    /// Merges a report that a peer has read and relayed in its digest.
    pub fn merge_peer_report(&mut self, now: MonoTime, entry: ReportEntry) {
        let report = EngineReport {
            reported_at: now.saturating_sub(Duration::from_millis(entry.age_ms)),
            leaving: entry.leaving,
            running: entry.running,
        };
        self.view.merge_report(EngineKey(entry.engine), report);
    }

    /// Records whether the engine responded to a call as it should.
    pub fn record_call(&mut self, now: MonoTime, engine: EngineKey, answered: bool) {
        if answered {
            self.view.record_success(engine);
        } else {
            self.view.record_failure(now, engine);
        }
    }

    /// Returns the fresh reports from probes by this router, for its digest to the peers.
    pub fn fresh_own_reports(&self, now: MonoTime) -> Vec<ReportEntry> {
        let fresh = self
            .own_reports
            .iter()
            .filter(|(_, report)| now.since(report.reported_at) < REPORT_MAX_AGE);
        fresh
            .map(|(engine, report)| ReportEntry {
                engine: engine.0,
                age_ms: now.since(report.reported_at).as_millis() as u64,
                leaving: report.leaving,
                running: report.running,
            })
            .collect()
    }

    /// Returns the engines that this router probes: those whose slots it owns, and those without a
    /// fresh report from any router.
    pub fn probe_targets(
        &self,
        now: MonoTime,
        own: VmKey,
        scheduler: &RequestScheduler,
    ) -> Vec<ProbeTarget> {
        let selected = self.engines.iter().filter(|engine| {
            let key = engine.id.key();
            let stale = self
                .view
                .latest_report(key)
                .is_none_or(|report| now.since(report.reported_at) > REPORT_MAX_AGE);
            stale || scheduler.slot_owner_of(key) == own
        });
        selected
            .map(|engine| ProbeTarget {
                engine: engine.id.key(),
                address: engine.address,
            })
            .collect()
    }

    /// Returns whether an engine accepts new work, or the reason why not.
    pub fn state(&self, now: MonoTime, engine: EngineKey) -> UpstreamState {
        self.view.state(now, engine)
    }

    /// Returns the age of an engine's newest report, or `None` if there is none.
    pub fn report_age(&self, now: MonoTime, engine: EngineKey) -> Option<Duration> {
        self.view
            .latest_report(engine)
            .map(|report| now.since(report.reported_at))
    }

    /// Passes the engines and their availability to the scheduler if they have changed.
    pub fn update_scheduler(&mut self, now: MonoTime, scheduler: &mut RequestScheduler) {
        let pool: Vec<PoolEngine> = self
            .engines
            .iter()
            .map(|engine| PoolEngine {
                key: engine.id.key(),
                model: engine.model.key(),
                slots: engine.slots,
                open: self.view.state(now, engine.id.key()) == UpstreamState::Open,
            })
            .collect();
        if pool != self.scheduler_engines {
            scheduler.set_engines(&pool);
            self.scheduler_engines = pool;
        }
    }

    fn apply_vm_list(&mut self) {
        for engine in &self.engines {
            let listed = self
                .listed_vms
                .iter()
                .find(|vm| vm.address == engine.address);
            let leaving = listed.is_some_and(|vm| vm.leaving);
            self.view.set_listed_leaving(engine.id.key(), leaving);
        }
    }
}
