//! Documents that one router has from another.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use super::ControlState;
use crate::error::RouterResult;
use crate::fleet::store_view::{DocumentCodec, StoreChange, StoreItem, StoreRevision};
use crate::forward_board::ForwardStage;
use crate::gossip::frames::{DocumentAsk, DocumentFrame, DocumentGive, HeartbeatFrame};
use crate::mono::MonoTime;
use crate::route::ConfigVersion;

/// Wait for the store before a peer is asked for a newer configuration.
const PEER_CONFIG_WAIT: Duration = Duration::from_millis(300);

/// Silence of the store after which a peer is asked for changes of upstreams.
const PEER_ENTRY_WAIT: Duration = Duration::from_millis(800);

impl<C: DocumentCodec> ControlState<C> {
    /// Notes a peer that knows more than this router.
    pub(super) fn compare(&mut self, peer: Ipv4Addr, frame: &HeartbeatFrame, now: MonoTime) {
        let version = ConfigVersion(frame.config_version);
        let revision = StoreRevision(frame.store_revision);
        if version > self.belief.config_version() {
            self.behind_since.get_or_insert(now);
        }
        let further = self
            .ahead
            .is_none_or(|(_, known, at)| version > known || (version == known && revision > at));
        let more = version > self.belief.config_version() || revision > self.belief.revision();
        if more && further {
            self.ahead = Some((peer, version, revision));
        }
    }

    /// A peer to ask for documents, and the question, once the store has had its time.
    pub fn next_fetch(&mut self) -> Option<(SocketAddrV4, DocumentAsk)> {
        let now = self.now();
        let (peer, version, revision) = self.ahead?;
        let own_version = self.belief.config_version();
        if version <= own_version {
            self.behind_since = None;
        }
        if version <= own_version && revision <= self.belief.revision() {
            self.ahead = None;
            return None;
        }
        let late_config = version > own_version
            && self
                .behind_since
                .is_some_and(|since| now.since(since) >= PEER_CONFIG_WAIT);
        let silent = self
            .store_heard
            .is_none_or(|heard| now.since(heard) >= PEER_ENTRY_WAIT);
        let booting = self.board.stage() == ForwardStage::Booting;
        if self.fetching || !(late_config || (silent && self.store_lost) || booting) {
            return None;
        }
        self.fetching = true;
        self.ahead = None;
        let control = self.board.settings.load().control.port();
        let ask = DocumentAsk {
            config_version: own_version.0,
            store_revision: self.belief.revision().0,
        };
        Some((SocketAddrV4::new(peer, control), ask))
    }

    /// What a peer lacks.
    pub fn give(&self, ask: DocumentAsk) -> DocumentGive {
        let now = self.now();
        let since = StoreRevision(ask.store_revision);
        let mut documents: Vec<DocumentFrame> = self
            .belief
            .changes_since(since, now)
            .into_iter()
            .map(DocumentFrame::from)
            .collect();
        if let Some(config) = self.belief.config()
            && config.table.version > ConfigVersion(ask.config_version)
        {
            let item = StoreItem {
                key: self.belief.config_key().to_owned(),
                value: config.value.clone(),
                revision: config.revision,
            };
            documents.push(StoreChange::Written(item).into());
        }
        DocumentGive {
            documents,
            store_revision: self.belief.revision().0,
        }
    }

    /// Merges what a peer gave; the revision of the store up to which everything is known by that.
    /// Peers forget removals, so only a router that knew nothing has everything from them.
    pub fn fetched(
        &mut self,
        peer: SocketAddrV4,
        give: RouterResult<DocumentGive>,
    ) -> Option<StoreRevision> {
        self.fetching = false;
        let now = self.now();
        match give {
            Ok(give) => {
                let count = give.documents.len();
                let revision = StoreRevision(give.store_revision);
                let knew_nothing = self.belief.revision() == StoreRevision::default();
                let changes = give.documents.into_iter().map(StoreChange::from).collect();
                let effect = self.belief.merge_peer(changes, revision, now);
                spdlog::info!("documents-from-peer", kv: {
                    peer: = peer, documents: = count, revision: = revision,
                    version: = self.belief.config_version()
                });
                self.publish(effect);
                knew_nothing.then_some(revision)
            }
            Err(error) => {
                spdlog::warn!("documents-missed", kv: { reason: = error });
                None
            }
        }
    }
}
