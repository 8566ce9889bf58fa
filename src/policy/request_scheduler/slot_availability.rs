//! Availability of slots: free slots, the load bound, and the conditions for a slot request.

use crate::ids::{EngineKey, ModelKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::engine_pool::{EnginePool, PoolEngine};
use crate::policy::rank_shares::RankDemand;
use crate::policy::request_scheduler::{RequestScheduler, STARVED_RATIO};
use crate::policy::slot_counts::SlotKind;
use crate::rules::WorkRank;

impl RequestScheduler {
    /// Returns the open engines of a model that this router owns.
    fn own_engines(&self, model: ModelKey) -> impl Iterator<Item = &PoolEngine> {
        let open = self
            .pools
            .get(&model)
            .into_iter()
            .flat_map(EnginePool::open_engines);
        open.filter(|pool_engine| self.slot_owner_of(pool_engine.key) == self.own_vm)
    }

    /// Counts the slots of the open engines of a model that this router owns.
    pub(super) fn own_slots(&self, model: ModelKey) -> u32 {
        self.own_engines(model)
            .map(|pool_engine| pool_engine.slots)
            .sum()
    }

    /// Counts the free slots of the open engines of a model that this router owns.
    pub(super) fn own_free_slots(&self, model: ModelKey) -> u32 {
        let free = |pool_engine: &PoolEngine| {
            pool_engine
                .slots
                .saturating_sub(self.slot_counts.load(pool_engine.key))
        };
        self.own_engines(model).map(free).sum()
    }

    /// Returns whether requests at least as urgent as `rank` wait at this router for `engine`'s
    /// model.
    pub(super) fn has_waiting_work(&self, engine: EngineKey, rank: WorkRank) -> bool {
        let pool = self
            .model_of
            .get(&engine)
            .and_then(|model| self.pools.get(model));
        let waiting = pool.map(EnginePool::waiting).unwrap_or_default();
        waiting[..=rank.index()].iter().any(|&count| count > 0)
    }

    /// Counts the requests in progress on the engines of a model from all routers.
    pub(super) fn total_running(&self, model: ModelKey) -> u32 {
        let own = self.pools.get(&model).map_or(0, |pool| pool.running);
        let others = self
            .remote_running
            .iter()
            .filter(|(key, _)| key.model == model);
        own + others.map(|(_, running)| running).sum::<u32>()
    }

    /// Returns the occupied slots and the demand of each rank for a model at this router.
    pub(super) fn demand(&mut self, now: MonoTime, model: ModelKey) -> Option<RankDemand> {
        let pool = self.pools.get_mut(&model)?;
        pool.update_demand(now);
        let pool = self.pools.get(&model)?;
        Some(RankDemand {
            waiting: pool.waiting(),
            held: pool.held,
            recent_demand: pool.recent_demand(),
            slots: self.own_slots(model),
            free: self.own_free_slots(model),
        })
    }

    /// Returns whether this router occupies far fewer slots than it owns, or owns none.
    pub(super) fn is_starved(&self, model: ModelKey, pool: &EnginePool) -> bool {
        let own_slots = self.own_slots(model);
        let held: u32 = pool.held.iter().sum();
        own_slots == 0 || f64::from(held) < f64::from(own_slots) * STARVED_RATIO
    }

    /// Returns whether a slot owner has waiting requests of its own that take precedence over this
    /// rank. Quick requests may still get a slot of its headroom.
    pub(super) fn is_backlogged_for(&self, slot_owner: VmKey, rank: WorkRank) -> bool {
        rank != WorkRank::Quick && self.backlogged.contains(&slot_owner)
    }

    /// Returns whether one more request would fill an engine, by its last known load. A request
    /// for its last slot is likely to be denied. An engine that is unknown or not open counts as
    /// nearly full.
    pub(super) fn is_nearly_full(&self, engine: EngineKey) -> bool {
        let pool = self
            .model_of
            .get(&engine)
            .and_then(|model| self.pools.get(model));
        let found = pool.and_then(|pool| {
            pool.open_engine(engine)
                .map(|pool_engine| (pool, pool_engine))
        });
        let Some((pool, pool_engine)) = found else {
            return true;
        };
        let limit = self.bound.limit(
            self.total_running(pool_engine.model),
            pool.capacity_share(pool_engine),
        );
        self.slot_counts.load(engine) + 1 >= limit.min(pool_engine.slots)
    }

    /// Returns the kind of slot that an engine has for a rank within its slots and the load bound.
    pub(super) fn available_slot(&self, engine: EngineKey, rank: WorkRank) -> Option<SlotKind> {
        let pool = self.pools.get(self.model_of.get(&engine)?)?;
        let pool_engine = pool.open_engine(engine)?;
        let load = self.slot_counts.load(engine);
        let total = self.total_running(pool_engine.model);
        if load >= self.bound.limit(total, pool.capacity_share(pool_engine)) {
            return None;
        }
        self.free_slot(pool_engine, rank)
    }

    /// Returns the kind of slot that an engine has for a rank, regardless of the load bound.
    pub(super) fn free_slot(&self, pool_engine: &PoolEngine, rank: WorkRank) -> Option<SlotKind> {
        let load = self.slot_counts.load(pool_engine.key);
        let headroom = self.slot_counts.headroom(pool_engine.key);
        let reserved = pool_engine.headroom_slots(self.rules.headroom);
        if load - headroom < pool_engine.slots - reserved {
            Some(SlotKind::Shared)
        } else if rank == WorkRank::Quick && load < pool_engine.slots {
            Some(SlotKind::Headroom)
        } else {
            None
        }
    }

    /// Returns the kind of slot that this router may take without a grant, within its own share of
    /// the load bound.
    pub(super) fn isolated_slot(&self, engine: EngineKey, rank: WorkRank) -> Option<SlotKind> {
        let pool = self.pools.get(self.model_of.get(&engine)?)?;
        let pool_engine = pool.open_engine(engine)?;
        let own = |key| self.slot_counts.load_of(key, self.own_vm).running;
        let total = pool
            .open_engines()
            .map(|pool_engine| own(pool_engine.key))
            .sum();
        let limit = self
            .bound
            .isolated_limit(total, pool.capacity_share(pool_engine));
        if own(engine) >= limit {
            return None;
        }
        self.free_slot(pool_engine, rank)
    }
}
