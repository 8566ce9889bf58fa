//! Streams that are passed on to a caller while they arrive.

use std::time::Duration;

use bytes::Bytes;

use crate::policy::call_attempts::CallFailure;

/// A stream to a caller.
pub trait ChunkSource {
    /// Returns the next bytes, or `None` at the regular end of the stream. Fails at the deadline of the
    /// call at the latest.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, CallFailure>;

    /// Returns the time until the deadline of the call.
    fn time_left(&self) -> Duration;
}
