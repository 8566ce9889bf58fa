//! Routers that wait for a slot on the engines of one slot owner.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::{EngineKey, VmKey};
use crate::rules::WorkRank;

/// A router that waits for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotWaiter {
    /// The router that gets the slot.
    pub router: VmKey,
    /// Rank of the request that the slot is for.
    pub rank: WorkRank,
}

#[derive(Debug, Default)]
struct WaiterQueue {
    waiters: VecDeque<SlotWaiter>,
    /// Whether the next free slot goes to the first waiter rather than to the slot owner.
    waiters_turn: bool,
}

/// Queues of waiting routers by engine. Free slots alternate between the slot owner's own requests
/// and the waiters.
#[derive(Debug, Default)]
pub struct SlotWaiters {
    queues: BTreeMap<EngineKey, WaiterQueue>,
}

impl SlotWaiters {
    /// Adds a waiter; one that is queued already keeps its position.
    pub fn push(&mut self, engine: EngineKey, waiter: SlotWaiter) {
        let queue = self.queues.entry(engine).or_default();
        if !queue.waiters.contains(&waiter) {
            queue.waiters.push_back(waiter);
        }
    }

    /// Returns the engines with at least one waiter.
    pub fn engines(&self) -> Vec<EngineKey> {
        self.queues.keys().copied().collect()
    }

    /// Returns the first waiter of an engine.
    pub fn first(&self, engine: EngineKey) -> Option<SlotWaiter> {
        self.queues.get(&engine)?.waiters.front().copied()
    }

    /// Returns whether the next free slot of an engine goes to a waiter.
    pub fn is_waiters_turn(&self, engine: EngineKey) -> bool {
        self.queues
            .get(&engine)
            .is_some_and(|queue| queue.waiters_turn)
    }

    /// Removes the first waiter of an engine; the next turn is the slot owner's.
    pub fn pop(&mut self, engine: EngineKey) {
        let Some(queue) = self.queues.get_mut(&engine) else {
            return;
        };
        queue.waiters.pop_front();
        queue.waiters_turn = false;
        if queue.waiters.is_empty() {
            self.queues.remove(&engine);
        }
    }

    /// Records that the slot owner took a slot for itself; the next turn is a waiter's.
    pub fn record_own_use(&mut self, engine: EngineKey) {
        if let Some(queue) = self.queues.get_mut(&engine) {
            queue.waiters_turn = true;
        }
    }

    /// Removes the waiters whose routers are not in `routers`.
    pub fn retain_routers(&mut self, routers: &[VmKey]) {
        for queue in self.queues.values_mut() {
            queue
                .waiters
                .retain(|waiter| routers.contains(&waiter.router));
        }
        self.queues.retain(|_, queue| !queue.waiters.is_empty());
    }
}
