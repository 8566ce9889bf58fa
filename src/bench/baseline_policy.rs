//! Baseline policies to compare the product with. Each forwards a request to an engine immediately;
//! requests beyond the engine's slots wait in the engine's own FIFO queue.

use std::collections::HashMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::bench::fleet_policy::{ActualFleet, FleetPolicy, PolicyAction, RouterIndex};
use crate::ids::EngineKey;
use crate::mono::MonoTime;
use crate::policy::placement::{WeightedChoice, rendezvous_order};
use crate::policy::request_scheduler::PoolEngine;
use crate::policy::work_item::WorkItem;
use crate::rules::WorkRank;

/// Interval at which the load reports of [`BaselineStrategy::LeastLoaded`] are refreshed.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How a baseline policy selects an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaselineStrategy {
    /// Any engine.
    Random,
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the lowest load in the last reports, which are up to a second old.
    LeastLoaded,
    /// The chat's first engine in rendezvous order, whatever its load.
    Hashing,
}

/// Routers that all select engines by the same strategy.
pub struct BaselinePolicy {
    strategy: BaselineStrategy,
    rng: ChaCha8Rng,
    /// Open engines by index of the router.
    engines: Vec<Vec<EngineKey>>,
    next_index: usize,
    reports: HashMap<EngineKey, u32>,
    next_report: MonoTime,
}

impl BaselinePolicy {
    /// Creates the policy of `count` routers.
    pub fn new(count: usize, strategy: BaselineStrategy, seed: u64) -> Self {
        Self {
            strategy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: vec![Vec::new(); count],
            next_index: 0,
            reports: HashMap::new(),
            next_report: MonoTime::default(),
        }
    }

    fn pick(&mut self, router: RouterIndex, item: &WorkItem) -> Option<EngineKey> {
        let engines = &self.engines[router.0];
        if engines.is_empty() {
            return None;
        }
        Some(match self.strategy {
            BaselineStrategy::Random => engines[self.rng.random_range(0..engines.len())],
            BaselineStrategy::RoundRobin => {
                self.next_index += 1;
                engines[self.next_index % engines.len()]
            }
            BaselineStrategy::LeastLoaded => {
                let load = |engine: &EngineKey| self.reports.get(engine).copied().unwrap_or(0);
                *engines.iter().min_by_key(|engine| load(engine))?
            }
            BaselineStrategy::Hashing => {
                let choices: Vec<_> = engines
                    .iter()
                    .map(|&key| WeightedChoice { key, weight: 1.0 })
                    .collect();
                rendezvous_order(item.chat.0, &choices)[0]
            }
        })
    }
}

impl FleetPolicy for BaselinePolicy {
    fn offer(
        &mut self,
        now: MonoTime,
        router: RouterIndex,
        item: WorkItem,
        actual: &impl ActualFleet,
    ) -> Vec<PolicyAction> {
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL;
            let engines = self.engines.iter().flatten();
            self.reports = engines
                .map(|&engine| (engine, actual.load(engine)))
                .collect();
        }
        let request = item.request;
        let picked = self.pick(router, &item);
        picked
            .map(|engine| PolicyAction::Run { request, engine })
            .into_iter()
            .collect()
    }

    fn set_engines(&mut self, router: RouterIndex, engines: &[PoolEngine]) {
        let open = engines.iter().filter(|engine| engine.open);
        self.engines[router.0] = open.map(|engine| engine.key).collect();
    }

    /// Returns the same priority for every rank, so that engines run requests in order of arrival.
    fn priority(&self, _: WorkRank) -> u8 {
        0
    }
}
