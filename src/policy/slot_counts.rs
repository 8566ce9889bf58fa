//! Counts of the requests that each router runs on each engine.
//!
//! The slot owner of an engine grants every slot there, so its counts are exact. The counts of
//! other engines come from the digests of the other routers and lag behind.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{EngineKey, VmKey};
use crate::mono::MonoTime;

/// Time without a grant or release after which a digest may overwrite a count.
const SETTLE_TIME: Duration = Duration::from_millis(2500);

/// The part of an engine's slots that a slot belongs to.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SlotKind {
    /// Available to any rank.
    Shared,
    /// Reserved for quick requests.
    Headroom,
}

/// A router's requests on one engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineLoad {
    /// The engine that runs them.
    pub engine: EngineKey,
    /// Requests in progress.
    pub running: u32,
    /// How many of them occupy a slot of the headroom.
    pub headroom: u32,
}

/// A slot owner's response to a slot request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotResponse {
    /// The requesting router may use the slot until it releases it.
    Granted(SlotKind),
    /// The engine has no free slot for the request.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct RouterCount {
    router: VmKey,
    running: u32,
    headroom: u32,
    /// When a grant or release last changed the count; `None` before the first.
    changed_at: Option<MonoTime>,
}

/// Counts of requests in progress by engine and router.
#[derive(Debug, Default)]
pub struct SlotCounts {
    counts: BTreeMap<EngineKey, Vec<RouterCount>>,
}

impl SlotCounts {
    /// Counts the requests in progress on `engine` from all routers.
    pub fn load(&self, engine: EngineKey) -> u32 {
        self.router_counts(engine).map(|count| count.running).sum()
    }

    /// Counts the slots of the headroom in use on `engine`.
    pub fn headroom(&self, engine: EngineKey) -> u32 {
        self.router_counts(engine).map(|count| count.headroom).sum()
    }

    /// Returns the load that `router` has on `engine`.
    pub fn load_of(&self, engine: EngineKey, router: VmKey) -> EngineLoad {
        let count = self
            .router_counts(engine)
            .find(|count| count.router == router);
        EngineLoad {
            engine,
            running: count.map_or(0, |count| count.running),
            headroom: count.map_or(0, |count| count.headroom),
        }
    }

    /// Adds one request of `router` on `engine`.
    pub fn take(&mut self, now: MonoTime, engine: EngineKey, router: VmKey, kind: SlotKind) {
        let count = self.count(engine, router);
        count.running += 1;
        count.headroom += u32::from(kind == SlotKind::Headroom);
        count.changed_at = Some(now);
    }

    /// Removes one request of `router` on `engine`.
    pub fn release(&mut self, now: MonoTime, engine: EngineKey, router: VmKey, kind: SlotKind) {
        let count = self.count(engine, router);
        count.running = count.running.saturating_sub(1);
        if kind == SlotKind::Headroom {
            count.headroom = count.headroom.saturating_sub(1);
        }
        count.changed_at = Some(now);
    }

    /// Applies the loads that `router` reports for itself; engines not in the report have none.
    ///
    /// A count that a grant or release changed within `SETTLE_TIME` is newer than the report
    /// and stays.
    pub fn apply_report(&mut self, now: MonoTime, router: VmKey, loads: &[EngineLoad]) {
        for (engine, counts) in &mut self.counts {
            let reported = loads.iter().any(|load| load.engine == *engine);
            let count = counts.iter_mut().find(|count| count.router == router);
            if let Some(count) = count.filter(|_| !reported) {
                count.correct(now, 0, 0);
            }
        }
        for load in loads {
            self.count(load.engine, router)
                .correct(now, load.running, load.headroom);
        }
    }

    /// Removes the counts of a router that is unreachable.
    pub fn remove_router(&mut self, router: VmKey) {
        for counts in self.counts.values_mut() {
            counts.retain(|count| count.router != router);
        }
        self.counts.retain(|_, counts| !counts.is_empty());
    }

    fn router_counts(&self, engine: EngineKey) -> impl Iterator<Item = &RouterCount> {
        self.counts.get(&engine).into_iter().flatten()
    }

    fn count(&mut self, engine: EngineKey, router: VmKey) -> &mut RouterCount {
        let counts = self.counts.entry(engine).or_default();
        let index = counts
            .iter()
            .position(|count| count.router == router)
            .unwrap_or_else(|| {
                counts.push(RouterCount {
                    router,
                    running: 0,
                    headroom: 0,
                    changed_at: None,
                });
                counts.len() - 1
            });
        &mut counts[index]
    }
}

impl RouterCount {
    fn correct(&mut self, now: MonoTime, running: u32, headroom: u32) {
        let settled = self
            .changed_at
            .is_none_or(|changed_at| now.since(changed_at) >= SETTLE_TIME);
        if settled {
            self.running = running;
            self.headroom = headroom;
        }
    }
}
