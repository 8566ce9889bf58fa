//! How fast a queue has been served lately.

use std::time::Duration;

use crate::mono::MonoTime;

/// Time over which a rate is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// An exponentially weighted rate of departures from a queue.
#[derive(Clone, Debug, Default)]
pub struct RateMeter {
    /// Departures a second.
    rate: f64,
    last: Option<MonoTime>,
    /// Time spent busy since the start, up to the window.
    observed: Duration,
}

impl RateMeter {
    /// Counts one departure; `busy` says whether the queue had work all the time since the last.
    pub fn depart(&mut self, now: MonoTime, busy: bool) {
        let Some(last) = self.last.replace(now) else {
            return;
        };
        if !busy {
            return;
        }
        let gap = now.since(last);
        self.observed = (self.observed + gap).min(RATE_WINDOW);
        let window = self.observed.as_secs_f64().max(1e-3);
        let decay = (-gap.as_secs_f64() / window).exp();
        self.rate = self.rate * decay + 1.0 / window;
    }

    /// Departures a second while busy, once enough has been seen to tell.
    pub fn rate(&self) -> Option<f64> {
        (self.observed >= RATE_WINDOW / 5).then_some(self.rate)
    }
}
