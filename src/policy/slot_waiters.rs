//! Routers that wait for a slot on the engines of one steward.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::{EngineKey, VmKey};
use crate::rules::WorkRank;

/// A router that waits for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotWaiter {
    /// The router.
    pub router: VmKey,
    /// Rank of the work that it has.
    pub rank: WorkRank,
}

#[derive(Debug, Default)]
struct WaiterLine {
    waiters: VecDeque<SlotWaiter>,
    /// Whether the next free slot is the first waiter's rather than the steward's own.
    waiters_turn: bool,
}

/// Waiting routers by engine. The steward's own work and the waiters take turns.
#[derive(Debug, Default)]
pub struct SlotWaiters {
    lines: BTreeMap<EngineKey, WaiterLine>,
}

impl SlotWaiters {
    /// Adds a router; one that waits already keeps its place.
    pub fn push(&mut self, engine: EngineKey, waiter: SlotWaiter) {
        let line = self.lines.entry(engine).or_default();
        if !line.waiters.contains(&waiter) {
            line.waiters.push_back(waiter);
        }
    }

    /// Engines that somebody waits for.
    pub fn engines(&self) -> Vec<EngineKey> {
        self.lines.keys().copied().collect()
    }

    /// The first waiter of an engine.
    pub fn first(&self, engine: EngineKey) -> Option<SlotWaiter> {
        self.lines.get(&engine)?.waiters.front().copied()
    }

    /// Whether the next free slot of an engine is a waiter's.
    pub fn is_waiters_turn(&self, engine: EngineKey) -> bool {
        self.lines
            .get(&engine)
            .is_some_and(|line| line.waiters_turn)
    }

    /// Takes the first waiter of an engine out; the steward's own turn comes next.
    pub fn pop(&mut self, engine: EngineKey) {
        let Some(line) = self.lines.get_mut(&engine) else {
            return;
        };
        line.waiters.pop_front();
        line.waiters_turn = false;
        if line.waiters.is_empty() {
            self.lines.remove(&engine);
        }
    }

    /// Counts a slot that the steward took for itself.
    pub fn own_took(&mut self, engine: EngineKey) {
        if let Some(line) = self.lines.get_mut(&engine) {
            line.waiters_turn = true;
        }
    }

    /// Forgets routers that are gone.
    pub fn keep(&mut self, routers: &[VmKey]) {
        for line in self.lines.values_mut() {
            line.waiters
                .retain(|waiter| routers.contains(&waiter.router));
        }
        self.lines.retain(|_, line| !line.waiters.is_empty());
    }
}
