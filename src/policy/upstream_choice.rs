//! Which upstream gets a call.
//!
//! Calls whose prompts share parts go to the same upstream, so that its cache serves them: weighted
//! rendezvous hashing of the largest shared part. An upstream above the load bound is passed over
//! for the next one in the same order, so overflow of one part is as sticky as its home. Calls
//! without shared parts go to the least loaded upstream.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::UpstreamKey;

/// Bound on the load of a home.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HomeBound {
    /// Multiple of the mean load over the service, by slots.
    pub multiple: f64,
    /// Calls above the multiple: with a mean below one call, a multiple alone would pass over
    /// every home.
    pub slack: f64,
}

/// Whether an upstream may be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamUse {
    /// Yes.
    Open,
    /// Only when no open one is left.
    Doubtful,
    /// Only when nothing else is left: it has failed this call.
    Last,
    /// No.
    Closed,
}

/// An upstream as the choice sees it.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamOption {
    /// The upstream.
    pub key: UpstreamKey,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Calls that it runs or queues now, from all routers, as far as known.
    pub load: f64,
    /// Whether it is in this router's data centre.
    pub near: bool,
    /// Whether it may be chosen.
    pub usable: UpstreamUse,
}

/// Chooses among `options`; `home` is the hash of the prompt's largest shared part, `draw` is
/// uniform over `u64` and breaks ties.
pub fn choose_upstream(
    options: &[UpstreamOption],
    home: Option<u64>,
    bound: HomeBound,
    draw: u64,
) -> Option<usize> {
    let usable = |wanted: UpstreamUse| {
        options
            .iter()
            .enumerate()
            .filter(move |(_, option)| option.usable == wanted)
            .map(|(index, _)| index)
            .collect::<Vec<usize>>()
    };
    let indexes = [UpstreamUse::Open, UpstreamUse::Doubtful, UpstreamUse::Last]
        .into_iter()
        .map(usable)
        .find(|indexes| !indexes.is_empty())?;
    match home {
        Some(home) => choose_home(options, &indexes, home, bound),
        None => choose_least(options, &indexes, draw),
    }
}

fn choose_home(
    options: &[UpstreamOption],
    indexes: &[usize],
    home: u64,
    bound: HomeBound,
) -> Option<usize> {
    let slots: f64 = indexes
        .iter()
        .map(|&index| f64::from(options[index].slots))
        .sum();
    let load: f64 = indexes.iter().map(|&index| options[index].load).sum();
    let fill = load / slots.max(1.0);
    let most =
        |option: &UpstreamOption| bound.multiple * fill * f64::from(option.slots) + bound.slack;
    let mut ranked: Vec<(f64, usize)> = indexes
        .iter()
        .map(|&index| (rendezvous_score(&options[index], home), index))
        .collect();
    ranked.sort_by(|left, right| right.0.total_cmp(&left.0));
    ranked
        .iter()
        .map(|&(_, index)| index)
        .find(|&index| options[index].load <= most(&options[index]))
        .or_else(|| ranked.first().map(|&(_, index)| index))
}

/// Weighted rendezvous hashing: the highest score is the home, and each upstream is home in
/// proportion to its slots.
fn rendezvous_score(option: &UpstreamOption, home: u64) -> f64 {
    let hash = xxh3_64_with_seed(&option.key.0.to_le_bytes(), home);
    // The upper 53 bits, moved off zero, are a uniform fraction in (0, 1).
    let fraction = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(option.slots.max(1)) / fraction.ln()
}

fn choose_least(options: &[UpstreamOption], indexes: &[usize], draw: u64) -> Option<usize> {
    let fill = |index: usize| {
        let option = &options[index];
        (option.load + 1.0) / f64::from(option.slots.max(1))
    };
    let tie = |index: usize| xxh3_64_with_seed(&options[index].key.0.to_le_bytes(), draw);
    indexes.iter().copied().min_by(|&left, &right| {
        fill(left)
            .total_cmp(&fill(right))
            .then_with(|| options[right].near.cmp(&options[left].near))
            .then_with(|| tie(left).cmp(&tie(right)))
    })
}
