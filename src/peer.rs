//! Conversations between routers: frames over TCP, proved and sealed under the fleet key.
//!
//! Every router dials every other one. Questions and digests go out on the connection that a
//! router dialled, and their answers come back on it, so each connection has one asker.

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

/// Where frames for a connected peer are put.
pub type PeerMailbox = UnboundedSender<PeerBody>;

/// Who this router is to its peers.
#[derive(Clone, Debug)]
pub struct PeerIdentity {
    /// The VM it runs on.
    pub vm: VmId,
    /// Its run.
    pub incarnation: IncarnationId,
    /// The secret of the fleet.
    pub key: FleetKey,
    /// The clock of this process.
    pub clock: ProcessClock,
}

/// A peer at the other end of a proved connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerName {
    /// Its VM.
    pub vm: VmId,
    /// Its run.
    pub incarnation: IncarnationId,
}

/// A peer to dial.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerTarget {
    /// Its VM.
    pub vm: VmId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What happens on connections with peers.
#[derive(Debug)]
pub enum PeerEvent {
    /// A connection that this router dialled is proved.
    Up {
        /// The peer.
        name: PeerName,
        /// Where to put frames for it.
        mailbox: PeerMailbox,
    },
    /// A connection that this router dialled failed or ended.
    Down {
        /// The VM that was dialled.
        vm: VmId,
    },
    /// A frame came.
    Frame {
        /// Who sent it.
        name: PeerName,
        /// What it says.
        body: PeerBody,
        /// Where answers to it go.
        mailbox: PeerMailbox,
        /// When its connection was proved.
        opened: MonoTime,
    },
}
