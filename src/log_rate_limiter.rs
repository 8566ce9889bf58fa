//! Rate limit for log lines of one kind of event.

use std::time::Duration;

use crate::mono::MonoTime;

/// Highest number of lines per window, so that at the usual load of a router the log grows by only
/// a few bytes per call.
const MAX_LINES_PER_WINDOW: u32 = 100;

const WINDOW: Duration = Duration::from_secs(1);

/// Permits a limited number of log lines per second and counts the suppressed ones.
#[derive(Clone, Debug, Default)]
pub struct LogRateLimiter {
    window: MonoTime,
    lines: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Returns whether a line may be written at `now`, and counts it as written or suppressed.
    pub fn admit(&mut self, now: MonoTime) -> bool {
        if now.since(self.window) >= WINDOW {
            self.window = now;
            self.lines = 0;
        }
        if self.lines < MAX_LINES_PER_WINDOW {
            self.lines += 1;
            return true;
        }
        self.suppressed += 1;
        false
    }

    /// Returns the number of lines suppressed since the previous call.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }
}
