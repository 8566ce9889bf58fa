//! Puts configurations in force and passes them between routers.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::board::{Board, ConfigSection, RejectionStatus};
use crate::bundle::{ConfigManifest, PartDigest, PartStore};
use crate::fleet::config_state::{ConfigState, ManifestVerdict};
use crate::ids::{RevisionNumber, VmKey};
use crate::peer::PeerMailbox;
use crate::wire::{ManifestAsk, ManifestReply, PartsAsk, PartsReply, PeerBody};

/// The configuration and where it comes from.
#[derive(Debug)]
pub struct ConfigController {
    state: ConfigState,
    /// Manifests whose parts a peer was asked for.
    wanted: HashMap<VmKey, ConfigManifest>,
    /// Sources that must be heard, or found unreachable, before this router serves.
    unheard: HashSet<VmKey>,
    service_unheard: bool,
}

impl ConfigController {
    /// A controller that waits for the service and these peers before it serves.
    pub fn new(seeds: HashSet<VmKey>) -> Self {
        Self {
            state: ConfigState::default(),
            wanted: HashMap::new(),
            unheard: seeds,
            service_unheard: true,
        }
    }

    /// The configuration state.
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Whether a configuration is in force and every source was heard or found unreachable.
    pub fn is_settled(&self) -> bool {
        self.state.accepted().is_some() && self.unheard.is_empty() && !self.service_unheard
    }

    /// Counts the service as heard, or found unreachable.
    pub fn service_heard(&mut self) {
        self.service_unheard = false;
    }

    /// Counts a peer as found unreachable.
    pub fn peer_unreachable(&mut self, peer: VmKey) {
        self.unheard.remove(&peer);
        self.wanted.remove(&peer);
    }

    /// Judges a manifest of the service.
    pub fn consider(&mut self, manifest: &ConfigManifest) -> ManifestVerdict {
        self.state.consider(manifest)
    }

    /// Puts a manifest in force, if its parts are whole and valid. True when it is new.
    pub fn complete(&mut self, board: &Board, manifest: &ConfigManifest, parts: PartStore) -> bool {
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

    /// Takes the revision that a peer has in force.
    pub fn peer_has(&mut self, peer: VmKey, revision: RevisionNumber, mailbox: &PeerMailbox) {
        if revision > self.state.revision() {
            send(mailbox, PeerBody::ManifestAsk(ManifestAsk {}));
        } else {
            self.unheard.remove(&peer);
        }
    }

    /// Answers a peer that wants the manifest in force.
    pub fn send_manifest(&self, mailbox: &PeerMailbox) {
        let manifest = self.state.accepted().map_or_else(String::new, |config| {
            // Serialising plain data to a string has no way to fail.
            serde_json::to_string(&config.packed.manifest).unwrap_or_default()
        });
        send(mailbox, PeerBody::ManifestReply(ManifestReply { manifest }));
    }

    /// Takes a peer's manifest; asks for parts that are missing. True when it is in force.
    pub fn peer_manifest(
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
                self.wanted.insert(peer, manifest);
                let digests = missing.into_iter().map(|digest| digest.0).collect();
                send(mailbox, PeerBody::PartsAsk(PartsAsk { digests }));
                false
            }
            ManifestVerdict::Known | ManifestVerdict::Rejected => {
                self.unheard.remove(&peer);
                false
            }
        }
    }

    /// Answers a peer that wants parts.
    pub fn send_parts(&self, ask: PartsAsk, mailbox: &PeerMailbox) {
        let Some(config) = self.state.accepted() else {
            return;
        };
        let wanted = ask.digests.into_iter().map(PartDigest);
        let parts = wanted.filter_map(|digest| config.packed.parts.get(&digest).cloned());
        let reply = PartsReply {
            parts: parts.collect(),
        };
        send(mailbox, PeerBody::PartsReply(reply));
    }

    /// Takes a peer's parts. True when a new configuration is in force.
    pub fn peer_parts(&mut self, board: &Board, peer: VmKey, reply: PartsReply) -> bool {
        self.unheard.remove(&peer);
        let Some(manifest) = self.wanted.remove(&peer) else {
            return false;
        };
        let texts = reply.parts.into_iter();
        let parts = texts.map(|text| (PartDigest::of(&text), text)).collect();
        self.complete(board, &manifest, parts)
    }

    /// The last refusal, as operators see it.
    pub fn rejection(&self) -> Option<RejectionStatus> {
        self.state.rejected().map(|rejected| RejectionStatus {
            revision: rejected.revision,
            reason: rejected.reason.clone(),
        })
    }
}

fn send(mailbox: &PeerMailbox, body: PeerBody) {
    // A closed mailbox means that the connection is gone; its end is reported apart.
    let _ = mailbox.send(body);
}
