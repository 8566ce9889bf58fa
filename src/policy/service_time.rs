//! How long requests hold their slots, and so how fast a queue is sure to be served.

use std::time::Duration;

/// Weight of the newest observation.
const NEWEST_WEIGHT: f64 = 0.05;

/// Estimated tokens a second of a request, taken until one has ended.
const DEFAULT_TOKEN_RATE: f64 = 20.0;

/// A moving mean of the time that requests of one rank hold a slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceMeter {
    mean: Option<f64>,
}

impl ServiceMeter {
    /// Counts a request that held its slot for `held`.
    pub fn note(&mut self, held: Duration) {
        let held = held.as_secs_f64();
        self.mean = Some(match self.mean {
            None => held,
            Some(mean) => mean + (held - mean) * NEWEST_WEIGHT,
        });
    }

    /// How long it takes `slots` slots to serve `ahead` requests of about `cost` tokens.
    pub fn time_for(&self, ahead: usize, cost: u64, slots: f64) -> Duration {
        let mean = self.mean.unwrap_or(cost as f64 / DEFAULT_TOKEN_RATE);
        Duration::from_secs_f64(ahead as f64 * mean / slots.max(1e-6))
    }
}
