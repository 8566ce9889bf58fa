//! When callers return that a router without a configuration has refused.
//!
//! The load is a fleet that was restarted while the store is down: nothing can be served until the
//! store returns, and callers who come back before that are refused once more, most of them for
//! good. An outage that has lasted for some time usually lasts as long again.

use std::time::Duration;

/// Shortest wait, which suffices where the store responds.
const MIN_WAIT: Duration = Duration::from_millis(200);

/// Longest wait. Callers wait at most a third of the time that they have left.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// Returns the wait after which a caller should return to a fleet that has been without a
/// configuration for `outage`. `draw` is uniform over 0 to 1 and spreads the callers over half of
/// the wait, so that they do not return together.
pub fn boot_retry_after(outage: Duration, draw: f64) -> Duration {
    outage.clamp(MIN_WAIT, MAX_WAIT).mul_f64(1.0 + 0.5 * draw)
}
