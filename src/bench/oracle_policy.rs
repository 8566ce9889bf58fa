//! A single router that always knows the exact loads and caches: the upper bound on cache reuse.

use std::collections::VecDeque;

use crate::bench::fleet_policy::{ActualFleet, FleetPolicy, PolicyAction, RouterIndex};
use crate::ids::{EngineKey, RequestKey};
use crate::mono::MonoTime;
use crate::policy::load_bound::LoadBound;
use crate::policy::placement::{WeightedChoice, rendezvous_order};
use crate::policy::request_scheduler::PoolEngine;
use crate::policy::work_item::WorkItem;
use crate::rules::RuleBook;

/// Sends each request to the engine that has the most of its prompt cached, among the engines with
/// a free slot and a load below the bound.
pub struct OraclePolicy {
    bound: LoadBound,
    engines: Vec<PoolEngine>,
    running: Vec<(RequestKey, EngineKey)>,
    waiting: VecDeque<WorkItem>,
}

impl OraclePolicy {
    /// Creates a policy with the product's load bound.
    pub fn new(rules: &RuleBook) -> Self {
        Self {
            bound: LoadBound::new(rules.load_multiple),
            engines: Vec::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    fn load(&self, engine: EngineKey) -> u32 {
        self.running.iter().filter(|(_, on)| *on == engine).count() as u32
    }

    fn pick(&self, item: &WorkItem, actual: &impl ActualFleet) -> Option<EngineKey> {
        let slots: u32 = self.engines.iter().map(|engine| engine.slots).sum();
        let total = self.running.len() as u32;
        let below_bound = |engine: &PoolEngine| {
            let load = self.load(engine.key);
            let share = f64::from(engine.slots) / f64::from(slots.max(1));
            load < engine.slots && load < self.bound.limit(total, share)
        };
        let choices: Vec<_> = self
            .engines
            .iter()
            .filter(|engine| below_bound(engine))
            .map(|engine| WeightedChoice {
                key: engine.key,
                weight: f64::from(engine.slots),
            })
            .collect();
        let order = rendezvous_order(item.chat.0, &choices);
        // `max_by_key` returns the last of equal candidates, so the chat's first engine comes last.
        order
            .into_iter()
            .rev()
            .max_by_key(|&engine| actual.cached(engine, item))
    }
}

impl FleetPolicy for OraclePolicy {
    fn offer(
        &mut self,
        _: MonoTime,
        _: RouterIndex,
        item: WorkItem,
        actual: &impl ActualFleet,
    ) -> Vec<PolicyAction> {
        self.waiting.push_back(item);
        let mut actions = Vec::new();
        while let Some(item) = self.waiting.front() {
            let Some(engine) = self.pick(item, actual) else {
                break;
            };
            let request = item.request;
            self.running.push((request, engine));
            self.waiting.pop_front();
            actions.push(PolicyAction::Run { request, engine });
        }
        actions
    }

    fn finish(&mut self, _: MonoTime, _: RouterIndex, request: RequestKey) -> Vec<PolicyAction> {
        self.running.retain(|(running, _)| *running != request);
        Vec::new()
    }

    fn set_engines(&mut self, _: RouterIndex, engines: &[PoolEngine]) {
        self.engines = engines
            .iter()
            .copied()
            .filter(|engine| engine.open)
            .collect();
    }
}
