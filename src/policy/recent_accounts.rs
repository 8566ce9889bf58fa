//! The accounts that asked lately, and what part each has among them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::AccountKey;
use crate::mono::MonoTime;

/// How long an account counts after it asked.
const RECENT_TIME: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct RecentAccount {
    weight: u32,
    asked: MonoTime,
}

/// Accounts that asked lately.
#[derive(Debug, Default)]
pub struct RecentAccounts {
    accounts: BTreeMap<AccountKey, RecentAccount>,
    /// Sum of their weights.
    weights: u64,
    next_sweep: MonoTime,
}

impl RecentAccounts {
    /// Notes that an account asks, and gives its part by weight among all that asked lately.
    pub fn part_of(&mut self, now: MonoTime, account: AccountKey, weight: u32) -> f64 {
        if now >= self.next_sweep {
            self.sweep(now);
        }
        let entry = RecentAccount { weight, asked: now };
        let before = self.accounts.insert(account, entry);
        self.weights += u64::from(weight);
        self.weights -= before.map_or(0, |before| u64::from(before.weight));
        f64::from(weight) / self.weights.max(1) as f64
    }

    fn sweep(&mut self, now: MonoTime) {
        self.next_sweep = now + RECENT_TIME / 4;
        self.accounts
            .retain(|_, entry| now.since(entry.asked) < RECENT_TIME);
        self.weights = self
            .accounts
            .values()
            .map(|entry| u64::from(entry.weight))
            .sum();
    }
}
