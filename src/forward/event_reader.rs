//! Splits the body of a stream into whole events.

use bytes::{Bytes, BytesMut};

use crate::policy::call_attempts::AttemptFault;

/// Largest event: an upstream that sends none within this sends no events.
const EVENT_BYTES: usize = 1 << 20;

/// Collects the bytes of a stream and hands out whole events.
#[derive(Debug, Default)]
pub struct EventReader {
    pending: BytesMut,
    /// Where the search for the end of the next event goes on.
    searched: usize,
    last: Option<u64>,
    events: u64,
}

impl EventReader {
    /// A reader of a stream that goes on after event `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// The id of the last event handed out.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Events handed out.
    pub fn event_count(&self) -> u64 {
        self.events
    }

    /// Whether bytes of an unfinished event are held.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Starts over with the body of another upstream, after the last event handed out.
    pub fn restart(&mut self) {
        self.pending.clear();
        self.searched = 0;
    }

    /// Adds bytes and takes the whole events among them, empty if there is none. Ids that don't
    /// rise are a broken answer.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, AttemptFault> {
        self.pending.extend_from_slice(bytes);
        let mut whole = 0;
        while let Some(end) = self.event_end() {
            let id = event_id(&self.pending[whole..end]);
            if let Some(id) = id {
                if self.last.is_some_and(|last| id <= last) {
                    return Err(AttemptFault::BadAnswer);
                }
                self.last = Some(id);
            }
            self.events += 1;
            whole = end;
            self.searched = end;
        }
        if self.pending.len() - whole > EVENT_BYTES {
            return Err(AttemptFault::BadAnswer);
        }
        self.searched = self.pending.len().saturating_sub(3).max(whole) - whole;
        Ok(self.pending.split_to(whole).freeze())
    }

    /// The end of the first event after what was searched: a blank line.
    fn event_end(&self) -> Option<usize> {
        let rest = &self.pending[self.searched..];
        let end = |mark: &[u8]| {
            rest.windows(mark.len())
                .position(|window| window == mark)
                .map(|at| self.searched + at + mark.len())
        };
        [end(b"\n\n"), end(b"\r\n\r\n")].into_iter().flatten().min()
    }
}

/// The number in the `id` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|&byte| byte == b'\n');
    lines.rev().find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
