//! Which router grants the slots of which engine.
//!
//! Every router computes the same map from the same lists, without a message. Engines are spread
//! evenly: no router gets more than its part, rounded up, and an engine whose favourite is full
//! goes to its next choice. The map goes by the register's engines and not by those that are open
//! now, so routers that see an engine flap at different times still agree on its steward.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{EngineKey, VmKey};
use crate::policy::placement::{WeightedChoice, rendezvous_order};

/// Stewards by engine.
#[derive(Clone, Debug, Default)]
pub struct SlotOwnerMap {
    stewards: BTreeMap<EngineKey, VmKey>,
}

impl SlotOwnerMap {
    /// Spreads `engines` over `routers`.
    pub fn new(engines: impl IntoIterator<Item = EngineKey>, routers: &[VmKey]) -> Self {
        let choices: Vec<_> = routers
            .iter()
            .map(|&key| WeightedChoice { key, weight: 1.0 })
            .collect();
        let engines: BTreeSet<EngineKey> = engines.into_iter().collect();
        let most = engines.len().div_ceil(routers.len().max(1));
        let mut counts: BTreeMap<VmKey, usize> = BTreeMap::new();
        let mut stewards = BTreeMap::new();
        for engine in engines {
            let mut order = rendezvous_order(engine.0, &choices).into_iter();
            let steward = order.find(|vm| counts.get(vm).is_none_or(|&count| count < most));
            if let Some(steward) = steward {
                *counts.entry(steward).or_default() += 1;
                stewards.insert(engine, steward);
            }
        }
        Self { stewards }
    }

    /// The steward of an engine.
    pub fn slot_owner_of(&self, engine: EngineKey) -> Option<VmKey> {
        self.stewards.get(&engine).copied()
    }
}
