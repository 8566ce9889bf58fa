//! The work that upstreams have answered lately, in bounded memory.

use std::collections::HashMap;

use crate::ids::SuspectTag;
use crate::mono::MonoTime;

/// Number of suspects in one generation.
const MAX_GENERATION_SUSPECTS: usize = 8192;

/// The time of the latest answer to each suspect.
///
/// Two generations replace an eviction order: when the current one is full, it becomes the previous
/// one, whose suspects are forgotten.
#[derive(Clone, Debug, Default)]
pub struct SoundWork {
    /// Invariant: at most [`MAX_GENERATION_SUSPECTS`] suspects.
    current: HashMap<SuspectTag, MonoTime>,
    previous: HashMap<SuspectTag, MonoTime>,
}

impl SoundWork {
    /// Records an answer to a call that has `tag`.
    pub fn record(&mut self, tag: SuspectTag, now: MonoTime) {
        if self.current.len() >= MAX_GENERATION_SUSPECTS && !self.current.contains_key(&tag) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(tag, now);
    }

    /// Time of the latest answer to `tag`, if it is remembered.
    pub fn last(&self, tag: SuspectTag) -> Option<MonoTime> {
        let last = self.current.get(&tag).or_else(|| self.previous.get(&tag));
        last.copied()
    }

    /// Number of suspects in memory.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
