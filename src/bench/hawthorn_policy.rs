//! The product's own decisions, one scheduler a router, with messages between them.

use std::sync::Arc;
use std::time::Duration;

use crate::bench::fleet_policy::{FleetPolicy, FleetTruth, PolicyAction, RouterIndex};
use crate::ids::{EngineKey, RequestKey};
use crate::mono::MonoTime;
use crate::policy::request_scheduler::{PoolEngine, RequestScheduler, SchedulerStep};
use crate::policy::slot_steward::{EngineLoad, SlotAnswer};
use crate::policy::work_item::WorkItem;
use crate::rules::RuleBook;
use crate::wire::{FleetDigest, LoadEntry, PeerBody, SlotAsk, SlotRelease, SlotReply};
use crate::wire_convert::rank_from_wire;

/// Time between two digests of a router.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);

/// Schedulers of a fleet.
pub struct HawthornPolicy {
    routers: Vec<RequestScheduler>,
    next_digest: MonoTime,
}

impl HawthornPolicy {
    /// A fleet of `count` routers under the same rules.
    pub fn new(count: usize, rules: &RuleBook) -> Self {
        let rules = Arc::new(rules.clone());
        let keys: Vec<_> = (0..count).map(|index| RouterIndex(index).vm()).collect();
        let routers = keys.iter().map(|&own| {
            let others: Vec<_> = keys.iter().copied().filter(|&key| key != own).collect();
            let mut scheduler = RequestScheduler::new(own, Arc::clone(&rules));
            scheduler.set_routers(&others);
            scheduler
        });
        Self {
            routers: routers.collect(),
            next_digest: MonoTime::default(),
        }
    }

    /// The scheduler of one router.
    pub fn router(&self, router: RouterIndex) -> &RequestScheduler {
        &self.routers[router.0]
    }

    fn index_of(&self, vm: crate::ids::VmKey) -> Option<RouterIndex> {
        (0..self.routers.len())
            .map(RouterIndex)
            .find(|index| index.vm() == vm)
    }

    fn pump(&mut self, now: MonoTime, router: RouterIndex) -> Vec<PolicyAction> {
        let steps = self.routers[router.0].poll(now);
        self.actions(router, steps)
    }

    fn actions(&self, from: RouterIndex, steps: Vec<SchedulerStep>) -> Vec<PolicyAction> {
        steps
            .into_iter()
            .filter_map(|step| self.action(from, step))
            .collect()
    }

    fn action(&self, from: RouterIndex, step: SchedulerStep) -> Option<PolicyAction> {
        let send = |to, body| PolicyAction::Send { from, to, body };
        Some(match step {
            SchedulerStep::Run { item, engine } => PolicyAction::Run {
                request: item.request,
                engine,
            },
            SchedulerStep::Refuse { item, refusal } => PolicyAction::Refuse {
                request: item.request,
                refusal,
            },
            SchedulerStep::Ask {
                request,
                rank,
                engine,
                steward,
            } => {
                let ask = SlotAsk {
                    request: request.0,
                    engine: engine.0,
                    rank: rank.index() as u32,
                };
                send(self.index_of(steward)?, PeerBody::SlotAsk(ask))
            }
            SchedulerStep::Release { engine, steward } => {
                let release = SlotRelease { engine: engine.0 };
                send(self.index_of(steward)?, PeerBody::SlotRelease(release))
            }
        })
    }

    fn digests(&self) -> Vec<PolicyAction> {
        let mut actions = Vec::new();
        for (index, router) in self.routers.iter().enumerate() {
            let from = RouterIndex(index);
            let loads = router.own_loads().into_iter().map(LoadEntry::from);
            let digest = FleetDigest {
                sequence: 1 << 20,
                draining: false,
                revision: 1 << 20,
                loads: loads.collect(),
                reports: Vec::new(),
            };
            let others = (0..self.routers.len())
                .map(RouterIndex)
                .filter(|&to| to != from);
            actions.extend(others.map(|to| PolicyAction::Send {
                from,
                to,
                body: PeerBody::Digest(digest.clone()),
            }));
        }
        actions
    }
}

impl FleetPolicy for HawthornPolicy {
    fn offer(
        &mut self,
        now: MonoTime,
        router: RouterIndex,
        item: WorkItem,
        _truth: &impl FleetTruth,
    ) -> Vec<PolicyAction> {
        let request = item.request;
        match self.routers[router.0].offer(item) {
            Ok(()) => self.pump(now, router),
            Err(refusal) => vec![PolicyAction::Refuse { request, refusal }],
        }
    }

    fn finish(
        &mut self,
        now: MonoTime,
        router: RouterIndex,
        request: RequestKey,
    ) -> Vec<PolicyAction> {
        let released = self.routers[router.0].finish(now, request);
        let mut actions = self.actions(router, released.into_iter().collect());
        actions.extend(self.pump(now, router));
        actions
    }

    fn deliver(
        &mut self,
        now: MonoTime,
        from: RouterIndex,
        to: RouterIndex,
        body: PeerBody,
    ) -> Vec<PolicyAction> {
        let scheduler = &mut self.routers[to.0];
        let mut actions = Vec::new();
        match body {
            PeerBody::SlotAsk(ask) => {
                let engine = EngineKey(ask.engine);
                let answer = scheduler.grant(now, from.vm(), engine, rank_from_wire(ask.rank));
                let reply = SlotReply {
                    request: ask.request,
                    engine: ask.engine,
                    granted: answer == SlotAnswer::Granted,
                };
                actions.push(PolicyAction::Send {
                    from: to,
                    to: from,
                    body: PeerBody::SlotReply(reply),
                });
            }
            PeerBody::SlotReply(reply) => {
                let answer = if reply.granted {
                    SlotAnswer::Granted
                } else {
                    SlotAnswer::Full
                };
                let (request, engine) = (RequestKey(reply.request), EngineKey(reply.engine));
                let steps = scheduler.answer(now, request, engine, answer);
                actions.extend(self.actions(to, steps));
            }
            PeerBody::SlotRelease(release) => {
                scheduler.released(now, from.vm(), EngineKey(release.engine));
            }
            PeerBody::Digest(digest) => {
                let loads: Vec<EngineLoad> = digest.loads.iter().map(|&load| load.into()).collect();
                scheduler.report(now, from.vm(), &loads);
            }
            _ => {}
        }
        actions.extend(self.pump(now, to));
        actions
    }

    fn tick(&mut self, now: MonoTime) -> Vec<PolicyAction> {
        let mut actions = Vec::new();
        for index in 0..self.routers.len() {
            actions.extend(self.pump(now, RouterIndex(index)));
        }
        if now >= self.next_digest {
            self.next_digest = now + DIGEST_INTERVAL;
            actions.extend(self.digests());
        }
        actions
    }

    fn set_engines(&mut self, router: RouterIndex, engines: &[PoolEngine]) {
        self.routers[router.0].set_engines(engines);
    }
}
