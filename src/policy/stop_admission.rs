//! Which calls a stopping router still takes, and when it ends those in progress.

use std::time::Duration;

use crate::mono::MonoTime;
use crate::route::CallKind;

/// How long a stopping router accepts new calls: the time to live of a locate response with its
/// address, and a margin.
const LEAVING_DURATION: Duration = Duration::from_millis(2400);

/// Part of the stop grace that is reserved for ending the process, at most a tenth of the grace.
const END_MARGIN: Duration = Duration::from_millis(400);

/// Time for sending the responses of the calls that are ended, at most a twentieth of the grace.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Time that a stream is expected to take, as a multiple of the target of its first event.
const STREAM_TARGET_MULTIPLE: u32 = 4;

/// A stop that was requested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    /// When the stop was requested.
    pub requested: MonoTime,
    /// Time from the request to the forced end of the process.
    pub grace: Duration,
}

/// What is known about the time that a call needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallNeed {
    pub kind: CallKind,
    /// Time until the deadline of the call.
    pub limit: Duration,
    /// Target latency of the response, or of its first event if it is a stream.
    pub target: Duration,
    /// Time that calls of this route took lately; `None` if there were too few. For calls that may
    /// not be repeated it is the longest time.
    pub measured: Option<Duration>,
}

impl CallNeed {
    /// Returns the time that has to be left for the call.
    fn time(&self) -> Duration {
        let target_multiple = if self.kind.streams() {
            STREAM_TARGET_MULTIPLE
        } else {
            1
        };
        let expected = self
            .measured
            .unwrap_or(self.target.saturating_mul(target_multiple));
        // A call that may not be repeated is lost if it is cut, so half as much again must be left.
        let margin = if self.kind.repeatable() {
            Duration::ZERO
        } else {
            expected / 2
        };
        expected.saturating_add(margin).min(self.limit)
    }
}

impl StopPlan {
    /// Returns the time from which on no call is taken.
    pub fn closes_at(&self) -> MonoTime {
        (self.requested + LEAVING_DURATION).min(self.responds_at())
    }

    /// Returns the time at which calls in progress are ended, so that their callers still get a
    /// response.
    pub fn responds_at(&self) -> MonoTime {
        self.ends_at()
            .saturating_sub(RESPONSE_MARGIN.min(self.grace / 20))
    }

    /// Returns the time at which the process ends.
    pub fn ends_at(&self) -> MonoTime {
        (self.requested + self.grace).saturating_sub(END_MARGIN.min(self.grace / 10))
    }

    /// Returns whether a call can be sent to an upstream now and be answered before the router
    /// ends. Otherwise another router should take it.
    pub fn admits(&self, need: &CallNeed, now: MonoTime) -> bool {
        need.time() < self.responds_at().since(now)
    }
}
