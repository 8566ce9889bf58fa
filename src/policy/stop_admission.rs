//! Which calls a stopping router still takes, and when it ends those in progress.

use std::time::Duration;

use crate::mono::MonoTime;
use crate::policy::call_times::CallTimes;
use crate::route::{CallKind, RouteRule};

/// How long a stopping router accepts new calls: the time to live of a locate response with its
/// address, and a margin for responses under way.
const LEAVING_DURATION: Duration = Duration::from_millis(2650);

/// Part of the stop grace that is reserved for ending the process, at most a tenth of the grace.
const END_MARGIN: Duration = Duration::from_millis(400);

/// Time for sending the responses of the calls that are ended, at most a twentieth of the grace.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Time that a stream is expected to take, as a multiple of the target of its first event.
const STREAM_TARGET_MULTIPLE: u32 = 4;

/// Quantile of the times of a route's calls within which a call is expected to end. A call that may
/// not be repeated is lost if it is cut, but a refused one may come back to routers that stop too.
const ONCE_QUANTILE: f64 = 0.98;
const REPEATABLE_QUANTILE: f64 = 0.9;

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
    /// Time within which most calls of this route ended lately; `None` if there were too few.
    pub measured: Option<Duration>,
}

impl CallNeed {
    /// Returns what is known about a call of `route` that is received at `now`, and whose route's
    /// latest calls took `times`.
    pub fn new(
        route: &RouteRule,
        times: Option<&CallTimes>,
        deadline: MonoTime,
        now: MonoTime,
    ) -> Self {
        let quantile = if route.kind.repeatable() {
            REPEATABLE_QUANTILE
        } else {
            ONCE_QUANTILE
        };
        Self {
            kind: route.kind,
            limit: deadline.since(now),
            target: route.target,
            measured: times.and_then(|times| times.quantile(quantile)),
        }
    }

    /// Returns the time that has to be left for the call.
    fn time(&self) -> Duration {
        self.measured.unwrap_or(self.assumed()).min(self.limit)
    }

    /// Returns the time that is assumed for the call if too few were measured.
    fn assumed(&self) -> Duration {
        let multiple = if self.kind.streams() {
            STREAM_TARGET_MULTIPLE
        } else {
            1
        };
        let time = self.target.saturating_mul(multiple);
        let margin = if self.kind.repeatable() {
            Duration::ZERO
        } else {
            time / 2
        };
        time.saturating_add(margin)
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
