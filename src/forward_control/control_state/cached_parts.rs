//! Asks upstreams after a start which parts of prompts they have cached, and tells other routers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use rand::seq::IteratorRandom;

use super::{ControlState, stream_records::holder_of};
use crate::fleet::member_table::{GOSSIP_PERIOD, MemberRecord, MemberStage};
use crate::fleet::store_view::DocumentCodec;
use crate::fleet::upstream_entry::{ServingState, UpstreamEntry};
use crate::fleet::version_history::history_time;
use crate::gossip::frames::{HeartbeatFrame, PartColumns};
use crate::ids::{IncarnationId, StreamTag, UpstreamStart};
use crate::mono::MonoTime;
use crate::policy::part_lists::{MAX_QUESTION_PARTS, PartSource};
use crate::policy::stream_versions::{RecordHolder, choose_holders};
use crate::prometheus_metrics::set_count;

/// Time after the read of the store's history in which peers tell how long they have been running.
const PEERS_TIME: Duration = Duration::from_millis(300);

/// Number of routers that ask each upstream for its cached parts.
const ASKING_ROUTERS: usize = 2;

/// Number of upstreams that a router asks at first, and at each tick after that. Routers that start
/// together know little of each other at first, and each of them would ask all upstreams.
const FIRST_QUESTIONS: usize = 8;
const TICK_QUESTIONS: usize = 4;

/// Number of upstreams that a router asks at a tick once routers know each other.
const LATER_QUESTIONS: usize = 12;

/// Time after the first questions in which routers that start together get to know each other.
const MEETING_TIME: Duration = Duration::from_secs(1);

/// Number of times that a router asks an upstream.
const MAX_QUESTIONS: u32 = 3;

/// Time after a question in which its answer may come.
const ANSWER_TIME: Duration = Duration::from_millis(1400);

/// Wait before an upstream that has not answered is asked again, for each question before.
const REPEAT_WAIT: Duration = Duration::from_millis(500);

/// A registered upstream.
#[derive(Clone, Debug)]
struct AskedUpstream {
    entry: Arc<UpstreamEntry>,
    /// Number of times that it was asked.
    questions: u32,
    /// When it may be asked again.
    next: MonoTime,
    /// Whether this router is to ask it; `None` until that is decided for the present routers.
    is_assigned: Option<bool>,
}

impl AskedUpstream {
    fn new(entry: &Arc<UpstreamEntry>) -> Self {
        Self {
            entry: Arc::clone(entry),
            questions: 0,
            next: MonoTime::default(),
            is_assigned: None,
        }
    }
}

/// Progress of the questions to upstreams.
#[derive(Debug, Default)]
pub(super) struct PartSearch {
    /// When the store's history was read; `None` before that and after the search.
    begun: Option<MonoTime>,
    upstreams: BTreeMap<UpstreamStart, AskedUpstream>,
    /// Whether a peer has held the records of streams for as long as these may last.
    has_old_peer: bool,
    /// Whether an upstream was asked.
    has_asked: bool,
    /// The routers among which the upstreams were divided.
    routers: Vec<RecordHolder>,
    /// The routers that were up at the latest look, and whether they were leaving.
    runs: BTreeMap<Ipv4Addr, (IncarnationId, bool)>,
    is_over: bool,
}

fn source_of(entry: &UpstreamEntry) -> PartSource {
    PartSource {
        start: entry.start(),
        service: entry.service.key(),
        version: entry.version_tag(),
    }
}

impl<C: DocumentCodec> ControlState<C> {
    /// Begins to ask upstreams for their cached parts.
    pub(super) fn begin_part_search(&mut self, now: MonoTime) {
        if !self.part_search.is_over {
            self.part_search.begun.get_or_insert(now);
        }
    }

    /// Decides which upstreams this router is to ask, if the routers have changed or upstreams are new.
    fn assign_upstreams(&mut self, now: MonoTime) {
        let own = self.members.own();
        let mut routers = self.holders(now);
        routers.push(holder_of(own));
        let search = &mut self.part_search;
        let is_changed = search.routers != routers;
        search.routers = routers;
        for upstream in search.upstreams.values_mut() {
            if is_changed || upstream.is_assigned.is_none() {
                let tag = StreamTag::of_stream(upstream.entry.id.key().0);
                let asking = choose_holders(tag, &search.routers, ASKING_ROUTERS);
                upstream.is_assigned = Some(asking.contains(&own.address));
            }
        }
    }

    /// Records for how long a peer has held records.
    pub(super) fn record_peer_uptime(&mut self, uptime_s: Option<u32>, now: MonoTime) {
        let life = history_time(now).since(self.earliest_start(now));
        let uptime = uptime_s.map(|uptime_s| Duration::from_secs(uptime_s.into()));
        self.part_search.has_old_peer |= uptime.is_some_and(|uptime| uptime >= life);
    }

    /// Records the upstreams that are registered.
    pub(super) fn observe_parts(&mut self, upstreams: &[Arc<UpstreamEntry>]) {
        let is_listed = self.store_view.codec().cached_parts_path().is_some();
        if self.part_search.is_over || !is_listed {
            return;
        }
        let mut known = std::mem::take(&mut self.part_search.upstreams);
        for entry in upstreams {
            let start = entry.start();
            let mut upstream = known
                .remove(&start)
                .unwrap_or_else(|| AskedUpstream::new(entry));
            upstream.entry = Arc::clone(entry);
            self.part_search.upstreams.insert(start, upstream);
        }
        let sources = upstreams.iter().map(|entry| source_of(entry));
        self.board.part_lists().record_sources(sources);
    }

    /// Records the routers that are up. What upstreams listed before a router is lost may lack the streams
    /// whose records were lost with it.
    pub(super) fn observe_routers(&mut self, live: &[MemberRecord]) {
        if self.part_search.is_over {
            return;
        }
        let own = self.members.own().address;
        let runs: BTreeMap<Ipv4Addr, (IncarnationId, bool)> = live
            .iter()
            .filter(|record| record.address != own)
            .map(|record| {
                let is_leaving = record.stage == MemberStage::Leaving;
                (record.address, (record.incarnation, is_leaving))
            })
            .collect();
        let is_lost = |(address, (run, is_leaving)): (&Ipv4Addr, &(IncarnationId, bool))| {
            let present = runs.get(address).map(|(present, _)| present);
            !is_leaving && present != Some(run)
        };
        let search = &mut self.part_search;
        let has_lost = search.runs.iter().any(is_lost);
        search.runs = runs;
        if !has_lost {
            return;
        }
        self.board.part_lists().drop_lists();
        for upstream in search.upstreams.values_mut() {
            upstream.questions = 0;
            upstream.next = MonoTime::default();
        }
        spdlog::info!("part-lists-dropped", kv: { upstreams: = search.upstreams.len() });
    }

    /// Decides which upstreams to ask for their cached parts.
    pub(super) fn search_parts(&mut self, now: MonoTime) {
        let Some(begun) = self.part_search.begun else {
            return;
        };
        // Peers have the records. Those of a peer are not enough while it may have missed changes.
        let is_told = !self.part_search.has_asked
            && self.part_search.has_old_peer
            && self.covers_streams(now);
        let life = history_time(now).since(self.earliest_start(now));
        if is_told || now.since(MonoTime::default()) >= life {
            self.end_part_search();
            return;
        }
        if now.since(begun) < PEERS_TIME {
            return;
        }
        self.assign_upstreams(now);
        let (leaving, others) = self.part_candidates(now);
        let limit = if !self.part_search.has_asked {
            FIRST_QUESTIONS
        } else if now.since(begun) < PEERS_TIME + MEETING_TIME {
            TICK_QUESTIONS
        } else {
            LATER_QUESTIONS
        };
        let waiting = leaving.len() + others.len();
        let mut chosen: Vec<UpstreamStart> = leaving.into_iter().take(limit).collect();
        let count = limit - chosen.len();
        chosen.extend(others.into_iter().sample(&mut rand::rng(), count));
        self.part_search.has_asked |= !chosen.is_empty();
        let rounds = waiting.saturating_sub(chosen.len()).div_ceil(limit) as u32;
        let answers_due = now + GOSSIP_PERIOD * (rounds + 1);
        for start in chosen {
            let Some(upstream) = self.part_search.upstreams.get_mut(&start) else {
                continue;
            };
            upstream.questions += 1;
            upstream.next = now + ANSWER_TIME;
            self.part_questions.push(Arc::clone(&upstream.entry));
        }
        let mut lists = self.board.part_lists();
        lists.set_answers_due(answers_due);
        let (heard, unheard) = lists.list_counts();
        drop(lists);
        set_count(&self.telemetry.part_lists, heard);
        set_count(&self.telemetry.part_lists_missing, unheard);
    }

    fn end_part_search(&mut self) {
        self.part_search = PartSearch {
            is_over: true,
            ..PartSearch::default()
        };
        self.board.part_lists().end();
        set_count(&self.telemetry.part_lists, 0);
        set_count(&self.telemetry.part_lists_missing, 0);
    }

    /// The upstreams that this router is to ask: those that drain, and the others. All are of services in
    /// which a stream may have begun at one of several versions.
    fn part_candidates(&self, now: MonoTime) -> (Vec<UpstreamStart>, Vec<UpstreamStart>) {
        let since = self.earliest_start(now);
        let history = self.store_view.history();
        let streamed = self.store_view.config();
        let streamed = streamed.map(|config| config.table.stream_services());
        let streamed = streamed.unwrap_or_default();
        let evacuations = self.board.evacuations.load();
        let lists = self.board.part_lists();
        let upstreams = self.part_search.upstreams.iter();
        let open = upstreams.filter(|(start, upstream)| {
            let entry = &upstream.entry;
            upstream.is_assigned == Some(true)
                && upstream.questions < MAX_QUESTIONS
                && upstream.next <= now
                && !lists.has_list(**start)
                && !evacuations.contains(&entry.data_center)
                && streamed.contains(&entry.service)
                && history.sole_version(entry.service.key(), since).is_none()
        });
        let is_leaving = |(_, upstream): &(&UpstreamStart, &AskedUpstream)| {
            upstream.entry.state == ServingState::Draining
        };
        let (leaving, others): (Vec<_>, Vec<_>) = open.partition(is_leaving);
        let starts = |open: Vec<(&UpstreamStart, &AskedUpstream)>| {
            open.into_iter().map(|(&start, _)| start).collect()
        };
        (starts(leaving), starts(others))
    }

    /// Returns the upstreams to ask, and the path to ask for.
    pub fn take_part_questions(&mut self) -> Option<(Vec<Arc<UpstreamEntry>>, &'static str)> {
        let path = self.store_view.codec().cached_parts_path()?;
        let questions = std::mem::take(&mut self.part_questions);
        (!questions.is_empty()).then_some((questions, path))
    }

    /// Records the parts that an upstream, asked at `asked_at`, has cached; `None` if it did not say.
    pub fn merge_cached_parts(
        &mut self,
        entry: &UpstreamEntry,
        body: Option<&Bytes>,
        asked_at: MonoTime,
    ) {
        let now = self.now();
        let outcome = match self.insert_parts(entry, body, asked_at) {
            Ok(parts) => {
                spdlog::info!("parts-known", kv: {
                    upstream: = entry.id, version: = entry.version, parts: = parts,
                    ms: = now.since(asked_at).as_millis()
                });
                "answered"
            }
            Err(reason) => {
                if let Some(upstream) = self.part_search.upstreams.get_mut(&entry.start()) {
                    upstream.next = now + REPEAT_WAIT * upstream.questions;
                }
                spdlog::info!("parts-unknown", kv: {
                    upstream: = entry.id, version: = entry.version, reason: = reason,
                    ms: = now.since(asked_at).as_millis()
                });
                "failed"
            }
        };
        let questions = &self.telemetry.part_questions;
        questions.with_label_values(&[outcome]).inc();
        self.count_merged_streams();
    }

    /// Records the parts that an upstream has cached and returns their number, or why they are not known.
    fn insert_parts(
        &self,
        entry: &UpstreamEntry,
        body: Option<&Bytes>,
        asked_at: MonoTime,
    ) -> Result<usize, String> {
        let body = body.ok_or("no answer")?;
        let cached = self.store_view.codec().decode_cached_parts(body);
        let cached = cached.map_err(|error| error.to_string())?;
        if cached.started.is_some() && entry.started.is_some() && cached.started != entry.started {
            return Err("another start of the upstream".to_owned());
        }
        let count = cached.parts.len();
        let source = (entry.start(), entry.version_tag());
        let mut lists = self.board.part_lists();
        if !lists.is_active() {
            return Err("the search has ended".to_owned());
        }
        let has_room = lists.insert_list(source, cached.parts, asked_at);
        has_room
            .then_some(count)
            .ok_or_else(|| "too many parts".to_owned())
    }

    /// Returns the questions for parts, each with the address of the router to send it to.
    pub fn take_part_lookups(&self) -> Vec<(Vec<u8>, SocketAddr)> {
        let parts = self.board.part_lists().questions();
        if parts.is_empty() {
            return Vec::new();
        }
        let routers = self.list_holders(self.now());
        let asked: Vec<Ipv4Addr> = routers.keys().copied().collect();
        // Other builds don't answer, and it is not known of each router which build it runs.
        let answering = routers.iter().filter(|(_, has_said)| **has_said);
        let answering: Vec<Ipv4Addr> = answering.map(|(&address, _)| address).collect();
        let mut lists = self.board.part_lists();
        for &part in &parts {
            lists.set_asked(part, &answering);
        }
        drop(lists);
        if asked.is_empty() {
            self.count_merged_streams();
        }
        let question = |parts| {
            let frame = HeartbeatFrame::with_parts(PartColumns::question(parts));
            frame.encode_to_vec()
        };
        let questions: Vec<Vec<u8>> = parts.chunks(MAX_QUESTION_PARTS).map(question).collect();
        let targets = asked.iter().map(|&address| self.gossip_address(address));
        targets
            .flat_map(|target| questions.iter().map(move |frame| (frame.clone(), target)))
            .collect()
    }

    /// The routers that may have asked upstreams, and whether each has said that it answers questions for
    /// parts.
    fn list_holders(&self, now: MonoTime) -> BTreeMap<Ipv4Addr, bool> {
        let own = self.members.own().address;
        let mut answers = BTreeMap::new();
        let mut routers = Vec::new();
        for record in self.members.live(now) {
            let said = self.facts.facts(&record).map(|facts| facts.answers_parts);
            if record.address != own && said != Some(false) {
                answers.insert(record.address, said.is_some());
                routers.push(holder_of(record));
            }
        }
        let upstreams = &self.part_search.upstreams;
        if routers.len() > ASKING_ROUTERS * upstreams.len() {
            let holders = upstreams.values().flat_map(|upstream| {
                let tag = StreamTag::of_stream(upstream.entry.id.key().0);
                choose_holders(tag, &routers, ASKING_ROUTERS)
            });
            let holders: BTreeSet<Ipv4Addr> = holders.collect();
            answers.retain(|address, _| holders.contains(address));
        }
        answers
    }

    /// Merges a message about cached parts. Returns the messages that answer it.
    pub(super) fn merge_parts(
        &self,
        columns: &PartColumns,
        source: SocketAddr,
        now: MonoTime,
    ) -> Vec<Vec<u8>> {
        let mut lists = self.board.part_lists();
        let report = columns.report(now);
        if let (Some(report), IpAddr::V4(router)) = (&report, source.ip()) {
            lists.merge(router, report);
        }
        let asked = columns.questions();
        let answers = if asked.is_empty() || asked.len() > MAX_QUESTION_PARTS {
            Vec::new()
        } else {
            lists.report(&asked)
        };
        drop(lists);
        if report.is_some() {
            self.count_merged_streams();
        }
        answers
            .iter()
            .map(|report| {
                let frame = HeartbeatFrame::with_parts(PartColumns::new(report, now));
                frame.encode_to_vec()
            })
            .collect()
    }
}
