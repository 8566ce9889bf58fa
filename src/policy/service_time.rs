//! Estimates how long requests occupy their slots, and from that how fast a queue is served.

use std::time::Duration;

/// Weight of the newest observation in the moving mean.
const SMOOTHING_FACTOR: f64 = 0.05;

/// Tokens per second at which a request is assumed to be served until the first one has ended.
const DEFAULT_TOKENS_PER_S: f64 = 20.0;

/// An exponential moving mean of the time for which requests of one rank occupy a slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTimeEstimator {
    /// Mean in seconds, or `None` before the first observation.
    mean: Option<f64>,
}

impl ServiceTimeEstimator {
    /// Adds the time for which a request occupied its slots.
    pub fn record(&mut self, held: Duration) {
        let held = held.as_secs_f64();
        self.mean = Some(match self.mean {
            None => held,
            Some(mean) => mean + (held - mean) * SMOOTHING_FACTOR,
        });
    }

    /// Estimates how long `slots` slots take to serve `requests` requests of about `cost` tokens.
    pub fn time_to_serve(&self, requests: usize, cost: u64, slots: f64) -> Duration {
        let mean = self.mean.unwrap_or(cost as f64 / DEFAULT_TOKENS_PER_S);
        Duration::from_secs_f64(requests as f64 * mean / slots.max(1e-6))
    }
}
