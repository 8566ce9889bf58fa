//! Queues requests at the router and assigns each to an engine once a slot is free.
//!
//! Each engine has one router as its slot owner, which grants every slot on it. A router grants
//! itself the slots of the engines that it owns and requests the others from their slot owners.
//! When a slot owner does not respond in time, the router falls back to its own share of the load
//! bound, which needs no message.

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
use crate::policy::slot_counts::{EngineLoad, SlotCounts, SlotKind, SlotResponse};
use crate::policy::slot_owner_map::SlotOwnerMap;
use crate::policy::slot_requests::{DENIAL_BACKOFF, PendingSlotRequests, SLOT_REQUEST_TIMEOUT};
use crate::policy::slot_waiters::{SlotWaiter, SlotWaiters};
use crate::policy::work_item::WorkItem;
use crate::rules::RuleBook;

pub use crate::policy::engine_pool::PoolEngine;
pub use scheduler_step::SchedulerStep;

/// Request key of a slot request that is made for any waiting request of the router.
pub const ANY_REQUEST: RequestKey = RequestKey(0);

/// Interval between two removals of requests that waited past their deadline.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Lower bound of the retry hint in a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests that a router runs on one granted slot before it releases the slot to its owner.
const MAX_SLOT_USES: u32 = 4;

/// Smallest change in running requests that is announced, relative to the last announced number.
const ANNOUNCE_MIN_CHANGE_RATIO: f64 = 0.25;

/// Smallest change in running requests that is announced, as an absolute number.
const ANNOUNCE_MIN_CHANGE: f64 = 2.0;

/// Shortest time between two announcements of a model's running requests.
const ANNOUNCE_MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Number of times that one request may be preempted.
const MAX_PREEMPTIONS: u8 = 10;

/// Ratio of occupied slots to owned slots below which a router queues at other slot owners.
const STARVED_RATIO: f64 = 0.5;

/// Part of a rank's maximum wait that the estimated wait in its queue may reach.
const QUEUE_WAIT_RATIO: f64 = 0.7;

/// Key of the number of requests that one router runs on the engines of one model.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RouterModel {
    router: VmKey,
    model: ModelKey,
}

/// A slot that this router occupies.
#[derive(Clone, Copy, Debug)]
struct HeldSlot {
    engine: EngineKey,
    kind: SlotKind,
    /// The slot owner that granted it; `None` if this router took it without a grant.
    granted_by: Option<VmKey>,
    /// Requests that ran on it, the current one included.
    uses: u32,
}

#[derive(Clone, Debug)]
struct RunningItem {
    item: WorkItem,
    slot: HeldSlot,
    since: MonoTime,
    /// Whether a [`SchedulerStep::Preempt`] was issued for it.
    preempting: bool,
}

#[derive(Clone, Copy, Debug)]
enum SlotChoice {
    Take(EngineKey, SlotKind),
    Request(EngineKey, VmKey),
    Unavailable,
}

/// The queues and slots of one router.
///
/// It does no input or output: its methods return the [`SchedulerStep`]s that the caller performs.
#[derive(Debug)]
pub struct RequestScheduler {
    own_vm: VmKey,
    rules: Arc<RuleBook>,
    bound: LoadBound,
    pools: BTreeMap<ModelKey, EnginePool>,
    model_of: BTreeMap<EngineKey, ModelKey>,
    slot_counts: SlotCounts,
    slot_owners: SlotOwnerMap,
    /// Requests in progress that the other routers last reported.
    remote_running: BTreeMap<RouterModel, u32>,
    /// Routers with waiting requests of their own. They are likely to deny slots.
    backlogged: BTreeSet<VmKey>,
    /// Reachable routers, this one included, in ascending order.
    routers: Vec<VmKey>,
    slot_requests: PendingSlotRequests,
    waiters: SlotWaiters,
    running: BTreeMap<RequestKey, RunningItem>,
    next_expiry: MonoTime,
}

impl RequestScheduler {
    /// Creates a scheduler without engines for the router on `own_vm`.
    pub fn new(own_vm: VmKey, rules: Arc<RuleBook>) -> Self {
        Self {
            own_vm,
            bound: LoadBound::new(rules.load_multiple),
            rules,
            pools: BTreeMap::new(),
            model_of: BTreeMap::new(),
            slot_counts: SlotCounts::default(),
            slot_owners: SlotOwnerMap::default(),
            remote_running: BTreeMap::new(),
            backlogged: BTreeSet::new(),
            routers: vec![own_vm],
            slot_requests: PendingSlotRequests::default(),
            waiters: SlotWaiters::default(),
            running: BTreeMap::new(),
            next_expiry: MonoTime::default(),
        }
    }

    /// Replaces the rules; queued and running requests stay.
    pub fn set_rules(&mut self, rules: Arc<RuleBook>) {
        self.bound = LoadBound::new(rules.load_multiple);
        self.rules = rules;
    }

    /// Replaces the engines of all models; queued requests stay.
    pub fn set_engines(&mut self, engines: &[PoolEngine]) {
        self.model_of = engines
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
        self.assign_slot_owners();
    }

    /// Replaces the list of other reachable routers; slots of removed routers become free.
    pub fn set_routers(&mut self, others: &[VmKey]) {
        let removed: Vec<VmKey> = self
            .routers
            .iter()
            .copied()
            .filter(|router| *router != self.own_vm && !others.contains(router))
            .collect();
        for router in removed {
            self.slot_counts.remove_router(router);
            self.remote_running.retain(|key, _| key.router != router);
            self.backlogged.remove(&router);
        }
        let mut routers = others.to_vec();
        routers.push(self.own_vm);
        routers.sort_unstable();
        if routers != self.routers {
            self.waiters.retain_routers(&routers);
            self.routers = routers;
            self.assign_slot_owners();
        }
    }

    /// Returns the router that grants slots on `engine`.
    pub fn slot_owner_of(&self, engine: EngineKey) -> VmKey {
        self.slot_owners
            .slot_owner_of(engine)
            .unwrap_or(self.own_vm)
    }

    fn assign_slot_owners(&mut self) {
        self.slot_owners = SlotOwnerMap::new(self.model_of.keys().copied(), &self.routers);
    }

    /// Queues a request or refuses it at once.
    ///
    /// The queue of a rank accepts what the rank's slots are expected to serve in time. These are
    /// the rank's floor of this router's slots, or the slots that it occupies up to its share,
    /// whichever is more. While this router has more free slots than waiting requests, it accepts
    /// every request.
    pub fn offer(&mut self, item: WorkItem) -> Result<(), WorkRefusal> {
        let rule = self.rules.ranks.of(item.rank);
        let max_wait = rule.max_wait.0;
        let own_slots = self.own_slots(item.model);
        let own_free_slots = self.own_free_slots(item.model);
        let Some(pool) = self.pools.get_mut(&item.model) else {
            return Err(refusal(RefusalReason::Unknown, MIN_RETRY_AFTER));
        };
        if !pool.has_open_engine() {
            return Err(refusal(RefusalReason::NoUpstream, MIN_RETRY_AFTER));
        }
        let slots = f64::from(own_slots);
        let held = f64::from(pool.held[item.rank.index()]).min(slots * rule.share.get());
        let slots = (slots * rule.floor.get()).max(held).max(1.0);
        let has_room = pool.has_queue_room(&item, slots, max_wait.mul_f64(QUEUE_WAIT_RATIO));
        if !has_room && pool.waiting().iter().sum::<u32>() >= own_free_slots {
            let wait = pool.queue_time(&item, slots);
            let hint = wait.saturating_sub(max_wait / 2).min(max_wait * 2);
            let hint = hint.max(MIN_RETRY_AFTER);
            return Err(refusal(RefusalReason::Overload, hint));
        }
        pool.push(item);
        Ok(())
    }

    /// Assigns as many waiting requests as there are slots, and handles expired requests and slot
    /// requests.
    pub fn poll(&mut self, now: MonoTime) -> Vec<SchedulerStep> {
        let mut steps = Vec::new();
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.expire_waiting(now, &mut steps);
            self.slot_requests.remove_expired(now, &self.routers);
        }
        self.expire_slot_requests(now, &mut steps);
        self.grant_to_waiters(now, &mut steps);
        let models: Vec<ModelKey> = self.pools.keys().copied().collect();
        for model in models {
            self.poll_pool(now, model, &mut steps);
            self.announce(now, model, &mut steps);
        }
        steps
    }

    /// Handles a slot owner's response to a slot request of this router.
    pub fn handle_slot_response(
        &mut self,
        now: MonoTime,
        request: RequestKey,
        engine: EngineKey,
        response: SlotResponse,
    ) -> Vec<SchedulerStep> {
        if request == ANY_REQUEST {
            self.slot_requests.complete_queued(engine);
        }
        let pending = self.slot_requests.take(request, engine);
        match response {
            SlotResponse::Granted(kind) => {
                let slot = HeldSlot {
                    engine,
                    kind,
                    granted_by: Some(self.slot_owner_of(engine)),
                    uses: 0,
                };
                match pending {
                    Some(pending) => vec![self.run(now, pending.item, slot)],
                    // The slot was requested for any waiting request, or the response came after
                    // its request was cancelled or the slot request expired.
                    None => self.reuse_or_release(now, slot).into_iter().collect(),
                }
            }
            SlotResponse::Full => {
                self.slot_requests.deny(engine, now + DENIAL_BACKOFF);
                let next = pending.and_then(|pending| self.retry_elsewhere(now, pending));
                next.into_iter().collect()
            }
        }
    }

    /// Handles another router's request for a slot of an engine that this router owns.
    ///
    /// Returns `None` if no slot is free and `wait` is set: the router is queued and gets a
    /// [`SchedulerStep::Grant`] later.
    pub fn handle_slot_request(
        &mut self,
        now: MonoTime,
        engine: EngineKey,
        waiter: SlotWaiter,
        wait: bool,
    ) -> Option<SlotResponse> {
        let is_free =
            self.waiters.first(engine).is_none() && !self.has_waiting_work(engine, waiter.rank);
        if let Some(kind) = self.available_slot(engine, waiter.rank).filter(|_| is_free) {
            self.slot_counts.take(now, engine, waiter.router, kind);
            return Some(SlotResponse::Granted(kind));
        }
        if wait {
            self.waiters.push(engine, waiter);
            return None;
        }
        Some(SlotResponse::Full)
    }

    /// Counts the requests that wait at this router.
    pub fn waiting_total(&self) -> u32 {
        self.waiting().iter().sum()
    }

    /// Records how many requests wait at another router.
    pub fn set_remote_waiting(&mut self, router: VmKey, waiting: u32) {
        if waiting > 0 {
            self.backlogged.insert(router);
        } else {
            self.backlogged.remove(&router);
        }
    }

    /// Frees a slot of an engine that this router owns, which `router` has released.
    pub fn handle_slot_release(
        &mut self,
        now: MonoTime,
        router: VmKey,
        engine: EngineKey,
        kind: SlotKind,
    ) {
        self.slot_counts.release(now, engine, router, kind);
    }

    /// Frees the slot of a [`SchedulerStep::Grant`] that could not be sent to `router`.
    pub fn grant_failed(&mut self, now: MonoTime, router: VmKey, step: &SchedulerStep) {
        if let SchedulerStep::Grant { engine, kind, .. } = step {
            self.slot_counts.release(now, *engine, router, *kind);
        }
    }

    /// Applies the numbers of running requests that another router reports for itself.
    pub fn apply_load_report(&mut self, now: MonoTime, router: VmKey, loads: &[EngineLoad]) {
        self.slot_counts.apply_report(now, router, loads);
        let models: Vec<ModelKey> = self.pools.keys().copied().collect();
        for model in models {
            let of_model = loads
                .iter()
                .filter(|load| self.model_of.get(&load.engine) == Some(&model));
            let running = of_model.map(|load| load.running).sum();
            self.set_remote_running(router, model, running);
        }
    }

    /// Records how many requests another router runs on the engines of `model`.
    pub fn set_remote_running(&mut self, router: VmKey, model: ModelKey, running: u32) {
        self.remote_running
            .insert(RouterModel { router, model }, running);
    }

    /// Records how many requests another router runs on all engines of `engine`'s model.
    pub fn set_remote_running_by_engine(&mut self, router: VmKey, engine: EngineKey, running: u32) {
        if let Some(&model) = self.model_of.get(&engine) {
            self.set_remote_running(router, model, running);
        }
    }

    /// Counts the requests that this router runs on all engines of `engine`'s model.
    pub fn own_running(&self, engine: EngineKey) -> u32 {
        let pool = self
            .model_of
            .get(&engine)
            .and_then(|model| self.pools.get(model));
        pool.map_or(0, |pool| pool.running)
    }

    /// Ends a request. Its slot serves the next request or is released to its owner.
    pub fn finish(&mut self, now: MonoTime, request: RequestKey) -> Option<SchedulerStep> {
        let ended = self.running.remove(&request)?;
        self.release_running(now, &ended);
        if let Some(pool) = self.pools.get_mut(&ended.item.model) {
            pool.record_service_time(ended.item.rank, ended.item.served + now.since(ended.since));
        }
        self.reuse_or_release(now, ended.slot)
    }

    /// Requeues a preempted request; it resumes on the same engine later.
    pub fn preempted(&mut self, now: MonoTime, request: RequestKey) -> Option<SchedulerStep> {
        let stopped = self.running.remove(&request)?;
        self.release_running(now, &stopped);
        let mut item = stopped.item;
        item.pinned = Some(stopped.slot.engine);
        item.preemptions += 1;
        item.served += now.since(stopped.since);
        if let Some(pool) = self.pools.get_mut(&item.model) {
            pool.push_preempted(item);
        }
        self.reuse_or_release(now, stopped.slot)
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, request: RequestKey) {
        if let Some(pending) = self.slot_requests.cancel(request) {
            self.decrement_held(&pending.item);
        }
        for pool in self.pools.values_mut() {
            pool.remove_where(|item| item.request == request);
            pool.remove_preempted(request);
        }
    }

    /// Refuses every waiting request of a router that stops, except preempted ones.
    pub fn refuse_waiting(&mut self, reason: RefusalReason) -> Vec<SchedulerStep> {
        let pending: Vec<WorkItem> = self
            .slot_requests
            .drain()
            .into_iter()
            .map(|pending| pending.item)
            .collect();
        for item in &pending {
            self.decrement_held(item);
        }
        let queued = self
            .pools
            .values_mut()
            .flat_map(|pool| pool.remove_where(|_| true));
        queued
            .chain(pending)
            .map(|item| SchedulerStep::Refuse {
                item,
                refusal: refusal(reason, MIN_RETRY_AFTER),
            })
            .collect()
    }

    /// Returns the numbers of requests that this router runs, by engine.
    pub fn own_loads(&self) -> Vec<EngineLoad> {
        let engines = self.model_of.keys().copied();
        engines
            .map(|engine| self.slot_counts.load_of(engine, self.own_vm))
            .filter(|load| load.running > 0)
            .collect()
    }

    /// Counts the requests in progress on `engine` from all routers, as last reported.
    pub fn load(&self, engine: EngineKey) -> u32 {
        self.slot_counts.load(engine)
    }

    /// Counts the requests that this router runs.
    pub fn running_len(&self) -> usize {
        self.running.len()
    }

    /// Counts the waiting requests of all models by rank.
    pub fn waiting(&self) -> RankCounts {
        let mut sum = RankCounts::default();
        for pool in self.pools.values() {
            for (total, waiting) in sum.iter_mut().zip(pool.waiting()) {
                *total += waiting;
            }
        }
        sum
    }

    /// Counts the waiting requests of `account` over all models and ranks.
    pub fn waiting_of(&self, account: AccountKey) -> usize {
        self.pools
            .values()
            .map(|pool| pool.waiting_of(account))
            .sum()
    }

    /// Returns the open engines for a chat in order of preference.
    pub fn preference(&self, model: ModelKey, chat: ChatKey) -> Vec<EngineKey> {
        self.pools
            .get(&model)
            .map_or_else(Vec::new, |pool| rendezvous_order(chat.0, pool.choices()))
    }

    /// Announces this router's running requests once the number has changed enough.
    fn announce(&mut self, now: MonoTime, model: ModelKey, steps: &mut Vec<SchedulerStep>) {
        let Some(pool) = self.pools.get_mut(&model) else {
            return;
        };
        let min_change =
            (f64::from(pool.announced) * ANNOUNCE_MIN_CHANGE_RATIO).max(ANNOUNCE_MIN_CHANGE);
        let change = f64::from(pool.running.abs_diff(pool.announced));
        if change >= min_change && now.since(pool.announced_at) >= ANNOUNCE_MIN_INTERVAL {
            pool.announced = pool.running;
            pool.announced_at = now;
            let running = pool.running;
            steps.push(SchedulerStep::Announce { model, running });
        }
    }

    fn expire_waiting(&mut self, now: MonoTime, steps: &mut Vec<SchedulerStep>) {
        let rules = Arc::clone(&self.rules);
        for pool in self.pools.values_mut() {
            let expired = pool.remove_where(|item| {
                now.since(item.accepted) > rules.ranks.of(item.rank).deadline.0
            });
            steps.extend(expired.into_iter().map(|item| SchedulerStep::Refuse {
                item,
                refusal: refusal(RefusalReason::Deadline, MIN_RETRY_AFTER),
            }));
        }
    }

    /// Handles slot requests that got no response in time: takes a slot within this router's own
    /// share of the load bound, or tries the next engine.
    fn expire_slot_requests(&mut self, now: MonoTime, steps: &mut Vec<SchedulerStep>) {
        for pending in self.slot_requests.take_expired(now) {
            let engine = pending.engine;
            if let Some(kind) = self.isolated_slot(engine, pending.item.rank) {
                let slot = HeldSlot {
                    engine,
                    kind,
                    granted_by: None,
                    uses: 0,
                };
                steps.push(self.run(now, pending.item, slot));
            } else {
                self.slot_requests.deny(engine, now + SLOT_REQUEST_TIMEOUT);
                steps.extend(self.retry_elsewhere(now, pending));
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
