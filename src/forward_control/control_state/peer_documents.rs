//! Fetching documents from peers while the store does not deliver them.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use super::ControlState;
use crate::error::RouterResult;
use crate::fleet::store_view::{DocumentCodec, StoreChange, StoreItem, StoreRevision};
use crate::forward_board::ForwardStage;
use crate::gossip::frames::{DocumentFrame, DocumentRequest, DocumentResponse, HeartbeatFrame};
use crate::mono::MonoTime;
use crate::route::ConfigVersion;

/// How long the store has to deliver a newer configuration before it is requested from a peer.
const PEER_CONFIG_WAIT: Duration = Duration::from_millis(300);

/// Time without a response of the store after which changes of upstreams are requested from a peer.
const PEER_ENTRY_WAIT: Duration = Duration::from_millis(800);

impl<C: DocumentCodec> ControlState<C> {
    /// Records the sender of a heartbeat if it has newer documents than this router and than the
    /// peer recorded so far.
    pub(super) fn record_newer_peer(
        &mut self,
        peer: Ipv4Addr,
        frame: &HeartbeatFrame,
        now: MonoTime,
    ) {
        let version = ConfigVersion(frame.config_version);
        let revision = StoreRevision(frame.store_revision);
        if version > self.store_view.config_version() {
            self.config_behind_since.get_or_insert(now);
        }
        let newest = self
            .newest_peer
            .is_none_or(|(_, known, at)| version > known || (version == known && revision > at));
        let newer =
            version > self.store_view.config_version() || revision > self.store_view.revision();
        if newer && newest {
            self.newest_peer = Some((peer, version, revision));
        }
    }

    /// Returns the peer to request documents from, and the request, if one is due: a booting router
    /// requests them at once, any other one after the store had time to deliver them. `None` while
    /// another request is in progress.
    pub fn next_fetch(&mut self) -> Option<(SocketAddrV4, DocumentRequest)> {
        let now = self.now();
        let (peer, version, revision) = self.newest_peer?;
        let own_version = self.store_view.config_version();
        if version <= own_version {
            self.config_behind_since = None;
        }
        if version <= own_version && revision <= self.store_view.revision() {
            self.newest_peer = None;
            return None;
        }
        let late_config = version > own_version
            && self
                .config_behind_since
                .is_some_and(|since| now.since(since) >= PEER_CONFIG_WAIT);
        let silent = self
            .store_responded
            .is_none_or(|responded| now.since(responded) >= PEER_ENTRY_WAIT);
        let booting = self.board.stage() == ForwardStage::Booting;
        if self.fetching || !(late_config || (silent && self.store_unreachable) || booting) {
            return None;
        }
        self.fetching = true;
        self.newest_peer = None;
        let port = self.board.settings.load().control.port();
        let request = DocumentRequest {
            config_version: own_version.0,
            store_revision: self.store_view.revision().0,
        };
        Some((SocketAddrV4::new(peer, port), request))
    }

    /// Builds the response to a peer: the documents that are newer than its own.
    pub fn respond(&self, request: DocumentRequest) -> DocumentResponse {
        let now = self.now();
        let since = StoreRevision(request.store_revision);
        let mut documents: Vec<DocumentFrame> = self
            .store_view
            .changes_since(since, now)
            .into_iter()
            .map(DocumentFrame::from)
            .collect();
        if let Some(config) = self.store_view.config()
            && config.table.version > ConfigVersion(request.config_version)
        {
            let item = StoreItem {
                key: self.store_view.config_key().to_owned(),
                value: config.value.clone(),
                revision: config.revision,
            };
            documents.push(StoreChange::Written(item).into());
        }
        DocumentResponse {
            documents,
            store_revision: self.store_view.revision().0,
        }
    }

    /// Merges the response of a peer. Returns the revision of the store up to which this router now
    /// has all documents, if the response was complete. Peers discard removals after some time, so
    /// a response is complete only for a router that had no documents before.
    pub fn merge_response(
        &mut self,
        peer: SocketAddrV4,
        response: RouterResult<DocumentResponse>,
    ) -> Option<StoreRevision> {
        self.fetching = false;
        let now = self.now();
        match response {
            Ok(response) => {
                let count = response.documents.len();
                let revision = StoreRevision(response.store_revision);
                let was_empty = self.store_view.revision() == StoreRevision::default();
                let changes = response
                    .documents
                    .into_iter()
                    .map(StoreChange::from)
                    .collect();
                let effect = self.store_view.merge_peer(changes, revision, now);
                spdlog::info!("documents-from-peer", kv: {
                    peer: = peer, documents: = count, revision: = revision,
                    version: = self.store_view.config_version()
                });
                self.publish(effect);
                was_empty.then_some(revision)
            }
            Err(error) => {
                spdlog::warn!("documents-missed", kv: { reason: = error });
                None
            }
        }
    }
}
