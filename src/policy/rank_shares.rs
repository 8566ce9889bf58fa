//! Which rank is served next.

use crate::rules::{RankRules, WorkRank};

/// Counts by rank.
pub type RankCounts = [u32; WorkRank::ALL.len()];

/// The ranks in the order in which they are offered the next free slot.
///
/// First the ranks that wait and hold less than their floor of the slots in use, the most urgent
/// first; then the ranks that hold less than their share; then the rest, so that no slot stays
/// free while anything waits. The ratios are of the slots that this router holds, so the floors
/// of all routers add up to the floors of the fleet without a message.
pub fn serving_order(rules: &RankRules, waiting: RankCounts, held: RankCounts) -> Vec<WorkRank> {
    let total = f64::from(held.iter().sum::<u32>() + 1);
    let mut order: Vec<WorkRank> = WorkRank::ALL
        .into_iter()
        .filter(|rank| waiting[rank.index()] > 0)
        .collect();
    order.sort_by_key(|&rank| {
        let rule = rules.of(rank);
        let part = f64::from(held[rank.index()]) / total;
        if part < rule.floor.get() {
            0
        } else if part < rule.share.get() {
            1
        } else {
            2
        }
    });
    order
}
