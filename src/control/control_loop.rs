//! The event loop of the control thread.

mod life;
mod status;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::board::{Board, LifeStage};
use crate::bundle::ConfigBundle;
use crate::control::call_controller::CallController;
use crate::control::config_controller::ConfigController;
use crate::control::event::ControlEvent;
use crate::control::peer_controller::{PeerController, targets_of};
use crate::control::upstream_controller::UpstreamController;
use crate::control::work_controller::WorkController;
use crate::fleet::config_state::ManifestVerdict;
use crate::fleet::pause_detector::{PauseDetector, RefreshKind};
use crate::ids::{EngineKey, ModelKey, RequestKey, VmId, VmKey};
use crate::mono::{MonoTime, ProcessClock};
use crate::peer::{PeerEvent, PeerMailbox, PeerName};
use crate::policy::refusal::RefusalReason;
use crate::policy::retry_budget::RetryBudget;
use crate::policy::slot_counts::EngineLoad;
use crate::policy::slot_waiters::SlotWaiter;
use crate::statsd_metrics::StatsdMetrics;
use crate::wire::{DigestPong, FleetDigest, LoadEntry, PeerBody, SlotReply, SlotRequest};
use crate::wire_convert::{kind_from_wire, rank_from_wire, slot_reply};

const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between the digests that are sent to peers.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the status and the slot owners of the engines are published on the board.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// How long a stopping router waits for peers to acknowledge its ticket ledger.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that locators may take to notice a drain, in addition to the lifetime of their responses.
const LOCATOR_MARGIN: Duration = Duration::from_millis(1500);

/// Controllers and shared objects of a [`ControlLoop`].
pub struct ControlParts {
    /// The VM that this router runs on.
    pub own: VmId,
    pub clock: ProcessClock,
    /// Where state is published for the other threads.
    pub board: Arc<Board>,
    pub config: ConfigController,
    pub upstreams: UpstreamController,
    /// Model requests that wait for an engine or run on one.
    pub work: WorkController,
    /// Connections to the other routers.
    pub peers: PeerController,
    /// Ticketed calls, which run at most once.
    pub calls: CallController,
    /// How long a closing router waits for requests in progress.
    pub drain_limit: Duration,
    pub metrics: StatsdMetrics,
    /// Publishes the life stage to the other tasks of the process.
    pub stage: watch::Sender<LifeStage>,
}

/// State of the control thread.
pub struct ControlLoop {
    parts: ControlParts,
    pause_detector: PauseDetector,
    /// Events that arrived after a pause, kept until the cached state is refreshed.
    delayed: VecDeque<ControlEvent>,
    next_digest: MonoTime,
    next_status: MonoTime,
    stage: LifeStage,
    stage_since: MonoTime,
    handed_over_at: Option<MonoTime>,
}

impl ControlLoop {
    pub fn new(parts: ControlParts) -> Self {
        Self {
            parts,
            pause_detector: PauseDetector::default(),
            delayed: VecDeque::new(),
            next_digest: MonoTime::default(),
            next_status: MonoTime::default(),
            stage: LifeStage::Starting,
            stage_since: MonoTime::default(),
            handed_over_at: None,
        }
    }

    /// Handles events and ticks until the router has stopped.
    pub async fn run(mut self, mut events: UnboundedReceiver<ControlEvent>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while self.stage != LifeStage::Stopped {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.tick(),
                event = events.recv() => match event {
                    Some(event) => self.handle_or_delay(event),
                    None => return,
                },
            }
            let now = self.now();
            if !self.pause_detector.must_delay(now) {
                self.parts.work.dispatch(now, &self.parts.peers);
            }
        }
    }

    fn now(&self) -> MonoTime {
        self.parts.clock.now()
    }

    /// The configuration in force, shared rather than copied, or `None` before the first one.
    fn bundle(&self) -> Option<Arc<ConfigBundle>> {
        let accepted = self.parts.config.state().accepted()?;
        Some(Arc::clone(&accepted.bundle))
    }

    fn tick(&mut self) {
        let now = self.now();
        if self.pause_detector.tick(now) {
            spdlog::warn!("woken-after-pause", kv: { pauses = self.pause_detector.pauses() });
            self.parts.peers.redial_all();
        }
        self.handle_delayed(now);
        self.parts.calls.tick(now);
        let present = self.parts.peers.view().present(now);
        self.parts.work.scheduler.set_routers(&present);
        self.parts
            .upstreams
            .update_scheduler(now, &mut self.parts.work.scheduler);
        if now >= self.next_digest {
            self.next_digest = now + DIGEST_INTERVAL;
            self.send_digest(now);
        }
        self.advance_stage(now);
        if now >= self.next_status {
            self.next_status = now + STATUS_INTERVAL;
            self.write_status(now);
            self.write_engine_owners(now);
        }
    }

    /// Handles an event, or delays it while it would act on state from before a pause.
    fn handle_or_delay(&mut self, event: ControlEvent) {
        let needs_fresh_state = matches!(
            event,
            ControlEvent::Submit(_) | ControlEvent::Mint(_) | ControlEvent::Call(_)
        );
        if needs_fresh_state && self.pause_detector.must_delay(self.now()) {
            self.delayed.push_back(event);
        } else {
            self.handle(event);
        }
    }

    fn handle_delayed(&mut self, now: MonoTime) {
        while !self.pause_detector.must_delay(now) {
            let Some(event) = self.delayed.pop_front() else {
                return;
            };
            self.handle(event);
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        let now = self.now();
        match event {
            ControlEvent::Submit(request) => self.submit(now, request),
            ControlEvent::Finish {
                request,
                engine,
                answered,
            } => {
                self.handle_finish(now, request, engine, answered);
            }
            ControlEvent::Preempted { request, reply } => {
                self.parts
                    .work
                    .requeue_preempted(now, request, reply, &self.parts.peers);
            }
            ControlEvent::Cancel(request) => self.parts.work.cancel(request),
            ControlEvent::Retry(reply) => {
                let _ = reply.send(self.parts.work.retries.try_withdraw());
            }
            ControlEvent::Mint(request) => {
                if let Some(bundle) = self.bundle() {
                    self.parts.calls.mint(now, request, &bundle.rules);
                }
            }
            ControlEvent::Call(call) => {
                if let Some(bundle) = self.bundle() {
                    self.parts
                        .calls
                        .call(now, call, &bundle.rules, &self.parts.peers);
                }
            }
            ControlEvent::CallSettled { serial, record } => {
                self.parts.calls.settle(serial, &record);
            }
            ControlEvent::Peer(event) => self.handle_peer_event(now, event),
            ControlEvent::Manifest(fetched) => {
                let verdict = self.parts.config.consider(&fetched.manifest);
                if !matches!(verdict, ManifestVerdict::Fetch(_)) {
                    self.parts.config.mark_service_checked();
                    // A newer revision is not in force before its parts are fetched.
                    self.pause_detector
                        .refreshed(RefreshKind::Revision, fetched.requested_at);
                }
                let _ = fetched.reply.send(verdict);
            }
            ControlEvent::Parts(fetched) => {
                self.parts.config.mark_service_checked();
                let board = Arc::clone(&self.parts.board);
                if self
                    .parts
                    .config
                    .complete(&board, &fetched.manifest, fetched.parts)
                {
                    self.apply_config();
                }
                self.pause_detector
                    .refreshed(RefreshKind::Revision, fetched.requested_at);
            }
            ControlEvent::ConfigUnchanged {
                requested_at,
                answered,
            } => {
                self.parts.config.mark_service_checked();
                if answered {
                    self.pause_detector
                        .refreshed(RefreshKind::Revision, requested_at);
                }
            }
            ControlEvent::VmList(update) => {
                self.pause_detector
                    .refreshed(RefreshKind::VmList, update.requested_at);
                if let Some(vms) = update.vms {
                    self.parts.upstreams.set_vm_list(vms);
                    self.refresh_upstreams(now);
                }
            }
            ControlEvent::EngineProbed(result) => {
                self.parts.upstreams.record_probe(now, result);
                self.refresh_upstreams(now);
            }
            ControlEvent::ProbeTargets(reply) => {
                let own = self.parts.own.key();
                let scheduler = &self.parts.work.scheduler;
                let _ = reply.send(self.parts.upstreams.probe_targets(now, own, scheduler));
            }
            ControlEvent::Explain(request) => self.explain(now, request),
            ControlEvent::Drain => self.start_drain(now),
        }
    }

    fn submit(&mut self, now: MonoTime, request: crate::control::event::WorkRequest) {
        let refusing = matches!(self.stage, LifeStage::Closing | LifeStage::Stopped);
        self.parts.work.submit(request);
        if refusing {
            let reason = RefusalReason::Draining;
            self.parts
                .work
                .refuse_waiting(now, reason, &self.parts.peers);
        }
    }

    fn handle_finish(
        &mut self,
        now: MonoTime,
        request: RequestKey,
        engine: EngineKey,
        answered: bool,
    ) {
        self.parts.upstreams.record_call(now, engine, answered);
        self.parts.work.finish(now, request, &self.parts.peers);
        self.refresh_upstreams(now);
    }

    fn refresh_upstreams(&mut self, now: MonoTime) {
        self.parts
            .upstreams
            .update_scheduler(now, &mut self.parts.work.scheduler);
    }

    fn handle_peer_event(&mut self, now: MonoTime, event: PeerEvent) {
        match event {
            PeerEvent::Up { name, mailbox } => {
                self.parts.peers.set_connected(&name, mailbox);
                self.next_digest = now;
            }
            PeerEvent::Down { vm } => {
                self.parts.peers.set_disconnected(vm.key());
                self.parts.config.mark_peer_unreachable(vm.key());
                self.parts.calls.peer_down(vm.key());
            }
            PeerEvent::Frame {
                name,
                body,
                mailbox,
                opened,
            } => {
                if !self.pause_detector.predates_resume(opened) {
                    self.handle_peer_frame(now, &name, body, &mailbox, opened);
                }
            }
        }
    }

    fn handle_peer_frame(
        &mut self,
        now: MonoTime,
        name: &PeerName,
        body: PeerBody,
        mailbox: &PeerMailbox,
        opened: MonoTime,
    ) {
        let peer = name.vm.key();
        let board = Arc::clone(&self.parts.board);
        match body {
            PeerBody::Digest(digest) => {
                let is_newer = digest.revision > self.parts.config.state().revision().0;
                self.handle_digest(now, name, digest, mailbox);
                // A newer revision is not in force before the peer has sent it.
                if !is_newer {
                    self.pause_detector.refreshed(RefreshKind::Revision, opened);
                }
            }
            PeerBody::SlotRequest(request) => self.handle_slot_request(now, peer, request, mailbox),
            PeerBody::SlotReply(reply) => self.handle_slot_reply(now, peer, reply),
            PeerBody::SlotRelease(release) => {
                let engine = EngineKey(release.engine);
                self.parts
                    .work
                    .scheduler
                    .set_remote_running_by_engine(peer, engine, release.total);
                let kind = kind_from_wire(release.headroom);
                self.parts
                    .work
                    .scheduler
                    .handle_slot_release(now, peer, engine, kind);
            }
            PeerBody::LoadTotal(total) => {
                let model = ModelKey(total.model);
                self.parts
                    .work
                    .scheduler
                    .set_remote_running(peer, model, total.running);
                self.parts
                    .work
                    .scheduler
                    .set_remote_waiting(peer, total.waiting);
            }
            PeerBody::RelayedCall(request) => {
                if !self.pause_detector.must_delay(now) {
                    self.parts
                        .calls
                        .handle_relayed_call(now, request, mailbox.clone());
                }
            }
            PeerBody::RelayedCallReply(reply) => self.parts.calls.handle_call_reply(peer, reply),
            PeerBody::ManifestRequest(_) => self.parts.config.send_manifest(mailbox),
            PeerBody::ManifestReply(reply) => {
                if self
                    .parts
                    .config
                    .handle_peer_manifest(&board, peer, &reply, mailbox)
                {
                    self.apply_config();
                }
                if !self.parts.config.awaits_parts(peer) {
                    self.pause_detector.refreshed(RefreshKind::Revision, opened);
                }
            }
            PeerBody::PartsRequest(request) => self.parts.config.send_parts(request, mailbox),
            PeerBody::PartsReply(reply) => {
                if self.parts.config.handle_peer_parts(&board, peer, reply) {
                    self.apply_config();
                }
                self.pause_detector.refreshed(RefreshKind::Revision, opened);
            }
            PeerBody::Ledger(handover) => {
                let life = self
                    .bundle()
                    .map_or(Duration::ZERO, |bundle| bundle.rules.ticket_life.0);
                let ack = self.parts.calls.store_ledger(now, life, handover);
                let _ = mailbox.send(ack);
            }
            PeerBody::LedgerAck(_) => self.parts.calls.record_ledger_ack(peer),
            PeerBody::Pong(_) | PeerBody::Hello(_) | PeerBody::Welcome(_) | PeerBody::Proof(_) => {}
        }
    }

    fn handle_digest(
        &mut self,
        now: MonoTime,
        name: &PeerName,
        digest: FleetDigest,
        mailbox: &PeerMailbox,
    ) {
        let peer = name.vm.key();
        let pong = DigestPong {
            sequence: digest.sequence,
        };
        let _ = mailbox.send(PeerBody::Pong(pong));
        self.parts.peers.apply_digest(now, name, &digest);
        let revision = crate::ids::RevisionNumber(digest.revision);
        self.parts
            .config
            .handle_peer_revision(peer, revision, mailbox);
        let loads: Vec<EngineLoad> = digest.loads.iter().map(|&load| load.into()).collect();
        self.parts
            .work
            .scheduler
            .apply_load_report(now, peer, &loads);
        self.parts
            .work
            .scheduler
            .set_remote_waiting(peer, digest.waiting);
        for entry in digest.reports {
            self.parts.upstreams.merge_peer_report(now, entry);
        }
        self.refresh_upstreams(now);
    }

    fn handle_slot_request(
        &mut self,
        now: MonoTime,
        peer: VmKey,
        slot_request: SlotRequest,
        mailbox: &PeerMailbox,
    ) {
        if self.pause_detector.must_delay(now) {
            return;
        }
        let engine = EngineKey(slot_request.engine);
        self.parts
            .work
            .scheduler
            .set_remote_running_by_engine(peer, engine, slot_request.total);
        let waiter = SlotWaiter {
            router: peer,
            rank: rank_from_wire(slot_request.rank),
        };
        let response =
            self.parts
                .work
                .scheduler
                .handle_slot_request(now, engine, waiter, slot_request.wait);
        if let Some(response) = response {
            let total = self.parts.work.scheduler.own_running(engine);
            let reply = slot_reply(RequestKey(slot_request.request), engine, response, total);
            let _ = mailbox.send(PeerBody::SlotReply(reply));
        }
    }

    fn handle_slot_reply(&mut self, now: MonoTime, peer: VmKey, reply: SlotReply) {
        let request = RequestKey(reply.request);
        let engine = EngineKey(reply.engine);
        self.parts
            .work
            .scheduler
            .set_remote_running_by_engine(peer, engine, reply.total);
        let steps =
            self.parts
                .work
                .scheduler
                .handle_slot_response(now, request, engine, reply.into());
        self.parts.work.carry_out(now, steps, &self.parts.peers);
    }

    /// Passes the configuration in force to every controller.
    fn apply_config(&mut self) {
        let Some(accepted) = self.parts.config.state().accepted() else {
            return;
        };
        let bundle = Arc::clone(&accepted.bundle);
        let rules = Arc::new(bundle.rules.clone());
        let register = &bundle.register;
        self.parts.work.retries = RetryBudget::new(rules.retry_budget);
        self.parts.work.scheduler.set_rules(rules);
        self.parts.upstreams.set_engines(register.engines.clone());
        let vms = register.vms.iter().map(|vm| (&vm.id, vm.peer));
        self.parts.peers.set_targets(targets_of(vms));
        let now = self.now();
        self.refresh_upstreams(now);
        self.next_digest = now;
    }

    fn send_digest(&mut self, now: MonoTime) {
        let loads = self.parts.work.scheduler.own_loads();
        let digest = FleetDigest {
            sequence: 0,
            draining: !matches!(self.stage, LifeStage::Starting | LifeStage::Serving),
            revision: self.parts.config.state().revision().0,
            loads: loads.into_iter().map(LoadEntry::from).collect(),
            reports: self.parts.upstreams.fresh_own_reports(now),
            waiting: self.parts.work.scheduler.waiting_total(),
        };
        self.parts.peers.send_digest(digest);
    }
}
