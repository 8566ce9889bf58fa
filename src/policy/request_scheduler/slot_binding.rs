//! Assigns waiting requests to slots: serving order, choice of the engine, and preemption.

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
use crate::policy::slot_requests::PendingSlotRequest;
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
                self.queue_for_slots(now, model, rank, steps);
            }
            return;
        }
    }

    /// Serves the first request of a rank if any engine has a slot for it.
    pub(super) fn serve_rank(
        &mut self,
        now: MonoTime,
        model: ModelKey,
        rank: WorkRank,
    ) -> Option<SchedulerStep> {
        if let Some(step) = self.resume_preempted(now, model, rank) {
            return Some(step);
        }
        let head = self.pools.get(&model)?.peek(rank)?;
        let choice = self.choose_slot(now, head, &[]);
        if matches!(choice, SlotChoice::Unavailable) {
            return None;
        }
        let pool = self.pools.get_mut(&model)?;
        let item = pool.pop(rank)?;
        pool.held[rank.index()] += 1;
        self.apply_choice(now, item, choice, Vec::new())
    }

    /// Resumes a preempted request of a rank on its engine, if the engine has a free slot or no
    /// longer takes new work and only finishes what it has begun.
    pub(super) fn resume_preempted(
        &mut self,
        now: MonoTime,
        model: ModelKey,
        rank: WorkRank,
    ) -> Option<SchedulerStep> {
        let pool = self.pools.get(&model)?;
        let engine_of = |item: &WorkItem| item.pinned.filter(|_| item.rank == rank);
        let position = pool.preempted().iter().position(|item| {
            engine_of(item).is_some_and(|engine| {
                pool.open_engine(engine).is_none() || self.available_slot(engine, rank).is_some()
            })
        })?;
        let engine = pool.preempted()[position].pinned?;
        let kind = self
            .available_slot(engine, rank)
            .unwrap_or(SlotKind::Shared);
        let pool = self.pools.get_mut(&model)?;
        let item = pool.take_preempted(position);
        pool.held[rank.index()] += 1;
        self.apply_choice(now, item, SlotChoice::Take(engine, kind), Vec::new())
    }

    /// Preempts a long request beyond the floor of its rank for a more urgent rank that waits and
    /// is within its share.
    ///
    /// The request that started last is stopped first, and each at most `MAX_PREEMPTIONS` times,
    /// so that every one finishes.
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
        let preempting = self
            .running
            .values()
            .filter(|running| running.preempting)
            .count();
        let wanted = demand.waiting[rank.index()] as usize;
        if preempting >= wanted || !demand.may_preempt(&self.rules.ranks, rank) {
            return;
        }
        let is_preemptible = |running: &&mut RunningItem| {
            running.item.rank == WorkRank::Long
                && running.item.model == model
                && running.slot.granted_by.is_none()
                && running.item.preemptions < MAX_PREEMPTIONS
                && !running.preempting
                && pool.open_engine(running.slot.engine).is_some()
        };
        let victims = self.running.values_mut().filter(is_preemptible);
        if let Some(victim) = victims.max_by_key(|running| running.since) {
            victim.preempting = true;
            steps.push(SchedulerStep::Preempt {
                request: victim.item.request,
            });
        }
    }

    /// Queues at the slot owners of other engines for a rank that no engine has a free slot for.
    pub(super) fn queue_for_slots(
        &mut self,
        now: MonoTime,
        model: ModelKey,
        rank: WorkRank,
        steps: &mut Vec<SchedulerStep>,
    ) {
        let Some(pool) = self.pools.get(&model) else {
            return;
        };
        if !self.slot_requests.can_enqueue() || !self.is_starved(model, pool) {
            return;
        }
        let Some(head) = pool.peek(rank) else { return };
        for engine in rendezvous_order(head.chat.0, pool.choices()) {
            let slot_owner = self.slot_owner_of(engine);
            if slot_owner != self.own_vm && self.slot_requests.enqueue(now, engine, slot_owner) {
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

    /// Grants free slots of the engines that this router owns to the routers that wait for them.
    pub(super) fn grant_to_waiters(&mut self, now: MonoTime, steps: &mut Vec<SchedulerStep>) {
        for engine in self.waiters.engines() {
            let pool = self
                .model_of
                .get(&engine)
                .and_then(|model| self.pools.get(model));
            let own_work_waits = pool.is_some_and(|pool| pool.waiting().iter().any(|&n| n > 0));
            while let Some(waiter) = self.waiters.first(engine) {
                if own_work_waits && !self.waiters.is_waiters_turn(engine) {
                    break;
                }
                let Some(kind) = self.available_slot(engine, waiter.rank) else {
                    break;
                };
                self.waiters.pop(engine);
                let router = waiter.router;
                self.slot_counts.take(now, engine, router, kind);
                steps.push(SchedulerStep::Grant {
                    engine,
                    router,
                    kind,
                });
            }
        }
    }

    /// Runs the next suitable request on a freed slot, or releases the slot to its owner.
    pub(super) fn reuse_or_release(
        &mut self,
        now: MonoTime,
        slot: HeldSlot,
    ) -> Option<SchedulerStep> {
        let slot_owner = slot.granted_by?;
        let reusable = slot.uses < MAX_SLOT_USES && slot_owner == self.slot_owner_of(slot.engine);
        if reusable && let Some(item) = self.next_for_slot(now, slot) {
            return Some(self.run(now, item, slot));
        }
        Some(SchedulerStep::Release {
            engine: slot.engine,
            slot_owner,
            kind: slot.kind,
        })
    }

    /// Takes the next request that may use a slot, if the engine is within the load bound.
    pub(super) fn next_for_slot(&mut self, now: MonoTime, slot: HeldSlot) -> Option<WorkItem> {
        let model = *self.model_of.get(&slot.engine)?;
        let pool = self.pools.get(&model)?;
        let pool_engine = pool.open_engine(slot.engine)?;
        let total = self.total_running(pool_engine.model);
        let limit = self.bound.limit(total, pool.capacity_share(pool_engine));
        if self.slot_counts.load(slot.engine) >= limit {
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

    /// Runs the request, requests a slot for it, or puts it back into its queue.
    pub(super) fn apply_choice(
        &mut self,
        now: MonoTime,
        item: WorkItem,
        choice: SlotChoice,
        excluded: Vec<EngineKey>,
    ) -> Option<SchedulerStep> {
        match choice {
            SlotChoice::Take(engine, kind) => {
                self.waiters.record_own_use(engine);
                let slot = HeldSlot {
                    engine,
                    kind,
                    granted_by: None,
                    uses: 0,
                };
                Some(self.run(now, item, slot))
            }
            SlotChoice::Request(engine, slot_owner) => {
                let step = SchedulerStep::RequestSlot {
                    request: item.request,
                    rank: item.rank,
                    engine,
                    slot_owner,
                    wait: false,
                };
                let since = now;
                self.slot_requests.add(PendingSlotRequest {
                    item,
                    engine,
                    since,
                    excluded,
                });
                Some(step)
            }
            SlotChoice::Unavailable => {
                self.decrement_held(&item);
                if let Some(pool) = self.pools.get_mut(&item.model) {
                    pool.push_front(item);
                }
                None
            }
        }
    }

    /// Tries the next engine for a request whose slot request was denied or has expired.
    pub(super) fn retry_elsewhere(
        &mut self,
        now: MonoTime,
        mut pending: PendingSlotRequest,
    ) -> Option<SchedulerStep> {
        pending.excluded.push(pending.engine);
        let choice = self.choose_slot(now, &pending.item, &pending.excluded);
        self.apply_choice(now, pending.item, choice, pending.excluded)
    }

    /// Returns the engines in the order in which a request tries them: its preferred engine, then
    /// the engines that this router owns, which need no message, then the others. The engine that
    /// has just failed the request comes last.
    pub(super) fn candidate_order(&self, pool: &EnginePool, item: &WorkItem) -> Vec<EngineKey> {
        let mut order = rendezvous_order(item.chat.0, pool.choices());
        let Some((_, others)) = order.split_first_mut() else {
            return order;
        };
        others.sort_by_key(|&engine| self.slot_owner_of(engine) != self.own_vm);
        if let Some(avoid) = item.avoid {
            order.sort_by_key(|&engine| engine == avoid);
        }
        order
    }

    pub(super) fn choose_slot(
        &self,
        now: MonoTime,
        item: &WorkItem,
        excluded: &[EngineKey],
    ) -> SlotChoice {
        let Some(pool) = self.pools.get(&item.model) else {
            return SlotChoice::Unavailable;
        };
        let order = self.candidate_order(pool, item);
        let candidates: Vec<EngineKey> = order
            .into_iter()
            .filter(|engine| !excluded.contains(engine))
            .collect();
        let choices = candidates
            .iter()
            .map(|&engine| self.choice_at(now, engine, item.rank));
        let mut nearly_full = SlotChoice::Unavailable;
        for choice in choices {
            match choice {
                SlotChoice::Unavailable => {}
                SlotChoice::Request(engine, _) if self.is_nearly_full(engine) => {
                    if matches!(nearly_full, SlotChoice::Unavailable) {
                        nearly_full = choice;
                    }
                }
                SlotChoice::Take(..) | SlotChoice::Request(..) => return choice,
            }
        }
        nearly_full
    }

    pub(super) fn choice_at(&self, now: MonoTime, engine: EngineKey, rank: WorkRank) -> SlotChoice {
        let Some(kind) = self.available_slot(engine, rank) else {
            return SlotChoice::Unavailable;
        };
        let slot_owner = self.slot_owner_of(engine);
        let is_own = slot_owner == self.own_vm;
        if is_own && !self.waiters.is_waiters_turn(engine) {
            SlotChoice::Take(engine, kind)
        } else if !is_own
            && !self.slot_requests.is_denied(now, engine)
            && !self.is_backlogged_for(slot_owner, rank)
        {
            SlotChoice::Request(engine, slot_owner)
        } else {
            SlotChoice::Unavailable
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
        self.slot_counts.take(now, engine, self.own_vm, slot.kind);
        if let Some(pool) = self.pools.get_mut(&item.model) {
            pool.running += 1;
        }
        let running = RunningItem {
            item: item.clone(),
            slot,
            since: now,
            preempting: false,
        };
        self.running.insert(item.request, running);
        SchedulerStep::Run { item, engine }
    }

    pub(super) fn release_running(&mut self, now: MonoTime, ended: &RunningItem) {
        let slot = ended.slot;
        self.slot_counts
            .release(now, slot.engine, self.own_vm, slot.kind);
        if let Some(pool) = self.pools.get_mut(&ended.item.model) {
            pool.running = pool.running.saturating_sub(1);
        }
        self.decrement_held(&ended.item);
    }

    pub(super) fn decrement_held(&mut self, item: &WorkItem) {
        if let Some(pool) = self.pools.get_mut(&item.model) {
            let held = &mut pool.held[item.rank.index()];
            *held = held.saturating_sub(1);
        }
    }
}
