//! Decides what a router does to know the evacuations beside routers that pass none on, after a restore
//! of the store, and before it serves.

use std::time::Duration;

use crate::fleet::store_stamp::StoreStamp;
use crate::mono::MonoTime;

/// Time between two requests for all changes since the last known evacuations, if the router that
/// answered last passed none on. An evacuation must apply within 5 s also where it is only known from
/// peers; all documents of a large fleet are about a megabyte.
const FULL_REQUEST_PERIOD: Duration = Duration::from_secs(3);

/// Time between two requests to peers while an evacuation holds that a restored store doesn't list: a
/// peer may know that it has ended. The responses hold little more than the known withdrawals.
const UNLISTED_PERIOD: Duration = Duration::from_secs(10);

/// How long a router that could serve waits for the evacuations. Without the store for as long it is
/// out of contact and serves with what it has.
const BOOT_LIMIT: Duration = Duration::from_secs(4);

/// What this router has asked for, and what it waits for.
#[derive(Debug, Default)]
pub struct EvacuationPlan {
    next_full_request: MonoTime,
    /// Whether the router that answered last passed no evacuations on.
    has_older_peer: bool,
    /// State after which documents were last requested.
    asked_since: StoreStamp,
    next_unlisted_request: MonoTime,
    /// Since when the router has all else that it needs to serve.
    ready_since: Option<MonoTime>,
}

impl EvacuationPlan {
    /// State after which a peer is to return all changes, for a router that knows the evacuations up to
    /// `covered` and other changes up to `stamp`.
    pub fn request_stamp(
        &mut self,
        stamp: StoreStamp,
        covered: StoreStamp,
        now: MonoTime,
    ) -> StoreStamp {
        self.asked_since = if self.has_older_peer && now < self.next_full_request {
            stamp
        } else {
            self.next_full_request = now + FULL_REQUEST_PERIOD;
            covered
        };
        self.asked_since
    }

    /// State after which documents were last requested.
    pub fn asked_since(&self) -> StoreStamp {
        self.asked_since
    }

    /// Records the answer of a peer that knows the evacuations up to `known`, and returns that state.
    /// `None` if it knows nothing of them: it is of an older build, or has heard from such routers only.
    pub fn record_answer(&mut self, known: Option<StoreStamp>) -> Option<StoreStamp> {
        let known = known.filter(|known| *known > StoreStamp::default());
        self.has_older_peer = known.is_none();
        known
    }

    /// Whether to ask a peer about evacuations that a restored store doesn't list.
    pub fn asks_for_unlisted(&mut self, unlisted: usize, now: MonoTime) -> bool {
        let is_due = unlisted > 0 && now >= self.next_unlisted_request;
        if is_due {
            self.next_unlisted_request = now + UNLISTED_PERIOD;
        }
        is_due
    }

    /// Whether a router that has all else it needs may serve. `knows` is whether it has heard of
    /// evacuations from any source.
    pub fn may_serve(&mut self, knows: bool, now: MonoTime) -> bool {
        let since = *self.ready_since.get_or_insert(now);
        knows || now.since(since) >= BOOT_LIMIT
    }
}
