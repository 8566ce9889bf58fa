//! Fair queueing over client accounts by estimated cost.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::ids::AccountKey;

/// Scale of virtual time, so that weights divide costs without losing them.
const TAG_SCALE: u64 = 1 << 10;

/// A queue that serves accounts in turn, in proportion to their weights.
///
/// An account that asks for much waits behind its own work only.
#[derive(Debug)]
pub struct FairQueue<T> {
    lanes: BTreeMap<AccountKey, AccountLane<T>>,
    /// Accounts that wait, by the start tag of their first item.
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
struct AccountLane<T> {
    items: VecDeque<QueuedEntry<T>>,
    /// Start tag of the first item.
    head: u64,
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
            lanes: BTreeMap::new(),
            order: BTreeSet::new(),
            virtual_time: 0,
            len: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Items that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Accounts with at least one item.
    pub fn active_accounts(&self) -> usize {
        self.order.len()
    }

    /// Items of `account` that wait.
    pub fn account_len(&self, account: AccountKey) -> usize {
        self.lanes.get(&account).map_or(0, |lane| lane.items.len())
    }

    /// Adds an item of `cost` for an account of `weight`.
    pub fn push(&mut self, account: AccountKey, weight: u32, cost: u64, item: T) {
        let charge = cost.max(1) * TAG_SCALE / u64::from(weight.max(1));
        let virtual_time = self.virtual_time;
        let lane = self.lanes.entry(account).or_insert_with(|| AccountLane {
            items: VecDeque::new(),
            head: virtual_time,
        });
        if lane.items.is_empty() {
            lane.head = lane.head.max(virtual_time);
            self.order.insert(StartTag {
                tag: lane.head,
                account,
            });
        }
        lane.items.push_back(QueuedEntry { charge, item });
        self.len += 1;
    }

    /// Puts back an item that was taken and not served, ahead of its account's other items.
    pub fn push_front(&mut self, account: AccountKey, weight: u32, cost: u64, item: T) {
        let charge = cost.max(1) * TAG_SCALE / u64::from(weight.max(1));
        let virtual_time = self.virtual_time;
        let lane = self.lanes.entry(account).or_insert_with(|| AccountLane {
            items: VecDeque::new(),
            head: virtual_time + charge,
        });
        if !lane.items.is_empty() {
            self.order.remove(&StartTag {
                tag: lane.head,
                account,
            });
        }
        lane.head = lane.head.saturating_sub(charge);
        lane.items.push_front(QueuedEntry { charge, item });
        self.order.insert(StartTag {
            tag: lane.head,
            account,
        });
        self.len += 1;
    }

    /// The item that is served next.
    pub fn peek(&self) -> Option<&T> {
        let first = self.order.first()?;
        self.lanes
            .get(&first.account)?
            .items
            .front()
            .map(|entry| &entry.item)
    }

    /// Takes the item that is served next.
    pub fn pop(&mut self) -> Option<T> {
        let first = self.order.pop_first()?;
        self.virtual_time = self.virtual_time.max(first.tag);
        let lane = self.lanes.get_mut(&first.account)?;
        let entry = lane.items.pop_front()?;
        lane.head += entry.charge;
        self.len -= 1;
        if !lane.items.is_empty() {
            self.order.insert(StartTag {
                tag: lane.head,
                account: first.account,
            });
        }
        self.forget_caught_up();
        Some(entry.item)
    }

    /// Takes every item that `unwanted` names.
    pub fn drain_where(&mut self, mut unwanted: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut taken = Vec::new();
        for (&account, lane) in &mut self.lanes {
            let before = lane.items.len();
            let items = std::mem::take(&mut lane.items);
            for entry in items {
                if unwanted(&entry.item) {
                    taken.push(entry.item);
                } else {
                    lane.items.push_back(entry);
                }
            }
            if before > 0 && lane.items.is_empty() {
                self.order.remove(&StartTag {
                    tag: lane.head,
                    account,
                });
            }
        }
        self.len -= taken.len();
        taken
    }

    /// Drops empty lanes whose debt virtual time has passed, so that memory follows the accounts
    /// that are active.
    fn forget_caught_up(&mut self) {
        if self.lanes.len() > 2 * self.order.len() + 64 {
            let virtual_time = self.virtual_time;
            self.lanes
                .retain(|_, lane| !lane.items.is_empty() || lane.head > virtual_time);
        }
    }
}
