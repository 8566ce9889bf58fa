//! The body of a streamed response, with keep-alive comments while no event is available.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_util::Stream;
use ntex::util::Bytes;
use tokio::sync::mpsc::Receiver;
use tokio::time::{Interval, MissedTickBehavior};

use crate::upstream::{RelayMessage, error_event, ping_comment};

/// A response body made of the messages of a [`ResponseRelay`](crate::upstream::ResponseRelay).
pub struct CallerStream {
    messages: Receiver<RelayMessage>,
    pings: Interval,
    first: Option<bytes::Bytes>,
}

impl CallerStream {
    /// Creates a body that starts with `first` and sends a keep-alive comment after each `ping`
    /// without a message.
    pub fn new(
        first: bytes::Bytes,
        messages: Receiver<RelayMessage>,
        ping: std::time::Duration,
    ) -> Self {
        let mut pings = tokio::time::interval(ping);
        pings.set_missed_tick_behavior(MissedTickBehavior::Delay);
        pings.reset();
        Self {
            messages,
            pings,
            first: Some(first),
        }
    }
}

impl Stream for CallerStream {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Bytes::copy_from_slice(&first))));
        }
        if let Poll::Ready(message) = self.messages.poll_recv(cx) {
            self.pings.reset();
            let bytes = message.map(|message| match message {
                RelayMessage::Bytes(bytes) => bytes,
                RelayMessage::Refused(refusal) => {
                    error_event("not_run", &refusal.reason.to_string(), 0)
                }
            });
            return Poll::Ready(bytes.map(|bytes| Ok(Bytes::copy_from_slice(&bytes))));
        }
        if self.pings.poll_tick(cx).is_ready() {
            return Poll::Ready(Some(Ok(Bytes::copy_from_slice(&ping_comment()))));
        }
        Poll::Pending
    }
}
