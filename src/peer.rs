//! Connections between routers: length-delimited protobuf frames over TCP. The handshake and the
//! authentication code of every frame use the fleet key; frames are not encrypted.
//!
//! Every router dials every other one. A router sends requests, digests and the grants of queued
//! slot requests on the connections that it dialled. A response that it can give at once goes back
//! on the connection on which the request arrived.

mod accept;
mod dial;
mod session;

use std::net::SocketAddr;

use tokio::sync::mpsc::UnboundedSender;

use crate::ids::{IncarnationId, VmId};
use crate::mono::{MonoTime, ProcessClock};
use crate::wire::PeerBody;

pub use accept::accept_peers;
pub use dial::dial_peer;
pub use session::FleetKey;

/// Queues frames for sending on one connection to a peer.
pub type PeerMailbox = UnboundedSender<PeerBody>;

/// What this router needs to authenticate itself to its peers.
#[derive(Clone, Debug)]
pub struct PeerIdentity {
    /// The VM that this router runs on.
    pub vm: VmId,
    /// Tells apart successive processes on the same VM.
    pub incarnation: IncarnationId,
    /// The secret that all routers of the fleet share.
    pub key: FleetKey,
    /// Gives the time at which a connection was authenticated.
    pub clock: ProcessClock,
}

/// An authenticated peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerName {
    /// The VM that the peer runs on.
    pub vm: VmId,
    /// Tells apart successive processes on the same VM.
    pub incarnation: IncarnationId,
}

/// A peer to dial.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerTarget {
    /// The VM that must identify itself in the handshake.
    pub vm: VmId,
    /// The address at which the peer listens for other routers.
    pub address: SocketAddr,
}

/// An event on a connection with a peer.
#[derive(Debug)]
pub enum PeerEvent {
    /// The handshake on a connection that this router dialled succeeded.
    Up {
        /// The authenticated peer.
        name: PeerName,
        /// Sends frames to the peer.
        mailbox: PeerMailbox,
    },
    /// A connection that this router dialled failed or ended.
    Down {
        /// The VM that was dialled.
        vm: VmId,
    },
    /// A frame was received, on a dialled or an accepted connection.
    Frame {
        /// The sender.
        name: PeerName,
        /// The message in the frame.
        body: PeerBody,
        /// Sends responses on the connection on which the frame was received.
        mailbox: PeerMailbox,
        /// The time at which the handshake of the connection ended.
        opened: MonoTime,
    },
}
