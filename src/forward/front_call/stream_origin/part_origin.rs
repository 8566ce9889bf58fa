//! Finds the version of a stream by the parts of prompts that upstreams have cached.

use std::time::Duration;

use crate::dialect::EdgeDialect;
use crate::forward::front_call::FrontCall;
use crate::forward::front_call::stream_origin::{LookupGuard, begin_lookup};
use crate::forward_board::ForwardBoard;
use crate::ids::{PartTag, ServiceKey, StreamTag, VersionTag};
use crate::policy::part_lists::PartVerdict;
use crate::policy::store_checks::{CHECK_TIMEOUT, CheckState};
use crate::policy::stream_versions::{LOOKUP_TIMEOUT, LookupState};

/// Shortest and longest value of `retry-after` of a call whose stream's version is not known. Records of
/// other routers take about as long as the shortest.
const MIN_EVIDENCE_WAIT: Duration = Duration::from_secs(1);
const MAX_EVIDENCE_WAIT: Duration = Duration::from_secs(3);

/// Begins a question for a part to other routers, which ends when the guard is dropped.
fn begin_question(board: &ForwardBoard, part: PartTag) -> LookupGuard<impl FnMut()> {
    board.part_lists().begin_lookup(part);
    board.streams_changed.notify_one();
    LookupGuard(move || board.part_lists().end_lookup(part))
}

impl<D: EdgeDialect> FrontCall<D> {
    /// Finds the version whose upstreams alone have the last part of the prompt.
    pub(super) async fn find_part_version(&self, part: PartTag) -> Option<VersionTag> {
        let board = &self.state.board;
        if !board.part_lists().is_active() {
            return None;
        }
        // The upstreams that are registered now are those that must have answered.
        let check = self.request_check();
        let record = StreamTag::of_part(part);
        let services = self.possible_services();
        let _lookup = begin_lookup(board, record);
        let _question = begin_question(board, part);
        let verdict = || board.part_lists().verdict(part, &services);
        let record_state = || {
            board
                .stream_versions()
                .lookup_state(record, self.state.now())
        };
        let is_checked = || self.check_state(check) != CheckState::Open;
        let is_settled = || match verdict() {
            PartVerdict::Several => true,
            PartVerdict::Open => false,
            _ => record_state() != LookupState::Open && is_checked(),
        };
        self.state.await_news(LOOKUP_TIMEOUT, is_settled).await;
        // A slow store is worth a longer wait only if its answer decides.
        let wait = CHECK_TIMEOUT.saturating_sub(LOOKUP_TIMEOUT);
        if matches!(verdict(), PartVerdict::Certain(_) | PartVerdict::Missing) {
            self.state.await_news(wait, is_checked).await;
        }
        let has_several = board
            .stream_versions()
            .has_several(record, self.state.now());
        let (verdict, record) = (verdict(), record_state());
        let version = match (verdict, record) {
            _ if has_several || !self.is_confirmed(check) => None,
            (PartVerdict::Certain(version), LookupState::Missing) => Some(version),
            (PartVerdict::Certain(version), LookupState::Found(begun)) => {
                (version == begun).then_some(version)
            }
            // The stream began after the upstreams were asked.
            (PartVerdict::Missing, LookupState::Found(begun)) => Some(begun),
            _ => None,
        };
        let evidence = board
            .part_lists()
            .evidence(part, &services, self.state.now());
        spdlog::info!("part-evidence", kv: {
            id: = self.request_id(), part: = part, found: = version.is_some(), verdict:? = verdict,
            record:? = record, versions: = evidence.versions, heard: = evidence.heard,
            unheard: = evidence.unheard, silent: = evidence.silent,
            oldest_ms: = evidence.oldest.as_millis()
        });
        version
    }

    /// The services that may have begun the stream: a route may be split.
    fn possible_services(&self) -> Vec<ServiceKey> {
        let splits = self.plan.route.splits.iter();
        let mut services: Vec<ServiceKey> = splits.map(|split| split.service.key()).collect();
        services.push(self.service.key());
        services
    }

    /// When a caller whose stream's version is not known may try again.
    pub(super) fn evidence_wait(&self) -> Duration {
        let answers_due = self.state.board.part_lists().answers_due();
        let wait = match self.own_part() {
            Some(_) => answers_due.since(self.state.now()),
            None => Duration::ZERO,
        };
        wait.clamp(MIN_EVIDENCE_WAIT, MAX_EVIDENCE_WAIT)
    }
}
