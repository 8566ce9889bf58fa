//! The prompt parts that upstreams have answered lately, in bounded memory.

use std::collections::HashMap;

use crate::ids::PartTag;
use crate::mono::MonoTime;

/// Number of parts in one generation.
const MAX_GENERATION_PARTS: usize = 8192;

/// The time of the latest answer to each part.
///
/// Two generations replace an eviction order: when the current one is full, it becomes the previous
/// one, whose parts are forgotten.
#[derive(Clone, Debug, Default)]
pub struct SoundParts {
    /// Invariant: at most [`MAX_GENERATION_PARTS`] parts.
    current: HashMap<PartTag, MonoTime>,
    previous: HashMap<PartTag, MonoTime>,
}

impl SoundParts {
    /// Records an answer to a call whose prompt has `part`.
    pub fn record(&mut self, part: PartTag, now: MonoTime) {
        if self.current.len() >= MAX_GENERATION_PARTS && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(part, now);
    }

    /// Time of the latest answer to `part`, if it is remembered.
    pub fn last(&self, part: PartTag) -> Option<MonoTime> {
        let last = self.current.get(&part).or_else(|| self.previous.get(&part));
        last.copied()
    }

    /// Number of parts in memory.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
