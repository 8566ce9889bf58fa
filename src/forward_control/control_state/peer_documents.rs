//! Fetching documents from peers while the store does not deliver them.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::ControlState;
use crate::error::RouterResult;
use crate::fleet::fetch_plan::{DocumentState, FetchContext};
use crate::fleet::member_table::MemberRecord;
use crate::fleet::store_stamp::StoreStamp;
use crate::fleet::store_view::{DocumentCodec, StoreChange, StoreItem};
use crate::fleet::version_history::history_time;
use crate::forward_board::ForwardStage;
use crate::gossip::frames::{DocumentFrame, DocumentRequest, DocumentResponse, HeartbeatFrame};
use crate::route::ConfigVersion;

impl<C: DocumentCodec> ControlState<C> {
    fn document_state(&self) -> DocumentState {
        DocumentState {
            version: self.store_view.config_version(),
            stamp: self.store_view.stamp(),
        }
    }

    fn fetch_context(&self) -> FetchContext {
        FetchContext {
            now: self.now(),
            own: self.document_state(),
            booting: self.board.stage() == ForwardStage::Booting,
            reading: self.store_role.is_reading(),
            store_failed: self.store_unreachable,
            store_active: self.store_active,
        }
    }

    /// Records what the sender of a heartbeat has.
    pub(super) fn record_newer_peer(&mut self, peer: &MemberRecord, frame: &HeartbeatFrame) {
        let state = DocumentState {
            version: ConfigVersion(frame.config_version),
            stamp: frame.store_stamp(),
        };
        let is_local = peer.data_center == self.members.own().data_center;
        let context = self.fetch_context();
        self.fetch_plan
            .record_peer(peer.address, is_local, state, context);
    }

    /// Returns the peer to request documents from, and the request, if one is due.
    pub fn next_fetch(&mut self) -> Option<(SocketAddrV4, DocumentRequest)> {
        let context = self.fetch_context();
        let newer = self.fetch_plan.next_fetch(context);
        let peer = newer.or_else(|| self.unlisted_peer(context.now))?;
        let port = self.board.settings.load().control.port();
        let since = self.request_stamp(context.now);
        let request = DocumentRequest {
            config_version: context.own.version.0,
            store_revision: since.revision.0,
            store_era: since.era.0,
        };
        Some((SocketAddrV4::new(peer, port), request))
    }

    /// Builds the response to a peer: the documents that are newer than its own.
    pub fn respond(&self, request: DocumentRequest) -> DocumentResponse {
        let now = self.now();
        let since = request.store_stamp();
        let full = !self.store_view.has_changes_since(since);
        let since = if full { StoreStamp::default() } else { since };
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
                stamp: config.stamp,
            };
            documents.push(StoreChange::Written(item).into());
        }
        let stamp = self.store_view.stamp();
        DocumentResponse {
            documents,
            store_revision: stamp.revision.0,
            full,
            store_era: stamp.era.0,
            base_revision: self.store_view.base_revision().0,
            versions: Some(self.version_columns(now)),
            evacuations: Some(self.store_view.evacuation_table().stamp().into()),
        }
    }

    /// Merges the response of a peer. Returns the state up to which this router now has all
    /// documents, if it had none before.
    pub fn merge_response(
        &mut self,
        peer: SocketAddrV4,
        took: Duration,
        response: RouterResult<DocumentResponse>,
    ) -> Option<StoreStamp> {
        let now = self.now();
        match response {
            Ok(response) => {
                let count = response.documents.len();
                let (stamp, base) = (response.store_stamp(), response.base());
                let before = self.document_state();
                let known_until = history_time(self.known_until(now));
                // Ages grow by the time that the response took.
                let versions = response.versions.as_ref();
                let versions = versions.map(|columns| columns.report(now.saturating_sub(took)));
                let changes: Vec<StoreChange> = response
                    .documents
                    .into_iter()
                    .map(|document| StoreChange::from(document).aged(took))
                    .collect();
                let known = response.evacuations.map(StoreStamp::from);
                let mut effect = self.merge_evacuations(&changes, response.full, known, now);
                effect.join(if response.full {
                    self.store_view
                        .merge_peer_snapshot(changes, stamp, base, now)
                } else {
                    self.store_view.merge_peer(changes, stamp, now)
                });
                self.store_view.merge_peer_history(
                    versions.as_ref(),
                    response.full,
                    known_until,
                    now,
                );
                self.fetch_plan
                    .end_fetch(self.document_state().is_ahead_of(before), now);
                spdlog::info!("documents-from-peer", kv: {
                    peer: = peer, documents: = count, full: = response.full,
                    revision: = stamp.revision, era: = stamp.era,
                    version: = self.store_view.config_version(), evacuations: = known.is_some()
                });
                self.publish(effect);
                let has_all = self.store_view.knows_evacuations();
                (has_all && before.stamp == StoreStamp::default()).then_some(stamp)
            }
            Err(error) => {
                self.fetch_plan.end_fetch(false, now);
                self.count_unreadable_response(&error);
                spdlog::warn!("documents-missed", kv: { reason: = error });
                None
            }
        }
    }
}
