//! Holds requests in queues and binds each to an engine late.
//!
//! One router is the steward of each engine and grants every slot on it. A router grants itself
//! the slots of its own engines and asks the steward for the others; when the steward does not
//! answer, it falls back to its own share of the load bound, which needs no message.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::{AccountKey, EngineKey, ModelKey, RequestKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::load_bound::LoadBound;
use crate::policy::placement::{rendezvous_first, rendezvous_order};
use crate::policy::rank_shares::{RankCounts, serving_order};
use crate::policy::refusal::{RefusalReason, WorkRefusal};
use crate::policy::slot_steward::{EngineLoad, SlotAnswer, SlotSteward};
use crate::policy::work_item::WorkItem;
use crate::rules::{RuleBook, WorkRank};

use crate::policy::engine_pool::EnginePool;
pub use crate::policy::engine_pool::PoolEngine;

/// Longest wait for a steward's answer.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(60);

/// How long an engine that was denied is not asked for again.
const DENY_PAUSE: Duration = Duration::from_millis(20);

/// Time between two searches for requests that waited too long.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest hint after which to try again.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

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
        /// The request that wants it.
        request: RequestKey,
        /// Its rank.
        rank: WorkRank,
        /// The engine.
        engine: EngineKey,
        /// The router that grants its slots.
        steward: VmKey,
    },
    /// Give a slot back to the steward that granted it.
    Release {
        /// The engine.
        engine: EngineKey,
        /// The router that granted the slot.
        steward: VmKey,
    },
    /// Tell the caller that the request did not run.
    Refuse {
        /// The request.
        item: WorkItem,
        /// Why.
        refusal: WorkRefusal,
    },
}

#[derive(Clone, Debug)]
struct PendingAsk {
    item: WorkItem,
    engine: EngineKey,
    since: MonoTime,
    /// Engines that have no slot for this request now.
    tried: Vec<EngineKey>,
}

#[derive(Clone, Debug)]
struct RunningItem {
    engine: EngineKey,
    model: ModelKey,
    rank: WorkRank,
    granted_by: Option<VmKey>,
}

#[derive(Clone, Copy, Debug)]
enum SlotChoice {
    Take(EngineKey),
    Ask(EngineKey, VmKey),
    Nothing,
}

/// The queues and slots of one router.
#[derive(Debug)]
pub struct RequestScheduler {
    own: VmKey,
    rules: Arc<RuleBook>,
    bound: LoadBound,
    pools: HashMap<ModelKey, EnginePool>,
    pool_of: HashMap<EngineKey, ModelKey>,
    steward: SlotSteward,
    /// Routers that answer, this one among them.
    routers: Vec<VmKey>,
    asks: HashMap<RequestKey, PendingAsk>,
    running: HashMap<RequestKey, RunningItem>,
    denied: HashMap<EngineKey, MonoTime>,
    next_expiry: MonoTime,
}

impl RequestScheduler {
    /// A scheduler for the router on `own` without engines.
    pub fn new(own: VmKey, rules: Arc<RuleBook>) -> Self {
        Self {
            own,
            bound: LoadBound::new(rules.load_multiple),
            rules,
            pools: HashMap::new(),
            pool_of: HashMap::new(),
            steward: SlotSteward::default(),
            routers: vec![own],
            asks: HashMap::new(),
            running: HashMap::new(),
            denied: HashMap::new(),
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
        }
        self.routers = std::iter::once(self.own)
            .chain(others.iter().copied())
            .collect();
    }

    /// The router that grants slots on `engine`.
    pub fn steward_of(&self, engine: EngineKey) -> VmKey {
        rendezvous_first(engine.0, self.routers.iter().copied()).unwrap_or(self.own)
    }

    /// Takes a request into its queue or refuses it at once.
    pub fn offer(&mut self, item: WorkItem) -> Result<(), WorkRefusal> {
        let max_wait = self.rules.ranks.of(item.rank).max_wait.0;
        let Some(pool) = self.pools.get_mut(&item.model) else {
            return Err(refusal(RefusalReason::Unknown, MIN_RETRY_AFTER));
        };
        if !pool.has_open_engine() {
            return Err(refusal(RefusalReason::NoUpstream, MIN_RETRY_AFTER));
        }
        let wait = pool.expected_wait(&item);
        if wait > max_wait.mul_f64(0.8) {
            let hint = wait.saturating_sub(max_wait / 2).max(MIN_RETRY_AFTER);
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
            self.give_up_asks(now, &mut steps);
        }
        let models: Vec<ModelKey> = self.pools.keys().copied().collect();
        for model in models {
            self.poll_pool(now, model, &mut steps);
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
        let steward = self.steward_of(engine);
        let waiting = self
            .asks
            .get(&request)
            .is_some_and(|ask| ask.engine == engine);
        match answer {
            SlotAnswer::Granted if waiting => {
                let Some(ask) = self.asks.remove(&request) else {
                    return Vec::new();
                };
                vec![self.run(now, ask.item, engine, Some(steward))]
            }
            // The answer came too late: the request runs elsewhere or is gone.
            SlotAnswer::Granted => vec![SchedulerStep::Release { engine, steward }],
            SlotAnswer::Full if waiting => {
                self.denied.insert(engine, now + DENY_PAUSE);
                self.next_choice(now, request)
            }
            SlotAnswer::Full => Vec::new(),
        }
    }

    /// Answers, as the steward of `engine`, a router that asks for a slot.
    pub fn grant(
        &mut self,
        now: MonoTime,
        router: VmKey,
        engine: EngineKey,
        rank: WorkRank,
    ) -> SlotAnswer {
        if self.has_room(engine, rank) {
            self.steward.take(now, engine, router);
            SlotAnswer::Granted
        } else {
            SlotAnswer::Full
        }
    }

    /// Takes back, as the steward of `engine`, a slot that `router` no longer uses.
    pub fn released(&mut self, now: MonoTime, router: VmKey, engine: EngineKey) {
        self.steward.release(now, engine, router);
    }

    /// Takes over the loads that another router reports of itself.
    pub fn report(&mut self, now: MonoTime, router: VmKey, loads: &[EngineLoad]) {
        self.steward.report(now, router, loads);
    }

    /// Counts a request as ended; its slot is free.
    pub fn finish(&mut self, now: MonoTime, request: RequestKey) -> Option<SchedulerStep> {
        let item = self.running.remove(&request)?;
        self.steward.release(now, item.engine, self.own);
        if let Some(pool) = self.pools.get_mut(&item.model) {
            pool.held[item.rank.index()] = pool.held[item.rank.index()].saturating_sub(1);
        }
        let steward = item.granted_by?;
        Some(SchedulerStep::Release {
            engine: item.engine,
            steward,
        })
    }

    /// Forgets a request that still waits, because its caller left.
    pub fn cancel(&mut self, request: RequestKey) {
        if let Some(ask) = self.asks.remove(&request) {
            self.unhold(&ask.item);
        }
        for pool in self.pools.values_mut() {
            pool.remove_where(|item| item.request == request);
        }
    }

    /// Takes every waiting request out of the queues, for a router that stops.
    pub fn refuse_waiting(&mut self, reason: RefusalReason) -> Vec<SchedulerStep> {
        let asked: Vec<WorkItem> = self.asks.drain().map(|(_, ask)| ask.item).collect();
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
            .map(|engine| EngineLoad {
                engine,
                running: self.steward.load_of(engine, self.own),
            })
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
    pub fn preference(&self, model: ModelKey, chat: crate::ids::ChatKey) -> Vec<EngineKey> {
        self.pools
            .get(&model)
            .map_or_else(Vec::new, |pool| rendezvous_order(chat.0, pool.choices()))
    }

    fn poll_pool(&mut self, now: MonoTime, model: ModelKey, steps: &mut Vec<SchedulerStep>) {
        loop {
            let Some(pool) = self.pools.get(&model) else {
                return;
            };
            let order = serving_order(&self.rules.ranks, pool.waiting(), pool.held);
            let progress = order
                .into_iter()
                .find_map(|rank| self.serve_rank(now, model, rank));
            match progress {
                Some(step) => steps.push(step),
                None => return,
            }
        }
    }

    /// Serves the first request of a rank, if any engine has room for it.
    fn serve_rank(
        &mut self,
        now: MonoTime,
        model: ModelKey,
        rank: WorkRank,
    ) -> Option<SchedulerStep> {
        let head = self.pools.get(&model)?.peek(rank)?;
        let choice = self.choose(now, head, &[]);
        if matches!(choice, SlotChoice::Nothing) {
            return None;
        }
        let pool = self.pools.get_mut(&model)?;
        let item = pool.pop(now, rank)?;
        pool.held[rank.index()] += 1;
        self.pursue(now, item, choice, Vec::new())
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
            SlotChoice::Take(engine) => Some(self.run(now, item, engine, None)),
            SlotChoice::Ask(engine, steward) => {
                let step = SchedulerStep::Ask {
                    request: item.request,
                    rank: item.rank,
                    engine,
                    steward,
                };
                let since = now;
                self.asks.insert(
                    item.request,
                    PendingAsk {
                        item,
                        engine,
                        since,
                        tried,
                    },
                );
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
    fn next_choice(&mut self, now: MonoTime, request: RequestKey) -> Vec<SchedulerStep> {
        let Some(mut ask) = self.asks.remove(&request) else {
            return Vec::new();
        };
        ask.tried.push(ask.engine);
        let choice = self.choose(now, &ask.item, &ask.tried);
        self.pursue(now, ask.item, choice, ask.tried)
            .into_iter()
            .collect()
    }

    fn choose(&self, now: MonoTime, item: &WorkItem, tried: &[EngineKey]) -> SlotChoice {
        let Some(pool) = self.pools.get(&item.model) else {
            return SlotChoice::Nothing;
        };
        let mut order = rendezvous_order(item.chat.0, pool.choices());
        if let Some(avoid) = item.avoid {
            order.sort_by_key(|&engine| engine == avoid);
        }
        let untried = order.into_iter().filter(|engine| !tried.contains(engine));
        for engine in untried {
            let steward = self.steward_of(engine);
            let paused = self.denied.get(&engine).is_some_and(|&until| now < until);
            if paused || !self.has_room(engine, item.rank) {
                continue;
            }
            if steward == self.own {
                return SlotChoice::Take(engine);
            }
            return SlotChoice::Ask(engine, steward);
        }
        SlotChoice::Nothing
    }

    fn has_room(&self, engine: EngineKey, rank: WorkRank) -> bool {
        let Some(pool) = self
            .pool_of
            .get(&engine)
            .and_then(|model| self.pools.get(model))
        else {
            return false;
        };
        let Some(member) = pool.open_engine(engine) else {
            return false;
        };
        let load = self.steward.load(engine);
        if load >= member.usable_slots(rank, self.rules.headroom) {
            return false;
        }
        let total = pool
            .open_engines()
            .map(|member| self.steward.load(member.key))
            .sum();
        load < self.bound.limit(total, pool.capacity_share(member))
    }

    /// Whether the request fits into this router's own share of the bound.
    fn fits_alone(&self, engine: EngineKey, rank: WorkRank) -> bool {
        let Some(pool) = self
            .pool_of
            .get(&engine)
            .and_then(|model| self.pools.get(model))
        else {
            return false;
        };
        let Some(member) = pool.open_engine(engine) else {
            return false;
        };
        let own = |key| self.steward.load_of(key, self.own);
        let total = pool.open_engines().map(|member| own(member.key)).sum();
        let limit = self
            .bound
            .isolated_limit(total, pool.capacity_share(member));
        let slots = member.usable_slots(rank, self.rules.headroom);
        own(engine) < limit && self.steward.load(engine) < slots
    }

    fn run(
        &mut self,
        now: MonoTime,
        item: WorkItem,
        engine: EngineKey,
        granted_by: Option<VmKey>,
    ) -> SchedulerStep {
        self.steward.take(now, engine, self.own);
        let running = RunningItem {
            engine,
            model: item.model,
            rank: item.rank,
            granted_by,
        };
        self.running.insert(item.request, running);
        SchedulerStep::Run { item, engine }
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
                now.since(item.accepted) > rules.ranks.of(item.rank).max_wait.0
            });
            steps.extend(late.into_iter().map(|item| SchedulerStep::Refuse {
                item,
                refusal: refusal(RefusalReason::Deadline, MIN_RETRY_AFTER),
            }));
        }
    }

    /// Stops waiting for stewards that do not answer.
    fn give_up_asks(&mut self, now: MonoTime, steps: &mut Vec<SchedulerStep>) {
        self.denied.retain(|_, until| now < *until);
        let late: Vec<RequestKey> = self
            .asks
            .iter()
            .filter(|(_, ask)| now.since(ask.since) >= ASK_TIMEOUT)
            .map(|(&request, _)| request)
            .collect();
        for request in late {
            let Some(ask) = self.asks.get(&request) else {
                continue;
            };
            let (engine, rank) = (ask.engine, ask.item.rank);
            if self.fits_alone(engine, rank) {
                let Some(ask) = self.asks.remove(&request) else {
                    continue;
                };
                steps.push(self.run(now, ask.item, engine, None));
            } else {
                self.denied.insert(engine, now + ASK_TIMEOUT);
                steps.extend(self.next_choice(now, request));
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
