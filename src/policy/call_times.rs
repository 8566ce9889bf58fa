//! How long the latest calls of a route took.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of calls that are remembered.
const KEPT_CALLS: usize = 128;

/// Number of calls below which nothing is said about the next one.
const MIN_CALLS: usize = 8;

/// The times that the latest calls of a route took.
///
/// Invariant: at most [`KEPT_CALLS`] times, the latest at the back.
#[derive(Clone, Debug, Default)]
pub struct CallTimes {
    times: VecDeque<Duration>,
}

impl CallTimes {
    /// Records the time from the complete request to the end of the response.
    pub fn record(&mut self, time: Duration) {
        if self.times.len() == KEPT_CALLS {
            self.times.pop_front();
        }
        self.times.push_back(time);
    }

    /// Returns the time within which the share `quantile` of the calls ended, or `None` if there
    /// were too few.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.times.len() < MIN_CALLS {
            return None;
        }
        let mut sorted: Vec<Duration> = self.times.iter().copied().collect();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * quantile).ceil() as usize;
        sorted.get(rank.clamp(1, sorted.len()) - 1).copied()
    }
}
