//! Counts of the requests that each router runs on each engine.
//!
//! One router is the steward of an engine: it grants every slot there, so its counts are exact.
//! The counts of other engines come from the digests of the other routers and lag.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{EngineKey, VmKey};
use crate::mono::MonoTime;

/// Quiet time after which a digest may correct a count that grants and releases made.
const SETTLE_TIME: Duration = Duration::from_millis(2500);

/// Which part of an engine's slots one belongs to.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SlotKind {
    /// Any rank may use it.
    Shared,
    /// Kept for quick questions.
    Headroom,
}

/// A router's requests on one engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineLoad {
    /// The engine.
    pub engine: EngineKey,
    /// Requests in progress.
    pub running: u32,
    /// How many of them hold a slot of the headroom.
    pub headroom: u32,
}

/// The answer of a steward that was asked for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotResponse {
    /// The slot is the asker's until it releases it.
    Granted(SlotKind),
    /// The engine holds as much as it may.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct HolderCount {
    router: VmKey,
    running: u32,
    headroom: u32,
    /// When a grant or release last changed the count; none before the first.
    touched: Option<MonoTime>,
}

/// Requests in progress by engine and router.
#[derive(Debug, Default)]
pub struct SlotSteward {
    holders: BTreeMap<EngineKey, Vec<HolderCount>>,
}

impl SlotSteward {
    /// Requests in progress on `engine` from all routers.
    pub fn load(&self, engine: EngineKey) -> u32 {
        self.counts(engine).map(|holder| holder.running).sum()
    }

    /// Slots of the headroom in use on `engine`.
    pub fn headroom(&self, engine: EngineKey) -> u32 {
        self.counts(engine).map(|holder| holder.headroom).sum()
    }

    /// Requests in progress on `engine` from `router`.
    pub fn load_of(&self, engine: EngineKey, router: VmKey) -> EngineLoad {
        let holder = self.counts(engine).find(|holder| holder.router == router);
        EngineLoad {
            engine,
            running: holder.map_or(0, |holder| holder.running),
            headroom: holder.map_or(0, |holder| holder.headroom),
        }
    }

    /// Counts one more request of `router` on `engine`.
    pub fn take(&mut self, now: MonoTime, engine: EngineKey, router: VmKey, kind: SlotKind) {
        let holder = self.holder(engine, router);
        holder.running += 1;
        holder.headroom += u32::from(kind == SlotKind::Headroom);
        holder.touched = Some(now);
    }

    /// Counts one request of `router` on `engine` less.
    pub fn release(&mut self, now: MonoTime, engine: EngineKey, router: VmKey, kind: SlotKind) {
        let holder = self.holder(engine, router);
        holder.running = holder.running.saturating_sub(1);
        if kind == SlotKind::Headroom {
            holder.headroom = holder.headroom.saturating_sub(1);
        }
        holder.touched = Some(now);
    }

    /// Takes over the counts that `router` reports of itself.
    ///
    /// A count that a grant or release changed lately is newer than the report and stays.
    pub fn report(&mut self, now: MonoTime, router: VmKey, loads: &[EngineLoad]) {
        for (engine, holders) in &mut self.holders {
            let told = loads.iter().any(|load| load.engine == *engine);
            let holder = holders.iter_mut().find(|holder| holder.router == router);
            if let Some(holder) = holder.filter(|_| !told) {
                holder.correct(now, 0, 0);
            }
        }
        for load in loads {
            self.holder(load.engine, router)
                .correct(now, load.running, load.headroom);
        }
    }

    /// Forgets a router that is gone.
    pub fn forget(&mut self, router: VmKey) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder.router != router);
        }
        self.holders.retain(|_, holders| !holders.is_empty());
    }

    fn counts(&self, engine: EngineKey) -> impl Iterator<Item = &HolderCount> {
        self.holders.get(&engine).into_iter().flatten()
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
                    headroom: 0,
                    touched: None,
                });
                holders.len() - 1
            });
        &mut holders[index]
    }
}

impl HolderCount {
    fn correct(&mut self, now: MonoTime, running: u32, headroom: u32) {
        let settled = self
            .touched
            .is_none_or(|touched| now.since(touched) >= SETTLE_TIME);
        if settled {
            self.running = running;
            self.headroom = headroom;
        }
    }
}
