//! Finds out after a start, if no peer can tell, which software versions were in use before and which
//! of them began the streams that may be taken up.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::IteratorRandom;

use super::ControlState;
use crate::fleet::store_stamp::StoreStamp;
use crate::fleet::store_view::DocumentCodec;
use crate::fleet::upstream_entry::UpstreamEntry;
use crate::fleet::version_history::history_time;
use crate::forward_board::ForwardStage;
use crate::forward_control::store_task::{PastChanges, StoreCommand};
use crate::ids::{ServiceKey, StreamTag, UpstreamKey};
use crate::mono::MonoTime;
use crate::policy::stream_versions::{RecordHolder, choose_holders, stream_life};

/// Time after the start in which peers tell how long they have been running.
const PEERS_TIME: Duration = Duration::from_millis(300);

/// Time between two attempts to read the store's history.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// Number of attempts to read the store's history.
const MAX_READS: u32 = 4;

/// Number of routers that ask each upstream for its cached parts.
const ASKING_ROUTERS: usize = 2;

/// Number of upstreams that a router asks at first, and at each tick after that. Routers that start
/// together know little of each other at first, and each of them would ask all upstreams.
const FIRST_QUESTIONS: usize = 8;
const TICK_QUESTIONS: usize = 4;

/// Time after which a router that has no upstream left to ask ends its search.
const QUESTIONS_TIME: Duration = Duration::from_secs(5);

/// Progress of the search.
#[derive(Clone, Debug, Default)]
pub(super) struct PastSearch {
    reads: u32,
    next_read: MonoTime,
    is_done: bool,
    /// From when on upstreams are asked for their cached parts; `None` before and after that.
    parts_due: Option<MonoTime>,
    /// The upstreams that were asked.
    asked: BTreeSet<UpstreamKey>,
    /// Whether a peer has held the records of streams for as long as these may last.
    has_old_peer: bool,
}

impl<C: DocumentCodec> ControlState<C> {
    /// Whether all versions at which a stream may have begun are known.
    pub(super) fn covers_streams(&self, now: MonoTime) -> bool {
        let since = self.earliest_start(now);
        let covered = self.store_view.history().covered_since();
        covered.is_some_and(|covered| covered <= since)
    }

    /// When the oldest stream may have begun that is still taken up, on the clock of
    /// [`history_time`].
    pub(super) fn earliest_start(&self, now: MonoTime) -> MonoTime {
        let slack = self.board.longest_lag();
        history_time(now).saturating_sub(self.longest_life() + slack)
    }

    /// The longest time for which a stream of any route may be taken up.
    fn longest_life(&self) -> Duration {
        let config = self.store_view.config();
        let limit = config.map(|config| config.table.stream_time_limit());
        stream_life(limit.unwrap_or_default())
    }

    /// Returns the command to read the store's history if that is due.
    pub fn past_command(&mut self) -> Option<StoreCommand> {
        if self.past_search.is_done || self.board.stage() != ForwardStage::Serving {
            return None;
        }
        let now = self.now();
        // A whole read of the store must come first, since a gap ends with it.
        let is_read = self.store_view.stamp() > StoreStamp::default();
        if !is_read || now < self.past_search.next_read {
            return None;
        }
        let is_needed = !self.covers_streams(now) && self.past_search.reads < MAX_READS;
        if !is_needed || !self.store_role.is_reading() {
            self.end_past_search(now);
            return None;
        }
        self.past_search.reads += 1;
        self.past_search.next_read = now + RETRY_TIME;
        Some(StoreCommand::ReadPast(self.store_view.stamp()))
    }

    /// Ends the search in the store. What it did not find is asked of upstreams.
    fn end_past_search(&mut self, now: MonoTime) {
        self.past_search.is_done = true;
        self.past_search.parts_due = Some(now + PEERS_TIME);
    }

    /// Merges the store's history.
    pub(super) fn merge_past(&mut self, past: Option<PastChanges>) {
        let now = self.now();
        let Some(past) = past else {
            spdlog::info!("store-past", kv: { read: = false });
            return;
        };
        let promised = self.board.settings.load().store_history;
        let (is_whole, holds, count) = match past {
            PastChanges::Whole(past) => {
                let view = &mut self.store_view;
                let holds = view.merge_whole_history(&past.changes, past.stamp, now);
                (true, holds, past.changes.len())
            }
            PastChanges::Partial => (false, false, 0),
        };
        spdlog::info!("store-past", kv: {
            read: = true, whole: = is_whole, changes: = count, holds: = holds,
            promised_ms: = promised.as_millis()
        });
        self.publish_versions(now);
        self.end_past_search(now);
    }

    /// Records for how long a peer has held records.
    pub(super) fn record_peer_uptime(&mut self, uptime_s: Option<u32>, now: MonoTime) {
        let life = history_time(now).since(self.earliest_start(now));
        let uptime = uptime_s.map(|uptime_s| Duration::from_secs(uptime_s.into()));
        self.past_search.has_old_peer |= uptime.is_some_and(|uptime| uptime >= life);
    }

    /// Decides which upstreams to ask for their cached parts, once peers could tell that they have the
    /// records of streams. Records of a peer are not enough while it may have missed changes.
    pub(super) fn search_parts(&mut self, now: MonoTime) {
        let Some(due) = self.past_search.parts_due.filter(|due| *due <= now) else {
            return;
        };
        let is_told = self.past_search.has_old_peer && self.covers_streams(now);
        let mut upstreams = if is_told {
            Vec::new()
        } else {
            self.ambiguous_upstreams(now)
        };
        let asked = &mut self.past_search.asked;
        upstreams.retain(|entry| !asked.contains(&entry.id.key()));
        if is_told || (upstreams.is_empty() && now.since(due) >= QUESTIONS_TIME) {
            self.past_search.parts_due = None;
            return;
        }
        let count = if asked.is_empty() {
            FIRST_QUESTIONS
        } else {
            TICK_QUESTIONS
        };
        let chosen = upstreams.into_iter().sample(&mut rand::rng(), count);
        asked.extend(chosen.iter().map(|entry| entry.id.key()));
        self.part_questions.extend(chosen);
    }

    /// The upstreams that this router asks for their cached parts: those of services in which a stream
    /// may have begun at one of several versions.
    fn ambiguous_upstreams(&self, now: MonoTime) -> Vec<Arc<UpstreamEntry>> {
        if self.store_view.codec().cached_parts_path().is_none() {
            return Vec::new();
        }
        let since = self.earliest_start(now);
        let history = self.store_view.history();
        let is_ambiguous = |service: ServiceKey| history.sole_version(service, since).is_none();
        let streamed = self.store_view.config();
        let streamed = streamed.map(|config| config.table.stream_services());
        let streamed = streamed.unwrap_or_default();
        let own = self.members.own();
        let mut routers = self.holders(now);
        routers.push(RecordHolder {
            address: own.address,
            data_center: own.data_center,
            is_leaving: false,
        });
        let upstreams = self.store_view.upstreams().into_iter();
        upstreams
            .filter(|entry| streamed.contains(&entry.service))
            .filter(|entry| is_ambiguous(entry.service.key()))
            .filter(|entry| {
                let tag = StreamTag::of_stream(entry.id.key().0);
                choose_holders(tag, &routers, ASKING_ROUTERS).contains(&own.address)
            })
            .collect()
    }

    /// Returns the upstreams to ask, and the path to ask for.
    pub fn take_part_questions(&mut self) -> Option<(Vec<Arc<UpstreamEntry>>, &'static str)> {
        let path = self.store_view.codec().cached_parts_path()?;
        let mut questions = std::mem::take(&mut self.part_questions);
        let evacuations = self.board.evacuations.load();
        questions.retain(|entry| !evacuations.contains(&entry.data_center));
        (!questions.is_empty()).then_some((questions, path))
    }

    /// Records the version at which the requests ran whose prompts an upstream has cached.
    pub fn merge_cached_parts(&mut self, entry: &UpstreamEntry, body: &Bytes) {
        let parts = match self.store_view.codec().decode_cached_parts(body) {
            Ok(parts) => parts,
            Err(error) => {
                spdlog::info!("parts-unreadable", kv: { upstream: = entry.id, reason: = error });
                return;
            }
        };
        let now = self.now();
        let until = now + self.longest_life();
        let version = entry.version_tag();
        let mut streams = self.board.stream_versions();
        for &part in &parts {
            streams.record_part(part, version, until);
        }
        drop(streams);
        spdlog::info!("parts-known", kv: {
            upstream: = entry.id, version: = entry.version, parts: = parts.len()
        });
        self.board.streams_changed.notify_one();
    }
}
