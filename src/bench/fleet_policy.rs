//! The interface between the simulation and a policy, either the product's or a baseline.

use crate::ids::{EngineKey, RequestKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::refusal::WorkRefusal;
use crate::policy::request_scheduler::PoolEngine;
use crate::policy::work_item::WorkItem;
use crate::rules::WorkRank;
use crate::wire::PeerBody;

/// Index of a router in the simulated fleet.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RouterIndex(pub usize);

impl RouterIndex {
    /// Returns the key of this router's VM.
    pub fn vm(self) -> VmKey {
        VmKey(0x1000 + self.0 as u64)
    }
}

/// An action that the simulation carries out for a policy.
#[derive(Clone, Debug)]
pub enum PolicyAction {
    /// Sends a request to an engine.
    Run {
        request: RequestKey,
        engine: EngineKey,
    },
    /// Stops a running request, which later resumes where its response was cut off.
    Preempt { request: RequestKey },
    /// Refuses a request.
    Refuse {
        request: RequestKey,
        /// The reason, and when to retry.
        refusal: WorkRefusal,
    },
    /// Sends a message to another router.
    Send {
        from: RouterIndex,
        to: RouterIndex,
        body: PeerBody,
    },
}

/// The actual state of the engines. Baselines read it; routers of the product don't have it.
pub trait ActualFleet {
    /// Returns the number of requests that an engine runs or queues.
    fn load(&self, engine: EngineKey) -> u32;
    /// Returns the number of the item's prompt tokens that an engine has cached.
    fn cached(&self, engine: EngineKey, item: &WorkItem) -> u32;
}

/// A policy for all routers of a fleet. The simulation calls it and carries out the actions that it
/// returns.
pub trait FleetPolicy {
    /// Handles a request that arrives at a router.
    fn offer(
        &mut self,
        now: MonoTime,
        router: RouterIndex,
        item: WorkItem,
        actual: &impl ActualFleet,
    ) -> Vec<PolicyAction>;

    /// Handles the end of a router's request.
    fn finish(
        &mut self,
        _now: MonoTime,
        _router: RouterIndex,
        _request: RequestKey,
    ) -> Vec<PolicyAction> {
        Vec::new()
    }

    /// Handles a request that has released its slot after [`PolicyAction::Preempt`].
    fn preempted(
        &mut self,
        _now: MonoTime,
        _router: RouterIndex,
        _request: RequestKey,
    ) -> Vec<PolicyAction> {
        Vec::new()
    }

    /// Handles a message that reaches a router.
    fn deliver(
        &mut self,
        _now: MonoTime,
        _from: RouterIndex,
        _to: RouterIndex,
        _body: PeerBody,
    ) -> Vec<PolicyAction> {
        Vec::new()
    }

    /// Performs periodic work. It is called at a fixed interval.
    fn tick(&mut self, _now: MonoTime) -> Vec<PolicyAction> {
        Vec::new()
    }

    /// Replaces a router's list of engines.
    fn set_engines(&mut self, router: RouterIndex, engines: &[PoolEngine]);

    /// Returns the priority that engines receive with a request. A smaller number is more urgent.
    fn priority(&self, rank: WorkRank) -> u8 {
        rank.engine_priority()
    }
}
