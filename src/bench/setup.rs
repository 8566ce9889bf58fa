//! The configuration of simulated fleets, and that of the two deployments at their current size.

use std::time::Duration;

use crate::bench::engine_model::EngineSpec;
use crate::ids::{EngineKey, ModelKey};
use crate::policy::request_scheduler::PoolEngine;
use crate::rules::{RuleBook, WorkRank, default_rules};

/// The only model that a simulated fleet serves.
pub const SIM_MODEL: ModelKey = ModelKey(1);

/// Prompt length of a request that does not continue a chat.
pub const NEW_CHAT_PROMPT_TOKENS: u32 = 200;

/// The configuration of a simulated fleet.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// Name of the fleet in the names of figures.
    pub name: &'static str,
    /// Number of routers.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
    /// Performance parameters of every engine.
    pub spec: EngineSpec,
    /// Scheduling rules of the routers.
    pub rules: RuleBook,
    /// One-way latency between routers.
    pub latency: Duration,
}

/// Returns both deployments at their current size.
pub fn deployments() -> [FleetSetup; 2] {
    let asociacion = FleetSetup::new("asociacion", 4, 10, Duration::from_micros(1500));
    let bennani = FleetSetup::new("bennani", 4, 20, Duration::from_micros(500));
    [asociacion, bennani]
}

impl FleetSetup {
    /// Creates a fleet with the default rules.
    pub fn new(name: &'static str, routers: usize, engines: usize, latency: Duration) -> Self {
        Self {
            name,
            routers,
            engines,
            spec: EngineSpec {
                slots: 16,
                single_request_rate: 60.0,
                slowdown_per_request: 0.02,
                prefill_ratio: 20.0,
                cache_tokens: 400_000,
            },
            rules: default_rules(),
            latency,
        }
    }

    /// Returns all engines, open, in the form in which the schedulers receive them.
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

    /// Returns the total number of slots.
    pub fn slots(&self) -> u32 {
        self.spec.slots * self.engines as u32
    }

    /// Returns the requests per second of `rank` that use `share` of the fleet's capacity.
    pub fn rate_for(&self, rank: WorkRank, share: f64) -> f64 {
        let work = f64::from(output_tokens(rank))
            + f64::from(NEW_CHAT_PROMPT_TOKENS) / self.spec.prefill_ratio;
        share * self.spec.capacity() * self.engines as f64 / work
    }
}

/// Returns the key of a simulated engine.
pub fn engine_key(index: usize) -> EngineKey {
    EngineKey(xxhash_rust::xxh3::xxh3_64(&index.to_le_bytes()))
}

/// Returns the number of tokens that a request of `rank` generates.
pub fn output_tokens(rank: WorkRank) -> u32 {
    match rank {
        WorkRank::Quick => 40,
        WorkRank::Verdict => 80,
        WorkRank::Long => 800,
    }
}
