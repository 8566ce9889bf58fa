//! Weighted fair queueing over client accounts by estimated cost.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::ids::AccountKey;

/// Scale of virtual time, so that the integer division of a cost by a weight does not round a
/// small cost to zero.
const TAG_SCALE: u64 = 1 << 10;

/// A start-time fair queue that serves accounts in proportion to their weights.
///
/// An account with many items delays only its own items.
#[derive(Debug)]
pub struct FairQueue<T> {
    accounts: BTreeMap<AccountKey, AccountQueue<T>>,
    /// Accounts with queued items, by the start tag of their first item.
    order: BTreeSet<StartTag>,
    virtual_time: u64,
    len: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct StartTag {
    tag: u64,
    account: AccountKey,
}

#[derive(Debug)]
struct AccountQueue<T> {
    items: VecDeque<QueuedEntry<T>>,
    /// Start tag of the first item, in units of virtual time.
    head_tag: u64,
}

#[derive(Debug)]
struct QueuedEntry<T> {
    /// Cost over weight, in units of virtual time.
    charge: u64,
    item: T,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            accounts: BTreeMap::new(),
            order: BTreeSet::new(),
            virtual_time: 0,
            len: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of items of all accounts.
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of accounts with at least one item.
    pub fn active_accounts(&self) -> usize {
        self.order.len()
    }

    /// Returns the number of items of `account`.
    pub fn account_len(&self, account: AccountKey) -> usize {
        self.accounts
            .get(&account)
            .map_or(0, |queue| queue.items.len())
    }

    /// Adds an item of `cost` for an account of `weight`.
    pub fn push(&mut self, account: AccountKey, weight: u32, cost: u64, item: T) {
        let charge = cost.max(1) * TAG_SCALE / u64::from(weight.max(1));
        let virtual_time = self.virtual_time;
        let queue = self
            .accounts
            .entry(account)
            .or_insert_with(|| AccountQueue {
                items: VecDeque::new(),
                head_tag: virtual_time,
            });
        if queue.items.is_empty() {
            queue.head_tag = queue.head_tag.max(virtual_time);
            self.order.insert(StartTag {
                tag: queue.head_tag,
                account,
            });
        }
        queue.items.push_back(QueuedEntry { charge, item });
        self.len += 1;
    }

    /// Puts back an item that was removed but not served, ahead of its account's other items, and
    /// refunds its charge.
    pub fn push_front(&mut self, account: AccountKey, weight: u32, cost: u64, item: T) {
        let charge = cost.max(1) * TAG_SCALE / u64::from(weight.max(1));
        let virtual_time = self.virtual_time;
        let queue = self
            .accounts
            .entry(account)
            .or_insert_with(|| AccountQueue {
                items: VecDeque::new(),
                head_tag: virtual_time + charge,
            });
        if !queue.items.is_empty() {
            self.order.remove(&StartTag {
                tag: queue.head_tag,
                account,
            });
        }
        queue.head_tag = queue.head_tag.saturating_sub(charge);
        queue.items.push_front(QueuedEntry { charge, item });
        self.order.insert(StartTag {
            tag: queue.head_tag,
            account,
        });
        self.len += 1;
    }

    /// Returns the item that is served next without removing it.
    pub fn peek(&self) -> Option<&T> {
        let first = self.order.first()?;
        self.accounts
            .get(&first.account)?
            .items
            .front()
            .map(|entry| &entry.item)
    }

    /// Removes and returns the item that is served next.
    pub fn pop(&mut self) -> Option<T> {
        let first = self.order.pop_first()?;
        self.virtual_time = self.virtual_time.max(first.tag);
        let queue = self.accounts.get_mut(&first.account)?;
        let entry = queue.items.pop_front()?;
        queue.head_tag += entry.charge;
        self.len -= 1;
        if !queue.items.is_empty() {
            self.order.insert(StartTag {
                tag: queue.head_tag,
                account: first.account,
            });
        }
        self.prune_idle_accounts();
        Some(entry.item)
    }

    /// Removes and returns the items that match `predicate`.
    pub fn drain_where(&mut self, mut predicate: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for (&account, queue) in &mut self.accounts {
            let before = queue.items.len();
            let items = std::mem::take(&mut queue.items);
            for entry in items {
                if predicate(&entry.item) {
                    removed.push(entry.item);
                } else {
                    queue.items.push_back(entry);
                }
            }
            if before > 0 && queue.items.is_empty() {
                self.order.remove(&StartTag {
                    tag: queue.head_tag,
                    account,
                });
            }
        }
        self.len -= removed.len();
        removed
    }

    /// Removes accounts without items once virtual time has reached their start tags, so that
    /// memory is bounded by the number of active accounts.
    fn prune_idle_accounts(&mut self) {
        if self.accounts.len() > 2 * self.order.len() + 64 {
            let virtual_time = self.virtual_time;
            self.accounts
                .retain(|_, queue| !queue.items.is_empty() || queue.head_tag > virtual_time);
        }
    }
}
