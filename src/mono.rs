//! Time as the decisions see it: a distance from the start of the process or of a simulation.

use std::ops::Add;
use std::time::{Duration, Instant};

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
    pub fn back(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0 + span)
    }
}

/// The clock of one process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time since the start.
    pub fn now(&self) -> MonoTime {
        MonoTime(self.start.elapsed())
    }
}
