//! The accounts with recent requests and the share of each among them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::AccountKey;
use crate::mono::MonoTime;

/// Time for which an account counts as recent after a request.
const RECENT_WINDOW: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct RecentAccount {
    weight: u32,
    last_request: MonoTime,
}

/// Accounts that sent a request within [`RECENT_WINDOW`].
#[derive(Debug, Default)]
pub struct RecentAccounts {
    accounts: BTreeMap<AccountKey, RecentAccount>,
    /// Sum of the weights of `accounts`.
    total_weight: u64,
    next_sweep: MonoTime,
}

impl RecentAccounts {
    /// Records a request of `account` and returns the account's share by weight among all recent
    /// accounts.
    pub fn record_request(&mut self, now: MonoTime, account: AccountKey, weight: u32) -> f64 {
        if now >= self.next_sweep {
            self.sweep(now);
        }
        let entry = RecentAccount {
            weight,
            last_request: now,
        };
        let previous = self.accounts.insert(account, entry);
        self.total_weight += u64::from(weight);
        self.total_weight -= previous.map_or(0, |previous| u64::from(previous.weight));
        f64::from(weight) / self.total_weight.max(1) as f64
    }

    fn sweep(&mut self, now: MonoTime) {
        self.next_sweep = now + RECENT_WINDOW / 4;
        self.accounts
            .retain(|_, entry| now.since(entry.last_request) < RECENT_WINDOW);
        self.total_weight = self
            .accounts
            .values()
            .map(|entry| u64::from(entry.weight))
            .sum();
    }
}
