//! What a forwarding router believes, and what follows from it.

mod peer_documents;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use prost::Message;

use crate::fleet::member_table::{MemberRecord, MemberStage, MemberTable};
use crate::fleet::store_view::{DocumentCodec, MergeEffect, StoreRevision, StoreView};
use crate::forward_board::{ForwardBoard, ForwardStage};
use crate::forward_control::SettingsSource;
use crate::forward_control::store_task::StoreWord;
use crate::forward_settings::ForwardSettings;
use crate::gossip::frames::{HeartbeatFrame, LoadColumns, MemberColumns};
use crate::mono::{MonoTime, ProcessClock};
use crate::route::ConfigVersion;
use crate::telemetry::{RouterTelemetry, set_count};

/// A tick this late means that the process was paused: its beliefs are that much older than they
/// seem.
const PAUSE_BOUND: Duration = Duration::from_secs(1);

/// How long a router that was asked to stop takes new calls: the life of an answer with its
/// address, and a margin.
const LEAVING_TIME: Duration = Duration::from_millis(2400);

/// Kept of the grace for the end itself.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Ticks between two looks at the settings file.
const SETTINGS_TICKS: u64 = 8;

/// What the control thread shares with the traffic thread.
pub struct ControlParts {
    /// The board.
    pub board: Arc<ForwardBoard>,
    /// The clock of the process.
    pub clock: ProcessClock,
    /// The metrics.
    pub telemetry: RouterTelemetry,
}

/// Beliefs and stage of a forwarding router.
pub struct ControlState<C> {
    board: Arc<ForwardBoard>,
    clock: ProcessClock,
    telemetry: RouterTelemetry,
    belief: StoreView<C>,
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

/// What a tick asks of the loop.
#[derive(Debug, Default)]
pub struct TickRound {
    /// Peers that get a heartbeat.
    pub targets: Vec<SocketAddr>,
    /// The process was paused.
    pub paused: bool,
    /// The settings file is due.
    pub read_settings: bool,
    /// Nothing is left to finish.
    pub stopped: bool,
}

impl<C: DocumentCodec> ControlState<C> {
    /// Knows its own record and the seeds.
    pub fn new(codec: C, parts: ControlParts, own: MemberRecord) -> Self {
        let now = parts.clock.now();
        let seeds = parts.board.settings.load().seeds.clone();
        Self {
            board: parts.board,
            clock: parts.clock,
            telemetry: parts.telemetry,
            belief: StoreView::new(codec),
            members: MemberTable::new(own, seeds),
            store_heard: None,
            store_lost: false,
            behind_since: None,
            ahead: None,
            fetching: false,
            stop_asked: None,
            last_tick: now,
            ticks: 0,
        }
    }

    /// Where every known member but this one takes heartbeats.
    pub fn known_addresses(&self) -> Vec<SocketAddr> {
        let known = self.members.known().into_iter();
        known.map(|address| self.gossip_address(address)).collect()
    }

    fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Where a member takes heartbeats.
    pub fn gossip_address(&self, address: Ipv4Addr) -> SocketAddr {
        let port = self.board.settings.load().gossip_port;
        SocketAddrV4::new(address, port).into()
    }

    /// The heartbeat of this moment.
    pub fn frame(&self) -> Vec<u8> {
        let now = self.now();
        let mut members = MemberColumns::default();
        members.push(&self.members.own(), Duration::ZERO);
        for (record, age) in self.members.frame_records(now, &mut rand::rng()) {
            members.push(&record, age);
        }
        let words = self.board.load_reports().busiest(now);
        let frame = HeartbeatFrame {
            members: Some(members),
            config_version: self.belief.config_version().0,
            store_revision: self.belief.revision().0,
            loads: Some(LoadColumns::new(&words, now)),
        };
        frame.encode_to_vec()
    }

    /// Merges a heartbeat; true if its sender should hear from this router at once.
    pub fn heartbeat(&mut self, bytes: &[u8]) -> bool {
        let now = self.now();
        let Ok(frame) = HeartbeatFrame::decode(bytes) else {
            spdlog::info!("heartbeat-unreadable", kv: { bytes: = bytes.len() });
            return false;
        };
        let mut records = frame.members.iter().flat_map(MemberColumns::records);
        let Some((sender, _)) = records.next() else {
            return false;
        };
        let new = !self.members.is_live(sender.address, now);
        let mut changed = self.members.merge_heartbeat(sender, now);
        for (record, age) in records {
            changed |= self.members.merge_relayed(record, age, now);
        }
        if let Some(loads) = &frame.loads {
            let mut news = self.board.load_reports();
            loads.words(now).for_each(|word| news.merge(word));
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

    /// Merges what the store said.
    pub fn store_word(&mut self, word: StoreWord) {
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
                let mut effect = MergeEffect::default();
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
        let heard = now.0.as_millis() as u64;
        self.board
            .store_responded_ms
            .store(heard, Ordering::Relaxed);
        self.belief.store_answered(now);
        if std::mem::take(&mut self.store_lost) {
            spdlog::info!("store-regained", kv: { revision: = self.belief.revision() });
        }
    }

    fn publish(&mut self, effect: MergeEffect) {
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
        set_count(&self.telemetry.routers, live.len());
    }

    fn update_stage(&mut self) {
        let known = self.belief.config().is_some() && !self.board.upstreams.load().is_empty();
        if known && self.board.stage() == ForwardStage::Booting {
            self.enter(ForwardStage::Serving);
        }
    }

    fn enter(&mut self, stage: ForwardStage) {
        self.board.set_stage(stage);
        spdlog::info!("stage", kv: {
            stage: = stage.label(), config: = self.belief.config_version(),
            revision: = self.belief.revision(),
            calls: = self.board.calls.load(Ordering::Relaxed)
        });
        self.members.set_stage(match stage {
            ForwardStage::Booting => MemberStage::Booting,
            ForwardStage::Serving => MemberStage::Serving,
            ForwardStage::Leaving | ForwardStage::Closing => MemberStage::Leaving,
        });
        self.publish_members(self.now());
    }

    /// Leaves the answers with addresses and lets calls finish.
    pub fn stop_asked(&mut self) {
        if self.stop_asked.is_none() {
            self.stop_asked = Some(self.now());
            self.enter(ForwardStage::Leaving);
        }
    }

    /// Does what is due at regular times.
    pub fn tick(&mut self) -> TickRound {
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
        let targets = self.members.begin_round(now, &mut rand::rng());
        self.publish_members(now);
        let calls = self.board.calls.load(Ordering::Relaxed);
        self.measure(now, calls);
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

    fn measure(&self, now: MonoTime, calls: usize) {
        let telemetry = &self.telemetry;
        set_count(&telemetry.config_version, self.belief.config_version().0);
        set_count(&telemetry.store_revision, self.belief.revision().0);
        let age = self.store_heard.map_or(now.0, |heard| now.since(heard));
        set_count(&telemetry.store_age_ms, age.as_millis());
        set_count(&telemetry.upstreams, self.board.upstreams.load().len());
        set_count(&telemetry.calls_open, calls);
    }

    /// Goes on with a stop; true once nothing is left to finish.
    fn is_stopped(&mut self, now: MonoTime, calls: usize) -> bool {
        let Some(asked) = self.stop_asked else {
            return false;
        };
        let spent = now.since(asked);
        if spent >= LEAVING_TIME && self.board.stage() == ForwardStage::Leaving {
            self.enter(ForwardStage::Closing);
            return false;
        }
        let grace = self.board.settings.load().stop_grace;
        let closing = self.board.stage() == ForwardStage::Closing;
        (closing && calls == 0) || spent + STOP_MARGIN >= grace
    }

    /// Takes the settings that may change while the process runs.
    pub fn reload<F: SettingsSource>(&mut self, source: &F, cause: &'static str) {
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
            locate_ttl: settings.locate_ttl,
            ..(*before).clone()
        };
        spdlog::info!("settings-reloaded", kv: { cause: = cause });
        self.members.set_seeds(settings.seeds.clone());
        self.board.settings.store(Arc::new(settings));
    }
}
