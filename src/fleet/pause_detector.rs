//! Notices that the process was paused, and holds back what rests on old beliefs.

use std::time::Duration;

use crate::mono::MonoTime;

/// A tick later than this means that the process was paused.
pub const PAUSE_BOUND: Duration = Duration::from_secs(2);

/// How long work is held for news; after that the sources are unreachable, and the process goes
/// on with what it has rather than stop.
pub const NEWS_LIMIT: Duration = Duration::from_secs(3);

/// What a source tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefreshKind {
    /// The revision in force.
    Revision,
    /// Which VMs are leaving.
    VmList,
}

/// The end of a pause, and what has been heard since.
#[derive(Clone, Copy, Debug)]
struct PauseEnd {
    at: MonoTime,
    revision_heard: bool,
    list_heard: bool,
}

/// Follows the ticks of the control thread.
#[derive(Clone, Debug, Default)]
pub struct PauseDetector {
    last_tick: Option<MonoTime>,
    woken: Option<PauseEnd>,
    /// When the last pause ended.
    last_wake: Option<MonoTime>,
    pauses: u64,
}

impl PauseDetector {
    /// Counts a tick; true when it shows that the process was paused.
    pub fn tick(&mut self, now: MonoTime) -> bool {
        let last = self.last_tick.replace(now);
        let paused = last.is_some_and(|last| now.since(last) > PAUSE_BOUND);
        if paused {
            self.pauses += 1;
            self.last_wake = Some(now);
            self.woken = Some(PauseEnd {
                at: now,
                revision_heard: false,
                list_heard: false,
            });
        }
        if self
            .woken
            .is_some_and(|end| now.since(end.at) >= NEWS_LIMIT)
        {
            self.woken = None;
        }
        paused
    }

    /// Takes news that was true at `as_of` or later. What was asked before the pause is no news.
    pub fn refreshed(&mut self, kind: RefreshKind, as_of: MonoTime) {
        let Some(end) = &mut self.woken else { return };
        if as_of < end.at {
            return;
        }
        match kind {
            RefreshKind::Revision => end.revision_heard = true,
            RefreshKind::VmList => end.list_heard = true,
        }
        if end.revision_heard && end.list_heard {
            self.woken = None;
        }
    }

    /// Whether something that was opened at `opened` is older than the last pause's end.
    pub fn predates_resume(&self, opened: MonoTime) -> bool {
        self.last_wake.is_some_and(|wake| opened < wake)
    }

    /// Whether work must wait until news has come.
    pub fn must_delay(&self, now: MonoTime) -> bool {
        let late = self
            .last_tick
            .is_some_and(|last| now.since(last) > PAUSE_BOUND);
        late || self.woken.is_some()
    }

    /// Pauses noticed so far.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }
}
