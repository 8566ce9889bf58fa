//! Which routers answer, and what they last said of themselves.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{IncarnationId, RevisionNumber, VmKey};
use crate::mono::MonoTime;

/// A peer that is silent for this long is suspected and gets no questions.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2500);

/// A peer that is silent for this long is no longer counted as a steward or holder of slots.
pub const GONE_AFTER: Duration = Duration::from_secs(4);

/// What a peer last said of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerRecord {
    /// Its run.
    pub incarnation: IncarnationId,
    /// When it was last heard.
    pub last_heard: MonoTime,
    /// Whether it is draining.
    pub draining: bool,
    /// The configuration that it has in force.
    pub revision: RevisionNumber,
}

/// What is known of every peer.
#[derive(Debug, Default)]
pub struct PeerView {
    peers: HashMap<VmKey, PeerRecord>,
}

impl PeerView {
    /// Takes what a peer says of itself.
    pub fn update(&mut self, vm: VmKey, record: PeerRecord) {
        self.peers.insert(vm, record);
    }

    /// What a peer last said.
    pub fn record(&self, vm: VmKey) -> Option<PeerRecord> {
        self.peers.get(&vm).copied()
    }

    /// Peers that count as part of the fleet: heard lately.
    pub fn present(&self, now: MonoTime) -> Vec<VmKey> {
        let mut present: Vec<VmKey> = self
            .peers
            .iter()
            .filter(|(_, record)| now.since(record.last_heard) < GONE_AFTER)
            .map(|(&vm, _)| vm)
            .collect();
        present.sort_unstable();
        present
    }

    /// Whether a peer is expected to answer now.
    pub fn is_responsive(&self, now: MonoTime, vm: VmKey) -> bool {
        self.peers
            .get(&vm)
            .is_some_and(|record| now.since(record.last_heard) < SUSPECT_AFTER)
    }

    /// Forgets everything heard before a pause of this process.
    pub fn clear(&mut self) {
        self.peers.clear();
    }
}
