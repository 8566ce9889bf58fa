//! Splits the body of a `text/event-stream` response into complete events.

use bytes::BytesMut;
use memchr::memchr_iter;

use crate::forward::event_batch::{EventBatch, EventNumbering};
use crate::policy::call_attempts::AttemptFault;

/// Maximum size of an event, with the comments and blank lines before it. A body with more is
/// rejected as not being an event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the bytes of one response and returns its complete events.
#[derive(Debug, Default)]
pub struct EventReader {
    pending: BytesMut,
    /// Offset in `pending` at which the search for the end of the next event continues.
    search_from: usize,
    /// Bytes of comments and blank lines that were returned since the last event.
    skipped: usize,
    last_id: Option<u64>,
    /// Whether events without ids are rejected.
    needs_ids: bool,
    /// The id that the first event must have, if only one can be right.
    next_id: Option<u64>,
}

impl EventReader {
    /// Creates a reader. `last_id` is the id of the event after which the response continues, or
    /// `None` for a stream from its first event.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Creates a reader of a response that continues a stream which another upstream began: every
    /// event must have an id, since the caller might have one without id already. If the ids so far
    /// are consecutive, the first event must have the next one: a later one lacks events, or belongs
    /// to another stream.
    pub fn continuing(last_id: Option<u64>, numbering: EventNumbering) -> Self {
        Self {
            needs_ids: true,
            next_id: last_id
                .filter(|_| numbering == EventNumbering::Consecutive)
                .map(|last_id| last_id.saturating_add(1)),
            ..Self::new(last_id)
        }
    }

    /// Returns the number of buffered bytes, which belong to an incomplete event.
    pub fn partial_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Adds bytes and returns all complete events. Event ids that don't increase, a first id that is
    /// not the required one, a missing id that is needed, an overlong event and too many comments
    /// before one are an [`AttemptFault::BadAnswer`], after which the reader must not be used.
    pub fn push(&mut self, bytes: &[u8]) -> Result<EventBatch, AttemptFault> {
        self.pending.extend_from_slice(bytes);
        let mut batch = EventBatch::default();
        let mut complete = 0;
        while let Some(end) = self.event_end() {
            let event = &self.pending[complete..end];
            let id = event_id(event);
            let has_content = !is_comment(event);
            if let Some(id) = id {
                let is_old = self.last_id.is_some_and(|last_id| id <= last_id);
                if is_old || self.next_id.take().is_some_and(|next_id| id != next_id) {
                    return Err(AttemptFault::BadAnswer);
                }
                batch.numbering = batch.numbering.after(self.last_id, id);
                self.last_id = Some(id);
                batch.last_id = Some(id);
            } else if has_content && self.needs_ids {
                return Err(AttemptFault::BadAnswer);
            }
            if has_content {
                batch.event_count += 1;
                batch.is_numbered = id.is_some();
                self.skipped = 0;
            } else {
                self.skipped += event.len();
            }
            complete = end;
            self.search_from = end;
        }
        if self.skipped + self.pending.len() - complete > MAX_EVENT_BYTES {
            return Err(AttemptFault::BadAnswer);
        }
        self.search_from = self.pending.len().saturating_sub(3).max(complete) - complete;
        batch.bytes = self.pending.split_to(complete).freeze();
        Ok(batch)
    }

    /// Returns the offset after the next blank line, which ends an event. Reads no further than
    /// that line, so that the time for a buffer grows with its length only.
    fn event_end(&self) -> Option<usize> {
        let rest = &self.pending[self.search_from..];
        memchr_iter(b'\n', rest).find_map(|at| {
            let (before, after) = (&rest[..at], &rest[at + 1..]);
            let length = if after.starts_with(b"\n") {
                1
            } else if before.ends_with(b"\r") && after.starts_with(b"\r\n") {
                2
            } else {
                return None;
            };
            Some(self.search_from + at + 1 + length)
        })
    }
}

/// Returns whether all lines of an event are comments.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|&byte| byte == b'\n' || byte == b'\r');
    lines.all(|line| line.is_empty() || line.starts_with(b":"))
}

/// Parses the number in the last `id` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|&byte| byte == b'\n');
    lines.rev().find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
