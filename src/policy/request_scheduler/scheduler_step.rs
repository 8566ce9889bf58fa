//! What the scheduler wants done.

use crate::ids::{EngineKey, ModelKey, RequestKey, VmKey};
use crate::policy::refusal::WorkRefusal;
use crate::policy::slot_counts::SlotKind;
use crate::policy::work_item::WorkItem;
use crate::rules::WorkRank;

/// What the scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerStep {
    /// Send the request to the engine.
    Run {
        /// The request.
        item: WorkItem,
        /// Where it goes.
        engine: EngineKey,
    },
    /// RequestSlot the steward of an engine for a slot.
    RequestSlot {
        /// The request that wants it, or [`ANY_REQUEST`](super::ANY_REQUEST).
        request: RequestKey,
        /// Its rank.
        rank: WorkRank,
        /// The engine.
        engine: EngineKey,
        /// The router that grants its slots.
        slot_owner: VmKey,
        /// Whether the steward is to answer once there is a slot.
        wait: bool,
    },
    /// Tell a router that waited that it has a slot now.
    Grant {
        /// The engine.
        engine: EngineKey,
        /// The router.
        router: VmKey,
        /// The slot.
        kind: SlotKind,
    },
    /// Give a slot back to the steward that granted it.
    Release {
        /// The engine.
        engine: EngineKey,
        /// The router that granted the slot.
        slot_owner: VmKey,
        /// The slot.
        kind: SlotKind,
    },
    /// Tell every other router how many requests this one runs.
    Announce {
        /// The model.
        model: ModelKey,
        /// Requests of this router in progress.
        running: u32,
    },
    /// Stop a running request at its engine, keeping its place in the answer.
    Preempt {
        /// The request.
        request: RequestKey,
    },
    /// Tell the caller that the request did not run.
    Refuse {
        /// The request.
        item: WorkItem,
        /// Why.
        refusal: WorkRefusal,
    },
}
