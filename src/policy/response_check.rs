//! Checks that the events of an answer belong to the request and follow one another.

use std::fmt;

/// What to do with an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventVerdict {
    /// Relay it.
    Relay,
    /// Drop it: it belongs to another request.
    Foreign,
    /// Drop it: it was relayed already.
    Repeated,
    /// The stream lost an event; the answer can't go on from here on this connection.
    Gap,
}

/// How an answer stands at the end of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndVerdict {
    /// Every event was relayed.
    Complete,
    /// The engine counted more events than were relayed.
    Incomplete,
}

/// Follows one answer over all its connections.
#[derive(Clone, Debug)]
pub struct ResponseCheck {
    request: String,
    /// Events relayed so far; also the sequence number that must come next.
    relayed: u64,
    dropped: u64,
}

impl ResponseCheck {
    /// A check for the answer to `request`.
    pub fn new<R: fmt::Display>(request: R) -> Self {
        Self {
            request: request.to_string(),
            relayed: 0,
            dropped: 0,
        }
    }

    /// Events relayed so far; the offset from which to resume.
    pub fn relayed(&self) -> u64 {
        self.relayed
    }

    /// Events dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Whether `request` is the one whose answer this is.
    pub fn is_own(&self, request: &str) -> bool {
        self.request == request
    }

    /// Judges the event numbered `sequence` of `request`.
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

    /// Judges an end marker that counts `events`.
    pub fn verify_end(&self, events: u64) -> EndVerdict {
        if events == self.relayed {
            EndVerdict::Complete
        } else {
            EndVerdict::Incomplete
        }
    }
}
