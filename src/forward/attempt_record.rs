//! What a call knows of one of its attempts while this runs.

use std::cell::Cell;
use std::sync::Arc;

use crate::fleet::upstream_entry::UpstreamEntry;
use crate::forward::choice_record::ChoiceRecord;
use crate::forward::wait_clock::WaitClock;
use crate::ids::UpstreamKey;
use crate::mono::MonoTime;

/// An attempt of a call, shared by the attempt and the call.
pub struct AttemptRecord {
    pub entry: Arc<UpstreamEntry>,
    pub choice: ChoiceRecord,
    pub started: MonoTime,
    pub wait: WaitClock,
    /// Whether the attempt before this one still runs, so that a failure of this one loses nothing.
    pub has_fallback: Cell<bool>,
    /// Whether the call is offered to another upstream meanwhile. Only an event ends that, so
    /// comments are held back.
    pub is_contested: Cell<bool>,
}

impl AttemptRecord {
    pub fn key(&self) -> UpstreamKey {
        self.entry.id.key()
    }

    /// Returns when the present wait for bytes began, or the attempt if it still connects.
    pub fn waiting_since(&self) -> MonoTime {
        self.wait.since().unwrap_or(self.started)
    }

    /// Returns since when nothing at all has come for this attempt.
    pub fn silent_since(&self) -> MonoTime {
        let since = self.waiting_since();
        self.wait.heard().map_or(since, |heard| heard.max(since))
    }
}
