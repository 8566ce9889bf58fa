//! Weighted rendezvous hashing.
//!
//! Each candidate gets a score from the hash of the subject and its own key. Every router that
//! knows the same candidates finds the same order, and a candidate that leaves moves only the
//! subjects that stood first on it.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A candidate and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedChoice<K> {
    /// The candidate.
    pub key: K,
    /// Its weight.
    ///
    /// Invariant: above zero.
    pub weight: f64,
}

/// A key that rendezvous hashing can use.
pub trait HashedKey: Copy + Ord {
    /// The 64-bit hash of this key.
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
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -choice.weight / unit.ln()
}

/// The candidates in the order of preference of `subject`, the home first.
pub fn rendezvous_order<K: HashedKey>(subject: u64, choices: &[WeightedChoice<K>]) -> Vec<K> {
    let mut scored: Vec<_> = choices
        .iter()
        .map(|&choice| (score(subject, choice), choice.key))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, key)| key).collect()
}

/// The first candidate of `subject` among candidates of equal weight.
pub fn rendezvous_first<K: HashedKey>(
    subject: u64,
    keys: impl IntoIterator<Item = K>,
) -> Option<K> {
    keys.into_iter()
        .map(|key| (score(subject, WeightedChoice { key, weight: 1.0 }), key))
        .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)))
        .map(|(_, key)| key)
}
