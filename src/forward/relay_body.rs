//! The body of an answer to a caller.

use std::error::Error;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use ntex::http::body::{BodySize, MessageBody};
use ntex::io::IoRef;
use tokio::sync::mpsc::Receiver;

use crate::forward::upstream_link::TaskGuard;

/// A piece of a relayed stream.
pub enum StreamPiece {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// The body of an answer to a caller.
pub enum RelayBody {
    /// Read whole beforehand.
    Whole(Option<Bytes>),
    /// Relayed as it comes. The task that feeds it ends with it.
    Stream {
        /// The pieces.
        pieces: Receiver<StreamPiece>,
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
