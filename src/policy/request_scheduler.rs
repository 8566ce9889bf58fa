//! Holds requests in queues and binds each to an engine late.
//!
//! One router is the steward of each engine and grants every slot on it. A router grants itself
//! the slots of its own engines and asks the steward for the others; when the steward does not
//! answer, it falls back to its own share of the load bound, which needs no message.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::ids::{AccountKey, ChatKey, EngineKey, ModelKey, RequestKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::engine_pool::EnginePool;
use crate::policy::load_bound::LoadBound;
use crate::policy::placement::rendezvous_order;
use crate::policy::rank_shares::{RankCounts, RankDemand};
use crate::policy::refusal::{RefusalReason, WorkRefusal};
use crate::policy::slot_asks::{ASK_TIMEOUT, DENY_PAUSE, PendingAsk, SlotAsks};
use crate::policy::slot_steward::{EngineLoad, SlotAnswer, SlotKind, SlotSteward};
use crate::policy::slot_waiters::{SlotWaiter, SlotWaiters};
use crate::policy::steward_map::StewardMap;
use crate::policy::work_item::WorkItem;
use crate::rules::{RuleBook, WorkRank};

pub use crate::policy::engine_pool::PoolEngine;

/// The request of an ask that is for whichever request waits.
pub const ANY_REQUEST: RequestKey = RequestKey(0);

/// Time between two searches for requests that waited too long.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest hint after which to try again.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests that one granted slot serves before it goes back to its steward.
const MAX_SLOT_USES: u32 = 4;

/// Change of a router's total, as a part of it, after which the others are told.
const ANNOUNCE_PART: f64 = 0.25;

/// Smallest change that the others are told of, in requests.
const ANNOUNCE_LEAST: f64 = 2.0;

/// Shortest time between two announcements.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(100);

/// How often one request gives its slot up at most.
const MAX_PREEMPTIONS: u8 = 10;

/// Part of the slots that a router grants below which it takes places in others' lines.
const STARVED_PART: f64 = 0.5;

/// Share of the longest wait up to which a queue takes requests.
const QUEUE_SAFETY: f64 = 0.7;

/// What the scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerStep {
    /// Send the request to the engine.
    Run {
        /// The request.
        item: WorkItem,
        /// Where it goes.
        engine: EngineKey,
    },
    /// Ask the steward of an engine for a slot.
    Ask {
        /// The request that wants it, or [`ANY_REQUEST`].
        request: RequestKey,
        /// Its rank.
        rank: WorkRank,
        /// The engine.
        engine: EngineKey,
        /// The router that grants its slots.
        steward: VmKey,
        /// Whether the steward is to answer once there is a slot.
        wait: bool,
    },
    /// Tell a router that waited that it has a slot now.
    Grant {
        /// The engine.
        engine: EngineKey,
        /// The router.
        router: VmKey,
        /// The slot.
        kind: SlotKind,
    },
    /// Give a slot back to the steward that granted it.
    Release {
        /// The engine.
        engine: EngineKey,
        /// The router that granted the slot.
        steward: VmKey,
        /// The slot.
        kind: SlotKind,
    },
    /// Tell every other router how many requests this one runs.
    Announce {
        /// The model.
        model: ModelKey,
        /// Requests of this router in progress.
        running: u32,
    },
    /// Stop a running request at its engine, keeping its place in the answer.
    Preempt {
        /// The request.
        request: RequestKey,
    },
    /// Tell the caller that the request did not run.
    Refuse {
        /// The request.
        item: WorkItem,
        /// Why.
        refusal: WorkRefusal,
    },
}

/// A router's part of a model's work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RouterModel {
    router: VmKey,
    model: ModelKey,
}

/// A slot that this router holds.
#[derive(Clone, Copy, Debug)]
struct HeldSlot {
    engine: EngineKey,
    kind: SlotKind,
    /// The steward that granted it; none for this router itself.
    granted_by: Option<VmKey>,
    /// Requests that it has served.
    uses: u32,
}

#[derive(Clone, Debug)]
struct RunningItem {
    item: WorkItem,
    slot: HeldSlot,
    since: MonoTime,
    /// Whether it was asked to give its slot up.
    stopping: bool,
}

#[derive(Clone, Copy, Debug)]
enum SlotChoice {
    Take(EngineKey, SlotKind),
    Ask(EngineKey, VmKey),
    Nothing,
}

/// The queues and slots of one router.
#[derive(Debug)]
pub struct RequestScheduler {
    own: VmKey,
    rules: Arc<RuleBook>,
    bound: LoadBound,
    pools: BTreeMap<ModelKey, EnginePool>,
    pool_of: BTreeMap<EngineKey, ModelKey>,
    steward: SlotSteward,
    stewards: StewardMap,
    /// Requests in progress that other routers last told of themselves.
    totals: BTreeMap<RouterModel, u32>,
    /// Routers that have work waiting, and so grant nothing.
    busy: BTreeSet<VmKey>,
    /// Routers that answer, this one among them.
    routers: Vec<VmKey>,
    asks: SlotAsks,
    waiters: SlotWaiters,
    running: BTreeMap<RequestKey, RunningItem>,
    next_expiry: MonoTime,
}

impl RequestScheduler {
    /// A scheduler for the router on `own` without engines.
    pub fn new(own: VmKey, rules: Arc<RuleBook>) -> Self {
        Self {
            own,
            bound: LoadBound::new(rules.load_multiple),
            rules,
            pools: BTreeMap::new(),
            pool_of: BTreeMap::new(),
            steward: SlotSteward::default(),
            stewards: StewardMap::default(),
            totals: BTreeMap::new(),
            busy: BTreeSet::new(),
            routers: vec![own],
            asks: SlotAsks::default(),
            waiters: SlotWaiters::default(),
            running: BTreeMap::new(),
            next_expiry: MonoTime::default(),
        }
    }

    /// Takes new rules.
    pub fn set_rules(&mut self, rules: Arc<RuleBook>) {
        self.bound = LoadBound::new(rules.load_multiple);
        self.rules = rules;
    }

    /// Takes the engines of every model; queues of models that stay are kept.
    pub fn set_engines(&mut self, engines: &[PoolEngine]) {
        self.pool_of = engines
            .iter()
            .map(|engine| (engine.key, engine.model))
            .collect();
        for pool in self.pools.values_mut() {
            pool.clear_engines();
        }
        for &engine in engines {
            self.pools
                .entry(engine.model)
                .or_default()
                .add_engine(engine);
        }
        self.map_stewards();
    }

    /// Takes the other routers that answer; slots of routers that are gone are free again.
    pub fn set_routers(&mut self, others: &[VmKey]) {
        let gone: Vec<VmKey> = self
            .routers
            .iter()
            .copied()
            .filter(|router| *router != self.own && !others.contains(router))
            .collect();
        for router in gone {
            self.steward.forget(router);
            self.totals.retain(|part, _| part.router != router);
            self.busy.remove(&router);
        }
        let mut routers = others.to_vec();
        routers.push(self.own);
        routers.sort_unstable();
        if routers != self.routers {
            self.waiters.keep(&routers);
            self.routers = routers;
            self.map_stewards();
        }
    }

    /// The router that grants slots on `engine`.
    pub fn steward_of(&self, engine: EngineKey) -> VmKey {
        self.stewards.steward_of(engine).unwrap_or(self.own)
    }

    fn map_stewards(&mut self) {
        self.stewards = StewardMap::new(self.pool_of.keys().copied(), &self.routers);
    }

    /// Takes a request into its queue or refuses it at once.
    ///
    /// The queue of a rank takes only what its floor is sure to serve in time.
    pub fn offer(&mut self, item: WorkItem) -> Result<(), WorkRefusal> {
        let rule = self.rules.ranks.of(item.rank);
        let max_wait = rule.max_wait.0;
        let own_slots = self.own_slots(item.model);
        let own_free = self.own_free(item.model);
        let Some(pool) = self.pools.get_mut(&item.model) else {
            return Err(refusal(RefusalReason::Unknown, MIN_RETRY_AFTER));
        };
        if !pool.has_open_engine() {
            return Err(refusal(RefusalReason::NoUpstream, MIN_RETRY_AFTER));
        }
        let slots = f64::from(own_slots);
        let held = f64::from(pool.held[item.rank.index()]).min(slots * rule.share.get());
        let slots = (slots * rule.floor.get()).max(held).max(1.0);
        let has_room = pool.has_queue_room(&item, slots, max_wait.mul_f64(QUEUE_SAFETY));
        if !has_room && pool.waiting().iter().sum::<u32>() >= own_free {
            let wait = pool.queue_time(&item, slots);
            let hint = wait.saturating_sub(max_wait / 2).min(max_wait * 2);
            let hint = hint.max(MIN_RETRY_AFTER);
            return Err(refusal(RefusalReason::Overload, hint));
        }
        pool.push(item);
        Ok(())
    }

    /// Slots of the open engines that this router is the steward of.
    fn own_slots(&self, model: ModelKey) -> u32 {
        let Some(pool) = self.pools.get(&model) else {
            return 0;
        };
        let own = pool
            .open_engines()
            .filter(|member| self.steward_of(member.key) == self.own);
        own.map(|member| member.slots).sum()
    }

    /// How many of those slots are free.
    fn own_free(&self, model: ModelKey) -> u32 {
        let Some(pool) = self.pools.get(&model) else {
            return 0;
        };
        let own = pool
            .open_engines()
            .filter(|member| self.steward_of(member.key) == self.own);
        own.map(|member| member.slots.saturating_sub(self.steward.load(member.key)))
            .sum()
    }

    /// Binds as many waiting requests as the slots allow.
    pub fn poll(&mut self, now: MonoTime) -> Vec<SchedulerStep> {
        let mut steps = Vec::new();
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.expire(now, &mut steps);
            self.asks.tidy(now, &self.routers);
        }
        self.give_up_asks(now, &mut steps);
        self.serve_waiters(now, &mut steps);
        let models: Vec<ModelKey> = self.pools.keys().copied().collect();
        for model in models {
            self.poll_pool(now, model, &mut steps);
            self.announce(now, model, &mut steps);
        }
        steps
    }

    /// Takes a steward's answer.
    pub fn answer(
        &mut self,
        now: MonoTime,
        request: RequestKey,
        engine: EngineKey,
        answer: SlotAnswer,
    ) -> Vec<SchedulerStep> {
        if request == ANY_REQUEST {
            self.asks.wish_came(engine);
        }
        let ask = self.asks.take(request, engine);
        match answer {
            SlotAnswer::Granted(kind) => {
                let slot = HeldSlot {
                    engine,
                    kind,
                    granted_by: Some(self.steward_of(engine)),
                    uses: 0,
                };
                match ask {
                    Some(ask) => vec![self.run(now, ask.item, slot)],
                    // The request that asked is gone; another may use the slot.
                    None => self.use_again(now, slot).into_iter().collect(),
                }
            }
            SlotAnswer::Full => {
                self.asks.deny(engine, now + DENY_PAUSE);
                let next = ask.and_then(|ask| self.next_choice(now, ask));
                next.into_iter().collect()
            }
        }
    }

    /// Answers, as the steward of `engine`, a router that asks for a slot. A router that is
    /// ready to wait gets no answer until there is one.
    pub fn grant(
        &mut self,
        now: MonoTime,
        engine: EngineKey,
        waiter: SlotWaiter,
        wait: bool,
    ) -> Option<SlotAnswer> {
        let is_free = self.waiters.first(engine).is_none() && !self.wants(engine, waiter.rank);
        if let Some(kind) = self.room(engine, waiter.rank).filter(|_| is_free) {
            self.steward.take(now, engine, waiter.router, kind);
            return Some(SlotAnswer::Granted(kind));
        }
        if wait {
            self.waiters.push(engine, waiter);
            return None;
        }
        Some(SlotAnswer::Full)
    }

    /// Whether work of this router, as urgent as `rank`, waits for engines like this one.
    fn wants(&self, engine: EngineKey, rank: WorkRank) -> bool {
        let pool = self
            .pool_of
            .get(&engine)
            .and_then(|model| self.pools.get(model));
        let waiting = pool.map(EnginePool::waiting).unwrap_or_default();
        waiting[..=rank.index()].iter().any(|&count| count > 0)
    }

    /// Requests that wait at this router.
    pub fn waiting_total(&self) -> u32 {
        self.waiting().iter().sum()
    }

    /// Takes the number of requests that wait at another router.
    pub fn heard_waiting(&mut self, router: VmKey, waiting: u32) {
        if waiting > 0 {
            self.busy.insert(router);
        } else {
            self.busy.remove(&router);
        }
    }

    /// Takes back, as the steward of `engine`, a slot that `router` no longer uses.
    pub fn released(&mut self, now: MonoTime, router: VmKey, engine: EngineKey, kind: SlotKind) {
        self.steward.release(now, engine, router, kind);
    }

    /// Takes back a late grant that could not be sent.
    pub fn grant_failed(&mut self, now: MonoTime, router: VmKey, step: &SchedulerStep) {
        if let SchedulerStep::Grant { engine, kind, .. } = step {
            self.steward.release(now, *engine, router, *kind);
        }
    }

    /// Takes over the loads that another router reports of itself.
    pub fn report(&mut self, now: MonoTime, router: VmKey, loads: &[EngineLoad]) {
        self.steward.report(now, router, loads);
        let models: Vec<ModelKey> = self.pools.keys().copied().collect();
        for model in models {
            let of_model = loads
                .iter()
                .filter(|load| self.pool_of.get(&load.engine) == Some(&model));
            let running = of_model.map(|load| load.running).sum();
            self.announced(router, model, running);
        }
    }

    /// Takes the number of requests that another router runs.
    pub fn announced(&mut self, router: VmKey, model: ModelKey, running: u32) {
        self.totals.insert(RouterModel { router, model }, running);
    }

    /// Takes the number of requests that another router runs on the engines of one model.
    pub fn announced_beside(&mut self, router: VmKey, engine: EngineKey, running: u32) {
        if let Some(&model) = self.pool_of.get(&engine) {
            self.announced(router, model, running);
        }
    }

    /// Requests of this router in progress on engines like this one.
    pub fn own_total(&self, engine: EngineKey) -> u32 {
        let pool = self
            .pool_of
            .get(&engine)
            .and_then(|model| self.pools.get(model));
        pool.map_or(0, |pool| pool.running)
    }

    /// Requests in progress on the engines of a model, from all routers.
    fn total(&self, model: ModelKey) -> u32 {
        let own = self.pools.get(&model).map_or(0, |pool| pool.running);
        let others = self.totals.iter().filter(|(part, _)| part.model == model);
        own + others.map(|(_, running)| running).sum::<u32>()
    }

    /// Counts a request as ended. Its slot serves the next request, or goes back.
    pub fn finish(&mut self, now: MonoTime, request: RequestKey) -> Option<SchedulerStep> {
        let ended = self.running.remove(&request)?;
        self.free(now, &ended);
        if let Some(pool) = self.pools.get_mut(&ended.item.model) {
            pool.note_service(ended.item.rank, ended.item.served + now.since(ended.since));
        }
        self.use_again(now, ended.slot)
    }

    /// Takes back a request that gave its slot up; it goes on at its engine later.
    pub fn preempted(&mut self, now: MonoTime, request: RequestKey) -> Option<SchedulerStep> {
        let stopped = self.running.remove(&request)?;
        self.free(now, &stopped);
        let mut item = stopped.item;
        item.pinned = Some(stopped.slot.engine);
        item.preemptions += 1;
        item.served += now.since(stopped.since);
        if let Some(pool) = self.pools.get_mut(&item.model) {
            pool.pause(item);
        }
        self.use_again(now, stopped.slot)
    }

    /// Forgets a request that still waits, because its caller left.
    pub fn cancel(&mut self, request: RequestKey) {
        if let Some(ask) = self.asks.cancel(request) {
            self.unhold(&ask.item);
        }
        for pool in self.pools.values_mut() {
            pool.remove_where(|item| item.request == request);
            pool.forget_paused(request);
        }
    }

    /// Takes every waiting request out of the queues, for a router that stops.
    pub fn refuse_waiting(&mut self, reason: RefusalReason) -> Vec<SchedulerStep> {
        let asked: Vec<WorkItem> = self.asks.drain().into_iter().map(|ask| ask.item).collect();
        for item in &asked {
            self.unhold(item);
        }
        let queued = self
            .pools
            .values_mut()
            .flat_map(|pool| pool.remove_where(|_| true));
        queued
            .chain(asked)
            .map(|item| SchedulerStep::Refuse {
                item,
                refusal: refusal(reason, MIN_RETRY_AFTER),
            })
            .collect()
    }

    /// The requests that this router runs, by engine.
    pub fn own_loads(&self) -> Vec<EngineLoad> {
        let engines = self.pool_of.keys().copied();
        engines
            .map(|engine| self.steward.load_of(engine, self.own))
            .filter(|load| load.running > 0)
            .collect()
    }

    /// Requests in progress on `engine`, as far as this router knows.
    pub fn load(&self, engine: EngineKey) -> u32 {
        self.steward.load(engine)
    }

    /// Requests that run from this router.
    pub fn running_len(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait, by rank, over all models.
    pub fn waiting(&self) -> RankCounts {
        let mut sum = RankCounts::default();
        for pool in self.pools.values() {
            for (total, waiting) in sum.iter_mut().zip(pool.waiting()) {
                *total += waiting;
            }
        }
        sum
    }

    /// Requests of `account` that wait, over all models and ranks.
    pub fn waiting_of(&self, account: AccountKey) -> usize {
        self.pools
            .values()
            .map(|pool| pool.waiting_of(account))
            .sum()
    }

    /// Engines for a chat, in order of preference, open ones only.
    pub fn preference(&self, model: ModelKey, chat: ChatKey) -> Vec<EngineKey> {
        self.pools
            .get(&model)
            .map_or_else(Vec::new, |pool| rendezvous_order(chat.0, pool.choices()))
    }

    /// Tells the others this router's total once it has changed enough to matter.
    fn announce(&mut self, now: MonoTime, model: ModelKey, steps: &mut Vec<SchedulerStep>) {
        let Some(pool) = self.pools.get_mut(&model) else {
            return;
        };
        let least = (f64::from(pool.announced) * ANNOUNCE_PART).max(ANNOUNCE_LEAST);
        let change = f64::from(pool.running.abs_diff(pool.announced));
        if change >= least && now.since(pool.announced_at) >= ANNOUNCE_PAUSE {
            pool.announced = pool.running;
            pool.announced_at = now;
            let running = pool.running;
            steps.push(SchedulerStep::Announce { model, running });
        }
    }

    fn poll_pool(&mut self, now: MonoTime, model: ModelKey, steps: &mut Vec<SchedulerStep>) {
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

    /// What each rank has and asks for on this router's part of a model's engines.
    fn demand(&mut self, now: MonoTime, model: ModelKey) -> Option<RankDemand> {
        let pool = self.pools.get_mut(&model)?;
        pool.note_demand(now);
        let pool = self.pools.get(&model)?;
        Some(RankDemand {
            waiting: pool.waiting(),
            held: pool.held,
            recent: pool.recent(),
            slots: self.own_slots(model),
            free: self.own_free(model),
        })
    }

    /// Serves the first request of a rank, if any engine has room for it.
    fn serve_rank(
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
    fn resume_paused(
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
        let item = pool.resume(position);
        pool.held[rank.index()] += 1;
        self.pursue(now, item, SlotChoice::Take(engine, kind), Vec::new())
    }

    /// Stops long work beyond its floor for more urgent work that waits within its share.
    ///
    /// The youngest goes first, and none more than a few times, so that all of it finishes.
    fn preempt_for(
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
    fn wish_for_slots(
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
            let steward = self.steward_of(engine);
            if steward != self.own && self.asks.wish(now, engine, steward) {
                steps.push(SchedulerStep::Ask {
                    request: ANY_REQUEST,
                    rank,
                    engine,
                    steward,
                    wait: true,
                });
            }
        }
    }

    /// Whether this router holds much less than the slots that it is the steward of, or has none.
    fn is_starved(&self, model: ModelKey, pool: &EnginePool) -> bool {
        let own_slots = self.own_slots(model);
        let held: u32 = pool.held.iter().sum();
        own_slots == 0 || f64::from(held) < f64::from(own_slots) * STARVED_PART
    }

    /// Grants free slots of this steward's engines to the routers that wait for them.
    fn serve_waiters(&mut self, now: MonoTime, steps: &mut Vec<SchedulerStep>) {
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
                self.steward.take(now, engine, router, kind);
                steps.push(SchedulerStep::Grant {
                    engine,
                    router,
                    kind,
                });
            }
        }
    }

    /// Gives a slot that is free again to the next request that may use it, else back.
    fn use_again(&mut self, now: MonoTime, slot: HeldSlot) -> Option<SchedulerStep> {
        let steward = slot.granted_by?;
        let kept = slot.uses < MAX_SLOT_USES && steward == self.steward_of(slot.engine);
        if kept && let Some(item) = self.next_for(now, slot) {
            return Some(self.run(now, item, slot));
        }
        Some(SchedulerStep::Release {
            engine: slot.engine,
            steward,
            kind: slot.kind,
        })
    }

    /// Takes the next request that may use a slot, if the engine is within its bound.
    fn next_for(&mut self, now: MonoTime, slot: HeldSlot) -> Option<WorkItem> {
        let model = *self.pool_of.get(&slot.engine)?;
        let pool = self.pools.get(&model)?;
        let member = pool.open_engine(slot.engine)?;
        let total = self.total(member.model);
        let limit = self.bound.limit(total, pool.capacity_share(member));
        if self.steward.load(slot.engine) >= limit {
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
    fn pursue(
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
            SlotChoice::Ask(engine, steward) => {
                let step = SchedulerStep::Ask {
                    request: item.request,
                    rank: item.rank,
                    engine,
                    steward,
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
    fn next_choice(&mut self, now: MonoTime, mut ask: PendingAsk) -> Option<SchedulerStep> {
        ask.tried.push(ask.engine);
        let choice = self.choose(now, &ask.item, &ask.tried);
        self.pursue(now, ask.item, choice, ask.tried)
    }

    /// Engines in the order in which a request tries them: its home, then the engines whose slots
    /// this router grants, which cost no message, then the others.
    fn trial_order(&self, pool: &EnginePool, item: &WorkItem) -> Vec<EngineKey> {
        let mut order = rendezvous_order(item.chat.0, pool.choices());
        let Some((_, others)) = order.split_first_mut() else {
            return order;
        };
        others.sort_by_key(|&engine| self.steward_of(engine) != self.own);
        if let Some(avoid) = item.avoid {
            order.sort_by_key(|&engine| engine == avoid);
        }
        order
    }

    fn choose(&self, now: MonoTime, item: &WorkItem, tried: &[EngineKey]) -> SlotChoice {
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

    fn choice_at(&self, now: MonoTime, engine: EngineKey, rank: WorkRank) -> SlotChoice {
        let Some(kind) = self.room(engine, rank) else {
            return SlotChoice::Nothing;
        };
        let steward = self.steward_of(engine);
        let own = steward == self.own;
        if own && !self.waiters.is_waiters_turn(engine) {
            SlotChoice::Take(engine, kind)
        } else if !own && !self.asks.is_denied(now, engine) && !self.is_busy_for(steward, rank) {
            SlotChoice::Ask(engine, steward)
        } else {
            SlotChoice::Nothing
        }
    }

    /// Whether a steward has work waiting that goes before work of this rank. Quick questions are
    /// worth asking for all the same: it may have headroom.
    fn is_busy_for(&self, steward: VmKey, rank: WorkRank) -> bool {
        rank != WorkRank::Quick && self.busy.contains(&steward)
    }

    /// Whether one more request would fill an engine, as far as this router knows. An ask for
    /// such a slot is likely to be denied.
    fn is_tight(&self, engine: EngineKey) -> bool {
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
        self.steward.load(engine) + 1 >= limit.min(member.slots)
    }

    /// The slot that an engine has for a rank, within its slots and the load bound.
    fn room(&self, engine: EngineKey, rank: WorkRank) -> Option<SlotKind> {
        let pool = self.pools.get(self.pool_of.get(&engine)?)?;
        let member = pool.open_engine(engine)?;
        let load = self.steward.load(engine);
        let total = self.total(member.model);
        if load >= self.bound.limit(total, pool.capacity_share(member)) {
            return None;
        }
        self.free_slot(member, rank)
    }

    /// The slot that an engine has for a rank, whatever the load bound says.
    fn free_slot(&self, member: &PoolEngine, rank: WorkRank) -> Option<SlotKind> {
        let load = self.steward.load(member.key);
        let headroom = self.steward.headroom(member.key);
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
    fn room_alone(&self, engine: EngineKey, rank: WorkRank) -> Option<SlotKind> {
        let pool = self.pools.get(self.pool_of.get(&engine)?)?;
        let member = pool.open_engine(engine)?;
        let own = |key| self.steward.load_of(key, self.own).running;
        let total = pool.open_engines().map(|member| own(member.key)).sum();
        let limit = self
            .bound
            .isolated_limit(total, pool.capacity_share(member));
        if own(engine) >= limit {
            return None;
        }
        self.free_slot(member, rank)
    }

    fn run(&mut self, now: MonoTime, item: WorkItem, mut slot: HeldSlot) -> SchedulerStep {
        slot.uses += 1;
        let engine = slot.engine;
        self.steward.take(now, engine, self.own, slot.kind);
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

    fn free(&mut self, now: MonoTime, ended: &RunningItem) {
        let slot = ended.slot;
        self.steward.release(now, slot.engine, self.own, slot.kind);
        if let Some(pool) = self.pools.get_mut(&ended.item.model) {
            pool.running = pool.running.saturating_sub(1);
        }
        self.unhold(&ended.item);
    }

    fn unhold(&mut self, item: &WorkItem) {
        if let Some(pool) = self.pools.get_mut(&item.model) {
            let held = &mut pool.held[item.rank.index()];
            *held = held.saturating_sub(1);
        }
    }

    fn expire(&mut self, now: MonoTime, steps: &mut Vec<SchedulerStep>) {
        let rules = Arc::clone(&self.rules);
        for pool in self.pools.values_mut() {
            let late = pool.remove_where(|item| {
                now.since(item.accepted) > rules.ranks.of(item.rank).deadline.0
            });
            steps.extend(late.into_iter().map(|item| SchedulerStep::Refuse {
                item,
                refusal: refusal(RefusalReason::Deadline, MIN_RETRY_AFTER),
            }));
        }
    }

    /// Stops waiting for stewards that do not answer.
    fn give_up_asks(&mut self, now: MonoTime, steps: &mut Vec<SchedulerStep>) {
        for ask in self.asks.take_late(now) {
            let engine = ask.engine;
            if let Some(kind) = self.room_alone(engine, ask.item.rank) {
                let slot = HeldSlot {
                    engine,
                    kind,
                    granted_by: None,
                    uses: 0,
                };
                steps.push(self.run(now, ask.item, slot));
            } else {
                self.asks.deny(engine, now + ASK_TIMEOUT);
                steps.extend(self.next_choice(now, ask));
            }
        }
    }
}

fn refusal(reason: RefusalReason, retry_after: Duration) -> WorkRefusal {
    WorkRefusal {
        reason,
        retry_after,
    }
}
