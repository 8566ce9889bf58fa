//! Holds requests in queues and binds each to an engine late.
//!
//! One router is the steward of each engine and grants every slot on it. A router grants itself
//! the slots of its own engines and asks the steward for the others; when the steward does not
//! answer, it falls back to its own share of the load bound, which needs no message.

mod scheduler_step;
mod slot_availability;
mod slot_binding;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::ids::{AccountKey, ChatKey, EngineKey, ModelKey, RequestKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::engine_pool::EnginePool;
use crate::policy::load_bound::LoadBound;
use crate::policy::placement::rendezvous_order;
use crate::policy::rank_shares::RankCounts;
use crate::policy::refusal::{RefusalReason, WorkRefusal};
use crate::policy::slot_counts::{EngineLoad, SlotKind, SlotResponse, SlotSteward};
use crate::policy::slot_owner_map::SlotOwnerMap;
use crate::policy::slot_requests::{ASK_TIMEOUT, DENY_PAUSE, SlotAsks};
use crate::policy::slot_waiters::{SlotWaiter, SlotWaiters};
use crate::policy::work_item::WorkItem;
use crate::rules::RuleBook;

pub use crate::policy::engine_pool::PoolEngine;
pub use scheduler_step::SchedulerStep;

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
    slot_owner: SlotSteward,
    stewards: SlotOwnerMap,
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
            slot_owner: SlotSteward::default(),
            stewards: SlotOwnerMap::default(),
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
            self.slot_owner.forget(router);
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
    pub fn slot_owner_of(&self, engine: EngineKey) -> VmKey {
        self.stewards.slot_owner_of(engine).unwrap_or(self.own)
    }

    fn map_stewards(&mut self) {
        self.stewards = SlotOwnerMap::new(self.pool_of.keys().copied(), &self.routers);
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
    pub fn handle_slot_response(
        &mut self,
        now: MonoTime,
        request: RequestKey,
        engine: EngineKey,
        answer: SlotResponse,
    ) -> Vec<SchedulerStep> {
        if request == ANY_REQUEST {
            self.asks.wish_came(engine);
        }
        let ask = self.asks.take(request, engine);
        match answer {
            SlotResponse::Granted(kind) => {
                let slot = HeldSlot {
                    engine,
                    kind,
                    granted_by: Some(self.slot_owner_of(engine)),
                    uses: 0,
                };
                match ask {
                    Some(ask) => vec![self.run(now, ask.item, slot)],
                    // The request that asked is gone; another may use the slot.
                    None => self.use_again(now, slot).into_iter().collect(),
                }
            }
            SlotResponse::Full => {
                self.asks.deny(engine, now + DENY_PAUSE);
                let next = ask.and_then(|ask| self.next_choice(now, ask));
                next.into_iter().collect()
            }
        }
    }

    /// Answers, as the steward of `engine`, a router that asks for a slot. A router that is
    /// ready to wait gets no answer until there is one.
    pub fn handle_slot_request(
        &mut self,
        now: MonoTime,
        engine: EngineKey,
        waiter: SlotWaiter,
        wait: bool,
    ) -> Option<SlotResponse> {
        let is_free = self.waiters.first(engine).is_none() && !self.wants(engine, waiter.rank);
        if let Some(kind) = self.room(engine, waiter.rank).filter(|_| is_free) {
            self.slot_owner.take(now, engine, waiter.router, kind);
            return Some(SlotResponse::Granted(kind));
        }
        if wait {
            self.waiters.push(engine, waiter);
            return None;
        }
        Some(SlotResponse::Full)
    }

    /// Requests that wait at this router.
    pub fn waiting_total(&self) -> u32 {
        self.waiting().iter().sum()
    }

    /// Takes the number of requests that wait at another router.
    pub fn set_remote_waiting(&mut self, router: VmKey, waiting: u32) {
        if waiting > 0 {
            self.busy.insert(router);
        } else {
            self.busy.remove(&router);
        }
    }

    /// Takes back, as the steward of `engine`, a slot that `router` no longer uses.
    pub fn handle_slot_release(
        &mut self,
        now: MonoTime,
        router: VmKey,
        engine: EngineKey,
        kind: SlotKind,
    ) {
        self.slot_owner.release(now, engine, router, kind);
    }

    /// Takes back a late grant that could not be sent.
    pub fn grant_failed(&mut self, now: MonoTime, router: VmKey, step: &SchedulerStep) {
        if let SchedulerStep::Grant { engine, kind, .. } = step {
            self.slot_owner.release(now, *engine, router, *kind);
        }
    }

    /// Takes over the loads that another router reports of itself.
    pub fn apply_load_report(&mut self, now: MonoTime, router: VmKey, loads: &[EngineLoad]) {
        self.slot_owner.report(now, router, loads);
        let models: Vec<ModelKey> = self.pools.keys().copied().collect();
        for model in models {
            let of_model = loads
                .iter()
                .filter(|load| self.pool_of.get(&load.engine) == Some(&model));
            let running = of_model.map(|load| load.running).sum();
            self.set_remote_running(router, model, running);
        }
    }

    /// Takes the number of requests that another router runs.
    pub fn set_remote_running(&mut self, router: VmKey, model: ModelKey, running: u32) {
        self.totals.insert(RouterModel { router, model }, running);
    }

    /// Takes the number of requests that another router runs on the engines of one model.
    pub fn set_remote_running_by_engine(&mut self, router: VmKey, engine: EngineKey, running: u32) {
        if let Some(&model) = self.pool_of.get(&engine) {
            self.set_remote_running(router, model, running);
        }
    }

    /// Requests of this router in progress on engines like this one.
    pub fn own_running(&self, engine: EngineKey) -> u32 {
        let pool = self
            .pool_of
            .get(&engine)
            .and_then(|model| self.pools.get(model));
        pool.map_or(0, |pool| pool.running)
    }

    /// Counts a request as ended. Its slot serves the next request, or goes back.
    pub fn finish(&mut self, now: MonoTime, request: RequestKey) -> Option<SchedulerStep> {
        let ended = self.running.remove(&request)?;
        self.free(now, &ended);
        if let Some(pool) = self.pools.get_mut(&ended.item.model) {
            pool.record_service_time(ended.item.rank, ended.item.served + now.since(ended.since));
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
            pool.remove_paused(request);
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
            .map(|engine| self.slot_owner.load_of(engine, self.own))
            .filter(|load| load.running > 0)
            .collect()
    }

    /// Requests in progress on `engine`, as far as this router knows.
    pub fn load(&self, engine: EngineKey) -> u32 {
        self.slot_owner.load(engine)
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
