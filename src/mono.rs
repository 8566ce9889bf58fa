//! Monotonic time, measured from the start of the process or of a simulation.

use std::ops::Add;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A point in time on a monotonic clock, as the time since the clock's start.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct MonoTime(pub Duration);

impl MonoTime {
    /// Returns the time from `earlier` to this one, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time `span` before this one, or the clock's start if that is later.
    #[must_use]
    pub fn saturating_sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    /// Returns the time `span` after this one, or the last time that can be expressed.
    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

/// The monotonic clock of a process. It also advances while the machine is suspended, so that the
/// age of cached state includes the time of the suspension.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Duration,
}

impl ProcessClock {
    pub fn start() -> Self {
        Self {
            start: time_since_boot(),
        }
    }

    pub fn now(&self) -> MonoTime {
        MonoTime(time_since_boot().saturating_sub(self.start))
    }
}

fn time_since_boot() -> Duration {
    // Every kernel that the runtime supports has this clock.
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("CLOCK_BOOTTIME is available")
        .into()
}
