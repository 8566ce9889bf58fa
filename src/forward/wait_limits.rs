//! How long a call waits for the next bytes from an upstream.

use std::time::Duration;

use crate::mono::MonoTime;
use crate::route::RouteRule;

/// Share of the route's target time after which an upstream that has sent nothing at all since the
/// request counts as unreachable. The rest of the target suffices for another upstream to respond
/// in time.
const SILENT_TARGET_SHARE: f64 = 0.4;

/// Lower bound of the limit for an upstream that has sent nothing: while it processes a long prompt
/// of another call, an upstream may send nothing for this long.
const MIN_SILENT_LIMIT: Duration = Duration::from_millis(250);

/// Tokens of a prompt that an upstream on a shared host reads per millisecond while its host is slow,
/// a third of the usual speed of model engines.
const SLOW_PREFILL_TOKENS_PER_MS: f64 = 20.0;

/// Multiple of the target time after which the wait for a response other than a stream ends, if the
/// call may be repeated at another upstream.
const FULL_RESPONSE_TARGET_MULTIPLE: f64 = 2.0;

/// Multiple of the target gap between two events after which a stream is resumed at another
/// upstream.
const GAP_TARGET_MULTIPLE: f64 = 1.5;

/// Lower bound of the time between two checks of a wait.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Target gap between two events of a stream whose route sets none.
const DEFAULT_GAP_TARGET: Duration = Duration::from_millis(800);

/// Limits of one wait for bytes from an upstream. They apply only while the call may be repeated at
/// another upstream; the deadline of the call always applies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitLimits {
    /// Limit if nothing has come from the upstream, for this or any other call, since the wait
    /// began.
    pub silent: Duration,
    /// Limit if the upstream responds to other calls.
    pub active: Duration,
}

impl WaitLimits {
    /// Limits of the wait for a full response, or for the first event of a stream.
    pub fn for_first_response(route: &RouteRule) -> Self {
        let multiple = if route.kind.streams() {
            1.0
        } else {
            FULL_RESPONSE_TARGET_MULTIPLE
        };
        let active = route.target.mul_f64(multiple);
        Self {
            silent: route
                .target
                .mul_f64(SILENT_TARGET_SHARE)
                .max(MIN_SILENT_LIMIT)
                .min(active),
            active,
        }
    }

    /// Extends the limits of a first response by the time that an upstream on a shared host may take to
    /// read the prompt. A replacement would read all of it again, and the upstream is only slow.
    #[must_use]
    pub fn with_prompt(self, prompt_tokens: u32) -> Self {
        let prefill_ms = f64::from(prompt_tokens) / SLOW_PREFILL_TOKENS_PER_MS;
        let prefill = Duration::from_secs_f64(prefill_ms / 1000.0);
        Self {
            silent: self.silent.max(prefill.min(self.active)),
            ..self
        }
    }

    /// Limits of the wait for the next event of a stream.
    pub fn for_next_event(route: &RouteRule) -> Self {
        let gap = route.gap_target.unwrap_or(DEFAULT_GAP_TARGET);
        Self {
            silent: gap.mul_f64(0.75),
            active: gap.mul_f64(GAP_TARGET_MULTIPLE),
        }
    }
}

/// The times at which an attempt is checked for silence.
#[derive(Clone, Copy, Debug)]
pub struct SilenceChecks {
    limits: WaitLimits,
    /// Start of the wait that is checked.
    since: Option<MonoTime>,
    /// Checks of this wait so far.
    count: u32,
}

impl SilenceChecks {
    pub fn new(limits: WaitLimits) -> Self {
        Self {
            limits,
            since: None,
            count: 0,
        }
    }

    /// Returns the time of the next check of a wait that began at `since`.
    pub fn next_at(&mut self, since: MonoTime, now: MonoTime) -> MonoTime {
        if self.since.replace(since) != Some(since) {
            self.count = 0;
        }
        match self.count {
            0 => since + self.limits.silent,
            1 => since + self.limits.active,
            _ => now + self.limits.active.max(MIN_CHECK_INTERVAL),
        }
    }

    /// Records that the wait was checked.
    pub fn pass(&mut self) {
        self.count += 1;
    }

    pub fn count(&self) -> u32 {
        self.count
    }
}
