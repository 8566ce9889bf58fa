//! Which rank is served next.

use crate::rules::{RankRules, WorkRank};

/// Factor by which a router's own floors exceed the fleet's.
const SPREAD_MARGIN: f64 = 1.15;

/// Counts by rank.
pub type RankCounts = [u32; WorkRank::ALL.len()];

/// What each rank has and asks for, at one router.
#[derive(Clone, Copy, Debug, Default)]
pub struct RankDemand {
    /// Requests that wait.
    pub waiting: RankCounts,
    /// Slots that are held.
    pub held: RankCounts,
    /// The most slots that were asked for lately.
    pub recent_demand: [f64; WorkRank::ALL.len()],
    /// Slots of this router's engines.
    pub slots: u32,
    /// How many of them are free.
    pub free: u32,
}

impl RankDemand {
    /// The share of the slots in use that a rank holds.
    pub fn part(&self, rank: WorkRank) -> f64 {
        f64::from(self.held[rank.index()]) / f64::from(self.held.iter().sum::<u32>() + 1)
    }

    /// The ranks in the order in which they are offered the next free slot.
    ///
    /// First the ranks that wait and hold less than their floor of the slots in use, the most
    /// urgent first; then the ranks that hold less than their share; then the rest. The ratios
    /// are of the slots that this router holds, so the floors of all routers add up to the floors
    /// of the fleet without a message.
    ///
    /// Work beyond its floor leaves free what more urgent ranks asked for lately, up to their
    /// floors, so that a short lull does not hand their slots to long work.
    pub fn serving_order(&self, rules: &RankRules) -> Vec<WorkRank> {
        let mut order: Vec<WorkRank> = WorkRank::ALL
            .into_iter()
            .filter(|rank| self.waiting[rank.index()] > 0)
            .filter(|&rank| self.is_below_floor(rules, rank) || self.leaves_reserve(rules, rank))
            .collect();
        order.sort_by_key(|&rank| {
            if self.is_below_floor(rules, rank) {
                0
            } else if self.part(rank) < rules.of(rank).share.get() {
                1
            } else {
                2
            }
        });
        order
    }

    /// Whether a rank that waits may take slots from long work: it is within its share, and long
    /// work keeps its floor without one more slot.
    pub fn may_preempt(&self, rules: &RankRules, rank: WorkRank) -> bool {
        let long = self.held[WorkRank::Long.index()];
        let total = f64::from(self.held.iter().sum::<u32>() + 1);
        let rest = f64::from(long.saturating_sub(1)) / total;
        rank != WorkRank::Long
            && self.waiting[rank.index()] > 0
            && self.part(rank) < rules.of(rank).share.get()
            && rest >= local_floor(rules, WorkRank::Long)
    }

    fn is_below_floor(&self, rules: &RankRules, rank: WorkRank) -> bool {
        self.part(rank) < local_floor(rules, rank)
    }

    fn leaves_reserve(&self, rules: &RankRules, rank: WorkRank) -> bool {
        let urgent = WorkRank::ALL.into_iter().filter(|&other| other < rank);
        let reserve: f64 = urgent
            .map(|other| {
                let floor = local_floor(rules, other) * f64::from(self.slots);
                let asked = self.recent_demand[other.index()].min(floor);
                (asked - f64::from(self.held[other.index()])).max(0.0)
            })
            .sum();
        reserve == 0.0 || f64::from(self.free) > reserve
    }
}

/// The floor that one router keeps: somewhat above the fleet's, since a rank's work is spread
/// unevenly and one router's unused floor does not help another's backlog.
fn local_floor(rules: &RankRules, rank: WorkRank) -> f64 {
    let all: f64 = WorkRank::ALL
        .iter()
        .map(|&rank| rules.of(rank).floor.get())
        .sum();
    rules.of(rank).floor.get() * SPREAD_MARGIN.min(1.0 / all.max(1e-9))
}
