//! Decides which rank is served next, from the floors and shares in the rules.

use crate::rules::{RankRules, WorkRank};

/// Factor by which the floors that one router enforces exceed the fleet's floors.
const LOCAL_FLOOR_FACTOR: f64 = 1.15;

/// Counts by rank, indexed by [`WorkRank::index`].
pub type RankCounts = [u32; WorkRank::ALL.len()];

/// The slots and the waiting requests of each rank at one router, for one model.
#[derive(Clone, Copy, Debug, Default)]
pub struct RankDemand {
    /// Waiting requests.
    pub waiting: RankCounts,
    /// Slots that are in use or requested.
    pub held: RankCounts,
    /// Decaying peak demand, in slots.
    pub recent_demand: [f64; WorkRank::ALL.len()],
    /// Slots of the open engines whose slot owner this router is.
    pub slots: u32,
    /// Free slots among `slots`.
    pub free: u32,
}

impl RankDemand {
    /// Returns the slots of `rank` as a share of all slots that this router uses or has requested,
    /// plus one for the next slot.
    pub fn held_share(&self, rank: WorkRank) -> f64 {
        f64::from(self.held[rank.index()]) / f64::from(self.held.iter().sum::<u32>() + 1)
    }

    /// Returns the ranks with waiting requests in the order in which they are offered the next
    /// free slot.
    ///
    /// Ranks below their floor of the slots in use come first, the most urgent one before the
    /// others; then the ranks below their share; then the rest. The ratios refer to the slots that
    /// this router uses, so the floors of all routers add up to the floors of the fleet without
    /// any messages between routers.
    ///
    /// A rank above its floor is left out unless enough slots stay free for the recent demand of
    /// more urgent ranks, up to their floors. Otherwise a short pause in that demand would give
    /// their slots to long requests.
    pub fn serving_order(&self, rules: &RankRules) -> Vec<WorkRank> {
        let mut order: Vec<WorkRank> = WorkRank::ALL
            .into_iter()
            .filter(|rank| self.waiting[rank.index()] > 0)
            .filter(|&rank| self.is_below_floor(rules, rank) || self.leaves_reserve(rules, rank))
            .collect();
        order.sort_by_key(|&rank| {
            if self.is_below_floor(rules, rank) {
                0
            } else if self.held_share(rank) < rules.of(rank).share.get() {
                1
            } else {
                2
            }
        });
        order
    }

    /// Returns whether `rank` may preempt requests of the long rank: it has waiting requests and is
    /// below its share, and the long rank keeps its floor with one slot fewer.
    pub fn may_preempt(&self, rules: &RankRules, rank: WorkRank) -> bool {
        let long = self.held[WorkRank::Long.index()];
        let total = f64::from(self.held.iter().sum::<u32>() + 1);
        let long_share = f64::from(long.saturating_sub(1)) / total;
        rank != WorkRank::Long
            && self.waiting[rank.index()] > 0
            && self.held_share(rank) < rules.of(rank).share.get()
            && long_share >= local_floor(rules, WorkRank::Long)
    }

    fn is_below_floor(&self, rules: &RankRules, rank: WorkRank) -> bool {
        self.held_share(rank) < local_floor(rules, rank)
    }

    fn leaves_reserve(&self, rules: &RankRules, rank: WorkRank) -> bool {
        let urgent = WorkRank::ALL.into_iter().filter(|&other| other < rank);
        let reserve: f64 = urgent
            .map(|other| {
                let floor = local_floor(rules, other) * f64::from(self.slots);
                let demand = self.recent_demand[other.index()].min(floor);
                (demand - f64::from(self.held[other.index()])).max(0.0)
            })
            .sum();
        reserve == 0.0 || f64::from(self.free) > reserve
    }
}

/// Returns the floor that one router enforces. It is slightly above the fleet's floor, because the
/// requests of a rank are spread unevenly and the unused floor of one router does not serve the
/// queue of another.
fn local_floor(rules: &RankRules, rank: WorkRank) -> f64 {
    let all: f64 = WorkRank::ALL
        .iter()
        .map(|&rank| rules.of(rank).floor.get())
        .sum();
    rules.of(rank).floor.get() * LOCAL_FLOOR_FACTOR.min(1.0 / all.max(1e-9))
}
