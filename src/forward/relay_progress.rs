//! What the caller has received of a stream, over all attempts of the call.

use bytes::Bytes;

use crate::forward::event_batch::EventBatch;

/// The events that went to the caller. It is all that one attempt leaves to the next one.
#[derive(Clone, Debug, Default)]
pub struct RelayProgress {
    last_id: Option<u64>,
    event_count: u64,
}

impl RelayProgress {
    /// Creates the progress of a call without events. `resume_after` is the last event that the
    /// caller has from an earlier call, or `None` for a stream from its first event.
    pub fn new(resume_after: Option<u64>) -> Self {
        Self {
            last_id: resume_after,
            event_count: 0,
        }
    }

    /// Records that a batch goes to the caller and returns its bytes.
    pub fn relay(&mut self, batch: EventBatch) -> Bytes {
        self.last_id = batch.last_id.or(self.last_id);
        self.event_count += batch.event_count;
        batch.bytes
    }

    /// Returns the id of the event after which the next attempt continues.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of events that went to the caller.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns whether the caller has received any event of this call.
    pub fn has_begun(&self) -> bool {
        self.event_count > 0
    }

    /// Returns whether another attempt can continue without repeating events: where they have no
    /// ids, no upstream can be told which ones the caller has.
    pub fn can_continue(&self) -> bool {
        !self.has_begun() || self.last_id.is_some()
    }
}
