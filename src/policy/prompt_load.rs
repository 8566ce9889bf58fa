//! How many calls the fleet has open about one prompt.
//!
//! Load reports come too late to spread a hot prompt: every router would send to the same home
//! until it hears that the home is full. Callers choose routers at random, so a router's own calls
//! are a sample of the fleet's.

use std::collections::HashMap;
use std::time::Duration;

use crate::mono::MonoTime;

/// Time over which calls are averaged: some calls long, and short against the life of a fashion.
const HEAT_WINDOW: Duration = Duration::from_secs(3);

/// Calls in the window that are left out: one or two of a cold prompt, times the number of
/// routers, would look like many.
const CHANCE_CALLS: f64 = 2.0;

/// Calls in the window below which a prompt is forgotten.
const FORGET_CALLS: f64 = 0.05;

/// Calls of one prompt, fading over [`HEAT_WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
struct HeatRecord {
    /// Number of calls that ended.
    calls: f64,
    /// Seconds that they took.
    busy: f64,
    at: MonoTime,
}

impl HeatRecord {
    fn faded(self, now: MonoTime) -> Self {
        let spent = now.since(self.at).as_secs_f64() / HEAT_WINDOW.as_secs_f64();
        let kept = (-spent).exp();
        Self {
            calls: self.calls * kept,
            busy: self.busy * kept,
            at: now,
        }
    }
}

/// This router's calls by prompt.
#[derive(Clone, Debug, Default)]
pub struct PromptLoad {
    prompts: HashMap<u64, HeatRecord>,
}

impl PromptLoad {
    /// A call about a prompt ended after `length`.
    pub fn record_call(&mut self, prompt: u64, length: Duration, now: MonoTime) {
        let record = self.prompts.entry(prompt).or_default();
        *record = record.faded(now);
        record.calls += 1.0;
        record.busy += length.as_secs_f64();
    }

    /// Calls that all of `routers` have open about a prompt, estimated from this router's.
    pub fn open_calls(&self, prompt: u64, routers: usize, now: MonoTime) -> f64 {
        let Some(record) = self.prompts.get(&prompt) else {
            return 0.0;
        };
        let record = record.faded(now);
        let counted = (record.calls - CHANCE_CALLS).max(0.0) / record.calls.max(1.0);
        let open = record.busy / HEAT_WINDOW.as_secs_f64();
        counted * open * routers as f64
    }

    /// Forgets prompts that are no longer asked for.
    pub fn remove_idle(&mut self, now: MonoTime) {
        self.prompts
            .retain(|_, record| record.faded(now).calls >= FORGET_CALLS);
    }
}
