//! Complete events of a response that are on their way to the caller.

use bytes::{Bytes, BytesMut};

/// How event ids follow on each other.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EventNumbering {
    /// No id followed on another one.
    #[default]
    Unknown,
    /// Each id was the one before plus one.
    Consecutive,
    /// An id was higher than that.
    Spaced,
}

impl EventNumbering {
    /// Returns the numbering after an id that follows on `last`, if any.
    #[must_use]
    pub fn after(self, last: Option<u64>, id: u64) -> Self {
        match last {
            None => self,
            Some(last) if last.checked_add(1) == Some(id) => self.and(Self::Consecutive),
            Some(_) => Self::Spaced,
        }
    }

    /// Returns the numbering of two parts of a stream together.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Spaced, _) | (_, Self::Spaced) => Self::Spaced,
            (Self::Unknown, Self::Unknown) => Self::Unknown,
            _ => Self::Consecutive,
        }
    }
}

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
    /// How the ids follow on each other, and the first one on the id before the batch.
    pub numbering: EventNumbering,
}

impl EventBatch {
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns whether the batch contains an event, and not only comments.
    pub fn has_event(&self) -> bool {
        self.event_count > 0
    }

    /// Returns this batch with `comments` before its events.
    #[must_use]
    pub fn preceded_by(self, mut comments: BytesMut) -> Self {
        if comments.is_empty() {
            return self;
        }
        comments.extend_from_slice(&self.bytes);
        Self {
            bytes: comments.freeze(),
            ..self
        }
    }
}
