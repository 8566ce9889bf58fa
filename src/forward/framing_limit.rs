//! Limit on the bytes of a request body that belong to no chunk.
//!
//! The HTTP library keeps the line of a chunk size until it is complete, and parses it again with
//! each read, so that a line without end takes memory and time without end.

use std::time::Duration;

use ntex::io::IoRef;

/// Longest chunk-size line.
const MAX_FRAMING_BYTES: usize = 64 << 10;

/// Interval of the checks. Bytes that were read but not parsed yet stay for less time.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of successive checks at which the bytes must be too many.
const MIN_CHECKS: u32 = 2;

/// Completes once the connection holds more unparsed bytes than a chunk-size line may have. To be
/// awaited beside a read of the body, which takes all other bytes. Never completes for a connection
/// that is gone.
pub async fn await_overlong_framing(connection: Option<&IoRef>) {
    let Some(connection) = connection else {
        return std::future::pending().await;
    };
    let mut overlong = 0;
    while overlong < MIN_CHECKS {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let bytes = connection.with_read_buf(|buffer| buffer.len());
        overlong = if bytes > MAX_FRAMING_BYTES {
            overlong + 1
        } else {
            0
        };
    }
}
