//! Binds waiting requests to slots: whose turn it is, on which engine, and who gives way.

use crate::ids::{EngineKey, ModelKey};
use crate::mono::MonoTime;
use crate::policy::engine_pool::EnginePool;
use crate::policy::placement::rendezvous_order;
use crate::policy::rank_shares::RankDemand;
use crate::policy::request_scheduler::{
    ANY_REQUEST, HeldSlot, MAX_PREEMPTIONS, MAX_SLOT_USES, RequestScheduler, RunningItem,
    SchedulerStep, SlotChoice,
};
use crate::policy::slot_counts::SlotKind;
use crate::policy::slot_requests::PendingAsk;
use crate::policy::work_item::WorkItem;
use crate::rules::WorkRank;

impl RequestScheduler {
    pub(super) fn poll_pool(
        &mut self,
        now: MonoTime,
        model: ModelKey,
        steps: &mut Vec<SchedulerStep>,
    ) {
        loop {
            let Some(demand) = self.demand(now, model) else {
                return;
            };
            let order = demand.serving_order(&self.rules.ranks);
            let served = order
                .iter()
                .find_map(|&rank| self.serve_rank(now, model, rank));
            if let Some(step) = served {
                steps.push(step);
                continue;
            }
            for &rank in &order {
                self.preempt_for(model, rank, &demand, steps);
            }
            if let Some(&rank) = order.first() {
                self.wish_for_slots(now, model, rank, steps);
            }
            return;
        }
    }

    /// Serves the first request of a rank, if any engine has room for it.
    pub(super) fn serve_rank(
        &mut self,
        now: MonoTime,
        model: ModelKey,
        rank: WorkRank,
    ) -> Option<SchedulerStep> {
        if let Some(step) = self.resume_paused(now, model, rank) {
            return Some(step);
        }
        let head = self.pools.get(&model)?.peek(rank)?;
        let choice = self.choose(now, head, &[]);
        if matches!(choice, SlotChoice::Nothing) {
            return None;
        }
        let pool = self.pools.get_mut(&model)?;
        let item = pool.pop(rank)?;
        pool.held[rank.index()] += 1;
        self.pursue(now, item, choice, Vec::new())
    }

    /// Goes on with a begun request of a rank whose engine has room, or is leaving and finishes
    /// what it began.
    pub(super) fn resume_paused(
        &mut self,
        now: MonoTime,
        model: ModelKey,
        rank: WorkRank,
    ) -> Option<SchedulerStep> {
        let pool = self.pools.get(&model)?;
        let engine_of = |item: &WorkItem| item.pinned.filter(|_| item.rank == rank);
        let position = pool.paused().iter().position(|item| {
            engine_of(item).is_some_and(|engine| {
                pool.open_engine(engine).is_none() || self.room(engine, rank).is_some()
            })
        })?;
        let engine = pool.paused()[position].pinned?;
        let kind = self.room(engine, rank).unwrap_or(SlotKind::Shared);
        let pool = self.pools.get_mut(&model)?;
        let item = pool.take_paused(position);
        pool.held[rank.index()] += 1;
        self.pursue(now, item, SlotChoice::Take(engine, kind), Vec::new())
    }

    /// Stops long work beyond its floor for more urgent work that waits within its share.
    ///
    /// The youngest goes first, and none more than a few times, so that all of it finishes.
    pub(super) fn preempt_for(
        &mut self,
        model: ModelKey,
        rank: WorkRank,
        demand: &RankDemand,
        steps: &mut Vec<SchedulerStep>,
    ) {
        let Some(pool) = self.pools.get(&model) else {
            return;
        };
        let stopping = self
            .running
            .values()
            .filter(|running| running.stopping)
            .count();
        let wanted = demand.waiting[rank.index()] as usize;
        if stopping >= wanted || !demand.may_preempt(&self.rules.ranks, rank) {
            return;
        }
        let may_stop = |running: &&mut RunningItem| {
            running.item.rank == WorkRank::Long
                && running.item.model == model
                && running.slot.granted_by.is_none()
                && running.item.preemptions < MAX_PREEMPTIONS
                && !running.stopping
                && pool.open_engine(running.slot.engine).is_some()
        };
        let victims = self.running.values_mut().filter(may_stop);
        if let Some(victim) = victims.max_by_key(|running| running.since) {
            victim.stopping = true;
            steps.push(SchedulerStep::Preempt {
                request: victim.item.request,
            });
        }
    }

    /// Takes places in the lines of stewards for a rank that no engine has room for.
    pub(super) fn wish_for_slots(
        &mut self,
        now: MonoTime,
        model: ModelKey,
        rank: WorkRank,
        steps: &mut Vec<SchedulerStep>,
    ) {
        let Some(pool) = self.pools.get(&model) else {
            return;
        };
        if !self.asks.may_wish() || !self.is_starved(model, pool) {
            return;
        }
        let Some(head) = pool.peek(rank) else { return };
        for engine in rendezvous_order(head.chat.0, pool.choices()) {
            let slot_owner = self.slot_owner_of(engine);
            if slot_owner != self.own && self.asks.wish(now, engine, slot_owner) {
                steps.push(SchedulerStep::RequestSlot {
                    request: ANY_REQUEST,
                    rank,
                    engine,
                    slot_owner,
                    wait: true,
                });
            }
        }
    }

    /// Grants free slots of this steward's engines to the routers that wait for them.
    pub(super) fn serve_waiters(&mut self, now: MonoTime, steps: &mut Vec<SchedulerStep>) {
        for engine in self.waiters.engines() {
            let own_waits = self
                .pool_of
                .get(&engine)
                .and_then(|model| self.pools.get(model));
            let own_waits = own_waits.is_some_and(|pool| pool.waiting().iter().any(|&n| n > 0));
            while let Some(waiter) = self.waiters.first(engine) {
                if own_waits && !self.waiters.is_waiters_turn(engine) {
                    break;
                }
                let Some(kind) = self.room(engine, waiter.rank) else {
                    break;
                };
                self.waiters.pop(engine);
                let router = waiter.router;
                self.slot_owner.take(now, engine, router, kind);
                steps.push(SchedulerStep::Grant {
                    engine,
                    router,
                    kind,
                });
            }
        }
    }

    /// Gives a slot that is free again to the next request that may use it, else back.
    pub(super) fn use_again(&mut self, now: MonoTime, slot: HeldSlot) -> Option<SchedulerStep> {
        let slot_owner = slot.granted_by?;
        let kept = slot.uses < MAX_SLOT_USES && slot_owner == self.slot_owner_of(slot.engine);
        if kept && let Some(item) = self.next_for(now, slot) {
            return Some(self.run(now, item, slot));
        }
        Some(SchedulerStep::Release {
            engine: slot.engine,
            slot_owner,
            kind: slot.kind,
        })
    }

    /// Takes the next request that may use a slot, if the engine is within its bound.
    pub(super) fn next_for(&mut self, now: MonoTime, slot: HeldSlot) -> Option<WorkItem> {
        let model = *self.pool_of.get(&slot.engine)?;
        let pool = self.pools.get(&model)?;
        let member = pool.open_engine(slot.engine)?;
        let total = self.total(member.model);
        let limit = self.bound.limit(total, pool.capacity_share(member));
        if self.slot_owner.load(slot.engine) >= limit {
            return None;
        }
        let mut demand = self.demand(now, model)?;
        demand.free += 1;
        let order = demand.serving_order(&self.rules.ranks);
        let fits = |rank: &WorkRank| slot.kind == SlotKind::Shared || *rank == WorkRank::Quick;
        let rank = order.into_iter().find(fits)?;
        let pool = self.pools.get_mut(&model)?;
        let item = pool.pop(rank)?;
        pool.held[rank.index()] += 1;
        Some(item)
    }

    /// Runs the request or asks for its slot.
    pub(super) fn pursue(
        &mut self,
        now: MonoTime,
        item: WorkItem,
        choice: SlotChoice,
        tried: Vec<EngineKey>,
    ) -> Option<SchedulerStep> {
        match choice {
            SlotChoice::Take(engine, kind) => {
                self.waiters.own_took(engine);
                let slot = HeldSlot {
                    engine,
                    kind,
                    granted_by: None,
                    uses: 0,
                };
                Some(self.run(now, item, slot))
            }
            SlotChoice::Ask(engine, slot_owner) => {
                let step = SchedulerStep::RequestSlot {
                    request: item.request,
                    rank: item.rank,
                    engine,
                    slot_owner,
                    wait: false,
                };
                let since = now;
                self.asks.add(PendingAsk {
                    item,
                    engine,
                    since,
                    tried,
                });
                Some(step)
            }
            SlotChoice::Nothing => {
                self.unhold(&item);
                if let Some(pool) = self.pools.get_mut(&item.model) {
                    pool.push_front(item);
                }
                None
            }
        }
    }

    /// The next engine for a request whose ask was denied.
    pub(super) fn next_choice(
        &mut self,
        now: MonoTime,
        mut ask: PendingAsk,
    ) -> Option<SchedulerStep> {
        ask.tried.push(ask.engine);
        let choice = self.choose(now, &ask.item, &ask.tried);
        self.pursue(now, ask.item, choice, ask.tried)
    }

    /// Engines in the order in which a request tries them: its home, then the engines whose slots
    /// this router grants, which cost no message, then the others.
    pub(super) fn trial_order(&self, pool: &EnginePool, item: &WorkItem) -> Vec<EngineKey> {
        let mut order = rendezvous_order(item.chat.0, pool.choices());
        let Some((_, others)) = order.split_first_mut() else {
            return order;
        };
        others.sort_by_key(|&engine| self.slot_owner_of(engine) != self.own);
        if let Some(avoid) = item.avoid {
            order.sort_by_key(|&engine| engine == avoid);
        }
        order
    }

    pub(super) fn choose(&self, now: MonoTime, item: &WorkItem, tried: &[EngineKey]) -> SlotChoice {
        let Some(pool) = self.pools.get(&item.model) else {
            return SlotChoice::Nothing;
        };
        let order = self.trial_order(pool, item);
        let untried: Vec<EngineKey> = order
            .into_iter()
            .filter(|engine| !tried.contains(engine))
            .collect();
        let choices = untried
            .iter()
            .map(|&engine| self.choice_at(now, engine, item.rank));
        let mut tight = SlotChoice::Nothing;
        for choice in choices {
            match choice {
                SlotChoice::Nothing => {}
                SlotChoice::Ask(engine, _) if self.is_tight(engine) => {
                    if matches!(tight, SlotChoice::Nothing) {
                        tight = choice;
                    }
                }
                SlotChoice::Take(..) | SlotChoice::Ask(..) => return choice,
            }
        }
        tight
    }

    pub(super) fn choice_at(&self, now: MonoTime, engine: EngineKey, rank: WorkRank) -> SlotChoice {
        let Some(kind) = self.room(engine, rank) else {
            return SlotChoice::Nothing;
        };
        let slot_owner = self.slot_owner_of(engine);
        let own = slot_owner == self.own;
        if own && !self.waiters.is_waiters_turn(engine) {
            SlotChoice::Take(engine, kind)
        } else if !own && !self.asks.is_denied(now, engine) && !self.is_busy_for(slot_owner, rank) {
            SlotChoice::Ask(engine, slot_owner)
        } else {
            SlotChoice::Nothing
        }
    }

    pub(super) fn run(
        &mut self,
        now: MonoTime,
        item: WorkItem,
        mut slot: HeldSlot,
    ) -> SchedulerStep {
        slot.uses += 1;
        let engine = slot.engine;
        self.slot_owner.take(now, engine, self.own, slot.kind);
        if let Some(pool) = self.pools.get_mut(&item.model) {
            pool.running += 1;
        }
        let running = RunningItem {
            item: item.clone(),
            slot,
            since: now,
            stopping: false,
        };
        self.running.insert(item.request, running);
        SchedulerStep::Run { item, engine }
    }

    pub(super) fn free(&mut self, now: MonoTime, ended: &RunningItem) {
        let slot = ended.slot;
        self.slot_owner
            .release(now, slot.engine, self.own, slot.kind);
        if let Some(pool) = self.pools.get_mut(&ended.item.model) {
            pool.running = pool.running.saturating_sub(1);
        }
        self.unhold(&ended.item);
    }

    pub(super) fn unhold(&mut self, item: &WorkItem) {
        if let Some(pool) = self.pools.get_mut(&item.model) {
            let held = &mut pool.held[item.rank.index()];
            *held = held.saturating_sub(1);
        }
    }
}
