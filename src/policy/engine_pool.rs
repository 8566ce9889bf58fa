//! The engines of one model and the requests that wait for them.

use std::time::Duration;

use crate::ids::{AccountKey, EngineKey, ModelKey};
use crate::mono::MonoTime;
use crate::policy::fair_queue::FairQueue;
use crate::policy::placement::WeightedChoice;
use crate::policy::rank_shares::RankCounts;
use crate::policy::rate_meter::RateMeter;
use crate::policy::work_item::WorkItem;
use crate::rules::WorkRank;
use crate::units::ShareRatio;

/// Engines of fewer slots keep no headroom.
const MIN_HEADROOM_SLOTS: u32 = 4;

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
    /// Slots that `rank` may use; the headroom is for quick questions.
    pub fn usable_slots(&self, rank: WorkRank, headroom: ShareRatio) -> u32 {
        if rank == WorkRank::Quick || self.slots < MIN_HEADROOM_SLOTS {
            return self.slots;
        }
        let kept = (f64::from(self.slots) * headroom.get()).ceil() as u32;
        self.slots.saturating_sub(kept).max(1)
    }
}

/// Engines, queues and counts of one model.
#[derive(Debug, Default)]
pub struct EnginePool {
    engines: Vec<PoolEngine>,
    /// Open engines with their slots as weights.
    choices: Vec<WeightedChoice<EngineKey>>,
    queues: [FairQueue<WorkItem>; WorkRank::ALL.len()],
    meters: [RateMeter; WorkRank::ALL.len()],
    /// Whether the queue of a rank has had work since its last departure.
    busy: [bool; WorkRank::ALL.len()],
    /// Slots that this router holds or asks for, by rank.
    pub held: RankCounts,
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
        let slots: u32 = self.open_engines().map(|engine| engine.slots).sum();
        f64::from(engine.slots) / f64::from(slots.max(1))
    }

    /// How long `item` would wait in its queue.
    ///
    /// Under fair queueing an account waits for as many of the others' requests as it has of its
    /// own, so a small account is not held up by a queue that a large one filled.
    pub fn expected_wait(&self, item: &WorkItem) -> Duration {
        let queue = &self.queues[item.rank.index()];
        let own = queue.account_len(item.account);
        let ahead = queue.len().min((own + 1) * (queue.active_accounts() + 1));
        match self.meters[item.rank.index()].rate() {
            Some(rate) if rate > 0.0 => Duration::from_secs_f64(ahead as f64 / rate),
            _ => Duration::ZERO,
        }
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
    pub fn pop(&mut self, now: MonoTime, rank: WorkRank) -> Option<WorkItem> {
        let index = rank.index();
        let item = self.queues[index].pop()?;
        self.meters[index].depart(now, self.busy[index]);
        self.busy[index] = !self.queues[index].is_empty();
        Some(item)
    }

    /// Takes every waiting request that `unwanted` names.
    pub fn remove_where(&mut self, mut unwanted: impl FnMut(&WorkItem) -> bool) -> Vec<WorkItem> {
        let queues = self.queues.iter_mut();
        queues
            .flat_map(|queue| queue.drain_where(&mut unwanted))
            .collect()
    }

    /// Requests that wait, by rank.
    pub fn waiting(&self) -> RankCounts {
        std::array::from_fn(|index| self.queues[index].len() as u32)
    }

    /// Requests of `account` that wait.
    pub fn waiting_of(&self, account: AccountKey) -> usize {
        self.queues
            .iter()
            .map(|queue| queue.account_len(account))
            .sum()
    }
}
