//! Splits the body of a `text/event-stream` response into complete events.

use bytes::BytesMut;

use crate::forward::event_batch::{EventBatch, EventNumbering};
use crate::policy::call_attempts::AttemptFault;

/// Maximum event size: a body with a longer event is rejected as not being an event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the bytes of one response and returns its complete events.
#[derive(Debug, Default)]
pub struct EventReader {
    pending: BytesMut,
    /// Offset in `pending` at which the search for the end of the next event continues.
    search_from: usize,
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
    /// not the required one, a missing id that is needed and an overlong event are an
    /// [`AttemptFault::BadAnswer`], after which the reader must not be used.
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
            }
            complete = end;
            self.search_from = end;
        }
        if self.pending.len() - complete > MAX_EVENT_BYTES {
            return Err(AttemptFault::BadAnswer);
        }
        self.search_from = self.pending.len().saturating_sub(3).max(complete) - complete;
        batch.bytes = self.pending.split_to(complete).freeze();
        Ok(batch)
    }

    /// Returns the offset after the next blank line, which ends an event.
    fn event_end(&self) -> Option<usize> {
        let rest = &self.pending[self.search_from..];
        let end = |delimiter: &[u8]| {
            rest.windows(delimiter.len())
                .position(|window| window == delimiter)
                .map(|at| self.search_from + at + delimiter.len())
        };
        [end(b"\n\n"), end(b"\r\n\r\n")].into_iter().flatten().min()
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
