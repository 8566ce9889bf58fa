//! Slot requests that a router has sent to the slot owners of other engines.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{EngineKey, RequestKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::work_item::WorkItem;

/// Longest wait for a slot owner's response.
pub const SLOT_REQUEST_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which no slot of an engine is requested after a denial.
pub const DENIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Time after which a request in a slot owner's queue counts as lost.
const QUEUED_REQUEST_TTL: Duration = Duration::from_secs(2);

/// Maximum number of slot owners' queues in which a router waits at once.
const MAX_QUEUED_REQUESTS: usize = 2;

/// A request that waits for a slot owner's response.
#[derive(Clone, Debug)]
pub struct PendingSlotRequest {
    /// The request that needs the slot.
    pub item: WorkItem,
    /// The engine whose slot was requested.
    pub engine: EngineKey,
    /// When the slot request was sent.
    pub since: MonoTime,
    /// Engines that already had no slot for it.
    pub excluded: Vec<EngineKey>,
}

#[derive(Clone, Copy, Debug)]
struct QueuedSlotRequest {
    slot_owner: VmKey,
    since: MonoTime,
}

/// Slot requests without a response, requests in slot owners' queues, and recent denials.
#[derive(Debug, Default)]
pub struct PendingSlotRequests {
    in_flight: BTreeMap<RequestKey, PendingSlotRequest>,
    queued: BTreeMap<EngineKey, QueuedSlotRequest>,
    denied_until: BTreeMap<EngineKey, MonoTime>,
}

impl PendingSlotRequests {
    /// Records a slot request; it replaces an earlier one for the same request.
    pub fn add(&mut self, pending: PendingSlotRequest) {
        self.in_flight.insert(pending.item.request, pending);
    }

    /// Removes and returns the slot request for a request, if it is for this engine.
    pub fn take(&mut self, request: RequestKey, engine: EngineKey) -> Option<PendingSlotRequest> {
        let matches = self
            .in_flight
            .get(&request)
            .is_some_and(|pending| pending.engine == engine);
        if matches {
            self.in_flight.remove(&request)
        } else {
            None
        }
    }

    /// Removes and returns the slot request for a request.
    pub fn cancel(&mut self, request: RequestKey) -> Option<PendingSlotRequest> {
        self.in_flight.remove(&request)
    }

    /// Removes and returns all slot requests.
    pub fn drain(&mut self) -> Vec<PendingSlotRequest> {
        std::mem::take(&mut self.in_flight).into_values().collect()
    }

    /// Removes and returns the slot requests that got no response in time.
    pub fn take_expired(&mut self, now: MonoTime) -> Vec<PendingSlotRequest> {
        let expired = self.in_flight.extract_if(.., |_, pending| {
            now.since(pending.since) >= SLOT_REQUEST_TIMEOUT
        });
        let mut expired: Vec<PendingSlotRequest> = expired.map(|(_, pending)| pending).collect();
        expired.sort_by_key(|pending| pending.item.request);
        expired
    }

    /// Records that an engine has no slot until the given time.
    pub fn deny(&mut self, engine: EngineKey, until: MonoTime) {
        self.denied_until.insert(engine, until);
    }

    /// Returns whether the backoff after a denial of this engine's slots has not ended yet.
    pub fn is_denied(&self, now: MonoTime, engine: EngineKey) -> bool {
        self.denied_until
            .get(&engine)
            .is_some_and(|&until| now < until)
    }

    /// Records a request in a slot owner's queue. Returns `false`, without recording it, if the
    /// router already waits for this engine or in `MAX_QUEUED_REQUESTS` queues.
    pub fn enqueue(&mut self, now: MonoTime, engine: EngineKey, slot_owner: VmKey) -> bool {
        let has_room =
            self.queued.len() < MAX_QUEUED_REQUESTS && !self.queued.contains_key(&engine);
        if has_room {
            self.queued.insert(
                engine,
                QueuedSlotRequest {
                    slot_owner,
                    since: now,
                },
            );
        }
        has_room
    }

    /// Returns whether the router may wait in one more queue.
    pub fn can_enqueue(&self) -> bool {
        self.queued.len() < MAX_QUEUED_REQUESTS
    }

    /// Removes the queued request for an engine whose slot owner has responded to it.
    pub fn complete_queued(&mut self, engine: EngineKey) {
        self.queued.remove(&engine);
        self.denied_until.remove(&engine);
    }

    /// Removes expired denials and queued requests, and those queued at unreachable routers.
    pub fn remove_expired(&mut self, now: MonoTime, routers: &[VmKey]) {
        self.denied_until.retain(|_, until| now < *until);
        self.queued.retain(|_, request| {
            now.since(request.since) < QUEUED_REQUEST_TTL && routers.contains(&request.slot_owner)
        });
    }
}
