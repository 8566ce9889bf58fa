//! Checks that the events of a streamed response belong to the request and arrive without gaps.

use std::fmt;

/// The action to take on an event received from an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventVerdict {
    /// Relay the event to the caller.
    Relay,
    /// Drop the event: it belongs to another request.
    Foreign,
    /// Drop the event: an event with this sequence number was relayed before.
    Repeated,
    /// An event is missing, so the response can't continue on this connection.
    Gap,
}

/// Whether a response was complete when the engine sent its end marker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndVerdict {
    /// Every event was relayed.
    Complete,
    /// The engine's event count differs from the number of relayed events.
    Incomplete,
}

/// Tracks the events of one response across all the connections that carry it.
#[derive(Clone, Debug)]
pub struct ResponseCheck {
    request: String,
    /// Number of events relayed so far, which is also the next expected sequence number.
    relayed: u64,
    dropped: u64,
}

impl ResponseCheck {
    /// Creates a check for the response to the request with the id `request`.
    pub fn new<R: fmt::Display>(request: R) -> Self {
        Self {
            request: request.to_string(),
            relayed: 0,
            dropped: 0,
        }
    }

    /// Returns the number of events relayed so far, which is the offset to resume from.
    pub fn relayed(&self) -> u64 {
        self.relayed
    }

    /// Returns the number of events not relayed: foreign, repeated or after a gap.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns whether `request` is the id of the request that this response belongs to.
    pub fn is_own(&self, request: &str) -> bool {
        self.request == request
    }

    /// Decides what to do with event number `sequence` of `request`, and counts the event.
    pub fn verify_event(&mut self, request: &str, sequence: u64) -> EventVerdict {
        let verdict = if !self.is_own(request) {
            EventVerdict::Foreign
        } else if sequence < self.relayed {
            EventVerdict::Repeated
        } else if sequence > self.relayed {
            EventVerdict::Gap
        } else {
            EventVerdict::Relay
        };
        match verdict {
            EventVerdict::Relay => self.relayed += 1,
            _ => self.dropped += 1,
        }
        verdict
    }

    /// Compares the event count of an end marker with the number of relayed events.
    pub fn verify_end(&self, events: u64) -> EndVerdict {
        if events == self.relayed {
            EndVerdict::Complete
        } else {
            EndVerdict::Incomplete
        }
    }
}
