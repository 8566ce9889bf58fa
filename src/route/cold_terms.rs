//! How the upstreams of a service behave after their start.

use std::fmt;
use std::time::Duration;

use crate::units::bounded_seconds;

/// Longest cold time, in seconds. A longer one is taken for a mistake.
const MAX_COLD_S: f64 = 600.0;

/// Highest rate of a cold upstream, in calls per second. A higher one is taken for a mistake.
const MAX_COLD_RATE: f64 = 1e6;

/// How long an upstream is cold after its start, and how much it takes meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTerms {
    /// Invariant: above 0.
    start: Duration,
    /// Calls per second from all routers together.
    ///
    /// Invariant: finite and above 0.
    per_s: f64,
}

/// Cold terms that can't be meant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTermsFault {
    start_s: f64,
    per_s: f64,
}

impl fmt::Display for ColdTermsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { start_s, per_s } = self;
        write!(
            f,
            "found {start_s} s with {per_s} calls/s, expected 0 to {MAX_COLD_S} s and \
             0 to {MAX_COLD_RATE} calls/s"
        )
    }
}

impl ColdTerms {
    /// Creates the terms. Returns `None` if upstreams are never cold, because one of the figures is 0.
    pub fn new(start_s: f64, per_s: f64) -> Result<Option<Self>, ColdTermsFault> {
        let is_sound =
            (0.0..=MAX_COLD_S).contains(&start_s) && (0.0..=MAX_COLD_RATE).contains(&per_s);
        if !is_sound {
            return Err(ColdTermsFault { start_s, per_s });
        }
        let start = bounded_seconds(start_s);
        Ok((!start.is_zero() && per_s > 0.0).then_some(Self { start, per_s }))
    }

    /// Time for which an upstream is cold after its start.
    pub fn start(self) -> Duration {
        self.start
    }

    /// Calls per second that a cold upstream takes from all routers together.
    pub fn per_s(self) -> f64 {
        self.per_s
    }
}
