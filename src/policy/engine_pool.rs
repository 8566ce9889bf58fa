//! The engines of one model and the requests that wait for a slot on them.

use std::time::Duration;

use crate::ids::{AccountKey, EngineKey, ModelKey, RequestKey};
use crate::mono::MonoTime;
use crate::policy::fair_queue::FairQueue;
use crate::policy::placement::WeightedChoice;
use crate::policy::rank_shares::RankCounts;
use crate::policy::recent_accounts::RecentAccounts;
use crate::policy::service_time::ServiceTimeEstimator;
use crate::policy::work_item::WorkItem;
use crate::rules::WorkRank;
use crate::units::ShareRatio;

/// Smallest number of slots at which an engine reserves headroom.
const MIN_HEADROOM_SLOTS: u32 = 4;

/// Time constant of the exponential decay of a rank's demand.
const DEMAND_DECAY_TIME: Duration = Duration::from_secs(10);

/// Fraction of a queue's capacity up to which requests of any account are admitted.
const SHORT_QUEUE_FRACTION: f64 = 0.4;

/// An engine as the scheduler sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolEngine {
    pub key: EngineKey,
    pub model: ModelKey,
    /// Number of requests that the engine batches at once.
    pub slots: u32,
    /// Whether the engine accepts new requests.
    pub open: bool,
}

impl PoolEngine {
    /// Returns the number of slots that are reserved for requests of the quick rank.
    pub fn headroom_slots(&self, headroom: ShareRatio) -> u32 {
        if self.slots < MIN_HEADROOM_SLOTS {
            return 0;
        }
        (f64::from(self.slots) * headroom.get()).ceil() as u32
    }
}

/// Engines, request queues and counters of one model.
#[derive(Debug, Default)]
pub struct EnginePool {
    engines: Vec<PoolEngine>,
    /// Open engines, weighted by their slots.
    choices: Vec<WeightedChoice<EngineKey>>,
    queues: [FairQueue<WorkItem>; WorkRank::ALL.len()],
    /// Preempted requests, oldest first. Each waits for the engine that it ran on.
    preempted: Vec<WorkItem>,
    service_times: [ServiceTimeEstimator; WorkRank::ALL.len()],
    /// Peak demand of each rank in slots, decaying over [`DEMAND_DECAY_TIME`].
    recent_demand: [f64; WorkRank::ALL.len()],
    demand_updated: MonoTime,
    accounts: RecentAccounts,
    /// Slots that this router uses or has requested, by rank.
    pub held: RankCounts,
    /// Requests that run from this router.
    pub running: u32,
    /// The value of `running` that was last sent to the other routers.
    pub announced: u32,
    /// When `announced` was sent.
    pub announced_at: MonoTime,
}

impl EnginePool {
    /// Removes all engines. The queues stay.
    pub fn clear_engines(&mut self) {
        self.engines.clear();
        self.choices.clear();
    }

    pub fn add_engine(&mut self, engine: PoolEngine) {
        self.engines.push(engine);
        if engine.open {
            self.choices.push(WeightedChoice {
                key: engine.key,
                weight: f64::from(engine.slots),
            });
        }
    }

    /// Returns the open engines as candidates for rendezvous hashing, weighted by their slots.
    pub fn choices(&self) -> &[WeightedChoice<EngineKey>] {
        &self.choices
    }

    /// Returns the engines that accept new requests.
    pub fn open_engines(&self) -> impl Iterator<Item = &PoolEngine> {
        self.engines.iter().filter(|engine| engine.open)
    }

    pub fn has_open_engine(&self) -> bool {
        !self.choices.is_empty()
    }

    /// Returns the engine `key`, or `None` if it is unknown or accepts no new requests.
    pub fn open_engine(&self, key: EngineKey) -> Option<&PoolEngine> {
        self.open_engines().find(|engine| engine.key == key)
    }

    /// Returns the slots of `engine` as a share of the slots of all open engines.
    pub fn capacity_share(&self, engine: &PoolEngine) -> f64 {
        f64::from(engine.slots) / f64::from(self.open_slots().max(1))
    }

    /// Estimates how long a new request waits when `slots` slots serve the queue of its rank.
    pub fn queue_time(&self, item: &WorkItem, slots: f64) -> Duration {
        let ahead = self.queues[item.rank.index()].len();
        self.service_times[item.rank.index()].time_to_serve(ahead, item.cost, slots)
    }

    /// Records a request of the account and returns whether its rank's queue has room for it.
    ///
    /// The capacity of a queue is the number of requests that `slots` slots serve within `limit`.
    /// A short queue admits requests of any account. Beyond that, each account with recent
    /// requests may fill its share of the capacity by weight, so that a small account finds room
    /// in a queue that a large one would fill.
    pub fn has_queue_room(&mut self, item: &WorkItem, slots: f64, limit: Duration) -> bool {
        let index = item.rank.index();
        let time_per_request = self.service_times[index].time_to_serve(1, item.cost, slots);
        let capacity = limit.as_secs_f64() / time_per_request.as_secs_f64().max(1e-9);
        let share = self
            .accounts
            .record_request(item.accepted, item.account, item.weight);
        let queue = &self.queues[index];
        let account_len = (queue.account_len(item.account) + 1) as f64;
        (queue.len() as f64) < capacity * SHORT_QUEUE_FRACTION
            || account_len <= (capacity * share).max(1.0)
    }

    /// Updates the decaying peak demand of each rank with its current demand.
    pub fn update_demand(&mut self, now: MonoTime) {
        let decay =
            (-now.since(self.demand_updated).as_secs_f64() / DEMAND_DECAY_TIME.as_secs_f64()).exp();
        self.demand_updated = now;
        let waiting = self.waiting();
        for (index, peak) in self.recent_demand.iter_mut().enumerate() {
            let demand = f64::from(self.held[index] + waiting[index]);
            *peak = (*peak * decay).max(demand);
        }
    }

    /// Returns the decaying peak demand of each rank, in slots.
    pub fn recent_demand(&self) -> [f64; WorkRank::ALL.len()] {
        self.recent_demand
    }

    /// Records how long a request occupied its slots in total.
    pub fn record_service_time(&mut self, rank: WorkRank, held: Duration) {
        self.service_times[rank.index()].record(held);
    }

    /// Returns the number of slots of all open engines.
    pub fn open_slots(&self) -> u32 {
        self.open_engines().map(|engine| engine.slots).sum()
    }

    /// Adds a request to the queue of its rank.
    pub fn push(&mut self, item: WorkItem) {
        let queue = &mut self.queues[item.rank.index()];
        queue.push(item.account, item.weight, item.cost, item);
    }

    /// Puts a request back ahead of the other requests of its account.
    pub fn push_front(&mut self, item: WorkItem) {
        let queue = &mut self.queues[item.rank.index()];
        queue.push_front(item.account, item.weight, item.cost, item);
    }

    /// Returns the next request of `rank` without removing it.
    pub fn peek(&self, rank: WorkRank) -> Option<&WorkItem> {
        self.queues[rank.index()].peek()
    }

    /// Removes and returns the next request of `rank`.
    pub fn pop(&mut self, rank: WorkRank) -> Option<WorkItem> {
        self.queues[rank.index()].pop()
    }

    /// Stores a preempted request until its engine has a free slot for it.
    pub fn push_preempted(&mut self, item: WorkItem) {
        self.preempted.push(item);
    }

    /// Returns the preempted requests, oldest first.
    pub fn preempted(&self) -> &[WorkItem] {
        &self.preempted
    }

    /// Removes and returns the preempted request at `position` in [`Self::preempted`].
    pub fn take_preempted(&mut self, position: usize) -> WorkItem {
        self.preempted.remove(position)
    }

    /// Removes and returns the queued requests that match `predicate`. Preempted requests stay.
    pub fn remove_where(&mut self, mut predicate: impl FnMut(&WorkItem) -> bool) -> Vec<WorkItem> {
        let queues = self.queues.iter_mut();
        queues
            .flat_map(|queue| queue.drain_where(&mut predicate))
            .collect()
    }

    /// Removes a preempted request.
    pub fn remove_preempted(&mut self, request: RequestKey) {
        self.preempted.retain(|item| item.request != request);
    }

    /// Counts the queued and the preempted requests by rank.
    pub fn waiting(&self) -> RankCounts {
        let mut counts: RankCounts = std::array::from_fn(|index| self.queues[index].len() as u32);
        for item in &self.preempted {
            counts[item.rank.index()] += 1;
        }
        counts
    }

    /// Counts the queued requests of `account`.
    pub fn waiting_of(&self, account: AccountKey) -> usize {
        self.queues
            .iter()
            .map(|queue| queue.account_len(account))
            .sum()
    }
}
