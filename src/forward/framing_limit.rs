//! Limit on the bytes of a request body that belong to no chunk.
//!
//! The HTTP library keeps the line of a chunk size until it is complete, and parses it again with
//! each read, so that a line without end takes memory and time without end.

use std::future::poll_fn;
use std::task::Poll;

use ntex::io::IoRef;

/// Longest chunk-size line.
const MAX_FRAMING_BYTES: usize = 64 << 10;

/// Number of successive polls at which the bytes must be too many. The library parses what it has
/// read between two polls of a request's handler.
const MIN_POLLS: u32 = 3;

/// Completes once the connection holds more unparsed bytes than a chunk-size line may have. To be
/// awaited beside the next chunk of the body, and anew for each chunk. Never completes for a
/// connection that is gone.
pub async fn await_overlong_framing(connection: Option<&IoRef>) {
    let mut polls = 0;
    poll_fn(|_| {
        let bytes = connection.map_or(0, |io| io.with_read_buf(|buffer| buffer.len()));
        polls = if bytes > MAX_FRAMING_BYTES {
            polls + 1
        } else {
            0
        };
        if polls < MIN_POLLS {
            // Each read wakes the handler's task.
            Poll::Pending
        } else {
            Poll::Ready(())
        }
    })
    .await;
}
