//! Actions that the scheduler returns to its caller.

use crate::ids::{EngineKey, ModelKey, RequestKey, VmKey};
use crate::policy::refusal::WorkRefusal;
use crate::policy::slot_counts::SlotKind;
use crate::policy::work_item::WorkItem;
use crate::rules::WorkRank;

/// An action that the scheduler leaves to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerStep {
    /// Send the request to the engine.
    Run { item: WorkItem, engine: EngineKey },
    /// Request a slot from the slot owner of an engine.
    RequestSlot {
        /// The request that needs the slot, or [`ANY_REQUEST`](super::ANY_REQUEST).
        request: RequestKey,
        rank: WorkRank,
        engine: EngineKey,
        /// The router that grants the engine's slots.
        slot_owner: VmKey,
        /// Whether the slot owner queues the request until a slot is free rather than deny it.
        wait: bool,
    },
    /// Notify a router that waits for a slot that it has been granted one.
    Grant {
        engine: EngineKey,
        /// The router that gets the slot.
        router: VmKey,
        kind: SlotKind,
    },
    /// Release a slot to the slot owner that granted it.
    Release {
        engine: EngineKey,
        /// The router that granted the slot.
        slot_owner: VmKey,
        kind: SlotKind,
    },
    /// Report to every other router how many requests this one runs on a model's engines.
    Announce {
        model: ModelKey,
        /// Requests of this router in progress on the model's engines.
        running: u32,
    },
    /// Stop a running request at its engine; its response resumes from the same event later.
    Preempt { request: RequestKey },
    /// Refuse a request that did not run.
    Refuse {
        item: WorkItem,
        /// The reason and the retry hint for the caller.
        refusal: WorkRefusal,
    },
}
