//! The attempts of one call at upstreams: what each proves, and what may follow.
//!
//! An attempt goes `queued → connecting → written → answering → ended`. Only an attempt that wrote
//! no byte, and one that the upstream itself disowned, prove that the call did not run.

use crate::route::CallKind;

/// Connections that one call may try to open: each costs a connect time-out at most, and a failed
/// one proves that nothing ran.
const MAX_CONNECTS: u32 = 4;

/// What is known of whether a call ran.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RunVerdict {
    /// It did not run, and never will.
    NotRun,
    /// Nothing is known.
    MayHaveRun,
    /// An upstream answered it.
    Ran,
}

/// How an attempt ended without an answer for the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFault {
    /// The connection was refused, reset or not made in time.
    Unreachable,
    /// The connection closed before a byte was written.
    Unsent,
    /// The upstream said that it did not run the call.
    NotExecuted,
    /// Another upstream has the address.
    WrongInstance,
    /// The upstream answered with this failure.
    Failed(u16),
    /// The answer was none of this call, or broken.
    BadAnswer,
    /// The connection broke after the call was written.
    Broken,
    /// The answer, or its first event, did not come in time.
    Silent,
    /// The stream paused for too long.
    Stalled,
}

impl AttemptFault {
    /// What the fault proves.
    pub fn verdict(self) -> RunVerdict {
        match self {
            Self::Unreachable | Self::Unsent | Self::NotExecuted | Self::WrongInstance => {
                RunVerdict::NotRun
            }
            Self::Failed(_) => RunVerdict::Ran,
            Self::BadAnswer | Self::Broken | Self::Silent | Self::Stalled => RunVerdict::MayHaveRun,
        }
    }

    /// Whether the upstream received the call.
    pub fn arrived(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Unsent)
    }

    /// The name of the fault in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Unsent => "unsent",
            Self::NotExecuted => "not-executed",
            Self::WrongInstance => "wrong-instance",
            Self::Failed(_) => "failed",
            Self::BadAnswer => "bad-answer",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Stalled => "stalled",
        }
    }
}

/// Why a call ends without an upstream's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// No upstream ran it, and none will.
    NotRun,
    /// An upstream may have run it, and its answer is lost.
    Unknown,
    /// Its time is over, and an upstream may have run it.
    Late,
}

/// What follows a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Another attempt.
    Retry,
    /// The caller is told.
    Fail(CallFailure),
}

/// The attempts of one call.
#[derive(Clone, Debug)]
pub struct CallAttempts {
    kind: CallKind,
    max_arrivals: u32,
    arrivals: u32,
    connects: u32,
    /// Invariant: the highest verdict of all attempts.
    verdict: RunVerdict,
    streaming: bool,
}

impl CallAttempts {
    /// No attempt yet; at most `max_arrivals` upstreams may receive the call.
    pub fn new(kind: CallKind, max_arrivals: u32) -> Self {
        Self {
            kind,
            max_arrivals: max_arrivals.max(1),
            arrivals: 0,
            connects: 0,
            verdict: RunVerdict::NotRun,
            streaming: false,
        }
    }

    /// What is known of whether the call ran.
    pub fn verdict(&self) -> RunVerdict {
        self.verdict
    }

    /// Upstreams that received the call.
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// Whether the next attempt would be a repeat for the upstreams' service.
    pub fn is_repeat(&self) -> bool {
        self.arrivals > 0
    }

    /// Whether one more upstream may receive the call once this one fails.
    pub fn may_repeat(&self) -> bool {
        self.kind.repeatable() && self.arrivals + 1 < self.max_arrivals
    }

    /// Events have gone to the caller.
    pub fn mark_streaming(&mut self) {
        self.streaming = true;
        self.verdict = RunVerdict::Ran;
    }

    /// Counts a fault and decides what follows. `in_time` tells whether time is left, `affordable`
    /// whether the retry budget has room for a repeat.
    pub fn record_fault(
        &mut self,
        fault: AttemptFault,
        in_time: bool,
        affordable: bool,
    ) -> NextStep {
        self.connects += 1;
        // The wrong instance is no upstream of the service, so it doesn't use up an attempt.
        if fault.arrived() && fault != AttemptFault::WrongInstance {
            self.arrivals += 1;
        }
        self.verdict = self.verdict.max(fault.verdict());
        if !in_time {
            return NextStep::Fail(self.failure(CallFailure::Late));
        }
        let proved = fault.verdict() == RunVerdict::NotRun;
        let allowed = proved || self.kind.repeatable();
        let attempts_left = self.arrivals < self.max_arrivals && self.connects < MAX_CONNECTS;
        let paid = affordable || !self.is_repeat();
        if allowed && attempts_left && paid {
            NextStep::Retry
        } else {
            NextStep::Fail(self.failure(CallFailure::Unknown))
        }
    }

    /// No upstream can be tried any more.
    pub fn exhausted(&self, in_time: bool) -> CallFailure {
        self.failure(if in_time {
            CallFailure::Unknown
        } else {
            CallFailure::Late
        })
    }

    fn failure(&self, otherwise: CallFailure) -> CallFailure {
        if self.verdict == RunVerdict::NotRun && !self.streaming {
            CallFailure::NotRun
        } else {
            otherwise
        }
    }
}
