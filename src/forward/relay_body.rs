//! Body of a response to a caller.

use std::error::Error;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use ntex::http::body::{BodySize, MessageBody};
use ntex::io::IoRef;
use tokio::sync::mpsc::Receiver;

use crate::forward::caller_connections::CallerBusyGuard;
use crate::forward::http_connection::TaskGuard;
use crate::forward::memory_room::ResponseRoom;

/// Largest part of a body that is handed to the HTTP library at once.
const MAX_PART_BYTES: usize = 64 << 10;

/// A chunk of a relayed event stream.
pub enum StreamChunk {
    /// One or more complete events.
    Events(Bytes, ResponseRoom),
    /// The stream is complete.
    End,
}

/// Body of a response to a caller.
pub enum RelayBody {
    /// The unsent rest of a body that was read completely before the response began, and its
    /// memory. It is handed over in parts, so that the HTTP library copies no more than it sends.
    Full(Option<Bytes>, Option<ResponseRoom>),
    /// A stream that is relayed while it arrives. Dropping the body aborts the task that feeds it.
    Stream {
        /// Chunks from the task.
        chunks: Receiver<StreamChunk>,
        /// The caller's connection, terminated if the channel closes before [`StreamChunk::End`].
        caller: Option<IoRef>,
        /// Whether [`StreamChunk::End`] was received.
        ended: bool,
        /// The task that sends the chunks.
        _task: TaskGuard,
    },
}

impl MessageBody for RelayBody {
    fn size(&self) -> BodySize {
        match self {
            Self::Full(body, _) => BodySize::Sized(body.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream { .. } => BodySize::Stream,
        }
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<ntex::util::Bytes, Rc<dyn Error>>>> {
        match self {
            Self::Full(body, _) => Poll::Ready(next_part(body).map(|part| Ok(to_ntex(&part)))),
            Self::Stream {
                chunks,
                caller,
                ended,
                ..
            } => {
                if *ended {
                    return Poll::Ready(None);
                }
                match chunks.poll_recv(cx) {
                    Poll::Pending => Poll::Pending,
                    Poll::Ready(Some(StreamChunk::Events(events, _))) => {
                        Poll::Ready(Some(Ok(to_ntex(&events))))
                    }
                    Poll::Ready(Some(StreamChunk::End)) => {
                        *ended = true;
                        Poll::Ready(None)
                    }
                    Poll::Ready(None) => {
                        // Closing without the final chunk shows the caller that the response is
                        // truncated.
                        if let Some(caller) = caller.take() {
                            caller.terminate();
                        }
                        Poll::Pending
                    }
                }
            }
        }
    }
}

/// Body of a response to a call. The HTTP library drops it at the end of the response.
pub struct GuardedBody {
    body: RelayBody,
    _busy: Option<CallerBusyGuard>,
}

impl GuardedBody {
    pub fn new(body: RelayBody, busy: Option<CallerBusyGuard>) -> Self {
        Self { body, _busy: busy }
    }
}

impl MessageBody for GuardedBody {
    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<ntex::util::Bytes, Rc<dyn Error>>>> {
        self.body.poll_next_chunk(cx)
    }
}

fn next_part(body: &mut Option<Bytes>) -> Option<Bytes> {
    let rest = body.as_mut()?;
    if rest.len() <= MAX_PART_BYTES {
        return body.take();
    }
    Some(rest.split_to(MAX_PART_BYTES))
}

fn to_ntex(bytes: &Bytes) -> ntex::util::Bytes {
    ntex::util::Bytes::copy_from_slice(bytes)
}
