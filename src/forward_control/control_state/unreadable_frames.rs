//! Frames of other routers that can't be read. Each is counted and left out whole.

use std::net::SocketAddr;

use prost::{DecodeError, Message};

use super::ControlState;
use crate::error::RouterError;
use crate::fleet::store_view::DocumentCodec;
use crate::gossip::frames::HeartbeatFrame;

/// What can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameKind {
    /// A datagram.
    Heartbeat,
    /// A request for documents.
    Request,
    /// Documents of a peer.
    Response,
    /// A readable datagram that names no sender and no streams.
    Unknown,
}

impl FrameKind {
    fn label(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Request => "request",
            Self::Response => "response",
            Self::Unknown => "unknown",
        }
    }
}

impl<C: DocumentCodec> ControlState<C> {
    /// Counts a frame that can't be read.
    pub fn count_unreadable(&self, kind: FrameKind) {
        let frames = &self.telemetry.unreadable_frames;
        frames.with_label_values(&[kind.label()]).inc();
    }

    /// Decodes a datagram; logs and counts it if that fails.
    pub(super) fn decode_heartbeat(
        &mut self,
        bytes: &[u8],
        source: SocketAddr,
    ) -> Option<HeartbeatFrame> {
        let error = match HeartbeatFrame::decode(bytes) {
            Ok(frame) => return Some(frame),
            Err(error) => error,
        };
        self.count_unreadable(FrameKind::Heartbeat);
        if self.frame_lines.admit(self.now()) {
            spdlog::info!("heartbeat-unreadable", kv: {
                peer: = source, bytes: = bytes.len(), reason: = error
            });
        }
        None
    }

    /// Counts a failed exchange of documents if the peer's bytes were at fault.
    pub(super) fn count_unreadable_response(&self, error: &RouterError) {
        if let RouterError::Step { cause, .. } = error
            && cause.is::<DecodeError>()
        {
            self.count_unreadable(FrameKind::Response);
        }
    }
}
