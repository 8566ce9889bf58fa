//! What a router has asked of the stewards of other engines and not yet got.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{EngineKey, RequestKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::work_item::WorkItem;

/// Longest wait for a steward's answer.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(60);

/// How long an engine that was denied is not asked for again.
pub const DENY_PAUSE: Duration = Duration::from_millis(500);

/// How long a place in a steward's line is taken to last.
const WISH_LIFE: Duration = Duration::from_secs(2);

/// Places in stewards' lines that a router takes at once.
const MAX_WISHES: usize = 2;

/// A request that waits for a steward's answer.
#[derive(Clone, Debug)]
pub struct PendingAsk {
    /// The request.
    pub item: WorkItem,
    /// The engine that it asked for.
    pub engine: EngineKey,
    /// When it asked.
    pub since: MonoTime,
    /// Engines that had no slot for it.
    pub tried: Vec<EngineKey>,
}

#[derive(Clone, Copy, Debug)]
struct SlotWish {
    steward: VmKey,
    since: MonoTime,
}

/// Open asks, places in line, and engines that were denied.
#[derive(Debug, Default)]
pub struct SlotAsks {
    asks: BTreeMap<RequestKey, PendingAsk>,
    wishes: BTreeMap<EngineKey, SlotWish>,
    denied: BTreeMap<EngineKey, MonoTime>,
}

impl SlotAsks {
    /// Notes an ask.
    pub fn add(&mut self, ask: PendingAsk) {
        self.asks.insert(ask.item.request, ask);
    }

    /// Takes the ask of a request, if it is for this engine.
    pub fn take(&mut self, request: RequestKey, engine: EngineKey) -> Option<PendingAsk> {
        let asked = self
            .asks
            .get(&request)
            .is_some_and(|ask| ask.engine == engine);
        if asked {
            self.asks.remove(&request)
        } else {
            None
        }
    }

    /// Takes the ask of a request.
    pub fn cancel(&mut self, request: RequestKey) -> Option<PendingAsk> {
        self.asks.remove(&request)
    }

    /// Takes every ask.
    pub fn drain(&mut self) -> Vec<PendingAsk> {
        std::mem::take(&mut self.asks).into_values().collect()
    }

    /// Takes the asks that were not answered in time.
    pub fn take_late(&mut self, now: MonoTime) -> Vec<PendingAsk> {
        let late = self
            .asks
            .extract_if(.., |_, ask| now.since(ask.since) >= ASK_TIMEOUT);
        let mut late: Vec<PendingAsk> = late.map(|(_, ask)| ask).collect();
        late.sort_by_key(|ask| ask.item.request);
        late
    }

    /// Notes that an engine has no slot for now.
    pub fn deny(&mut self, engine: EngineKey, until: MonoTime) {
        self.denied.insert(engine, until);
    }

    /// Whether an engine was denied lately.
    pub fn is_denied(&self, now: MonoTime, engine: EngineKey) -> bool {
        self.denied.get(&engine).is_some_and(|&until| now < until)
    }

    /// Notes a place in a steward's line; false when there are enough or it is taken already.
    pub fn wish(&mut self, now: MonoTime, engine: EngineKey, steward: VmKey) -> bool {
        let free = self.wishes.len() < MAX_WISHES && !self.wishes.contains_key(&engine);
        if free {
            self.wishes.insert(
                engine,
                SlotWish {
                    steward,
                    since: now,
                },
            );
        }
        free
    }

    /// Whether there may be another place in line.
    pub fn may_wish(&self) -> bool {
        self.wishes.len() < MAX_WISHES
    }

    /// Counts a place in line as used up.
    pub fn wish_came(&mut self, engine: EngineKey) {
        self.wishes.remove(&engine);
        self.denied.remove(&engine);
    }

    /// Forgets what is too old, and places in the lines of routers that are gone.
    pub fn tidy(&mut self, now: MonoTime, routers: &[VmKey]) {
        self.denied.retain(|_, until| now < *until);
        self.wishes
            .retain(|_, wish| now.since(wish.since) < WISH_LIFE && routers.contains(&wish.steward));
    }
}
