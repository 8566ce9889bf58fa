//! Detects that the process was paused, for example with its VM, and delays work that would act on
//! state from before the pause.

use std::time::Duration;

use crate::mono::MonoTime;

/// Interval between two ticks above which the process counts as paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// How long work is delayed after a pause while waiting for updates. After that the sources count
/// as unreachable, and the process continues with its last known state instead of stopping.
pub const REFRESH_TIMEOUT: Duration = Duration::from_secs(3);

/// State that must be refreshed after a pause before work continues.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefreshKind {
    /// The configuration revision in force.
    Revision,
    /// Which VMs are leaving.
    VmList,
}

/// The end of a pause and which state has been refreshed since then.
#[derive(Clone, Copy, Debug)]
struct PauseEnd {
    at: MonoTime,
    revision_refreshed: bool,
    vm_list_refreshed: bool,
}

/// Detects pauses from the ticks of the control thread.
#[derive(Clone, Debug, Default)]
pub struct PauseDetector {
    last_tick: Option<MonoTime>,
    /// Set from the end of a pause until all state is refreshed or [`REFRESH_TIMEOUT`] has passed.
    pending: Option<PauseEnd>,
    /// When the last pause ended.
    last_resume: Option<MonoTime>,
    pauses: u64,
}

impl PauseDetector {
    /// Records a tick; returns true if the process was paused since the previous one.
    pub fn tick(&mut self, now: MonoTime) -> bool {
        let last = self.last_tick.replace(now);
        let paused = last.is_some_and(|last| now.since(last) > PAUSE_THRESHOLD);
        if paused {
            self.pauses += 1;
            self.last_resume = Some(now);
            self.pending = Some(PauseEnd {
                at: now,
                revision_refreshed: false,
                vm_list_refreshed: false,
            });
        }
        if self
            .pending
            .is_some_and(|end| now.since(end.at) >= REFRESH_TIMEOUT)
        {
            self.pending = None;
        }
        paused
    }

    /// Records that an update was received whose content was current at `as_of` or later. Responses
    /// to requests sent before the end of the pause are ignored, because they may be outdated.
    pub fn refreshed(&mut self, kind: RefreshKind, as_of: MonoTime) {
        let Some(end) = &mut self.pending else { return };
        if as_of < end.at {
            return;
        }
        match kind {
            RefreshKind::Revision => end.revision_refreshed = true,
            RefreshKind::VmList => end.vm_list_refreshed = true,
        }
        if end.revision_refreshed && end.vm_list_refreshed {
            self.pending = None;
        }
    }

    /// Whether a connection opened at `opened` is older than the end of the last pause.
    pub fn predates_resume(&self, opened: MonoTime) -> bool {
        self.last_resume.is_some_and(|resumed| opened < resumed)
    }

    /// Whether work must be delayed: a tick is overdue, or state is not refreshed yet after a
    /// pause.
    pub fn must_delay(&self, now: MonoTime) -> bool {
        let tick_overdue = self
            .last_tick
            .is_some_and(|last| now.since(last) > PAUSE_THRESHOLD);
        tick_overdue || self.pending.is_some()
    }

    /// Number of pauses detected since the process started.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }
}
