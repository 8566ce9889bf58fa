//! What the caller has received of a stream, over all attempts of the call.

use bytes::Bytes;

use crate::forward::event_batch::{EventBatch, EventNumbering};
use crate::forward::event_reader::EventReader;

/// The events that went to the caller.
#[derive(Clone, Debug, Default)]
pub struct RelayProgress {
    last_id: Option<u64>,
    event_count: u64,
    /// Whether the last event has an id.
    is_numbered: bool,
    /// How the ids follow on each other, and the first one on that of an earlier call.
    numbering: EventNumbering,
}

impl RelayProgress {
    /// Creates the progress of a call without events. `resume_after` is the last event that the
    /// caller has from an earlier call, or `None` for a stream from its first event.
    pub fn new(resume_after: Option<u64>) -> Self {
        Self {
            last_id: resume_after,
            ..Self::default()
        }
    }

    /// Records that a batch goes to the caller and returns its bytes.
    pub fn relay(&mut self, batch: EventBatch) -> Bytes {
        if batch.has_event() {
            self.last_id = batch.last_id.or(self.last_id);
            self.event_count += batch.event_count;
            self.is_numbered = batch.is_numbered;
            self.numbering = self.numbering.and(batch.numbering);
        }
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

    /// Returns whether another attempt can continue without repeating events: an event without id
    /// can't be named to an upstream.
    pub fn can_continue(&self) -> bool {
        !self.has_begun() || self.is_numbered
    }

    /// Creates the reader of the next attempt's response.
    pub fn next_reader(&self) -> EventReader {
        if self.has_begun() {
            EventReader::continuing(self.last_id, self.numbering)
        } else {
            EventReader::new(self.last_id)
        }
    }
}
