//! Time as the decisions see it: a distance from the start of the process or of a simulation.

use std::ops::Add;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A point on a clock that never goes back.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct MonoTime(pub Duration);

impl MonoTime {
    /// The time from `earlier` to this one, zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// This time less `span`, or the start of the clock.
    #[must_use]
    pub fn saturating_sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0 + span)
    }
}

/// The clock of one process. It goes on while the machine is suspended, so that what was believed
/// before is as old as it is.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Duration,
}

impl ProcessClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: time_since_boot(),
        }
    }

    /// The time since the start.
    pub fn now(&self) -> MonoTime {
        MonoTime(time_since_boot().saturating_sub(self.start))
    }
}

fn time_since_boot() -> Duration {
    // The clock exists on every kernel that the runtime supports.
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("the boot-time clock exists")
        .into()
}
