//! Which upstreams lately read which shared parts of prompts.
//!
//! An upstream that lacks a part can copy it from one that has it, which is far quicker than
//! reading it again. The map is this router's own memory of where it sent prompts: a wrong entry
//! costs a question between two upstreams.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::UpstreamKey;
use crate::mono::MonoTime;

/// How long a part is taken to stay in a cache without use.
const PART_LIFE: Duration = Duration::from_secs(30);

/// Upstreams remembered for one run of parts.
const HOLDERS: usize = 4;

/// Runs of parts remembered: a few MB.
const MAX_RUNS: usize = 50_000;

/// Fewest tokens that are worth a copy: reading this many takes about as long as asking.
const MIN_TOKENS: u32 = 100;

/// A run of parts from the start of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptRun {
    /// Hash of all parts of the run.
    pub hash: u64,
    /// Tokens of the whole run.
    pub tokens: u32,
}

/// Where the runs of prompts were sent lately.
#[derive(Debug, Default)]
pub struct PromptMap {
    /// Invariant: at most [`HOLDERS`] each, the latest last.
    runs: HashMap<u64, Vec<(UpstreamKey, MonoTime)>>,
}

impl PromptMap {
    /// The upstream to copy from before `target` reads a prompt, whose shared runs are given from
    /// the shortest to the longest. None where `target` has the longest run, or nobody has more
    /// than it has.
    pub fn source(
        &self,
        runs: &[PromptRun],
        target: UpstreamKey,
        now: MonoTime,
        usable: impl Fn(UpstreamKey) -> bool,
    ) -> Option<UpstreamKey> {
        let mut wanted = None;
        for run in runs.iter().rev() {
            if self.holders(run, now).any(|holder| holder == target) {
                let (source, tokens): (UpstreamKey, u32) = wanted?;
                return (tokens - run.tokens >= MIN_TOKENS).then_some(source);
            }
            if wanted.is_none() {
                wanted = self
                    .holders(run, now)
                    .filter(|&holder| usable(holder))
                    .last()
                    .map(|holder| (holder, run.tokens));
            }
        }
        wanted
            .filter(|&(_, tokens)| tokens >= MIN_TOKENS)
            .map(|(source, _)| source)
    }

    /// A prompt was sent to `target`, which reads all its runs.
    pub fn sent(&mut self, runs: &[PromptRun], target: UpstreamKey, now: MonoTime) {
        if self.runs.len() >= MAX_RUNS {
            self.forget(now);
        }
        for run in runs {
            let holders = self.runs.entry(run.hash).or_default();
            holders.retain(|&(holder, _)| holder != target);
            if holders.len() >= HOLDERS {
                holders.remove(0);
            }
            holders.push((target, now));
        }
    }

    /// Nothing is known any more of what `upstream` has.
    pub fn lost(&mut self, upstream: UpstreamKey) {
        for holders in self.runs.values_mut() {
            holders.retain(|&(holder, _)| holder != upstream);
        }
    }

    /// Forgets what has not been used for long.
    pub fn forget(&mut self, now: MonoTime) {
        self.runs.retain(|_, holders| {
            holders.retain(|&(_, at)| now.since(at) <= PART_LIFE);
            !holders.is_empty()
        });
        if self.runs.len() >= MAX_RUNS {
            self.runs.clear();
        }
    }

    fn holders(&self, run: &PromptRun, now: MonoTime) -> impl Iterator<Item = UpstreamKey> {
        self.runs
            .get(&run.hash)
            .into_iter()
            .flatten()
            .filter(move |&&(_, at)| now.since(at) <= PART_LIFE)
            .map(|&(holder, _)| holder)
    }
}
