//! Builds the status for operators and the list of slot owners for locators.

use crate::board::{
    AccountQueue, EngineOwnerEntry, EngineOwnerSection, PeerStatus, StatusSection, UpstreamStatus,
};
use crate::control::control_loop::ControlLoop;
use crate::control::event::{ExplainRequest, RouteExplanation};
use crate::fleet::upstream_view::UpstreamState;
use crate::ids::{EngineKey, VmId, VmKey};
use crate::mono::MonoTime;

impl ControlLoop {
    pub(super) fn explain(&self, now: MonoTime, request: ExplainRequest) {
        let scheduler = &self.parts.work.scheduler;
        let mut order = scheduler.preference(request.model, request.chat);
        let engines = self.parts.upstreams.engines().iter();
        let closed = engines
            .filter(|engine| engine.model.key() == request.model)
            .map(|engine| engine.id.key())
            .filter(|key| !order.contains(key));
        let closed: Vec<EngineKey> = closed.collect();
        order.extend(closed);
        let routes = order.into_iter().filter_map(|key| {
            let mut engines = self.parts.upstreams.engines().iter();
            let engine = engines.find(|engine| engine.id.key() == key)?;
            Some(RouteExplanation {
                engine: engine.id.clone(),
                steward: self.vm_by_key(scheduler.slot_owner_of(key)),
                running: scheduler.load(key),
                reason: self.parts.upstreams.state(now, key).to_string(),
            })
        });
        let _ = request.reply.send(routes.collect());
    }

    pub(super) fn vm_by_key(&self, key: VmKey) -> Option<VmId> {
        let mut vms = std::iter::once(&self.parts.own).chain(self.parts.peers.targets());
        vms.find(|vm| vm.key() == key).cloned()
    }

    pub(super) fn write_status(&self, now: MonoTime) {
        let parts = &self.parts;
        let section = StatusSection {
            stage: self.stage,
            revision: parts.config.state().revision(),
            rejected: parts.config.rejection(),
            upstreams: self.upstream_status(now),
            peers: self.peer_status(now),
            waiting: parts.work.scheduler.waiting(),
            queues: self.account_queues(),
            running: parts.work.scheduler.running_len() as u64,
            ledger: parts.calls.ledger_len() as u64,
            handed_ledgers: parts.calls.stored_ledgers_len() as u64,
            pauses: self.pause_detector.pauses(),
        };
        parts.metrics.send_status(&section);
        parts.board.set_status(section);
    }

    pub(super) fn write_engine_owners(&self, now: MonoTime) {
        let upstreams = &self.parts.upstreams;
        let open = upstreams
            .engines()
            .iter()
            .filter(|engine| upstreams.state(now, engine.id.key()) == UpstreamState::Open);
        let entries = open.filter_map(|engine| {
            let owner = self.parts.work.scheduler.slot_owner_of(engine.id.key());
            Some(EngineOwnerEntry {
                engine: engine.id.key(),
                model: engine.model.key(),
                slots: engine.slots,
                steward: self.vm_by_key(owner)?,
            })
        });
        let entries: Vec<EngineOwnerEntry> = entries.collect();
        // Compared first, so that unchanged entries are not serialised and hashed again.
        if self.parts.board.engine_owners().homes != entries {
            self.parts
                .board
                .set_engine_owners(EngineOwnerSection::new(entries));
        }
    }

    pub(super) fn upstream_status(&self, now: MonoTime) -> Vec<UpstreamStatus> {
        let parts = &self.parts;
        let engines = parts.upstreams.engines().iter();
        engines
            .map(|engine| {
                let key = engine.id.key();
                let age = parts.upstreams.report_age(now, key);
                UpstreamStatus {
                    engine: engine.id.clone(),
                    model: engine.model.clone(),
                    state: parts.upstreams.state(now, key),
                    running: parts.work.scheduler.load(key),
                    slots: engine.slots,
                    report_age_ms: age.map(|age| age.as_millis() as u64),
                    steward: parts.work.scheduler.slot_owner_of(key) == parts.own.key(),
                }
            })
            .collect()
    }

    pub(super) fn peer_status(&self, now: MonoTime) -> Vec<PeerStatus> {
        let peers = &self.parts.peers;
        let mut status: Vec<PeerStatus> = peers
            .targets()
            .map(|vm| {
                let record = peers.view().record(vm.key());
                PeerStatus {
                    vm: vm.clone(),
                    answers: peers.view().is_responsive(now, vm.key()),
                    draining: record.is_some_and(|record| record.draining),
                    revision: record.map(|record| record.revision).unwrap_or_default(),
                }
            })
            .collect();
        status.sort_by(|a, b| a.vm.cmp(&b.vm));
        status
    }

    pub(super) fn account_queues(&self) -> Vec<AccountQueue> {
        let Some(accepted) = self.parts.config.state().accepted() else {
            return Vec::new();
        };
        let waiting = self.parts.work.waiting_accounts();
        if waiting.is_empty() {
            return Vec::new();
        }
        let accounts = accepted.bundle.register.accounts.iter();
        accounts
            .filter_map(|account| {
                let waiting = *waiting.get(&account.id.key())?;
                Some(AccountQueue {
                    account: account.id.clone(),
                    waiting,
                })
            })
            .collect()
    }
}
