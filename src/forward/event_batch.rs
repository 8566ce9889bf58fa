//! Complete events of a response that are on their way to the caller.

use bytes::Bytes;

/// Complete events of one response, in order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventBatch {
    pub bytes: Bytes,
    /// Number of events in `bytes`. Comments are none.
    pub event_count: u64,
    /// Id of the last event that has one.
    pub last_id: Option<u64>,
    /// Whether the last event has an id.
    pub is_numbered: bool,
}

impl EventBatch {
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}
