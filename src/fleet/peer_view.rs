//! Last reported state of each peer, and whether the peer still responds.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{IncarnationId, RevisionNumber, VmKey};
use crate::mono::MonoTime;

/// Time without a digest after which a peer is suspect and receives no requests.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2500);

/// Time without a digest after which a peer no longer counts as a slot owner or as a user of
/// slots.
pub const UNREACHABLE_AFTER: Duration = Duration::from_secs(4);

/// State from the last digest of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerRecord {
    /// Identifies the run of the peer's process.
    pub incarnation: IncarnationId,
    /// When the last digest was received.
    pub last_heard: MonoTime,
    /// Whether the peer finishes its calls and accepts no new ones.
    pub draining: bool,
    /// Revision of the configuration that the peer has in force.
    pub revision: RevisionNumber,
}

/// Last reported state of all peers.
#[derive(Debug, Default)]
pub struct PeerView {
    peers: HashMap<VmKey, PeerRecord>,
}

impl PeerView {
    /// Stores the state from a peer's latest digest.
    pub fn update(&mut self, vm: VmKey, record: PeerRecord) {
        self.peers.insert(vm, record);
    }

    /// The last reported state of a peer, or `None` if it has sent nothing yet.
    pub fn record(&self, vm: VmKey) -> Option<PeerRecord> {
        self.peers.get(&vm).copied()
    }

    /// Peers that count as part of the fleet, sorted: their last digest is younger than
    /// [`UNREACHABLE_AFTER`].
    pub fn present(&self, now: MonoTime) -> Vec<VmKey> {
        let mut present: Vec<VmKey> = self
            .peers
            .iter()
            .filter(|(_, record)| now.since(record.last_heard) < UNREACHABLE_AFTER)
            .map(|(&vm, _)| vm)
            .collect();
        present.sort_unstable();
        present
    }

    /// Whether a peer is expected to respond: its last digest is younger than [`SUSPECT_AFTER`].
    pub fn is_responsive(&self, now: MonoTime, vm: VmKey) -> bool {
        self.peers
            .get(&vm)
            .is_some_and(|record| now.since(record.last_heard) < SUSPECT_AFTER)
    }

    /// Discards all state. Called after a pause of this process, when the state may be outdated.
    pub fn clear(&mut self) {
        self.peers.clear();
    }
}
