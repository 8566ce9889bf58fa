//! How long a call waits for the next bytes of an upstream.

use std::time::Duration;

use crate::route::RouteRule;

/// Part of the target after which an upstream that has sent nothing at all since the call counts
/// as gone: enough is left to be on time at another one.
const ALONE_SHARE: f64 = 0.4;

/// Least wait for an upstream that has sent nothing: a long prompt of another call may take this
/// long between two events.
const ALONE_FLOOR: Duration = Duration::from_millis(250);

/// Multiple of the target after which a plain answer is given up where another upstream may run
/// the call.
const PLAIN_MULTIPLE: f64 = 2.0;

/// Multiple of the pause that a stream may have after which it goes on elsewhere.
const GAP_MULTIPLE: f64 = 1.5;

/// Pause that a stream may have where its route names none.
const GAP_DEFAULT: Duration = Duration::from_millis(800);

/// Limits of one wait. They hold only while another upstream may take over; the end of the call's
/// own time holds always.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallWait {
    /// Limit where nothing has come from the upstream since the wait began.
    pub alone: Duration,
    /// Limit where the upstream answers other calls.
    pub busy: Duration,
}

impl CallWait {
    /// The wait for an answer, or for the first event of a stream.
    pub fn first(route: &RouteRule) -> Self {
        let multiple = if route.kind.streams() {
            1.0
        } else {
            PLAIN_MULTIPLE
        };
        let busy = route.target.mul_f64(multiple);
        Self {
            alone: route.target.mul_f64(ALONE_SHARE).max(ALONE_FLOOR).min(busy),
            busy,
        }
    }

    /// The wait for the next event.
    pub fn next(route: &RouteRule) -> Self {
        let gap = route.gap_target.unwrap_or(GAP_DEFAULT);
        Self {
            alone: gap.mul_f64(0.75),
            busy: gap.mul_f64(GAP_MULTIPLE),
        }
    }
}
