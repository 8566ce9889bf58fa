//! Chooses the upstream that runs a call.
//!
//! Calls whose prompts share a part go to the same preferred upstream, so that they hit its prompt
//! cache. It is found by weighted rendezvous hashing of the largest shared part. A part with more
//! open calls than one upstream has room for gets several preferred upstreams, in the order of
//! their scores. Upstreams above the load bound are skipped, so overflow calls also go to the same
//! upstreams each time. Calls without a shared part go to the least loaded upstream.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::UpstreamKey;

/// Load above which a preferred upstream is skipped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AffinityBound {
    /// Multiple of the service's mean load per slot.
    pub multiple: f64,
    /// Number of calls allowed in addition to the multiple. With a mean below one call, the
    /// multiple alone would rule out every preferred upstream.
    pub slack: f64,
}

impl AffinityBound {
    /// Returns the highest load of an upstream of a service with this mean load per slot.
    fn max_load(self, option: &UpstreamCandidate, mean: f64) -> f64 {
        self.multiple * mean * f64::from(option.slots) + self.slack
    }
}

/// Returns the mean load per slot of some candidates, of which `load` gives the load of one.
fn mean_per_slot<'a, I, F>(options: I, load: F) -> f64
where
    I: Iterator<Item = &'a UpstreamCandidate> + Clone,
    F: Fn(&UpstreamCandidate) -> f64,
{
    let slots: f64 = options.clone().map(|option| f64::from(option.slots)).sum();
    let load: f64 = options.map(load).sum();
    load / slots.max(1.0)
}

/// Whether an upstream may be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eligibility {
    /// Eligible.
    Open,
    /// Suspect: eligible only if no upstream is `Open`.
    Suspect,
    /// Eligible only if there is no other: the upstream has failed this call before.
    LastResort,
    /// Not eligible.
    Excluded,
}

/// A candidate for a call.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCandidate {
    /// Key of the upstream, which is hashed for its rendezvous score.
    pub key: UpstreamKey,
    /// Number of calls that the upstream runs concurrently.
    pub slots: u32,
    /// Estimated number of calls from all routers that the upstream runs or queues.
    pub load: f64,
    /// Calls from this router that are open at the upstream.
    pub own_calls: u32,
    /// Whether `load` follows from a recent report, and not from this router's calls alone.
    pub is_reported: bool,
    /// Whether the upstream is in this router's data centre.
    pub is_local: bool,
    /// Whether the upstream may be chosen.
    pub eligibility: Eligibility,
    /// Whether other upstreams may copy from its prompt cache.
    pub cache_readable: bool,
}

/// The shared prompt part that determines a call's preferred upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedPart {
    /// Hash of the prompt part.
    pub prompt: u64,
    /// Estimated number of open calls with this part, over all routers.
    pub open_calls: f64,
}

/// Leaves only some candidates eligible, for a call that can't go to others. Among them, those above
/// the load bound of the whole service are not eligible either, since no other can take their calls.
///
/// This refuses the call, so it needs evidence: without a report, this router's calls at an upstream
/// are compared with its calls at the others. They say nothing about the calls of other routers.
pub fn restrict_candidates<F>(options: &mut [UpstreamCandidate], is_other: F, bound: AffinityBound)
where
    F: Fn(usize) -> bool,
{
    let usable = options
        .iter()
        .filter(|option| option.eligibility != Eligibility::Excluded);
    let mean = mean_per_slot(usable.clone(), |option| option.load);
    let own_mean = mean_per_slot(usable, |option| f64::from(option.own_calls));
    for (index, option) in options.iter_mut().enumerate() {
        let is_above = if option.is_reported {
            option.load > bound.max_load(option, mean)
        } else {
            f64::from(option.own_calls) > bound.max_load(option, own_mean)
        };
        if is_other(index) || is_above {
            option.eligibility = Eligibility::Excluded;
        }
    }
}

/// Returns the index of the chosen upstream in `options`, or `None` if none is eligible.
///
/// `affinity` is the largest shared part of the call's prompt. `draw` is a uniformly random `u64`
/// that breaks ties and selects among several preferred upstreams.
pub fn choose_upstream(
    options: &[UpstreamCandidate],
    affinity: Option<SharedPart>,
    bound: AffinityBound,
    draw: u64,
) -> Option<usize> {
    let indexes_with = |wanted: Eligibility| {
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
    .map(indexes_with)
    .find(|indexes| !indexes.is_empty())?;
    match affinity {
        Some(affinity) => choose_preferred(options, &indexes, affinity, bound, draw),
        None => choose_least_loaded(options, &indexes, draw),
    }
}

fn choose_preferred(
    options: &[UpstreamCandidate],
    indexes: &[usize],
    affinity: SharedPart,
    bound: AffinityBound,
    draw: u64,
) -> Option<usize> {
    let chosen_from = indexes.iter().map(|&index| &options[index]);
    let mean = mean_per_slot(chosen_from, |option| option.load);
    let max_load = |option: &UpstreamCandidate| bound.max_load(option, mean);
    let mut ranked: Vec<(f64, usize)> = indexes
        .iter()
        .map(|&index| (rendezvous_score(&options[index], affinity.prompt), index))
        .collect();
    ranked.sort_by(|left, right| right.0.total_cmp(&left.0));
    let first = ranked.first().map(|&(_, index)| index)?;
    // The calls with this prompt part that one upstream may take on top of the mean load.
    let room = max_load(&options[first]) - mean * f64::from(options[first].slots);
    let preferred_count = 1 + (affinity.open_calls / room.max(1.0)) as usize;
    let within_bound = |index: &usize| options[*index].load <= max_load(&options[*index]);
    let ranked = ranked.into_iter().map(|(_, index)| index);
    let preferred: Vec<usize> = ranked.filter(within_bound).take(preferred_count).collect();
    let drawn = draw as usize % preferred.len().max(1);
    preferred.get(drawn).copied().or(Some(first))
}

/// Returns the preferred upstream of a prompt when the `chosen` one is left out.
///
/// It is the upstream most likely to have the prompt's shared parts in its cache: `chosen` either
/// received the call as overflow of this upstream, or has replaced it as the preferred one.
pub fn next_preferred(options: &[UpstreamCandidate], prompt: u64, chosen: usize) -> Option<usize> {
    let others = options.iter().enumerate();
    others
        .filter(|&(index, option)| index != chosen && option.cache_readable)
        .map(|(index, option)| (rendezvous_score(option, prompt), index))
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, index)| index)
}

/// Returns the indexes of all upstreams in the order in which a prompt prefers them.
pub fn preference_order(options: &[UpstreamCandidate], prompt: u64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..options.len()).collect();
    let score = |index: usize| rendezvous_score(&options[index], prompt);
    order.sort_by(|&left, &right| score(right).total_cmp(&score(left)));
    order
}

/// Returns the weighted rendezvous score of an upstream. The upstream with the highest score is the
/// preferred one, and the number of prompts that prefer an upstream is proportional to its slots.
fn rendezvous_score(option: &UpstreamCandidate, prompt: u64) -> f64 {
    let hash = xxh3_64_with_seed(&option.key.0.to_le_bytes(), prompt);
    // The upper 53 bits plus one half, scaled to a uniform fraction in (0, 1).
    let fraction = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(option.slots.max(1)) / fraction.ln()
}

fn choose_least_loaded(
    options: &[UpstreamCandidate],
    indexes: &[usize],
    draw: u64,
) -> Option<usize> {
    let load_per_slot = |index: usize| {
        let option = &options[index];
        (option.load + 1.0) / f64::from(option.slots.max(1))
    };
    let tie_breaker = |index: usize| xxh3_64_with_seed(&options[index].key.0.to_le_bytes(), draw);
    indexes.iter().copied().min_by(|&left, &right| {
        load_per_slot(left)
            .total_cmp(&load_per_slot(right))
            .then_with(|| options[right].is_local.cmp(&options[left].is_local))
            .then_with(|| tie_breaker(left).cmp(&tie_breaker(right)))
    })
}
