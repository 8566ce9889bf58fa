//! Plain policies to compare with. Each sends a request on at once; the engine's own queue, first
//! in first out, holds what is too much.

use std::collections::HashMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::bench::fleet_policy::{FleetPolicy, FleetTruth, PolicyAction, RouterIndex};
use crate::ids::EngineKey;
use crate::mono::MonoTime;
use crate::policy::placement::{WeightedChoice, rendezvous_order};
use crate::policy::request_scheduler::PoolEngine;
use crate::policy::work_item::WorkItem;
use crate::rules::WorkRank;

/// Age of the load reports that [`BaselineStrategy::LeastLoaded`] goes by.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// How a plain policy picks an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaselineStrategy {
    /// Any engine.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the lowest load by a report that lags.
    LeastLoaded,
    /// The home of the chat, whatever its load.
    Hashing,
}

/// Routers that all pick in the same plain way.
pub struct BaselinePolicy {
    choice: BaselineStrategy,
    rng: ChaCha8Rng,
    engines: Vec<Vec<EngineKey>>,
    next: usize,
    reports: HashMap<EngineKey, u32>,
    next_report: MonoTime,
}

impl BaselinePolicy {
    /// A fleet of `count` routers.
    pub fn new(count: usize, choice: BaselineStrategy, seed: u64) -> Self {
        Self {
            choice,
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: vec![Vec::new(); count],
            next: 0,
            reports: HashMap::new(),
            next_report: MonoTime::default(),
        }
    }

    fn pick(&mut self, router: RouterIndex, item: &WorkItem) -> Option<EngineKey> {
        let engines = &self.engines[router.0];
        if engines.is_empty() {
            return None;
        }
        Some(match self.choice {
            BaselineStrategy::Random => engines[self.rng.random_range(0..engines.len())],
            BaselineStrategy::RoundRobin => {
                self.next += 1;
                engines[self.next % engines.len()]
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
        truth: &impl FleetTruth,
    ) -> Vec<PolicyAction> {
        if now >= self.next_report {
            self.next_report = now + REPORT_LAG;
            let engines = self.engines.iter().flatten();
            self.reports = engines
                .map(|&engine| (engine, truth.load(engine)))
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

    /// First in, first out: no rank goes before another.
    fn priority(&self, _: WorkRank) -> u8 {
        0
    }
}
