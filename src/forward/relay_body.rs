//! The body of an answer to a caller.

use std::error::Error;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use ntex::http::body::{BodySize, MessageBody};
use ntex::io::IoRef;
use tokio::sync::mpsc::Receiver;

use crate::forward::http_connection::TaskGuard;

/// A piece of a relayed stream.
pub enum StreamChunk {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// The body of an answer to a caller.
pub enum RelayBody {
    /// Read whole beforehand.
    Full(Option<Bytes>),
    /// Relayed as it comes. The task that feeds it ends with it.
    Stream {
        /// The pieces.
        chunks: Receiver<StreamChunk>,
        /// The caller's connection; cut when the pieces end without an end.
        caller: Option<IoRef>,
        /// Whether the end has come.
        ended: bool,
        /// The task that feeds it.
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
                        // Closing without the last chunk shows the caller that the answer is cut.
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

fn to_ntex(bytes: &Bytes) -> ntex::util::Bytes {
    ntex::util::Bytes::copy_from_slice(bytes)
}
