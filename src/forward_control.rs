//! The control thread of a forwarding router: it follows the store and the peers, decides the
//! stage, and writes the board.

mod store_task;

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use prost::Message;
use rand::RngExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::error::{RouterError, RouterResult, StepName};
use crate::fleet::member_table::{GOSSIP_PERIOD, MemberRecord, MemberStage, MemberTable};
use crate::fleet::store_belief::{
    BeliefEffect, DocumentCodec, StoreBelief, StoreChange, StoreItem, StoreRevision,
};
use crate::forward::front_server::listen;
use crate::forward_control::store_task::{StoreWord, follow_store};
use crate::gossip::frames::{
    DocumentAsk, DocumentFrame, DocumentGive, HeartbeatFrame, MemberFrame,
};
use crate::gossip::{answer_peer, fetch_documents};
use crate::ids::IncarnationId;
use crate::mono::{MonoTime, ProcessClock};
use crate::route::ConfigVersion;
use crate::router_board::{RouterBoard, RouterStage};
use crate::router_settings::ForwardSettings;
use crate::store_source::StoreSource;
use crate::telemetry::RouterTelemetry;

/// A tick this late means that the process was paused: its beliefs are that much older than they
/// seem.
const PAUSE_BOUND: Duration = Duration::from_millis(1000);

/// How long a router that was asked to stop takes new calls: the life of an answer with its
/// address, and a margin.
const LEAVING_TIME: Duration = Duration::from_millis(2400);

/// Kept of the grace for the end itself.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Wait for the store before a peer is asked for a newer configuration.
const PEER_CONFIG_WAIT: Duration = Duration::from_millis(300);

/// Silence of the store after which a peer is asked for changes of upstreams.
const PEER_ENTRY_WAIT: Duration = Duration::from_millis(800);

/// Ticks between two looks at the settings file.
const SETTINGS_TICKS: u64 = 8;

/// Largest datagram: below what any link carries whole.
const DATAGRAM_BYTES: usize = 1400;

/// Largest heartbeat that is read.
const DATAGRAM_READ: usize = 4096;

/// Reads the settings anew.
pub trait SettingsSource: Send + 'static {
    /// The settings as the file has them now.
    fn read(&self) -> RouterResult<ForwardSettings>;
}

/// What the control thread starts with.
pub struct ControlStart<C, S, F> {
    /// Decodes the store's documents.
    pub codec: C,
    /// The store.
    pub store: S,
    /// The settings file.
    pub settings: F,
    /// The board.
    pub board: Arc<RouterBoard>,
    /// The clock of the process.
    pub clock: ProcessClock,
    /// The metrics.
    pub telemetry: RouterTelemetry,
}

struct ControlState<C> {
    board: Arc<RouterBoard>,
    clock: ProcessClock,
    telemetry: RouterTelemetry,
    belief: StoreBelief<C>,
    members: MemberTable,
    /// When the store last answered.
    store_heard: Option<MonoTime>,
    store_lost: bool,
    /// Since when a peer has a newer configuration.
    behind_since: Option<MonoTime>,
    /// A peer that knows more, and what it knows.
    ahead: Option<(Ipv4Addr, ConfigVersion, StoreRevision)>,
    fetching: bool,
    stop_asked: Option<MonoTime>,
    last_tick: MonoTime,
    ticks: u64,
}

/// Runs the control thread until the router has stopped.
pub async fn run_control<C, S, F>(start: ControlStart<C, S, F>) -> RouterResult<()>
where
    C: DocumentCodec + 'static,
    S: StoreSource,
    F: SettingsSource,
{
    let settings = start.board.settings.load_full();
    let control = listen(settings.control)?;
    let gossip_address = SocketAddrV4::new(settings.address, settings.gossip_port);
    let gossip = UdpSocket::bind(gossip_address)
        .await
        .map_err(|error| RouterError::step(StepName::Listen, gossip_address, error))?;
    let mut term = open_signal(SignalKind::terminate())?;
    let mut interrupt = open_signal(SignalKind::interrupt())?;
    let mut hangup = open_signal(SignalKind::hangup())?;
    let (words, mut heard) = unbounded_channel();
    let (fetched, mut gives) = unbounded_channel();
    let (restart, restarts) = watch::channel(0u64);
    tokio::task::spawn_local(follow_store(start.store, words, restarts));
    let own = MemberRecord {
        address: settings.address,
        incarnation: IncarnationId(rand::rng().random()),
        stage: MemberStage::Booting,
        data_center: settings.data_center.key(),
    };
    let now = start.clock.now();
    let state = Rc::new(RefCell::new(ControlState {
        board: start.board,
        clock: start.clock,
        telemetry: start.telemetry,
        belief: StoreBelief::new(start.codec),
        members: MemberTable::new(own, settings.seeds.clone()),
        store_heard: None,
        store_lost: false,
        behind_since: None,
        ahead: None,
        fetching: false,
        stop_asked: None,
        last_tick: now,
        ticks: 0,
    }));
    spdlog::info!("start", kv: {
        vm: = settings.vm, incarnation: = own.incarnation, front: = settings.front,
        data_center: = settings.data_center, seeds: = settings.seeds.len(),
        version: = env!("CARGO_PKG_VERSION")
    });
    tokio::task::spawn_local(serve_peers(control, Rc::clone(&state)));
    let mut ticks = tokio::time::interval(GOSSIP_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut datagram = vec![0; DATAGRAM_READ];
    loop {
        tokio::select! {
            Some(word) = heard.recv() => state.borrow_mut().store_word(word),
            Some((peer, give)) = gives.recv() => state.borrow_mut().fetched(peer, give),
            received = gossip.recv_from(&mut datagram) => {
                let Ok((bytes, sender)) = received else { continue };
                let answer = state.borrow_mut().heartbeat(&datagram[..bytes]);
                if answer {
                    send_round(&gossip, &state, &[sender]).await;
                }
            }
            _ = ticks.tick() => {
                let round = state.borrow_mut().tick();
                if round.paused {
                    restart.send_modify(|count| *count += 1);
                }
                if round.read_settings {
                    state.borrow_mut().reload(&start.settings, "poll");
                }
                send_round(&gossip, &state, &round.targets).await;
                if round.stopped {
                    spdlog::info!("stop", kv: { vm: = settings.vm });
                    return Ok(());
                }
            }
            _ = term.recv() => stop(&gossip, &state).await,
            _ = interrupt.recv() => stop(&gossip, &state).await,
            _ = hangup.recv() => state.borrow_mut().reload(&start.settings, "signal"),
        }
        let ask = state.borrow_mut().next_fetch();
        if let Some((peer, ask)) = ask {
            let fetched = fetched.clone();
            tokio::task::spawn_local(async move {
                // The receiver lives as long as this loop.
                let _ = fetched.send((peer, fetch_documents(peer, ask).await));
            });
        }
    }
}

fn open_signal(kind: SignalKind) -> RouterResult<tokio::signal::unix::Signal> {
    signal(kind).map_err(|error| RouterError::step(StepName::Listen, "signals", error))
}

/// What a tick asks of the loop.
#[derive(Debug, Default)]
struct TickRound {
    targets: Vec<SocketAddr>,
    paused: bool,
    read_settings: bool,
    stopped: bool,
}

/// Leaves the answers with addresses at once, here and at every peer.
async fn stop<C: DocumentCodec>(gossip: &UdpSocket, state: &Rc<RefCell<ControlState<C>>>) {
    let targets = {
        let mut state = state.borrow_mut();
        state.stop_asked();
        let known = state.members.known();
        known
            .into_iter()
            .map(|address| state.gossip_address(address))
            .collect::<Vec<SocketAddr>>()
    };
    // Twice, since datagrams may be lost.
    send_round(gossip, state, &targets).await;
    send_round(gossip, state, &targets).await;
}

async fn send_round<C: DocumentCodec>(
    gossip: &UdpSocket,
    state: &Rc<RefCell<ControlState<C>>>,
    targets: &[SocketAddr],
) {
    if targets.is_empty() {
        return;
    }
    let frame = state.borrow().frame();
    for target in targets {
        if let Err(error) = gossip.send_to(&frame, target).await {
            spdlog::debug!("heartbeat-unsent", kv: { peer: = target, reason: = error });
        }
    }
}

/// Gives documents to peers that ask.
async fn serve_peers<C: DocumentCodec + 'static>(
    listener: TcpListener,
    state: Rc<RefCell<ControlState<C>>>,
) {
    loop {
        match listener.accept().await {
            Ok((socket, peer)) => {
                let state = Rc::clone(&state);
                tokio::task::spawn_local(async move {
                    let give = |ask| state.borrow().give(ask);
                    if let Err(error) = answer_peer(socket, give).await {
                        spdlog::info!("peer-question-failed", kv: {
                            peer: = peer, reason: = error
                        });
                    }
                });
            }
            Err(error) => {
                spdlog::warn!("accept-failed", kv: { reason: = error });
                tokio::time::sleep(GOSSIP_PERIOD).await;
            }
        }
    }
}

impl<C: DocumentCodec> ControlState<C> {
    fn now(&self) -> MonoTime {
        self.clock.now()
    }

    fn gossip_address(&self, address: Ipv4Addr) -> SocketAddr {
        let port = self.board.settings.load().gossip_port;
        SocketAddrV4::new(address, port).into()
    }

    /// The heartbeat of this moment.
    fn frame(&self) -> Vec<u8> {
        let now = self.now();
        let records = self.members.frame_records(now, &mut rand::rng());
        let mut frame = HeartbeatFrame {
            sender: Some(MemberFrame::new(&self.members.own(), Duration::ZERO)),
            members: records
                .iter()
                .map(|(record, age)| MemberFrame::new(record, *age))
                .collect(),
            config_version: self.belief.config_version().0,
            store_revision: self.belief.revision().0,
        };
        while frame.encoded_len() > DATAGRAM_BYTES {
            frame.members.pop();
        }
        frame.encode_to_vec()
    }

    /// Merges a heartbeat; true if its sender should hear from this router at once.
    fn heartbeat(&mut self, bytes: &[u8]) -> bool {
        let now = self.now();
        let Ok(frame) = HeartbeatFrame::decode(bytes) else {
            spdlog::info!("heartbeat-unreadable", kv: { bytes: = bytes.len() });
            return false;
        };
        let sender = frame.sender.as_ref().and_then(MemberFrame::record);
        let Some((sender, _)) = sender else {
            return false;
        };
        let new = !self.members.is_live(sender.address, now);
        let mut changed = self.members.heard(sender, now);
        for (record, age) in frame.members.iter().filter_map(MemberFrame::record) {
            changed |= self.members.passed_on(record, age, now);
        }
        if changed {
            spdlog::info!("member-changed", kv: {
                member: = sender.address, stage:? = sender.stage, new: = new
            });
            self.publish_members(now);
        }
        self.compare(sender.address, &frame, now);
        new
    }

    /// Notes a peer that knows more than this router.
    fn compare(&mut self, peer: Ipv4Addr, frame: &HeartbeatFrame, now: MonoTime) {
        let version = ConfigVersion(frame.config_version);
        let revision = StoreRevision(frame.store_revision);
        if version > self.belief.config_version() {
            self.behind_since.get_or_insert(now);
        }
        let further = self
            .ahead
            .is_none_or(|(_, known, at)| version > known || (version == known && revision > at));
        let more = version > self.belief.config_version() || revision > self.belief.revision();
        if more && further {
            self.ahead = Some((peer, version, revision));
        }
    }

    /// A peer to ask for documents, and the question, once the store has had its time.
    fn next_fetch(&mut self) -> Option<(SocketAddrV4, DocumentAsk)> {
        let now = self.now();
        let (peer, version, revision) = self.ahead?;
        let own_version = self.belief.config_version();
        if version <= own_version {
            self.behind_since = None;
        }
        if version <= own_version && revision <= self.belief.revision() {
            self.ahead = None;
            return None;
        }
        let late_config = version > own_version
            && self
                .behind_since
                .is_some_and(|since| now.since(since) >= PEER_CONFIG_WAIT);
        let silent = self
            .store_heard
            .is_none_or(|heard| now.since(heard) >= PEER_ENTRY_WAIT);
        let booting = self.board.stage() == RouterStage::Booting;
        if self.fetching || !(late_config || (silent && self.store_lost) || booting) {
            return None;
        }
        self.fetching = true;
        self.ahead = None;
        let control = self.board.settings.load().control.port();
        let ask = DocumentAsk {
            config_version: own_version.0,
            store_revision: self.belief.revision().0,
        };
        Some((SocketAddrV4::new(peer, control), ask))
    }

    /// What a peer lacks.
    fn give(&self, ask: DocumentAsk) -> DocumentGive {
        let now = self.now();
        let since = StoreRevision(ask.store_revision);
        let mut documents: Vec<DocumentFrame> = self
            .belief
            .changes_since(since, now)
            .into_iter()
            .map(DocumentFrame::from)
            .collect();
        if let Some(config) = self.belief.config()
            && config.table.version > ConfigVersion(ask.config_version)
        {
            let item = StoreItem {
                key: self.belief.config_key().to_owned(),
                value: config.value.clone(),
                revision: config.revision,
            };
            documents.push(StoreChange::Written(item).into());
        }
        DocumentGive {
            documents,
            store_revision: self.belief.revision().0,
        }
    }

    fn fetched(&mut self, peer: SocketAddrV4, give: RouterResult<DocumentGive>) {
        self.fetching = false;
        let now = self.now();
        match give {
            Ok(give) => {
                let count = give.documents.len();
                let revision = StoreRevision(give.store_revision);
                let changes = give.documents.into_iter().map(StoreChange::from).collect();
                let effect = self.belief.merge_peer(changes, revision, now);
                spdlog::info!("documents-from-peer", kv: {
                    peer: = peer, documents: = count, revision: = revision,
                    version: = self.belief.config_version()
                });
                self.publish(effect);
            }
            Err(error) => spdlog::warn!("documents-missed", kv: { reason: = error }),
        }
    }

    fn store_word(&mut self, word: StoreWord) {
        let now = self.now();
        let effect = match word {
            StoreWord::Snapshot(snapshot) => {
                self.store_answered(now);
                spdlog::info!("store-read", kv: {
                    revision: = snapshot.revision, documents: = snapshot.items.len()
                });
                self.belief.merge_snapshot(snapshot, now)
            }
            StoreWord::News(news) => {
                self.store_answered(now);
                let mut effect = BeliefEffect::default();
                for change in news.changes {
                    let one = self.belief.merge_change(change, now);
                    effect.config |= one.config;
                    effect.upstreams |= one.upstreams;
                }
                self.belief.advance(news.revision);
                effect
            }
            StoreWord::HistoryLost => {
                spdlog::warn!("store-history-lost", kv: {
                    revision: = self.belief.revision()
                });
                return;
            }
            StoreWord::Failed(error) => {
                if !self.store_lost {
                    spdlog::warn!("store-lost", kv: {
                        reason: = format!("{error:#}"), revision: = self.belief.revision()
                    });
                }
                self.store_lost = true;
                self.belief.store_failed(now);
                return;
            }
        };
        self.publish(effect);
    }

    fn store_answered(&mut self, now: MonoTime) {
        self.store_heard = Some(now);
        self.belief.store_answered(now);
        if std::mem::take(&mut self.store_lost) {
            spdlog::info!("store-regained", kv: { revision: = self.belief.revision() });
        }
    }

    fn publish(&mut self, effect: BeliefEffect) {
        if effect.config
            && let Some(config) = self.belief.config()
        {
            self.board.routes.store(Some(Arc::clone(&config.table)));
        }
        if effect.upstreams {
            self.board
                .upstreams
                .store(Arc::new(self.belief.upstreams()));
        }
        self.update_stage();
    }

    fn publish_members(&self, now: MonoTime) {
        let live = self.members.live(now);
        let serving = |record: &&MemberRecord| record.stage == MemberStage::Serving;
        let entries: Vec<Ipv4Addr> = live
            .iter()
            .filter(serving)
            .map(|record| record.address)
            .collect();
        self.board.entries.store(Arc::new(entries));
        let fleet = self.members.fleet_size();
        self.board.fleet_size.store(fleet, Ordering::Relaxed);
        self.telemetry.routers.set(live.len() as i64);
    }

    fn update_stage(&mut self) {
        let known = self.belief.config().is_some() && !self.board.upstreams.load().is_empty();
        if known && self.board.stage() == RouterStage::Booting {
            self.enter(RouterStage::Serving);
        }
    }

    fn enter(&mut self, stage: RouterStage) {
        self.board.set_stage(stage);
        spdlog::info!("stage", kv: {
            stage: = stage.label(), config: = self.belief.config_version(),
            revision: = self.belief.revision(),
            calls: = self.board.calls.load(Ordering::Relaxed)
        });
        self.members.set_stage(match stage {
            RouterStage::Booting => MemberStage::Booting,
            RouterStage::Serving => MemberStage::Serving,
            RouterStage::Leaving | RouterStage::Closing => MemberStage::Leaving,
        });
        self.publish_members(self.now());
    }

    fn stop_asked(&mut self) {
        if self.stop_asked.is_none() {
            self.stop_asked = Some(self.now());
            self.enter(RouterStage::Leaving);
        }
    }

    fn tick(&mut self) -> TickRound {
        let now = self.now();
        self.ticks += 1;
        let late = now.since(self.last_tick);
        self.last_tick = now;
        let paused = late > PAUSE_BOUND;
        if paused {
            spdlog::warn!("paused", kv: { ms: = late.as_millis() });
            self.store_heard = None;
            self.belief.store_failed(now);
        }
        let effect = self.belief.tick(now);
        self.publish(effect);
        let targets = self.members.round(now, &mut rand::rng());
        self.publish_members(now);
        self.telemetry
            .config_version
            .set(self.belief.config_version().0 as i64);
        self.telemetry
            .store_revision
            .set(self.belief.revision().0 as i64);
        let age = self.store_heard.map_or(now.0, |heard| now.since(heard));
        self.telemetry.store_age_ms.set(age.as_millis() as i64);
        self.telemetry
            .upstreams
            .set(self.board.upstreams.load().len() as i64);
        let calls = self.board.calls.load(Ordering::Relaxed);
        self.telemetry.calls_open.set(calls as i64);
        TickRound {
            targets: targets
                .into_iter()
                .map(|address| self.gossip_address(address))
                .collect(),
            paused,
            read_settings: self.ticks.is_multiple_of(SETTINGS_TICKS),
            stopped: self.is_stopped(now, calls),
        }
    }

    /// Goes on with a stop; true once nothing is left to finish.
    fn is_stopped(&mut self, now: MonoTime, calls: usize) -> bool {
        let Some(asked) = self.stop_asked else {
            return false;
        };
        let spent = now.since(asked);
        if spent >= LEAVING_TIME && self.board.stage() == RouterStage::Leaving {
            self.enter(RouterStage::Closing);
            return false;
        }
        let grace = self.board.settings.load().stop_grace;
        let closing = self.board.stage() == RouterStage::Closing;
        (closing && calls == 0) || spent + STOP_MARGIN >= grace
    }

    /// Takes the settings that may change while the process runs.
    fn reload<F: SettingsSource>(&mut self, source: &F, cause: &'static str) {
        let settings = match source.read() {
            Ok(settings) => settings,
            Err(error) => {
                spdlog::warn!("settings-rejected", kv: { cause: = cause, reason: = error });
                return;
            }
        };
        let before = self.board.settings.load_full();
        if *before == settings {
            if cause == "signal" {
                spdlog::info!("settings-unchanged", kv: { cause: = cause });
            }
            return;
        }
        // Listeners stay where they are until the next start.
        let settings = ForwardSettings {
            seeds: settings.seeds,
            home: settings.home,
            retry: settings.retry,
            stop_grace: settings.stop_grace,
            locate_life: settings.locate_life,
            ..(*before).clone()
        };
        spdlog::info!("settings-reloaded", kv: { cause: = cause });
        self.members.set_seeds(settings.seeds.clone());
        self.board.settings.store(Arc::new(settings));
    }
}
