//! The product's scheduling as a simulated policy: one request scheduler per router, with messages
//! between them.

use std::sync::Arc;
use std::time::Duration;

use crate::bench::fleet_policy::{ActualFleet, FleetPolicy, PolicyAction, RouterIndex};
use crate::ids::{EngineKey, ModelKey, RequestKey};
use crate::mono::MonoTime;
use crate::policy::request_scheduler::{PoolEngine, RequestScheduler, SchedulerStep};
use crate::policy::slot_counts::EngineLoad;
use crate::policy::slot_waiters::SlotWaiter;
use crate::policy::work_item::WorkItem;
use crate::rules::RuleBook;
use crate::wire::{FleetDigest, LoadEntry, PeerBody};
use crate::wire_convert::{
    AddressedMessage, kind_from_wire, rank_from_wire, slot_reply, step_message,
};

/// Interval at which each router sends its digest to the others.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// The request schedulers of all routers of a fleet.
pub struct HawthornPolicy {
    routers: Vec<RequestScheduler>,
    next_digest: MonoTime,
}

impl HawthornPolicy {
    /// Creates the schedulers of `count` routers with the same rules.
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

    /// Returns the scheduler of a router.
    pub fn router(&self, router: RouterIndex) -> &RequestScheduler {
        &self.routers[router.0]
    }

    fn poll_router(&mut self, now: MonoTime, router: RouterIndex) -> Vec<PolicyAction> {
        let steps = self.routers[router.0].poll(now);
        self.actions(router, steps)
    }

    fn actions(&self, from: RouterIndex, steps: Vec<SchedulerStep>) -> Vec<PolicyAction> {
        steps
            .into_iter()
            .flat_map(|step| self.action(from, step))
            .collect()
    }

    fn action(&self, from: RouterIndex, step: SchedulerStep) -> Vec<PolicyAction> {
        if let Some(message) = step_message(&self.routers[from.0], &step) {
            return self.send_actions(from, &message);
        }
        match step {
            SchedulerStep::Run { item, engine } => vec![PolicyAction::Run {
                request: item.request,
                engine,
            }],
            SchedulerStep::Preempt { request } => vec![PolicyAction::Preempt { request }],
            SchedulerStep::Refuse { item, refusal } => vec![PolicyAction::Refuse {
                request: item.request,
                refusal,
            }],
            _ => Vec::new(),
        }
    }

    fn send_actions(&self, from: RouterIndex, message: &AddressedMessage) -> Vec<PolicyAction> {
        let others = (0..self.routers.len())
            .map(RouterIndex)
            .filter(|&to| to != from);
        let recipients = others.filter(|to| message.to.is_none_or(|vm| vm == to.vm()));
        recipients
            .map(|to| PolicyAction::Send {
                from,
                to,
                body: message.body.clone(),
            })
            .collect()
    }

    fn digest_actions(&self) -> Vec<PolicyAction> {
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
                waiting: router.waiting_total(),
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
        _actual: &impl ActualFleet,
    ) -> Vec<PolicyAction> {
        let request = item.request;
        match self.routers[router.0].offer(item) {
            Ok(()) => self.poll_router(now, router),
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
        actions.extend(self.poll_router(now, router));
        actions
    }

    fn preempted(
        &mut self,
        now: MonoTime,
        router: RouterIndex,
        request: RequestKey,
    ) -> Vec<PolicyAction> {
        let released = self.routers[router.0].preempted(now, request);
        let mut actions = self.actions(router, released.into_iter().collect());
        actions.extend(self.poll_router(now, router));
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
            PeerBody::SlotRequest(slot_request) => {
                let engine = EngineKey(slot_request.engine);
                scheduler.set_remote_running_by_engine(from.vm(), engine, slot_request.total);
                let waiter = SlotWaiter {
                    router: from.vm(),
                    rank: rank_from_wire(slot_request.rank),
                };
                if let Some(response) =
                    scheduler.handle_slot_request(now, engine, waiter, slot_request.wait)
                {
                    let total = scheduler.own_running(engine);
                    let reply =
                        slot_reply(RequestKey(slot_request.request), engine, response, total);
                    actions.push(PolicyAction::Send {
                        from: to,
                        to: from,
                        body: PeerBody::SlotReply(reply),
                    });
                }
            }
            PeerBody::SlotReply(reply) => {
                let (request, engine) = (RequestKey(reply.request), EngineKey(reply.engine));
                scheduler.set_remote_running_by_engine(from.vm(), engine, reply.total);
                let steps = scheduler.handle_slot_response(now, request, engine, reply.into());
                actions.extend(self.actions(to, steps));
            }
            PeerBody::SlotRelease(release) => {
                let engine = EngineKey(release.engine);
                scheduler.set_remote_running_by_engine(from.vm(), engine, release.total);
                scheduler.handle_slot_release(
                    now,
                    from.vm(),
                    engine,
                    kind_from_wire(release.headroom),
                );
            }
            PeerBody::Digest(digest) => {
                let loads: Vec<EngineLoad> = digest.loads.iter().map(|&load| load.into()).collect();
                scheduler.apply_load_report(now, from.vm(), &loads);
                scheduler.set_remote_waiting(from.vm(), digest.waiting);
            }
            PeerBody::LoadTotal(total) => {
                scheduler.set_remote_running(from.vm(), ModelKey(total.model), total.running);
                scheduler.set_remote_waiting(from.vm(), total.waiting);
            }
            _ => {}
        }
        actions.extend(self.poll_router(now, to));
        actions
    }

    fn tick(&mut self, now: MonoTime) -> Vec<PolicyAction> {
        let mut actions = Vec::new();
        for index in 0..self.routers.len() {
            actions.extend(self.poll_router(now, RouterIndex(index)));
        }
        if now >= self.next_digest {
            self.next_digest = now + DIGEST_INTERVAL;
            actions.extend(self.digest_actions());
        }
        actions
    }

    fn set_engines(&mut self, router: RouterIndex, engines: &[PoolEngine]) {
        self.routers[router.0].set_engines(engines);
    }
}
