//! Keeps the beliefs about engines and says which of them this router probes.

use std::collections::HashMap;
use std::time::Duration;

use crate::control::event::{EngineProbe, ListedVm, ProbeTarget};
use crate::fleet::upstream_view::{EngineReport, UpstreamState, UpstreamView};
use crate::ids::{EngineKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::request_scheduler::{PoolEngine, RequestScheduler};
use crate::register::EngineEntry;
use crate::wire::ReportEntry;

/// A report older than this is read anew by every router that misses it.
const REPORT_STALE: Duration = Duration::from_secs(2);

/// Engines of the register and what is believed of them.
#[derive(Debug, Default)]
pub struct UpstreamController {
    engines: Vec<EngineEntry>,
    view: UpstreamView,
    listed: Vec<ListedVm>,
    /// Reports that this router has read itself.
    own_reports: HashMap<EngineKey, EngineReport>,
    /// States that the scheduler was last told.
    told: Vec<PoolEngine>,
}

impl UpstreamController {
    /// Takes the engines of a new configuration.
    pub fn set_engines(&mut self, engines: Vec<EngineEntry>) {
        let keys: Vec<EngineKey> = engines.iter().map(|engine| engine.id.key()).collect();
        self.view.retain(&keys);
        self.own_reports.retain(|engine, _| keys.contains(engine));
        self.engines = engines;
        self.apply_list();
    }

    /// Engines of the register.
    pub fn engines(&self) -> &[EngineEntry] {
        &self.engines
    }

    /// Takes the platform's list.
    pub fn set_vm_list(&mut self, listed: Vec<ListedVm>) {
        self.listed = listed;
        self.apply_list();
    }

    /// Takes what a probe found.
    pub fn record_probe(&mut self, now: MonoTime, word: EngineProbe) {
        match word.report {
            Some(report) => {
                self.own_reports.insert(word.engine, report);
                self.view.merge_report(word.engine, report);
            }
            None => self.view.record_failure(now, word.engine),
        }
    }

    /// Takes a report that a peer has read.
    pub fn merge_peer_report(&mut self, now: MonoTime, entry: ReportEntry) {
        let report = EngineReport {
            reported_at: now.back(Duration::from_millis(entry.age_ms)),
            leaving: entry.leaving,
            running: entry.running,
        };
        self.view.merge_report(EngineKey(entry.engine), report);
    }

    /// Counts how a call ended.
    pub fn record_call(&mut self, now: MonoTime, engine: EngineKey, answered: bool) {
        if answered {
            self.view.record_success(engine);
        } else {
            self.view.record_failure(now, engine);
        }
    }

    /// Fresh reports that this router has read, for its digest.
    pub fn fresh_own_reports(&self, now: MonoTime) -> Vec<ReportEntry> {
        let fresh = self
            .own_reports
            .iter()
            .filter(|(_, report)| now.since(report.reported_at) < REPORT_STALE);
        fresh
            .map(|(engine, report)| ReportEntry {
                engine: engine.0,
                age_ms: now.since(report.reported_at).as_millis() as u64,
                leaving: report.leaving,
                running: report.running,
            })
            .collect()
    }

    /// Engines that this router reads: those it is the steward of, and those nobody has read
    /// lately.
    pub fn probe_targets(
        &self,
        now: MonoTime,
        own: VmKey,
        scheduler: &RequestScheduler,
    ) -> Vec<ProbeTarget> {
        let wanted = self.engines.iter().filter(|engine| {
            let key = engine.id.key();
            let stale = self
                .view
                .latest_report(key)
                .is_none_or(|report| now.since(report.reported_at) > REPORT_STALE);
            stale || scheduler.slot_owner_of(key) == own
        });
        wanted
            .map(|engine| ProbeTarget {
                engine: engine.id.key(),
                address: engine.address,
            })
            .collect()
    }

    /// Whether an engine takes new work, and if not, why.
    pub fn state(&self, now: MonoTime, engine: EngineKey) -> UpstreamState {
        self.view.state(now, engine)
    }

    /// Age of an engine's last report.
    pub fn report_age(&self, now: MonoTime, engine: EngineKey) -> Option<Duration> {
        self.view
            .latest_report(engine)
            .map(|report| now.since(report.reported_at))
    }

    /// Tells the scheduler which engines are open, if that has changed.
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
        if pool != self.told {
            scheduler.set_engines(&pool);
            self.told = pool;
        }
    }

    fn apply_list(&mut self) {
        for engine in &self.engines {
            let listed = self.listed.iter().find(|vm| vm.address == engine.address);
            let leaving = listed.is_some_and(|vm| vm.leaving);
            self.view.set_listed_leaving(engine.id.key(), leaving);
        }
    }
}
