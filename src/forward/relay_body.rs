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

/// A chunk of a relayed event stream.
pub enum StreamChunk {
    /// One or more complete events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// Body of a response to a caller.
pub enum RelayBody {
    /// A body that was read completely before the response began.
    Full(Option<Bytes>),
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
            Self::Full(body) => BodySize::Sized(body.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream { .. } => BodySize::Stream,
        }
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<ntex::util::Bytes, Rc<dyn Error>>>> {
        match self {
            Self::Full(body) => Poll::Ready(body.take().map(|body| Ok(to_ntex(&body)))),
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
                    Poll::Ready(Some(StreamChunk::Events(events))) => {
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

fn to_ntex(bytes: &Bytes) -> ntex::util::Bytes {
    ntex::util::Bytes::copy_from_slice(bytes)
}
