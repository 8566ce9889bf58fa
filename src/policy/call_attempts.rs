//! The attempts to run one call at upstreams, and the rules for retrying it.
//!
//! An attempt passes through `queued → connecting → written → responding → ended`. A failed
//! attempt proves that the call did not run only if it wrote no byte, or if the upstream reported, in
//! a response that can only belong to this call, that it did not execute the call or that it is not
//! the expected upstream.

use std::time::Duration;

use crate::policy::spent_attempts::SpentAttempts;
use crate::route::CallKind;

/// Maximum number of connections that one call tries, apart from refused ones. Each costs at most one
/// connect timeout, and a failed one proves that the call did not run.
const MAX_CONNECTS: u32 = 4;

/// Maximum number of refused connections of one call. Each costs a round trip, and where most
/// upstreams have crashed, several in a row are refused.
const MAX_REFUSED: u32 = 8;

/// Largest count that is taken over from another router, above any that attempts reach, so that sums
/// don't overflow.
const MAX_SPENT: u32 = 1_000;

/// Number of connections that a router may try for a call that was passed on, unless the call was sent
/// before: failed connections of another router say nothing about the way of this one.
const MIN_PASSED_CONNECTS: u32 = 2;

/// Statuses below 500 of an upstream that takes no calls now.
const REFUSALS: [u16; 2] = [408, 429];

/// What the attempts so far show about whether a call ran.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RunVerdict {
    /// The call did not run and won't run later.
    NotRun,
    /// An upstream received the call, but it is not known whether the call ran.
    MayHaveRun,
    /// An upstream ran the call and responded.
    Ran,
}

/// The way in which an attempt failed to give a response for the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFault {
    /// The connection was reset or not established within the timeout.
    Unreachable,
    /// The connection was refused: nothing listens at the upstream's address.
    Refused,
    /// The connection closed before a byte was written.
    Unsent,
    /// The upstream reported that it did not execute the call.
    NotExecuted,
    /// Another upstream has taken over the address.
    WrongInstance,
    /// The upstream responded with this HTTP status.
    Failed(u16),
    /// The response is malformed, belongs to another call, or can't continue the stream that the
    /// caller has a part of.
    BadAnswer,
    /// The connection failed after the call was written.
    Broken,
    /// The response, or its first event, did not arrive within the timeout.
    Silent,
    /// The next event of a stream did not arrive within the timeout.
    Stalled,
}

impl AttemptFault {
    /// Returns what the fault shows about whether the call ran.
    pub fn verdict(self) -> RunVerdict {
        match self {
            Self::Unreachable
            | Self::Refused
            | Self::Unsent
            | Self::NotExecuted
            | Self::WrongInstance => RunVerdict::NotRun,
            Self::Failed(_) => RunVerdict::Ran,
            Self::BadAnswer | Self::Broken | Self::Silent | Self::Stalled => RunVerdict::MayHaveRun,
        }
    }

    /// Returns whether the fault counts against the upstream. A status below 500 answers the call,
    /// unless it is a refusal, even if the caller can't be given it.
    pub fn is_upstream_failure(self) -> bool {
        match self {
            Self::Unsent => false,
            Self::Failed(status) => status >= 500 || REFUSALS.contains(&status),
            _ => true,
        }
    }

    /// Returns the fault of an attempt that had returned events before.
    #[must_use]
    pub fn after_events(self) -> Self {
        match self {
            Self::Silent => Self::Stalled,
            fault => fault,
        }
    }

    /// Returns whether the call was written to the upstream, at least in part.
    pub fn arrived(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Refused | Self::Unsent)
    }

    /// Returns the name of the fault in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unreachable | Self::Refused => "unreachable",
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

/// The reason why a call ends without an upstream's response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// No upstream ran the call, and none will run it later.
    NotRun,
    /// An upstream may have run the call, but its response is lost.
    Unknown,
    /// The deadline passed, and an upstream may have run the call.
    Late,
    /// No upstream ran the call, and none will: it or a part of its prompt crashes upstreams. The
    /// caller may try again after this time.
    Held(Duration),
    /// No upstream ran the call, and none will: all have taken as many requests as their limits
    /// allow. The caller may try again after this time.
    Limited(Duration),
    /// No upstream ran the call, and none will: it takes up a stream, and it is not certain which
    /// software version began it. The caller may try again after this time.
    UnknownVersion(Duration),
    /// No upstream ran the call, and none will: no upstream of the software version that began the
    /// stream is left.
    VersionGone,
    /// No upstream ran the call, and none will: all leave or want no requests now. The caller may
    /// try again after this time.
    Declined(Duration),
}

/// The next step after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Make another attempt.
    Retry,
    /// Report this failure to the caller.
    Fail(CallFailure),
}

/// State of the attempts of one call.
#[derive(Clone, Debug)]
pub struct CallAttempts {
    kind: CallKind,
    max_arrivals: u32,
    arrivals: u32,
    /// Number of times that the call was written to an upstream, whoever received it.
    sends: u32,
    /// Number of connections that were tried, apart from refused ones.
    connects: u32,
    /// Number of refused connections.
    refused: u32,
    /// Invariant: the highest verdict of all attempts.
    verdict: RunVerdict,
    streaming: bool,
    /// Whether an upstream is left that may receive the call once more.
    may_return: bool,
}

impl CallAttempts {
    /// Creates the state before the first attempt; at most `max_arrivals` upstreams may receive the
    /// call.
    pub fn new(kind: CallKind, max_arrivals: u32) -> Self {
        Self {
            kind,
            max_arrivals: max_arrivals.max(1),
            arrivals: 0,
            sends: 0,
            connects: 0,
            refused: 0,
            verdict: RunVerdict::NotRun,
            streaming: false,
            may_return: false,
        }
    }

    /// Counts what another router has used up that passed the call on. It did not run there.
    #[must_use]
    pub fn with_spent(mut self, spent: &SpentAttempts) -> Self {
        self.arrivals = spent.arrivals.min(MAX_SPENT);
        self.sends = spent.sends.min(MAX_SPENT);
        // A send costs the upstreams, whichever router makes it.
        let connects = spent.connects.min(MAX_CONNECTS - MIN_PASSED_CONNECTS);
        self.connects = connects.max(self.sends).min(MAX_CONNECTS);
        self
    }

    /// Returns what the attempts have used up, without the upstreams that were tried.
    pub fn spent(&self) -> SpentAttempts {
        SpentAttempts {
            arrivals: self.arrivals,
            sends: self.sends,
            connects: self.connects,
            tried: Vec::new(),
        }
    }

    /// Returns what is known about whether the call ran.
    pub fn verdict(&self) -> RunVerdict {
        self.verdict
    }

    /// Returns the number of upstreams that received the call.
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// Returns whether the next attempt is a repeat that counts against the retry budget of the
    /// service.
    pub fn is_repeat(&self) -> bool {
        self.sends > 0
    }

    /// Returns whether another upstream may receive the call if the current attempt fails after the
    /// call was written.
    pub fn may_repeat(&self) -> bool {
        self.allows_beside(1) || self.may_return && self.kind.repeatable()
    }

    /// Returns whether an upstream that has not received the call yet may receive it while the
    /// current attempt goes on.
    pub fn may_add_beside(&self) -> bool {
        self.allows_beside(1)
    }

    /// Returns whether a call that was passed on may be tried at all.
    pub fn may_begin(&self) -> bool {
        self.may_add() && self.connects < MAX_CONNECTS
    }

    /// Returns whether an upstream that has not received the call yet may receive it.
    pub fn may_add(&self) -> bool {
        self.arrivals < self.max_arrivals
    }

    /// Sets whether an upstream is left that may receive the call once more, without being another
    /// one that received it.
    pub fn set_may_return(&mut self, may_return: bool) {
        self.may_return = may_return;
    }

    /// Takes back the arrival at an upstream that received the call once more. Its end is recorded
    /// anew.
    pub fn forget_arrival(&mut self) {
        self.arrivals = self.arrivals.saturating_sub(1);
    }

    /// Returns whether another upstream may receive the call if the current attempt and the one that
    /// is to replace it both fail after the call was written.
    pub fn may_repeat_replacement(&self) -> bool {
        self.allows_beside(2)
    }

    fn allows_beside(&self, open: u32) -> bool {
        self.kind.repeatable()
            && self.arrivals + open < self.max_arrivals
            && self.connects + open < MAX_CONNECTS
    }

    /// Records that the caller was sent events of the stream.
    pub fn mark_streaming(&mut self) {
        self.streaming = true;
        self.verdict = RunVerdict::Ran;
    }

    /// Records that an attempt ended while another one of the call goes on. It uses up nothing that
    /// the other one is owed if it ran nothing.
    pub fn record_beside(&mut self, verdict: RunVerdict) {
        if verdict != RunVerdict::NotRun {
            self.arrivals += 1;
            self.sends += 1;
            self.verdict = self.verdict.max(verdict);
        }
    }

    /// Records a failed attempt and decides the next step.
    ///
    /// `in_time` tells whether the deadline has not passed yet, `affordable` whether the retry
    /// budget allows a repeat.
    pub fn record_fault(
        &mut self,
        fault: AttemptFault,
        in_time: bool,
        affordable: bool,
    ) -> NextStep {
        if fault == AttemptFault::Refused {
            self.refused += 1;
        } else {
            self.connects += 1;
        }
        // A call that has run can't be refused, so a refusal does not use up its attempts. The wrong
        // instance is not an upstream of the service.
        let is_refusal = fault == AttemptFault::NotExecuted
            && self.verdict != RunVerdict::NotRun
            && self.arrivals > 0;
        self.sends += u32::from(fault.arrived());
        if fault.arrived() && !is_refusal && fault != AttemptFault::WrongInstance {
            self.arrivals += 1;
        }
        self.verdict = self.verdict.max(fault.verdict());
        if !in_time {
            return NextStep::Fail(self.failure(CallFailure::Late));
        }
        let proven_not_run = fault.verdict() == RunVerdict::NotRun;
        let allowed = proven_not_run || self.kind.repeatable();
        let attempts_left = (self.may_add() || self.may_return)
            && self.connects < MAX_CONNECTS
            && self.refused < MAX_REFUSED;
        let within_budget = affordable || !self.is_repeat();
        if allowed && attempts_left && within_budget {
            NextStep::Retry
        } else {
            NextStep::Fail(self.failure(CallFailure::Unknown))
        }
    }

    /// Returns the failure to report when no upstream is left to try.
    pub fn exhausted(&self, in_time: bool) -> CallFailure {
        self.failure(if in_time {
            CallFailure::Unknown
        } else {
            CallFailure::Late
        })
    }

    /// Returns the failure to report when the call may not be sent for the reason of `refusal`. Only
    /// a call that did not run can be refused.
    pub fn refused(&self, refusal: CallFailure) -> CallFailure {
        match self.failure(CallFailure::Unknown) {
            CallFailure::NotRun => refusal,
            failure => failure,
        }
    }

    fn failure(&self, if_may_have_run: CallFailure) -> CallFailure {
        if self.verdict == RunVerdict::NotRun && !self.streaming {
            CallFailure::NotRun
        } else {
            if_may_have_run
        }
    }
}
