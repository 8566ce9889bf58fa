//! Counts of the requests that each router runs on each engine.
//!
//! One router is the steward of an engine: it grants every slot there, so its counts are exact.
//! The counts of other engines come from the digests of the other routers and lag.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{EngineKey, VmKey};
use crate::mono::MonoTime;

/// Quiet time after which a digest may correct a count that grants and releases made.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// A router's requests on one engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineLoad {
    /// The engine.
    pub engine: EngineKey,
    /// Requests in progress.
    pub running: u32,
}

/// The answer of a steward that was asked for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotAnswer {
    /// The slot is the asker's until it releases it.
    Granted,
    /// The engine holds as much as it may.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct HolderCount {
    router: VmKey,
    running: u32,
    /// When a grant or release last changed the count.
    touched: MonoTime,
}

/// Requests in progress by engine and router.
#[derive(Debug, Default)]
pub struct SlotSteward {
    holders: HashMap<EngineKey, Vec<HolderCount>>,
}

impl SlotSteward {
    /// Requests in progress on `engine` from all routers.
    pub fn load(&self, engine: EngineKey) -> u32 {
        self.holders.get(&engine).map_or(0, |holders| {
            holders.iter().map(|holder| holder.running).sum()
        })
    }

    /// Requests in progress on `engine` from `router`.
    pub fn load_of(&self, engine: EngineKey, router: VmKey) -> u32 {
        self.holders
            .get(&engine)
            .and_then(|holders| holders.iter().find(|holder| holder.router == router))
            .map_or(0, |holder| holder.running)
    }

    /// Counts one more request of `router` on `engine`.
    pub fn take(&mut self, now: MonoTime, engine: EngineKey, router: VmKey) {
        let holder = self.holder(engine, router);
        holder.running += 1;
        holder.touched = now;
    }

    /// Counts one request of `router` on `engine` less.
    pub fn release(&mut self, now: MonoTime, engine: EngineKey, router: VmKey) {
        let holder = self.holder(engine, router);
        holder.running = holder.running.saturating_sub(1);
        holder.touched = now;
    }

    /// Takes over the counts that `router` reports of itself.
    ///
    /// A count that grants changed lately is newer than the report and stays, unless it is lower
    /// than the report: then a slot was taken that this steward did not grant.
    pub fn report(&mut self, now: MonoTime, router: VmKey, loads: &[EngineLoad]) {
        for (engine, holders) in &mut self.holders {
            let told = loads.iter().any(|load| load.engine == *engine);
            let holder = holders.iter_mut().find(|holder| holder.router == router);
            if let Some(holder) = holder.filter(|_| !told) {
                holder.correct(now, 0);
            }
        }
        for load in loads {
            self.holder(load.engine, router).correct(now, load.running);
        }
    }

    /// Forgets a router that is gone.
    pub fn forget(&mut self, router: VmKey) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder.router != router);
        }
        self.holders.retain(|_, holders| !holders.is_empty());
    }

    fn holder(&mut self, engine: EngineKey, router: VmKey) -> &mut HolderCount {
        let holders = self.holders.entry(engine).or_default();
        let index = holders
            .iter()
            .position(|holder| holder.router == router)
            .unwrap_or_else(|| {
                holders.push(HolderCount {
                    router,
                    running: 0,
                    touched: MonoTime::default(),
                });
                holders.len() - 1
            });
        &mut holders[index]
    }
}

impl HolderCount {
    fn correct(&mut self, now: MonoTime, told: u32) {
        if now.since(self.touched) >= SETTLE_TIME || self.touched == MonoTime::default() {
            self.running = told;
        }
    }
}
