//! Order of routers that spreads over data centres.

use std::collections::HashMap;

use crate::ids::DataCenterTag;

/// Reorders `ranked` so that the first of each data centre come before the second ones, and so on.
/// Otherwise the order stays.
pub fn order_by_rounds<T, F>(ranked: &mut [T], data_center: F)
where
    F: Fn(&T) -> DataCenterTag,
{
    let mut rounds: HashMap<DataCenterTag, usize> = HashMap::new();
    ranked.sort_by_cached_key(|router| {
        let round = rounds.entry(data_center(router)).or_default();
        *round += 1;
        *round
    });
}
