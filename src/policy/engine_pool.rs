//! The engines of one model and the requests that wait for them.

use std::time::Duration;

use crate::ids::{AccountKey, EngineKey, ModelKey, RequestKey};
use crate::mono::MonoTime;
use crate::policy::fair_queue::FairQueue;
use crate::policy::placement::WeightedChoice;
use crate::policy::rank_shares::RankCounts;
use crate::policy::recent_accounts::RecentAccounts;
use crate::policy::service_time::ServiceMeter;
use crate::policy::work_item::WorkItem;
use crate::rules::WorkRank;
use crate::units::ShareRatio;

/// Engines of fewer slots keep no headroom.
const MIN_HEADROOM_SLOTS: u32 = 4;

/// Time over which a rank's demand fades.
const DEMAND_MEMORY: Duration = Duration::from_secs(10);

/// Part of a queue's room that any account may fill.
const SHORT_QUEUE: f64 = 0.4;

/// An engine as the scheduler sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolEngine {
    /// Who it is.
    pub key: EngineKey,
    /// The model it serves.
    pub model: ModelKey,
    /// Requests it batches at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub open: bool,
}

impl PoolEngine {
    /// Slots that are kept for quick questions.
    pub fn headroom_slots(&self, headroom: ShareRatio) -> u32 {
        if self.slots < MIN_HEADROOM_SLOTS {
            return 0;
        }
        (f64::from(self.slots) * headroom.get()).ceil() as u32
    }
}

/// Engines, queues and counts of one model.
#[derive(Debug, Default)]
pub struct EnginePool {
    engines: Vec<PoolEngine>,
    /// Open engines with their slots as weights.
    choices: Vec<WeightedChoice<EngineKey>>,
    queues: [FairQueue<WorkItem>; WorkRank::ALL.len()],
    /// Begun requests that gave their slots up, oldest first; each waits for its own engine.
    paused: Vec<WorkItem>,
    meters: [ServiceMeter; WorkRank::ALL.len()],
    /// The most slots that each rank asked for lately, fading.
    recent_demand: [f64; WorkRank::ALL.len()],
    demand_at: MonoTime,
    accounts: RecentAccounts,
    /// Slots that this router holds or asks for, by rank.
    pub held: RankCounts,
    /// Requests that this router runs.
    pub running: u32,
    /// What the others were last told of that.
    pub announced: u32,
    /// When they were told.
    pub announced_at: MonoTime,
}

impl EnginePool {
    /// Forgets the engines and keeps the queues.
    pub fn clear_engines(&mut self) {
        self.engines.clear();
        self.choices.clear();
    }

    /// Adds an engine.
    pub fn add_engine(&mut self, engine: PoolEngine) {
        self.engines.push(engine);
        if engine.open {
            self.choices.push(WeightedChoice {
                key: engine.key,
                weight: f64::from(engine.slots),
            });
        }
    }

    /// Open engines with their weights.
    pub fn choices(&self) -> &[WeightedChoice<EngineKey>] {
        &self.choices
    }

    /// Engines that take new work.
    pub fn open_engines(&self) -> impl Iterator<Item = &PoolEngine> {
        self.engines.iter().filter(|engine| engine.open)
    }

    /// Whether any engine takes new work.
    pub fn has_open_engine(&self) -> bool {
        !self.choices.is_empty()
    }

    /// The engine `key`, if it takes new work.
    pub fn open_engine(&self, key: EngineKey) -> Option<&PoolEngine> {
        self.open_engines().find(|engine| engine.key == key)
    }

    /// The share of the open slots that `engine` has.
    pub fn capacity_share(&self, engine: &PoolEngine) -> f64 {
        f64::from(engine.slots) / f64::from(self.open_slots().max(1))
    }

    /// How long the last request of a queue waits when its rank gets `slots` slots.
    pub fn queue_time(&self, item: &WorkItem, slots: f64) -> Duration {
        let ahead = self.queues[item.rank.index()].len();
        self.meters[item.rank.index()].time_for(ahead, item.cost, slots)
    }

    /// Whether a queue that `slots` slots serve has room for one more request of this account.
    ///
    /// A short queue takes any account's. Beyond that, each account that asked lately may fill its
    /// part of what is served within `limit`, so that a small account finds room in a queue that a
    /// large one would fill.
    pub fn has_queue_room(&mut self, item: &WorkItem, slots: f64, limit: Duration) -> bool {
        let index = item.rank.index();
        let one = self.meters[index].time_for(1, item.cost, slots);
        let room = limit.as_secs_f64() / one.as_secs_f64().max(1e-9);
        let part = self
            .accounts
            .part_of(item.accepted, item.account, item.weight);
        let queue = &self.queues[index];
        let own = (queue.account_len(item.account) + 1) as f64;
        (queue.len() as f64) < room * SHORT_QUEUE || own <= (room * part).max(1.0)
    }

    /// Notes how many slots each rank asks for now.
    pub fn update_demand(&mut self, now: MonoTime) {
        let decay = (-now.since(self.demand_at).as_secs_f64() / DEMAND_MEMORY.as_secs_f64()).exp();
        self.demand_at = now;
        let waiting = self.waiting();
        for (index, recent) in self.recent.iter_mut().enumerate() {
            let asked = f64::from(self.held[index] + waiting[index]);
            *recent = (*recent * decay).max(asked);
        }
    }

    /// The most slots that each rank asked for lately.
    pub fn recent_demand(&self) -> [f64; WorkRank::ALL.len()] {
        self.recent
    }

    /// Counts how long a request held its slot.
    pub fn record_service_time(&mut self, rank: WorkRank, held: Duration) {
        self.meters[rank.index()].note(held);
    }

    /// Slots of all open engines.
    pub fn open_slots(&self) -> u32 {
        self.open_engines().map(|engine| engine.slots).sum()
    }

    /// Adds a request to its queue.
    pub fn push(&mut self, item: WorkItem) {
        let queue = &mut self.queues[item.rank.index()];
        queue.push(item.account, item.weight, item.cost, item);
    }

    /// Puts a request back at the head of its account's line.
    pub fn push_front(&mut self, item: WorkItem) {
        let queue = &mut self.queues[item.rank.index()];
        queue.push_front(item.account, item.weight, item.cost, item);
    }

    /// The next request of `rank`.
    pub fn peek(&self, rank: WorkRank) -> Option<&WorkItem> {
        self.queues[rank.index()].peek()
    }

    /// Takes the next request of `rank`.
    pub fn pop(&mut self, rank: WorkRank) -> Option<WorkItem> {
        self.queues[rank.index()].pop()
    }

    /// Keeps a begun request until its engine has a slot for it again.
    pub fn pause(&mut self, item: WorkItem) {
        self.paused.push(item);
    }

    /// Begun requests that wait for their engines, oldest first.
    pub fn paused(&self) -> &[WorkItem] {
        &self.paused
    }

    /// Takes a begun request by its position.
    pub fn take_paused(&mut self, position: usize) -> WorkItem {
        self.paused.remove(position)
    }

    /// Takes every request from the queues that `unwanted` names; begun ones stay.
    pub fn remove_where(&mut self, mut unwanted: impl FnMut(&WorkItem) -> bool) -> Vec<WorkItem> {
        let queues = self.queues.iter_mut();
        queues
            .flat_map(|queue| queue.drain_where(&mut unwanted))
            .collect()
    }

    /// Forgets a begun request that waits.
    pub fn remove_paused(&mut self, request: RequestKey) {
        self.paused.retain(|item| item.request != request);
    }

    /// Requests in the queues and begun ones that wait, by rank.
    pub fn waiting(&self) -> RankCounts {
        let mut counts: RankCounts = std::array::from_fn(|index| self.queues[index].len() as u32);
        for item in &self.paused {
            counts[item.rank.index()] += 1;
        }
        counts
    }

    /// Requests of `account` that wait.
    pub fn waiting_of(&self, account: AccountKey) -> usize {
        self.queues
            .iter()
            .map(|queue| queue.account_len(account))
            .sum()
    }
}
