//! Puts configurations in force and distributes them between routers.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::board::{Board, ConfigSection, RejectionStatus};
use crate::bundle::{ConfigManifest, PartDigest, PartsByDigest};
use crate::fleet::config_state::{ConfigState, ManifestVerdict};
use crate::ids::{RevisionNumber, VmKey};
use crate::peer::PeerMailbox;
use crate::wire::{ManifestReply, ManifestRequest, PartsReply, PartsRequest, PeerBody};

/// The configuration in force and the state of its sources: the configuration service and the
/// seed peers.
#[derive(Debug)]
pub struct ConfigController {
    state: ConfigState,
    /// Manifests whose parts were requested, by the peer they were requested from.
    pending_manifests: HashMap<VmKey, ConfigManifest>,
    /// Peers that must have responded, or been found unreachable, before this router serves.
    pending_peers: HashSet<VmKey>,
    /// Whether the configuration service has neither responded nor been found unreachable yet.
    service_pending: bool,
}

impl ConfigController {
    /// Creates a controller that is ready once the configuration service and these seed peers have
    /// been checked.
    pub fn new(seeds: HashSet<VmKey>) -> Self {
        Self {
            state: ConfigState::default(),
            pending_manifests: HashMap::new(),
            pending_peers: seeds,
            service_pending: true,
        }
    }

    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Whether a configuration is in force and every source has responded or is unreachable.
    pub fn is_ready(&self) -> bool {
        self.state.accepted().is_some() && self.pending_peers.is_empty() && !self.service_pending
    }

    /// Records that the configuration service has responded or is unreachable.
    pub fn mark_service_checked(&mut self) {
        self.service_pending = false;
    }

    /// Records that a peer is unreachable and discards its pending manifest.
    pub fn mark_peer_unreachable(&mut self, peer: VmKey) {
        self.pending_peers.remove(&peer);
        self.pending_manifests.remove(&peer);
    }

    /// Compares a manifest from the configuration service with the one in force.
    pub fn consider(&mut self, manifest: &ConfigManifest) -> ManifestVerdict {
        self.state.consider(manifest)
    }

    /// Puts a manifest in force if its parts are complete and valid and its revision is newer;
    /// returns whether it did.
    pub fn complete(
        &mut self,
        board: &Board,
        manifest: &ConfigManifest,
        parts: PartsByDigest,
    ) -> bool {
        let accepted = self.state.complete(manifest, parts);
        if let Some(config) = self.state.accepted().filter(|_| accepted) {
            board.set_config(ConfigSection::new(config.bundle.clone()));
            spdlog::info!("config-accepted", kv: { revision = manifest.revision.0 });
        }
        if let Some(rejected) = self.state.rejected().filter(|_| !accepted) {
            let (revision, reason) = (rejected.revision.0, rejected.reason.clone());
            spdlog::warn!("config-rejected", kv: { revision, reason });
        }
        accepted
    }

    /// Handles the revision from a peer's digest: requests the manifest if it is newer.
    pub fn handle_peer_revision(
        &mut self,
        peer: VmKey,
        revision: RevisionNumber,
        mailbox: &PeerMailbox,
    ) {
        if revision > self.state.revision() {
            send(mailbox, PeerBody::ManifestRequest(ManifestRequest {}));
        } else {
            self.pending_peers.remove(&peer);
        }
    }

    /// Sends the manifest in force to a peer that requested it, or an empty text if there is none.
    pub fn send_manifest(&self, mailbox: &PeerMailbox) {
        let manifest = self.state.accepted().map_or_else(String::new, |config| {
            // Serialising plain data to a string can't fail.
            serde_json::to_string(&config.packed.manifest).unwrap_or_default()
        });
        send(mailbox, PeerBody::ManifestReply(ManifestReply { manifest }));
    }

    /// Handles a peer's manifest and requests missing parts; returns true if none was missing and
    /// the manifest is now in force.
    pub fn handle_peer_manifest(
        &mut self,
        board: &Board,
        peer: VmKey,
        reply: &ManifestReply,
        mailbox: &PeerMailbox,
    ) -> bool {
        let Ok(manifest) = serde_json::from_str::<ConfigManifest>(&reply.manifest) else {
            return false;
        };
        match self.state.consider(&manifest) {
            ManifestVerdict::Fetch(missing) if missing.is_empty() => {
                self.complete(board, &manifest, BTreeMap::new())
            }
            ManifestVerdict::Fetch(missing) => {
                self.pending_manifests.insert(peer, manifest);
                let digests = missing.into_iter().map(|digest| digest.0).collect();
                send(mailbox, PeerBody::PartsRequest(PartsRequest { digests }));
                false
            }
            ManifestVerdict::Known | ManifestVerdict::Rejected => {
                self.pending_peers.remove(&peer);
                false
            }
        }
    }

    /// Whether parts of a newer manifest were requested from a peer and have not arrived yet.
    pub fn awaits_parts(&self, peer: VmKey) -> bool {
        self.pending_manifests.contains_key(&peer)
    }

    /// Sends the requested parts of the configuration in force to a peer.
    pub fn send_parts(&self, request: PartsRequest, mailbox: &PeerMailbox) {
        let Some(config) = self.state.accepted() else {
            return;
        };
        let requested = request.digests.into_iter().map(PartDigest);
        let parts = requested.filter_map(|digest| config.packed.parts.get(&digest).cloned());
        let reply = PartsReply {
            parts: parts.collect(),
        };
        send(mailbox, PeerBody::PartsReply(reply));
    }

    /// Handles parts received from a peer; returns true if a new configuration is now in force.
    pub fn handle_peer_parts(&mut self, board: &Board, peer: VmKey, reply: PartsReply) -> bool {
        self.pending_peers.remove(&peer);
        let Some(manifest) = self.pending_manifests.remove(&peer) else {
            return false;
        };
        let texts = reply.parts.into_iter();
        let parts = texts.map(|text| (PartDigest::of(&text), text)).collect();
        self.complete(board, &manifest, parts)
    }

    /// The last rejected revision, for the status, or `None` if there was none.
    pub fn rejection(&self) -> Option<RejectionStatus> {
        self.state.rejected().map(|rejected| RejectionStatus {
            revision: rejected.revision,
            reason: rejected.reason.clone(),
        })
    }
}

fn send(mailbox: &PeerMailbox, body: PeerBody) {
    // A closed mailbox means that the connection has ended, which `PeerEvent::Down` reports.
    let _ = mailbox.send(body);
}
