//! State of the control thread of a forwarding router: the last known documents of the store, the
//! membership table, and the stage that follows from them.

mod cached_parts;
mod cold_starts;
mod config_items;
mod evacuations;
mod fresh_reads;
mod past_versions;
mod peer_documents;
mod stream_records;
mod unreadable_frames;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use prost::Message;

use crate::fleet::fetch_plan::FetchPlan;
use crate::fleet::member_facts::{FactTable, MemberFacts};
use crate::fleet::member_table::{MemberRecord, MemberStage, MemberTable};
use crate::fleet::renewal_outage::StoreFailure;
use crate::fleet::store_role::StoreRole;
use crate::fleet::store_stamp::StoreStamp;
use crate::fleet::store_view::{DocumentCodec, MAX_LOGGED_ENTRIES, MergeEffect, StoreView};
use crate::fleet::upstream_entry::UpstreamEntry;
use crate::fleet::version_history::history_time;
use crate::forward_board::{ForwardBoard, ForwardStage};
use crate::forward_control::SettingsSource;
use crate::forward_control::control_state::cached_parts::PartSearch;
use crate::forward_control::control_state::evacuations::EvacuationWatch;
use crate::forward_control::control_state::past_versions::PastSearch;
use crate::forward_control::store_task::{StoreCommand, StoreEvent};
use crate::forward_settings::ForwardSettings;
use crate::gossip::frames::{HeartbeatFrame, MemberColumns, SuspectColumns, VersionColumns};
use crate::ids::IncarnationId;
use crate::log_rate_limiter::LogRateLimiter;
use crate::mono::{MonoTime, ProcessClock};
use crate::policy::known_routers::KnownRouters;
use crate::policy::leaving_upstreams::{LeavingChange, MARK_ROUNDS, MAX_NOTICE_MARKS};
use crate::policy::locate_choice::RouterPlace;
use crate::policy::stop_admission::StopPlan;
use crate::policy::suspect_reports::SuspectReports;
use crate::policy::suspect_work::{SuspectChange, suspect_time};
use crate::prometheus_metrics::{PrometheusMetrics, set_count};

pub use self::unreadable_frames::FrameKind;

/// Time between two ticks above which the process counts as paused: its cached state is then older
/// than its timestamps suggest.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Time after a pause within which peers have sent heartbeats again.
const RESUME_TIME: Duration = Duration::from_secs(2);

/// Number of ticks between two reads of the settings file.
const SETTINGS_READ_TICKS: u64 = 8;

/// Time for which a router wants to know of all software versions in use. Below it, peers that know of
/// a longer time tell it.
const COVERAGE_SPAN: Duration = Duration::from_secs(100);

/// Difference in the times that two routers know of, in seconds, above which one tells the other.
const COVERAGE_GAIN_S: u32 = 1;

/// State that the control thread shares with the traffic thread.
pub struct ControlParts {
    /// Data that the control thread publishes for the traffic thread.
    pub board: Arc<ForwardBoard>,
    pub clock: ProcessClock,
    pub telemetry: PrometheusMetrics,
}

/// State of the control thread.
pub struct ControlState<C> {
    board: Arc<ForwardBoard>,
    clock: ProcessClock,
    telemetry: PrometheusMetrics,
    store_view: StoreView<C>,
    members: MemberTable,
    facts: FactTable,
    known_routers: KnownRouters,
    store_role: StoreRole,
    fetch_plan: FetchPlan,
    /// When the store last delivered anything, or when the process started.
    store_active: MonoTime,
    store_unreachable: bool,
    /// Until when a failed check of the store counts.
    lacks_store_until: MonoTime,
    /// State of the store that the last notice to peers announced.
    noticed: StoreStamp,
    stop_plan: Option<StopPlan>,
    past_search: PastSearch,
    part_search: PartSearch,
    evacuation_watch: EvacuationWatch,
    /// Upstreams to ask for the parts of prompts that they have cached.
    part_questions: Vec<Arc<UpstreamEntry>>,
    /// Why the settings file was rejected when it was last read.
    settings_fault: Option<String>,
    /// Limits the lines about frames that can't be read.
    frame_lines: LogRateLimiter,
    last_tick: MonoTime,
    /// When the process last went on after a pause.
    resumed_at: Option<MonoTime>,
    ticks: u64,
}

/// What the control loop has to do after a tick.
#[derive(Debug, Default)]
pub struct TickRound {
    /// Addresses to send a heartbeat to.
    pub targets: Vec<SocketAddr>,
    /// Whether the process was paused before this tick.
    pub paused: bool,
    /// What the task that follows the store has to do.
    pub store_command: Option<StoreCommand>,
    /// Whether the settings file is to be read again.
    pub read_settings: bool,
    /// Whether the router has stopped and the loop is to end.
    pub stopped: bool,
}

/// A time in whole seconds, [`COVERAGE_SPAN`] at most.
fn whole_seconds(span: Duration) -> u32 {
    span.min(COVERAGE_SPAN).as_secs() as u32
}

/// A time in whole seconds, or `None` if it is at least [`COVERAGE_SPAN`].
fn short_span(span: Duration) -> Option<u32> {
    (span < COVERAGE_SPAN).then_some(span.as_secs() as u32)
}

impl<C: DocumentCodec> ControlState<C> {
    /// Creates the state with this router's own record `own` and the seeds from the settings.
    pub fn new(codec: C, parts: ControlParts, own: MemberRecord) -> Self {
        let now = parts.clock.now();
        let settings = parts.board.settings.load_full();
        let seeds = settings.seeds.clone();
        let apply_limit = settings.apply_limit;
        let mut store_view = StoreView::new(codec);
        store_view.set_drain_time(settings.drain_time);
        Self {
            board: parts.board,
            clock: parts.clock,
            telemetry: parts.telemetry,
            store_view,
            members: MemberTable::new(own, seeds),
            facts: FactTable::default(),
            known_routers: KnownRouters::default(),
            store_role: StoreRole::new(apply_limit),
            fetch_plan: FetchPlan::default(),
            store_active: now,
            store_unreachable: false,
            lacks_store_until: MonoTime::default(),
            noticed: StoreStamp::default(),
            stop_plan: None,
            past_search: PastSearch::default(),
            part_search: PartSearch::default(),
            evacuation_watch: EvacuationWatch::default(),
            part_questions: Vec::new(),
            settings_fault: None,
            frame_lines: LogRateLimiter::default(),
            last_tick: now,
            resumed_at: None,
            ticks: 0,
        }
    }

    /// Heartbeat addresses of all known members other than this one.
    pub fn known_addresses(&self) -> Vec<SocketAddr> {
        let known = self.members.known().into_iter();
        known.map(|address| self.gossip_address(address)).collect()
    }

    /// The time of the process's clock.
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// The heartbeat address of a member.
    pub fn gossip_address(&self, address: Ipv4Addr) -> SocketAddr {
        let port = self.board.settings.load().gossip_port;
        SocketAddrV4::new(address, port).into()
    }

    /// Encodes a heartbeat with the current state.
    pub fn encode_heartbeat(&self) -> Vec<u8> {
        let marks = usize::from(self.ticks.is_multiple_of(MARK_ROUNDS));
        self.heartbeat_frame(marks).encode_to_vec()
    }

    /// Time up to which this router has all changes of the store.
    fn known_until(&self, now: MonoTime) -> MonoTime {
        let age = self.store_role.age(now);
        now.saturating_sub(age.unwrap_or(now.0))
    }

    /// The software versions in use, for a peer.
    fn version_columns(&self, now: MonoTime) -> VersionColumns {
        let known_until = history_time(self.known_until(now));
        VersionColumns::new(&self.store_view.history().report(known_until), now)
    }

    /// For how many seconds this router knows of all software versions in use; `None` if these are as
    /// many as it wants to know of.
    fn covered_s(&self, now: MonoTime) -> Option<u32> {
        let since = self.store_view.history().covered_since();
        short_span(since.map_or(Duration::ZERO, |since| history_time(now).since(since)))
    }

    /// A heartbeat with up to `marks` upstreams that leave.
    fn heartbeat_frame(&self, marks: usize) -> HeartbeatFrame {
        let now = self.now();
        let mut frame = self.notice_frame(now);
        if let Some(members) = &mut frame.members {
            for (record, age) in self.members.frame_records(now, &mut rand::rng()) {
                members.push(&record, age);
            }
        }
        let loads = self.board.load_reports().busiest(now);
        let suspects = self
            .board
            .suspects()
            .reports(suspect_time(now), &mut rand::rng());
        let rates = self.board.rate_limits().reports(&mut rand::rng());
        frame.set_reports(loads, &suspects, &rates, now);
        let leaving = self.board.leaving_upstreams();
        frame.set_leaving(&leaving.reports(marks, &mut rand::rng()), now);
        frame
    }

    /// A heartbeat without records of other members and without loads.
    fn notice_frame(&self, now: MonoTime) -> HeartbeatFrame {
        let mut members = MemberColumns::default();
        members.push(&self.members.own(), Duration::ZERO);
        let age = self.store_role.age(now);
        let stamp = self.store_view.stamp();
        HeartbeatFrame {
            members: Some(members),
            config_version: self.store_view.config_version().0,
            store_revision: stamp.revision.0,
            store_age_ms: age.map(|age| age.as_millis() as u64),
            store_era: stamp.era.0,
            covered_s: self.covered_s(now),
            uptime_s: Some(whole_seconds(now.since(MonoTime::default()))),
            lacks_store: self.lacks_store(now),
            proves_versions: true,
            answers_parts: true,
            ..HeartbeatFrame::default()
        }
    }

    /// Returns a notice of changes that no notice has announced yet, and the addresses to send it
    /// to.
    pub fn take_notice(&mut self) -> Option<(Vec<u8>, Vec<SocketAddr>)> {
        let stamp = self.store_view.stamp();
        let suspects = self.board.suspects().take_notice();
        let leaving = self.board.leaving_upstreams().take_notice();
        let now = self.now();
        let cold = self.board.cold_upstreams().take_notice(now);
        if stamp <= self.noticed && suspects.is_empty() && leaving.is_empty() && cold.is_empty() {
            return None;
        }
        let mut frame = self.notice_frame(now);
        let mut targets = Vec::new();
        if stamp > self.noticed {
            self.noticed = stamp;
            targets = self.members.notice_targets(now, &mut rand::rng());
        }
        if !suspects.is_empty() {
            frame.suspects = Some(SuspectColumns::new(&suspects, suspect_time(now)));
        }
        frame.set_leaving(&leaving, now);
        frame.set_cold(&cold);
        if !suspects.is_empty() || !leaving.is_empty() || !cold.is_empty() {
            targets.extend(self.members.any_targets(now, &mut rand::rng()));
        }
        let targets = targets
            .into_iter()
            .map(|address| self.gossip_address(address))
            .collect();
        Some((frame.encode_to_vec(), targets))
    }

    /// Returns notices of crashes of calls, each with the address of the router to send it to.
    pub fn take_collections(&mut self) -> Vec<(Vec<u8>, SocketAddr)> {
        if !self.board.suspects().has_collections() {
            return Vec::new();
        }
        let now = self.now();
        let own = self.members.own().address;
        let live = self.members.live(now);
        let routers: Vec<Ipv4Addr> = live.iter().map(|record| record.address).collect();
        let collections = self.board.suspects().take_collections(own, &routers);
        let notice = |(address, reports): (Ipv4Addr, SuspectReports)| {
            let mut frame = self.notice_frame(now);
            frame.suspects = Some(SuspectColumns::new(&reports, suspect_time(now)));
            (frame.encode_to_vec(), self.gossip_address(address))
        };
        collections.into_iter().map(notice).collect()
    }

    /// Merges a message of another router. Returns the frames to send back at once.
    pub fn merge_frame(&mut self, bytes: &[u8], source: SocketAddr) -> Vec<Vec<u8>> {
        let now = self.now();
        let Some(frame) = self.decode_heartbeat(bytes, source) else {
            return Vec::new();
        };
        self.record_heard(source);
        if let Some(columns) = &frame.parts {
            return self.merge_parts(columns, source, now);
        }
        let reply = match &frame.streams {
            Some(columns) => self.merge_streams(columns, now),
            None => self.merge_heartbeat(&frame, now),
        };
        reply.into_iter().collect()
    }

    /// Merges a heartbeat. Returns the frame to send back at once, if there is one: a heartbeat if
    /// the sender was not a live member before, or what speaks against its reports.
    fn merge_heartbeat(&mut self, frame: &HeartbeatFrame, now: MonoTime) -> Option<Vec<u8>> {
        let Some(sender) = frame.members.as_ref().and_then(MemberColumns::sender) else {
            // Of a later build: its bytes are sound.
            self.count_unreadable(FrameKind::Unknown);
            return None;
        };
        let records = frame.members.iter().flat_map(MemberColumns::relayed);
        let new = !self.members.is_live(sender.address, now);
        let facts = MemberFacts {
            tells_uptime: frame.uptime_s.is_some(),
            proves_versions: frame.proves_versions,
            answers_parts: frame.answers_parts,
        };
        self.facts.record(&sender, facts);
        let mut changed = self.members.merge_heartbeat(sender, now);
        for (record, age) in records {
            changed |= self.members.merge_relayed(record, age, now);
        }
        if let Some(loads) = &frame.loads {
            let mut reports = self.board.load_reports();
            loads.reports(now).for_each(|report| reports.merge(report));
        }
        if let Some(rates) = &frame.rates {
            let mut rate_limits = self.board.rate_limits();
            for report in rates.reports(now) {
                rate_limits.merge(report);
            }
        }
        if let Some(columns) = &frame.leaving {
            let mut leaving = self.board.leaving_upstreams();
            for report in columns.reports(now) {
                leaving.merge(report, sender.address, now);
            }
        }
        self.merge_cold(frame.cold.as_ref(), now);
        let objections = frame.suspects.as_ref().map(|columns| {
            let reports = columns.reports(suspect_time(now));
            self.board.suspects().merge(&reports, suspect_time(now))
        });
        if changed {
            spdlog::info!("member-changed", kv: {
                member: = sender.address, stage:? = sender.stage, new: = new
            });
            self.publish_members(now);
        }
        if let Some(columns) = &frame.versions {
            self.store_view.merge_history(&columns.report(now));
        }
        self.record_peer_uptime(frame.uptime_s, now);
        let store_age = frame.store_age_ms.map(Duration::from_millis);
        let apply_limit = self.board.settings.load().apply_limit;
        if let Some(lag) = store_age.filter(|&age| age > apply_limit) {
            self.members.record_lag(sender.address, lag, now);
        }
        let proves_versions = frame.proves_versions && !frame.lacks_store;
        self.board.stream_versions().set_proving(
            sender.address,
            sender.incarnation,
            proves_versions,
        );
        let lacks_history = frame.covered_s.is_some_and(|covered| {
            let own = self.covered_s(now).unwrap_or(u32::MAX);
            own > covered.saturating_add(COVERAGE_GAIN_S)
        });
        if let Some(report) = frame.store_report() {
            let stamp = self.store_view.stamp();
            self.store_role.record_report(report, stamp, now);
        }
        self.record_newer_peer(&sender, frame);
        let objections = objections.filter(|objections| !objections.is_empty());
        if !new && !lacks_history && objections.is_none() {
            return None;
        }
        let mut reply = if new {
            self.heartbeat_frame(MAX_NOTICE_MARKS)
        } else {
            self.notice_frame(now)
        };
        if new {
            reply.set_cold(&self.board.cold_upstreams().reports(now));
        }
        if !new && let Some(objections) = objections {
            reply.suspects = Some(SuspectColumns::new(&objections, suspect_time(now)));
        }
        if lacks_history {
            reply.versions = Some(self.version_columns(now)).filter(VersionColumns::fits_datagram);
        }
        Some(reply.encode_to_vec())
    }

    /// Merges a frame that was received while the process was stopped. Heartbeats are left out: the ages
    /// in them count from their receipt. Versions of streams don't age and are sent once.
    pub fn merge_late_frame(&mut self, bytes: &[u8], source: SocketAddr) {
        let frame = self.decode_heartbeat(bytes, source);
        if let Some(columns) = frame.and_then(|frame| frame.streams) {
            self.merge_streams(&columns, self.now());
        }
    }

    /// Merges a report of the task that follows the store.
    pub fn merge_store_event(&mut self, event: StoreEvent) {
        let now = self.now();
        let effect = match event {
            StoreEvent::EraBegan { era, before } => {
                spdlog::info!("store-era", kv: {
                    era: = era, before: = before, revision: = self.store_view.stamp().revision
                });
                return;
            }
            StoreEvent::Page(page) => {
                self.store_active = now;
                self.record_page();
                self.store_view.merge_page(page.items, page.stamp, now)
            }
            StoreEvent::Snapshot(snapshot) => {
                self.record_store_response(now);
                spdlog::info!("store-read", kv: {
                    revision: = snapshot.stamp.revision, era: = snapshot.stamp.era,
                    documents: = snapshot.items.len()
                });
                self.record_page();
                self.store_view.merge_snapshot(snapshot, now)
            }
            StoreEvent::Changes(update) => {
                self.record_store_response(now);
                if update.changes.len() > MAX_LOGGED_ENTRIES {
                    spdlog::info!("store-changes", kv: {
                        revision: = update.stamp.revision, era: = update.stamp.era,
                        changes: = update.changes.len()
                    });
                }
                self.store_view
                    .merge_changes(update.changes, update.stamp, now)
            }
            StoreEvent::HistoryLost => {
                let stamp = self.store_view.stamp();
                spdlog::warn!("store-history-lost", kv: {
                    revision: = stamp.revision, era: = stamp.era
                });
                self.store_view.store_failed(StoreFailure::HistoryLost, now);
                return;
            }
            StoreEvent::Past(past) => {
                self.merge_past(past);
                return;
            }
            StoreEvent::Checked {
                number,
                is_confirmed,
            } => {
                self.end_check(number, is_confirmed);
                return;
            }
            StoreEvent::Failed(failure, error) => {
                if !self.store_unreachable {
                    spdlog::warn!("store-lost", kv: {
                        reason: = format!("{error:#}"), failure:? = failure,
                        revision: = self.store_view.stamp().revision
                    });
                }
                self.store_unreachable = true;
                // A cut watch alone is usual.
                if failure == StoreFailure::Unavailable {
                    self.record_store_lack(now);
                }
                self.store_view.store_failed(failure, now);
                return;
            }
        };
        self.publish(effect);
    }

    fn record_store_response(&mut self, now: MonoTime) {
        self.store_active = now;
        self.store_role.record_read(now);
        let responded = now.0.as_millis() as u64;
        self.board
            .store_known_ms
            .store(responded, Ordering::Relaxed);
        self.store_view.store_responded(now);
        if std::mem::take(&mut self.store_unreachable) {
            spdlog::info!("store-regained", kv: { revision: = self.store_view.stamp().revision });
        }
    }

    fn publish(&mut self, effect: MergeEffect) {
        if effect.config
            && let Some(config) = self.store_view.config()
        {
            self.report_cold_faults(&config.table);
            self.report_unusable_items(&config.table);
            self.board.routes.store(Some(Arc::clone(&config.table)));
        }
        // Before the upstreams: no call may be sent to a new one that is evacuated.
        if effect.evacuations {
            self.publish_evacuations();
        }
        if effect.upstreams {
            let upstreams = self.store_view.upstreams();
            // Before the traffic thread can choose a new upstream.
            self.observe_cold(&upstreams, self.now());
            self.observe_parts(&upstreams);
            self.board.upstreams.store(Arc::new(upstreams));
            self.publish_versions(self.now());
        }
        self.update_stage();
    }

    fn publish_members(&mut self, now: MonoTime) {
        let live = self.members.live(now);
        self.observe_routers(&live);
        let serving = |record: &&MemberRecord| record.stage == MemberStage::Serving;
        let routers: Vec<RouterPlace> = live
            .iter()
            .filter(serving)
            .map(|record| RouterPlace {
                address: record.address,
                data_center: record.data_center,
            })
            .collect();
        self.board.serving_routers.store(Arc::new(routers));
        let runs = live
            .iter()
            .map(|member| (member.address, member.incarnation));
        let runs: BTreeMap<Ipv4Addr, IncarnationId> = runs.collect();
        self.board.stream_versions().end_proving(&runs);
        self.board.incarnations.store(Arc::new(runs));
        let lag_ms = self.members.longest_lag(now).as_millis() as u64;
        self.board.lag_ms.store(lag_ms, Ordering::Relaxed);
        let fleet = self.members.fleet_size();
        self.board.fleet_size.store(fleet, Ordering::Relaxed);
        self.publish_known(&live, fleet, now);
        set_count(&self.telemetry.routers, live.len());
        let own = self.members.own().address;
        let others = live.iter().filter(|record| record.address != own);
        for (fact, count) in self.facts.count_without(others).labelled() {
            let gauge = &self.telemetry.routers_without;
            set_count(&gauge.with_label_values(&[fact]), count);
        }
    }

    fn update_stage(&mut self) {
        let ready = self.store_view.config().is_some() && !self.board.upstreams.load().is_empty();
        if ready && self.board.stage() == ForwardStage::Booting && self.may_serve() {
            self.enter_stage(ForwardStage::Serving);
        }
    }

    fn enter_stage(&mut self, stage: ForwardStage) {
        self.board.set_stage(stage);
        spdlog::info!("stage", kv: {
            stage: = stage.label(), config: = self.store_view.config_version(),
            revision: = self.store_view.stamp().revision,
            calls: = self.board.calls.load(Ordering::Relaxed)
        });
        self.members.set_stage(match stage {
            ForwardStage::Booting => MemberStage::Booting,
            ForwardStage::Serving => MemberStage::Serving,
            ForwardStage::Leaving | ForwardStage::Closing => MemberStage::Leaving,
        });
        self.publish_members(self.now());
    }

    /// Starts the stop: the router enters the leaving stage and calls in progress continue.
    pub fn request_stop(&mut self) {
        if self.stop_plan.is_none() {
            self.board.stream_versions().resend_own();
            let grace = self.board.settings.load().stop_grace;
            self.set_stop_plan(StopPlan {
                requested: self.now(),
                grace,
            });
            self.enter_stage(ForwardStage::Leaving);
        }
    }

    fn set_stop_plan(&mut self, plan: StopPlan) {
        self.stop_plan = Some(plan);
        self.board.stop_plan.store(Some(Arc::new(plan)));
    }

    /// Runs the periodic work: pause detection, expiry, publishing, and the next gossip round.
    pub fn tick(&mut self) -> TickRound {
        let now = self.now();
        self.ticks += 1;
        let elapsed = now.since(self.last_tick);
        self.last_tick = now;
        let paused = elapsed > PAUSE_THRESHOLD;
        if paused {
            spdlog::warn!("paused", kv: { ms: = elapsed.as_millis() });
            self.resumed_at = Some(now);
            self.store_role.forget();
            self.store_view
                .store_failed(StoreFailure::ProcessPaused, now);
        }
        let effect = self.store_view.tick(now);
        self.publish(effect);
        self.update_suspects(suspect_time(now));
        self.update_leaving(now);
        self.update_evacuations();
        self.update_cold(now);
        self.publish_versions(now);
        self.search_parts(now);
        let targets = self.members.begin_round(now, &mut rand::rng());
        self.facts.retain(&self.members.known_records());
        self.publish_members(now);
        let calls = self.board.calls.load(Ordering::Relaxed);
        self.record_metrics(now, calls);
        let known = (now.since(MonoTime::default()))
            .saturating_sub(self.store_role.age(now).unwrap_or(now.0));
        self.board
            .store_known_ms
            .store(known.as_millis() as u64, Ordering::Relaxed);
        TickRound {
            store_command: self.update_role(now).or_else(|| self.catch_up(now)),
            targets: targets
                .into_iter()
                .map(|address| self.gossip_address(address))
                .collect(),
            paused,
            read_settings: self.ticks.is_multiple_of(SETTINGS_READ_TICKS),
            stopped: self.advance_stop(),
        }
    }

    /// Whether the process has gone on lately after a pause.
    fn was_paused(&self, now: MonoTime) -> bool {
        let is_resumed = |at| now.since(at) <= RESUME_TIME;
        now.since(self.last_tick) > PAUSE_THRESHOLD || self.resumed_at.is_some_and(is_resumed)
    }

    /// Forgets old crashes and logs which suspects are held or released.
    fn update_suspects(&self, now: MonoTime) {
        let mut suspects = self.board.suspects();
        suspects.remove_expired(now);
        for change in suspects.take_changes(now) {
            match change {
                SuspectChange::Held(held) => spdlog::warn!("suspect-held", kv: {
                    kind: = held.tag.kind(), tag: = held.tag, crashes: = held.crashes,
                    first_crash_ms: = now.since(held.first_crash).as_millis(),
                    last_crash_ms: = now.since(held.last_crash).as_millis(),
                    trial_in_ms: = held.until.since(now).as_millis()
                }),
                SuspectChange::Released(tag) => spdlog::info!("suspect-released", kv: {
                    kind: = tag.kind(), tag: = tag
                }),
            }
        }
        set_count(&self.telemetry.suspects_held, suspects.held(now).count());
    }

    /// Forgets the marks of upstreams that are gone, and logs which upstreams leave or have left.
    fn update_leaving(&self, now: MonoTime) {
        let upstreams = self.board.upstreams.load();
        let entries = upstreams.iter().map(|entry| (entry.start(), &entry.id));
        let mut leaving = self.board.leaving_upstreams();
        let changes = leaving.update(entries, now);
        set_count(&self.telemetry.upstreams_leaving, leaving.registered());
        drop(leaving);
        if changes.len() > MAX_LOGGED_ENTRIES {
            spdlog::info!("upstreams-leaving", kv: { changes: = changes.len() });
        }
        for change in changes.iter().take(MAX_LOGGED_ENTRIES) {
            let (event, id, mark) = match change {
                LeavingChange::Begun(id, mark) => ("upstream-leaving", id, mark),
                LeavingChange::Ended(id, mark) => ("upstream-left", id, mark),
            };
            spdlog::info!("{event}", kv: {
                upstream: = id, source: = mark.source, age_ms: = now.since(mark.at).as_millis()
            });
        }
    }

    /// Decides again whether this router reads the store. A booting router always does.
    fn update_role(&mut self, now: MonoTime) -> Option<StoreCommand> {
        if self.board.stage() == ForwardStage::Booting
            || self.store_view.stamp() == StoreStamp::default()
            || !self.store_role.update(&self.members, now)
        {
            return None;
        }
        let reading = self.store_role.is_reading();
        let stamp = self.store_view.stamp();
        let age = self.store_role.age(now).unwrap_or(now.0);
        spdlog::info!("store-role", kv: {
            reading: = reading, age_ms: = age.as_millis(),
            revision: = stamp.revision, era: = stamp.era, routers: = self.members.live(now).len()
        });
        if reading {
            self.store_active = now;
            return Some(self.follow_command());
        }
        self.store_unreachable = false;
        Some(StoreCommand::Suspend)
    }

    fn record_metrics(&mut self, now: MonoTime, calls: usize) {
        let telemetry = &self.telemetry;
        set_count(
            &telemetry.config_version,
            self.store_view.config_version().0,
        );
        let stamp = self.store_view.stamp();
        set_count(&telemetry.store_era, stamp.era.0);
        set_count(&telemetry.store_revision, stamp.revision.0);
        let age = self.store_role.age(now).unwrap_or(now.0);
        set_count(&telemetry.store_age_ms, age.as_millis());
        set_count(
            &telemetry.store_reader,
            u8::from(self.store_role.is_reading()),
        );
        set_count(&telemetry.upstreams, self.board.upstreams.load().len());
        let withheld = self.store_view.withheld_count();
        set_count(&telemetry.upstreams_withheld, withheld);
        set_count(&telemetry.calls_open, calls);
        let left_out = self.frame_lines.take_suppressed();
        telemetry.lines_left_out.inc_by(left_out);
    }

    /// Returns the time until the next step of a requested stop.
    pub fn stop_wait(&self) -> Option<Duration> {
        let plan = self.stop_plan?;
        let next = match self.board.stage() {
            ForwardStage::Closing if *self.board.calls_end.borrow() => plan.ends_at(),
            ForwardStage::Closing => plan.responds_at(),
            _ => plan.closes_at(),
        };
        Some(next.since(self.now()))
    }

    /// Advances a requested stop. Returns true once all responses were sent or the stop grace is
    /// nearly used up.
    pub fn advance_stop(&mut self) -> bool {
        let Some(plan) = self.stop_plan else {
            return false;
        };
        let now = self.now();
        if now >= plan.closes_at() && self.board.stage() == ForwardStage::Leaving {
            self.enter_stage(ForwardStage::Closing);
            return false;
        }
        let calls = self.board.calls.load(Ordering::Relaxed);
        if now >= plan.responds_at() && !self.board.calls_end.send_replace(true) && calls > 0 {
            spdlog::warn!("calls-ended", kv: {
                calls: = calls, ms: = now.since(plan.requested).as_millis(),
                grace_ms: = plan.grace.as_millis()
            });
        }
        let closing = self.board.stage() == ForwardStage::Closing;
        let sent = self.board.responses_sent.load(Ordering::Relaxed);
        (closing && sent) || now >= plan.ends_at()
    }

    /// Reads the settings again and applies those that may change while the process runs.
    pub fn reload<F: SettingsSource>(&mut self, source: &F, cause: &'static str) {
        let settings = match source.read() {
            Ok(settings) => settings,
            Err(error) => {
                let reason = error.to_string();
                if cause == "signal" || self.settings_fault.as_ref() != Some(&reason) {
                    spdlog::warn!("settings-rejected", kv: { cause: = cause, reason: = reason });
                }
                self.settings_fault = Some(reason);
                return;
            }
        };
        self.settings_fault = None;
        let before = self.board.settings.load_full();
        if *before == settings {
            if cause == "signal" {
                spdlog::info!("settings-unchanged", kv: { cause: = cause });
            }
            return;
        }
        // Other changes, such as those of listener addresses, take effect at the next start only.
        let settings = ForwardSettings {
            seeds: settings.seeds,
            affinity_bound: settings.affinity_bound,
            retry: settings.retry,
            cold_bound: settings.cold_bound,
            apply_limit: settings.apply_limit,
            stop_grace: settings.stop_grace,
            drain_time: settings.drain_time,
            locate_ttl: settings.locate_ttl,
            memory_bytes: settings.memory_bytes,
            max_descriptors: settings.max_descriptors,
            ..(*before).clone()
        };
        spdlog::info!("settings-reloaded", kv: { cause: = cause });
        self.members.set_seeds(settings.seeds.clone());
        self.store_role.set_apply_limit(settings.apply_limit);
        self.store_view.set_drain_time(settings.drain_time);
        if let Some(plan) = self.stop_plan {
            self.set_stop_plan(StopPlan {
                grace: settings.stop_grace,
                ..plan
            });
        }
        self.board.settings.store(Arc::new(settings));
    }
}
