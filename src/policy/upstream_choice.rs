//! Which upstream gets a call.
//!
//! Calls whose prompts share parts go to the same upstream, so that its cache serves them: weighted
//! rendezvous hashing of the largest shared part. A part with more calls than one home has room for
//! has several, the next in the same order; an upstream above the load bound is passed over, so
//! overflow is as sticky as a home. Calls without shared parts go to the least loaded upstream.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::UpstreamKey;

/// Bound on the load of a home.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AffinityBound {
    /// Multiple of the mean load over the service, by slots.
    pub multiple: f64,
    /// Calls above the multiple: with a mean below one call, a multiple alone would pass over
    /// every home.
    pub slack: f64,
}

/// Whether an upstream may be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eligibility {
    /// Yes.
    Open,
    /// Only when no open one is left.
    Suspect,
    /// Only when nothing else is left: it has failed this call.
    LastResort,
    /// No.
    Excluded,
}

/// An upstream as the choice sees it.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCandidate {
    /// The upstream.
    pub key: UpstreamKey,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Calls that it runs or queues now, from all routers, as far as known.
    pub load: f64,
    /// Whether it is in this router's data centre.
    pub is_local: bool,
    /// Whether it may be chosen.
    pub eligibility: Eligibility,
    /// Whether others may copy from its cache.
    pub cache_readable: bool,
}

/// The shared part by which a call's home is found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedPart {
    /// Hash of the part.
    pub prompt: u64,
    /// Calls about it that all routers have open, as far as known.
    pub open_calls: f64,
}

/// Chooses among `options`; `home` is the prompt's largest shared part, `draw` is uniform over
/// `u64` and breaks ties.
pub fn choose_upstream(
    options: &[UpstreamCandidate],
    home: Option<SharedPart>,
    bound: AffinityBound,
    draw: u64,
) -> Option<usize> {
    let eligibility = |wanted: Eligibility| {
        options
            .iter()
            .enumerate()
            .filter(move |(_, option)| option.eligibility == wanted)
            .map(|(index, _)| index)
            .collect::<Vec<usize>>()
    };
    let indexes = [
        Eligibility::Open,
        Eligibility::Suspect,
        Eligibility::LastResort,
    ]
    .into_iter()
    .map(eligibility)
    .find(|indexes| !indexes.is_empty())?;
    match home {
        Some(home) => choose_home(options, &indexes, home, bound, draw),
        None => choose_least(options, &indexes, draw),
    }
}

fn choose_home(
    options: &[UpstreamCandidate],
    indexes: &[usize],
    home: SharedPart,
    bound: AffinityBound,
    draw: u64,
) -> Option<usize> {
    let slots: f64 = indexes
        .iter()
        .map(|&index| f64::from(options[index].slots))
        .sum();
    let load: f64 = indexes.iter().map(|&index| options[index].load).sum();
    let fill = load / slots.max(1.0);
    let most =
        |option: &UpstreamCandidate| bound.multiple * fill * f64::from(option.slots) + bound.slack;
    let mut ranked: Vec<(f64, usize)> = indexes
        .iter()
        .map(|&index| (rendezvous_score(&options[index], home.prompt), index))
        .collect();
    ranked.sort_by(|left, right| right.0.total_cmp(&left.0));
    let first = ranked.first().map(|&(_, index)| index)?;
    // Beside the mean load, each home has room for so many calls about a prompt.
    let room = most(&options[first]) - fill * f64::from(options[first].slots);
    let homes = 1 + (home.open_calls / room.max(1.0)) as usize;
    let within = |index: &usize| options[*index].load <= most(&options[*index]);
    let ranked = ranked.into_iter().map(|(_, index)| index);
    let open: Vec<usize> = ranked.filter(within).take(homes).collect();
    let drawn = draw as usize % open.len().max(1);
    open.get(drawn).copied().or(Some(first))
}

/// The home of a prompt but for the upstream that was chosen: it most likely has read the prompt's
/// shared parts, be it that the chosen one is its overflow, or took its place.
pub fn next_preferred(options: &[UpstreamCandidate], prompt: u64, chosen: usize) -> Option<usize> {
    let others = options.iter().enumerate();
    others
        .filter(|&(index, option)| index != chosen && option.cache_readable)
        .map(|(index, option)| (rendezvous_score(option, prompt), index))
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, index)| index)
}

/// Weighted rendezvous hashing: the highest score is the home, and each upstream is home in
/// proportion to its slots.
fn rendezvous_score(option: &UpstreamCandidate, home: u64) -> f64 {
    let hash = xxh3_64_with_seed(&option.key.0.to_le_bytes(), home);
    // The upper 53 bits, moved off zero, are a uniform fraction in (0, 1).
    let fraction = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(option.slots.max(1)) / fraction.ln()
}

fn choose_least(options: &[UpstreamCandidate], indexes: &[usize], draw: u64) -> Option<usize> {
    let fill = |index: usize| {
        let option = &options[index];
        (option.load + 1.0) / f64::from(option.slots.max(1))
    };
    let tie = |index: usize| xxh3_64_with_seed(&options[index].key.0.to_le_bytes(), draw);
    indexes.iter().copied().min_by(|&left, &right| {
        fill(left)
            .total_cmp(&fill(right))
            .then_with(|| options[right].is_local.cmp(&options[left].is_local))
            .then_with(|| tie(left).cmp(&tie(right)))
    })
}
