//! Finds out after a start, if no peer can tell, which software versions were in use before.

use std::time::Duration;

use super::ControlState;
use crate::fleet::store_stamp::StoreStamp;
use crate::fleet::store_view::DocumentCodec;
use crate::fleet::version_history::history_time;
use crate::forward_board::ForwardStage;
use crate::forward_control::store_task::{PastChanges, StoreCommand};
use crate::mono::MonoTime;
use crate::policy::stream_versions::stream_life;

/// Time between two attempts to read the store's history.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// Number of attempts to read the store's history.
const MAX_READS: u32 = 4;

/// Progress of the search.
#[derive(Clone, Debug, Default)]
pub(super) struct PastSearch {
    reads: u32,
    next_read: MonoTime,
    is_done: bool,
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
        self.begin_part_search(now);
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
}
