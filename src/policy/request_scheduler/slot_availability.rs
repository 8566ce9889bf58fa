//! Where there is room: slots, the load bound, and what stands before an ask.

use crate::ids::{EngineKey, ModelKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::engine_pool::{EnginePool, PoolEngine};
use crate::policy::rank_shares::RankDemand;
use crate::policy::request_scheduler::{RequestScheduler, STARVED_PART};
use crate::policy::slot_counts::SlotKind;
use crate::rules::WorkRank;

impl RequestScheduler {
    /// Open engines of a model that this router is the steward of.
    fn own_engines(&self, model: ModelKey) -> impl Iterator<Item = &PoolEngine> {
        let open = self
            .pools
            .get(&model)
            .into_iter()
            .flat_map(EnginePool::open_engines);
        open.filter(|member| self.slot_owner_of(member.key) == self.own)
    }

    /// Slots of the open engines that this router is the steward of.
    pub(super) fn own_slots(&self, model: ModelKey) -> u32 {
        self.own_engines(model).map(|member| member.slots).sum()
    }

    /// How many of those slots are free.
    pub(super) fn own_free(&self, model: ModelKey) -> u32 {
        let free = |member: &PoolEngine| {
            member
                .slots
                .saturating_sub(self.slot_owner.load(member.key))
        };
        self.own_engines(model).map(free).sum()
    }

    /// Whether work of this router, as urgent as `rank`, waits for engines like this one.
    pub(super) fn wants(&self, engine: EngineKey, rank: WorkRank) -> bool {
        let pool = self
            .pool_of
            .get(&engine)
            .and_then(|model| self.pools.get(model));
        let waiting = pool.map(EnginePool::waiting).unwrap_or_default();
        waiting[..=rank.index()].iter().any(|&count| count > 0)
    }

    /// Requests in progress on the engines of a model, from all routers.
    pub(super) fn total(&self, model: ModelKey) -> u32 {
        let own = self.pools.get(&model).map_or(0, |pool| pool.running);
        let others = self.totals.iter().filter(|(part, _)| part.model == model);
        own + others.map(|(_, running)| running).sum::<u32>()
    }

    /// What each rank has and asks for on this router's part of a model's engines.
    pub(super) fn demand(&mut self, now: MonoTime, model: ModelKey) -> Option<RankDemand> {
        let pool = self.pools.get_mut(&model)?;
        pool.update_demand(now);
        let pool = self.pools.get(&model)?;
        Some(RankDemand {
            waiting: pool.waiting(),
            held: pool.held,
            recent_demand: pool.recent_demand(),
            slots: self.own_slots(model),
            free: self.own_free(model),
        })
    }

    /// Whether this router holds much less than the slots that it is the steward of, or has none.
    pub(super) fn is_starved(&self, model: ModelKey, pool: &EnginePool) -> bool {
        let own_slots = self.own_slots(model);
        let held: u32 = pool.held.iter().sum();
        own_slots == 0 || f64::from(held) < f64::from(own_slots) * STARVED_PART
    }

    /// Whether a steward has work waiting that goes before work of this rank. Quick questions are
    /// worth asking for all the same: it may have headroom.
    pub(super) fn is_busy_for(&self, slot_owner: VmKey, rank: WorkRank) -> bool {
        rank != WorkRank::Quick && self.busy.contains(&slot_owner)
    }

    /// Whether one more request would fill an engine, as far as this router knows. An ask for
    /// such a slot is likely to be denied.
    pub(super) fn is_tight(&self, engine: EngineKey) -> bool {
        let pool = self
            .pool_of
            .get(&engine)
            .and_then(|model| self.pools.get(model));
        let member = pool.and_then(|pool| pool.open_engine(engine).map(|member| (pool, member)));
        let Some((pool, member)) = member else {
            return true;
        };
        let limit = self
            .bound
            .limit(self.total(member.model), pool.capacity_share(member));
        self.slot_owner.load(engine) + 1 >= limit.min(member.slots)
    }

    /// The slot that an engine has for a rank, within its slots and the load bound.
    pub(super) fn room(&self, engine: EngineKey, rank: WorkRank) -> Option<SlotKind> {
        let pool = self.pools.get(self.pool_of.get(&engine)?)?;
        let member = pool.open_engine(engine)?;
        let load = self.slot_owner.load(engine);
        let total = self.total(member.model);
        if load >= self.bound.limit(total, pool.capacity_share(member)) {
            return None;
        }
        self.free_slot(member, rank)
    }

    /// The slot that an engine has for a rank, whatever the load bound says.
    pub(super) fn free_slot(&self, member: &PoolEngine, rank: WorkRank) -> Option<SlotKind> {
        let load = self.slot_owner.load(member.key);
        let headroom = self.slot_owner.headroom(member.key);
        let kept = member.headroom_slots(self.rules.headroom);
        if load - headroom < member.slots - kept {
            Some(SlotKind::Shared)
        } else if rank == WorkRank::Quick && load < member.slots {
            Some(SlotKind::Headroom)
        } else {
            None
        }
    }

    /// The slot that this router may take by its own share of the bound, without a grant.
    pub(super) fn room_alone(&self, engine: EngineKey, rank: WorkRank) -> Option<SlotKind> {
        let pool = self.pools.get(self.pool_of.get(&engine)?)?;
        let member = pool.open_engine(engine)?;
        let own = |key| self.slot_owner.load_of(key, self.own).running;
        let total = pool.open_engines().map(|member| own(member.key)).sum();
        let limit = self
            .bound
            .isolated_limit(total, pool.capacity_share(member));
        if own(engine) >= limit {
            return None;
        }
        self.free_slot(member, rank)
    }
}
