//! What the simulation asks of a policy: the product's, or a baseline.

use crate::ids::{EngineKey, RequestKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::refusal::WorkRefusal;
use crate::policy::request_scheduler::PoolEngine;
use crate::policy::work_item::WorkItem;
use crate::rules::WorkRank;
use crate::wire::PeerBody;

/// Position of a router in the simulated fleet.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RouterIndex(pub usize);

impl RouterIndex {
    /// The key of this router's VM.
    pub fn vm(self) -> VmKey {
        VmKey(0x1000 + self.0 as u64)
    }
}

/// What a policy wants done.
#[derive(Clone, Debug)]
pub enum PolicyAction {
    /// Send a request to an engine.
    Run {
        /// The request.
        request: RequestKey,
        /// The engine.
        engine: EngineKey,
    },
    /// Stop a running request, keeping its place in the answer.
    Preempt {
        /// The request.
        request: RequestKey,
    },
    /// Refuse a request.
    Refuse {
        /// The request.
        request: RequestKey,
        /// Why, and when to try again.
        refusal: WorkRefusal,
    },
    /// Send a message to another router.
    Send {
        /// The sender.
        from: RouterIndex,
        /// The receiver.
        to: RouterIndex,
        /// What it says.
        body: PeerBody,
    },
}

/// What is true of the engines now, for policies that know everything.
pub trait FleetTruth {
    /// Requests on an engine.
    fn load(&self, engine: EngineKey) -> u32;
    /// Prompt tokens that an engine has cached for the item's chat.
    fn cached(&self, engine: EngineKey, item: &WorkItem) -> u32;
}

/// A policy for a whole fleet of routers.
pub trait FleetPolicy {
    /// A request comes to a router.
    fn offer(
        &mut self,
        now: MonoTime,
        router: RouterIndex,
        item: WorkItem,
        truth: &impl FleetTruth,
    ) -> Vec<PolicyAction>;

    /// A request of a router ended.
    fn finish(
        &mut self,
        _now: MonoTime,
        _router: RouterIndex,
        _request: RequestKey,
    ) -> Vec<PolicyAction> {
        Vec::new()
    }

    /// A request that was to stop has given its slot up.
    fn preempted(
        &mut self,
        _now: MonoTime,
        _router: RouterIndex,
        _request: RequestKey,
    ) -> Vec<PolicyAction> {
        Vec::new()
    }

    /// A message reaches a router.
    fn deliver(
        &mut self,
        _now: MonoTime,
        _from: RouterIndex,
        _to: RouterIndex,
        _body: PeerBody,
    ) -> Vec<PolicyAction> {
        Vec::new()
    }

    /// Time passes; called at a fixed interval.
    fn tick(&mut self, _now: MonoTime) -> Vec<PolicyAction> {
        Vec::new()
    }

    /// A router sees a new list of engines.
    fn set_engines(&mut self, router: RouterIndex, engines: &[PoolEngine]);

    /// The priority that engines are given; a smaller number is more urgent.
    fn priority(&self, rank: WorkRank) -> u8 {
        rank.engine_priority()
    }
}
