//! Bounds the log lines of one kind of event.

use std::time::Duration;

use crate::mono::MonoTime;

/// Lines of a kind in one second: a few bytes for each call at the usual load of a router.
const LINES_A_SECOND: u32 = 100;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(1);

/// Lets a bounded number of lines through in each second and counts the others.
#[derive(Clone, Debug, Default)]
pub struct LogRateLimiter {
    window: MonoTime,
    lines: u32,
    left_out: u64,
}

impl LogRateLimiter {
    /// Whether a line may be written now.
    pub fn admit(&mut self, now: MonoTime) -> bool {
        if now.since(self.window) >= WINDOW {
            self.window = now;
            self.lines = 0;
        }
        if self.lines < LINES_A_SECOND {
            self.lines += 1;
            return true;
        }
        self.left_out += 1;
        false
    }

    /// Lines left out since the last question.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
