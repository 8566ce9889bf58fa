//! Limits the rate of requests with a token bucket.

use std::time::Duration;

use crate::mono::MonoTime;
use crate::units::MAX_TIME_SPAN;

/// Time whose tokens a bucket holds in addition to one.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Tokens for requests, refilled at a rate that may change from call to call.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    /// The tokens at the time `updated`; `None` if no request was counted, so that the bucket is
    /// full.
    state: Option<BucketState>,
}

#[derive(Clone, Copy, Debug)]
struct BucketState {
    tokens: f64,
    updated: MonoTime,
}

impl TokenBucket {
    /// Returns the time until a request may be sent, at `rate` requests per second.
    pub fn wait(&self, rate: f64, now: MonoTime) -> Duration {
        let missing = 1.0 - self.tokens(rate, now);
        let wait = Duration::try_from_secs_f64(missing.max(0.0) / rate);
        wait.unwrap_or(MAX_TIME_SPAN).min(MAX_TIME_SPAN)
    }

    /// Counts a request.
    pub fn take(&mut self, rate: f64, now: MonoTime) {
        self.state = Some(BucketState {
            tokens: self.tokens(rate, now) - 1.0,
            updated: now,
        });
    }

    fn tokens(&self, rate: f64, now: MonoTime) -> f64 {
        let capacity = 1.0 + rate * BURST_TIME.as_secs_f64();
        self.state.map_or(capacity, |state| {
            let refill = rate * now.since(state.updated).as_secs_f64();
            (state.tokens + refill).min(capacity)
        })
    }
}
