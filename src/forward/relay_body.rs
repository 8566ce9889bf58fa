//! Body of a response to a caller.

use std::error::Error;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use ntex::http::body::{BodySize, MessageBody};
use ntex::io::IoRef;
use tokio::sync::mpsc::Receiver;

use crate::forward::upstream_link::TaskGuard;

/// A chunk of a relayed event stream.
pub enum StreamPiece {
    /// One or more complete events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// Body of a response to a caller.
pub enum RelayBody {
    /// A body that was read completely before the response began.
    Whole(Option<Bytes>),
    /// A stream that is relayed while it arrives. Dropping the body aborts the task that feeds it.
    Stream {
        /// Chunks from the task.
        pieces: Receiver<StreamPiece>,
        /// The caller's connection, terminated if the channel closes before [`StreamPiece::End`].
        caller: Option<IoRef>,
        /// Whether [`StreamPiece::End`] was received.
        ended: bool,
        /// The task that sends the chunks.
        _task: TaskGuard,
    },
}

impl MessageBody for RelayBody {
    fn size(&self) -> BodySize {
        match self {
            Self::Whole(body) => BodySize::Sized(body.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream { .. } => BodySize::Stream,
        }
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<ntex::util::Bytes, Rc<dyn Error>>>> {
        match self {
            Self::Whole(body) => Poll::Ready(body.take().map(|body| Ok(to_ntex(&body)))),
            Self::Stream {
                pieces,
                caller,
                ended,
                ..
            } => {
                if *ended {
                    return Poll::Ready(None);
                }
                match pieces.poll_recv(cx) {
                    Poll::Pending => Poll::Pending,
                    Poll::Ready(Some(StreamPiece::Events(events))) => {
                        Poll::Ready(Some(Ok(to_ntex(&events))))
                    }
                    Poll::Ready(Some(StreamPiece::End)) => {
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

fn to_ntex(bytes: &Bytes) -> ntex::util::Bytes {
    ntex::util::Bytes::copy_from_slice(bytes)
}
