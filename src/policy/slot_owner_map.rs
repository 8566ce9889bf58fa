//! Assignment of engines to the routers that grant their slots.
//!
//! Every router computes the same map from the same lists, without a message. Engines are spread
//! evenly: no router gets more than the mean number, rounded up, and an engine whose preferred
//! router has that many goes to its next choice. The map covers the engines of the register, not
//! only those that are open, so routers that see an engine flap at different times still agree on
//! its slot owner.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{EngineKey, VmKey};
use crate::policy::placement::{WeightedChoice, rendezvous_order};

/// Slot owners by engine.
#[derive(Clone, Debug, Default)]
pub struct SlotOwnerMap {
    slot_owners: BTreeMap<EngineKey, VmKey>,
}

impl SlotOwnerMap {
    /// Assigns `engines` to `routers`.
    pub fn new(engines: impl IntoIterator<Item = EngineKey>, routers: &[VmKey]) -> Self {
        let choices: Vec<_> = routers
            .iter()
            .map(|&key| WeightedChoice { key, weight: 1.0 })
            .collect();
        let engines: BTreeSet<EngineKey> = engines.into_iter().collect();
        let max_per_router = engines.len().div_ceil(routers.len().max(1));
        let mut counts: BTreeMap<VmKey, usize> = BTreeMap::new();
        let mut slot_owners = BTreeMap::new();
        for engine in engines {
            let mut order = rendezvous_order(engine.0, &choices).into_iter();
            let slot_owner =
                order.find(|vm| counts.get(vm).is_none_or(|&count| count < max_per_router));
            if let Some(slot_owner) = slot_owner {
                *counts.entry(slot_owner).or_default() += 1;
                slot_owners.insert(engine, slot_owner);
            }
        }
        Self { slot_owners }
    }

    /// Returns the slot owner of an engine, or `None` if the engine is not in the map.
    pub fn slot_owner_of(&self, engine: EngineKey) -> Option<VmKey> {
        self.slot_owners.get(&engine).copied()
    }
}
