//! The fleets that scenarios run on: the two deployments at their size of today, and larger ones.

use std::time::Duration;

use crate::bench::engine_model::EngineSpec;
use crate::ids::{EngineKey, ModelKey};
use crate::policy::request_scheduler::PoolEngine;
use crate::rules::{RuleBook, WorkRank, default_rules};

/// The one model of a simulated fleet.
pub const SIM_MODEL: ModelKey = ModelKey(1);

/// Tokens of a prompt that does not continue a chat.
pub const PLAIN_PROMPT: u32 = 200;

/// A fleet to simulate.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// What figures call it.
    pub name: &'static str,
    /// Routers.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
    /// What each engine can do.
    pub spec: EngineSpec,
    /// The rules.
    pub rules: RuleBook,
    /// One-way latency between routers.
    pub latency: Duration,
}

/// Both deployments at their size of today.
pub fn deployments() -> [FleetSetup; 2] {
    let asociacion = FleetSetup::new("asociacion", 4, 10, Duration::from_micros(1500));
    let bennani = FleetSetup::new("bennani", 4, 20, Duration::from_micros(500));
    [asociacion, bennani]
}

impl FleetSetup {
    /// A fleet under the default rules.
    pub fn new(name: &'static str, routers: usize, engines: usize, latency: Duration) -> Self {
        Self {
            name,
            routers,
            engines,
            spec: EngineSpec {
                slots: 16,
                alone_rate: 60.0,
                slowdown: 0.02,
                prompt_ratio: 20.0,
                cache_tokens: 400_000,
            },
            rules: default_rules(),
            latency,
        }
    }

    /// Engines as the schedulers see them, all open.
    pub fn pool(&self) -> Vec<PoolEngine> {
        (0..self.engines)
            .map(|index| PoolEngine {
                key: engine_key(index),
                model: SIM_MODEL,
                slots: self.spec.slots,
                open: true,
            })
            .collect()
    }

    /// Slots of all engines.
    pub fn slots(&self) -> u32 {
        self.spec.slots * self.engines as u32
    }

    /// Requests a second of `rank` that take `share` of the fleet's capacity.
    pub fn rate_for(&self, rank: WorkRank, share: f64) -> f64 {
        let work =
            f64::from(answer_tokens(rank)) + f64::from(PLAIN_PROMPT) / self.spec.prompt_ratio;
        share * self.spec.capacity() * self.engines as f64 / work
    }
}

/// The key of a simulated engine.
pub fn engine_key(index: usize) -> EngineKey {
    EngineKey(xxhash_rust::xxh3::xxh3_64(&index.to_le_bytes()))
}

/// Tokens of an answer.
pub fn answer_tokens(rank: WorkRank) -> u32 {
    match rank {
        WorkRank::Quick => 40,
        WorkRank::Verdict => 80,
        WorkRank::Long => 800,
    }
}
