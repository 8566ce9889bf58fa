//! Reads of the store that prove what it did not contain when a call arrived.
//!
//! An age of this router's knowledge bounds the past only: what others have learned since may already
//! have had effects. A read that begins after a call arrived covers everything that can have led to the
//! call. Calls that arrive while a read is in progress share the next one.

use std::time::Duration;

use crate::mono::MonoTime;

/// Longest wait of a call for a read. A slow store takes 250 ms, a read up to two requests, and the rest
/// of the one in progress comes before it.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// Time of a read above which calls may not wait for the next one.
const SLOW_CHECK: Duration = Duration::from_millis(150);

/// Shortest time between the begins of two reads by one router.
const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// Reads of all routers together, per second.
const MAX_FLEET_RATE: f64 = 500.0;

/// Identifies the first read that begins after a call asked for one.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct CheckNumber(pub u64);

/// Progress of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CheckState {
    Open,
    /// All changes of the store up to the read are known.
    Confirmed,
    Failed,
}

/// The reads that calls of one router have asked for.
#[derive(Clone, Debug, Default)]
pub struct StoreChecks {
    /// Latest read that a call waits for.
    wanted: CheckNumber,
    /// Latest read that was begun, and when.
    begun: CheckNumber,
    begun_at: MonoTime,
    /// Latest read that has ended.
    ended: CheckNumber,
    /// Latest read that was successful.
    confirmed: CheckNumber,
}

impl StoreChecks {
    /// Asks for a read that has not begun yet.
    pub fn request(&mut self) -> CheckNumber {
        self.wanted = CheckNumber(self.begun.0 + 1);
        self.wanted
    }

    /// When the next read is to begin, in a fleet of this size; `None` if none is due before another
    /// event.
    pub fn next_at(&self, routers: usize) -> Option<MonoTime> {
        if self.wanted <= self.begun || self.ended < self.begun {
            return None;
        }
        if self.begun == CheckNumber::default() {
            return Some(MonoTime::default());
        }
        let share = Duration::from_secs_f64(routers as f64 / MAX_FLEET_RATE);
        Some(self.begun_at + share.max(MIN_INTERVAL))
    }

    /// Begins the next read.
    pub fn begin(&mut self, now: MonoTime) -> CheckNumber {
        self.begun = CheckNumber(self.begun.0 + 1);
        self.begun_at = now;
        self.begun
    }

    /// Records the end of a read. Returns whether calls can rely on such reads.
    pub fn finish(&mut self, number: CheckNumber, is_confirmed: bool, now: MonoTime) -> bool {
        self.ended = self.ended.max(number);
        if is_confirmed {
            self.confirmed = self.confirmed.max(number);
        }
        is_confirmed && now.since(self.begun_at) <= SLOW_CHECK
    }

    /// Returns the progress of a read. It has failed as well while an earlier one takes longer than
    /// a call may wait.
    pub fn state(&self, number: CheckNumber, now: MonoTime) -> CheckState {
        let is_stuck = self.ended < self.begun && now.since(self.begun_at) > CHECK_TIMEOUT;
        if self.confirmed >= number {
            CheckState::Confirmed
        } else if self.ended >= number || (is_stuck && self.begun <= number) {
            CheckState::Failed
        } else {
            CheckState::Open
        }
    }
}
