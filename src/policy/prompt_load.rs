//! Estimates how many calls with one prompt the fleet has open.
//!
//! Load reports arrive too late to spread the calls of a hot prompt: every router would send them
//! to the same preferred upstream until a report says that it is full. Callers choose routers at
//! random, so a router's own calls are a sample of the fleet's calls.

use std::collections::HashMap;
use std::time::Duration;

use crate::mono::MonoTime;

/// Time constant over which calls are averaged. It spans several calls, and is short compared with
/// the time for which a prompt stays hot.
const AVERAGING_WINDOW: Duration = Duration::from_secs(3);

/// Calls in the window that are not counted. Multiplied by the number of routers, one or two calls
/// of a rare prompt would look like many.
const IGNORED_CALLS: f64 = 2.0;

/// Calls in the window below which a prompt is removed.
const MIN_TRACKED_CALLS: f64 = 0.05;

/// Calls of one prompt, decaying exponentially over [`AVERAGING_WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
struct CallStats {
    /// Number of ended calls.
    calls: f64,
    /// Total duration of these calls, in seconds.
    busy_s: f64,
    updated: MonoTime,
}

impl CallStats {
    fn decayed(self, now: MonoTime) -> Self {
        let windows = now.since(self.updated).as_secs_f64() / AVERAGING_WINDOW.as_secs_f64();
        let decay = (-windows).exp();
        Self {
            calls: self.calls * decay,
            busy_s: self.busy_s * decay,
            updated: now,
        }
    }
}

/// The calls of this router by prompt.
#[derive(Clone, Debug, Default)]
pub struct PromptLoad {
    prompts: HashMap<u64, CallStats>,
}

impl PromptLoad {
    /// Records a call with `prompt` that ended after `length`.
    pub fn record_call(&mut self, prompt: u64, length: Duration, now: MonoTime) {
        let stats = self.prompts.entry(prompt).or_default();
        *stats = stats.decayed(now);
        stats.calls += 1.0;
        stats.busy_s += length.as_secs_f64();
    }

    /// Estimates from the calls of this router how many calls with `prompt` all `routers` routers
    /// have open.
    pub fn open_calls(&self, prompt: u64, routers: usize, now: MonoTime) -> f64 {
        let Some(stats) = self.prompts.get(&prompt) else {
            return 0.0;
        };
        let stats = stats.decayed(now);
        let counted = (stats.calls - IGNORED_CALLS).max(0.0) / stats.calls.max(1.0);
        let open = stats.busy_s / AVERAGING_WINDOW.as_secs_f64();
        counted * open * routers as f64
    }

    /// Removes prompts without recent calls.
    pub fn remove_idle(&mut self, now: MonoTime) {
        self.prompts
            .retain(|_, stats| stats.decayed(now).calls >= MIN_TRACKED_CALLS);
    }
}
