//! Weighted rendezvous hashing.
//!
//! Each candidate gets a score from its key and the hash of the subject, such as a chat or an
//! engine, that is to be placed. Every router that knows the same candidates computes the same
//! order, and the removal of a candidate moves only the subjects that had it in first place.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A candidate for a subject, with its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedChoice<K> {
    pub key: K,
    /// Relative share of the subjects that this candidate receives.
    ///
    /// Invariant: above zero.
    pub weight: f64,
}

/// A key of a candidate, which carries a 64-bit hash.
pub trait HashedKey: Copy + Ord {
    fn hash(self) -> u64;
}

macro_rules! hashed_key {
    ($($key:ty),*) => {
        $(impl HashedKey for $key {
            fn hash(self) -> u64 {
                self.0
            }
        })*
    };
}

hashed_key!(
    crate::ids::EngineKey,
    crate::ids::VmKey,
    crate::ids::ChatKey,
    crate::ids::ServiceKey
);

fn score<K: HashedKey>(subject: u64, choice: WeightedChoice<K>) -> f64 {
    let hash = xxh3_64_with_seed(&choice.key.hash().to_le_bytes(), subject);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -choice.weight / uniform.ln()
}

/// Returns the candidates in the order of preference of `subject`, the preferred one first.
pub fn rendezvous_order<K: HashedKey>(subject: u64, choices: &[WeightedChoice<K>]) -> Vec<K> {
    let mut scored: Vec<_> = choices
        .iter()
        .map(|&choice| (score(subject, choice), choice.key))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, key)| key).collect()
}

/// Returns the preferred candidate of `subject` among candidates of equal weight, or `None` if
/// there are no candidates.
pub fn rendezvous_first<K: HashedKey>(
    subject: u64,
    keys: impl IntoIterator<Item = K>,
) -> Option<K> {
    keys.into_iter()
        .map(|key| (score(subject, WeightedChoice { key, weight: 1.0 }), key))
        .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)))
        .map(|(_, key)| key)
}
