//! Finds the software version at which a call may go on with a stream.

mod part_origin;

use std::time::Duration;

use tokio::time::timeout;

use super::FrontCall;
use crate::dialect::EdgeDialect;
use crate::fleet::version_history::history_time;
use crate::forward::traffic_state::TrafficState;
use crate::forward_board::ForwardBoard;
use crate::ids::{PartTag, ServiceId, StreamTag, VersionTag};
use crate::mono::MonoTime;
use crate::policy::call_attempts::CallFailure;
use crate::policy::store_checks::{CHECK_TIMEOUT, CheckNumber, CheckState};
use crate::policy::stream_versions::{LOOKUP_TIMEOUT, LookupState, stream_life};
use crate::route::CallKind;

/// Time for a check of the store before other routers are asked as well.
const CHECK_HEAD_START: Duration = Duration::from_millis(25);

/// How the version of a stream was found, for logs and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OriginSource {
    /// This router has its record.
    Own,
    /// Another router had its record.
    Peer,
    /// Upstreams of one version have cached its prompt.
    Cache,
    /// The service had no other version for as long as the stream may have lasted, by a read of the
    /// store that began after the call arrived.
    Sole,
    /// It was not found.
    Unknown,
}

impl OriginSource {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Cache => "cache",
            Self::Sole => "sole",
            Self::Unknown => "unknown",
        }
    }
}

/// Whether it is proved that a service has had a single version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SoleProof {
    /// The store has not answered yet.
    Open,
    Proved(VersionTag),
    /// There may be others.
    Missing,
}

/// Ends a search when it is dropped.
struct LookupGuard<F: FnMut()>(F);

impl<F: FnMut()> Drop for LookupGuard<F> {
    fn drop(&mut self) {
        (self.0)();
    }
}

/// Begins a search for the record of a stream, which ends when the guard is dropped.
fn begin_lookup(board: &ForwardBoard, stream: StreamTag) -> LookupGuard<impl FnMut()> {
    board.stream_versions().begin_lookup(stream);
    board.streams_changed.notify_one();
    LookupGuard(move || board.stream_versions().end_lookup(stream))
}

impl<D: EdgeDialect> TrafficState<D> {
    /// Waits until `is_settled`, or until the time limit. It is asked again after each message about
    /// streams and each check of the store.
    async fn await_news<F: Fn() -> bool>(&self, limit: Duration, is_settled: F) {
        let mut merged = self.board.streams_merged.subscribe();
        // The sender is on the board, so the only failure is the time limit.
        let _ = timeout(limit, merged.wait_for(|_| is_settled())).await;
    }

    /// Asks other routers for the version of a stream, while `prove` may find the only version at which
    /// it can have begun.
    async fn ask_stream_version<F>(
        &self,
        stream: StreamTag,
        prove: F,
    ) -> Option<(OriginSource, VersionTag)>
    where
        F: Fn() -> SoleProof,
    {
        let _lookup = begin_lookup(&self.board, stream);
        let state = || {
            let streams = self.board.stream_versions();
            streams.lookup_state(stream, self.now())
        };
        let is_found = || matches!(state(), LookupState::Found(_));
        let is_proved = || matches!(prove(), SoleProof::Proved(_));
        let is_open = || prove() == SoleProof::Open;
        self.await_news(LOOKUP_TIMEOUT, || {
            let is_cut_off = self.board.stream_versions().is_cut_off(stream);
            let is_missing = state() == LookupState::Missing && !is_open();
            is_found() || is_proved() || is_missing || is_cut_off
        })
        .await;
        // If nobody answers, this router is cut off and the store won't either.
        if !self.board.stream_versions().is_unanswered(stream) {
            let wait = CHECK_TIMEOUT.saturating_sub(LOOKUP_TIMEOUT);
            self.await_news(wait, || is_found() || !is_open()).await;
        }
        match (state(), prove()) {
            (LookupState::Found(version), _) => Some((OriginSource::Peer, version)),
            (_, SoleProof::Proved(version)) => Some((OriginSource::Sole, version)),
            _ => None,
        }
    }
}

impl<D: EdgeDialect> FrontCall<D> {
    /// Whether the call takes up a stream that an earlier one began.
    fn takes_up(&self) -> bool {
        self.plan.head.resume_after.is_some()
            && self.plan.route.kind == CallKind::Stream { resumable: true }
    }

    /// Finds the version at which the stream of this call may go on, if it takes one up.
    pub(super) async fn find_origin(&mut self) -> Result<(), CallFailure> {
        if !self.takes_up() {
            return Ok(());
        }
        let check = self.begin_check();
        let found = self.find_version(check).await;
        self.lacks_news = check.is_some_and(|check| !self.is_confirmed(check));
        let source = found.map_or(OriginSource::Unknown, |(source, _)| source);
        let take_ups = &self.state.telemetry.take_ups;
        take_ups.with_label_values(&[source.label()]).inc();
        self.origin = Some(source);
        self.version = found.map(|(_, version)| version);
        let Some(version) = self.version else {
            return Err(CallFailure::UnknownVersion(self.evidence_wait()));
        };
        self.service = self.serving_service(version).await?;
        Ok(())
    }

    /// Returns the service of which an upstream serves a version. If none is known, the store may name
    /// one that this router has not heard of.
    async fn serving_service(&mut self, version: VersionTag) -> Result<ServiceId, CallFailure> {
        if let Some(service) = self.known_service(version) {
            return Ok(service);
        }
        let check = self.request_check();
        let is_settled = || {
            let is_open = self.check_state(check) == CheckState::Open;
            !is_open || self.known_service(version).is_some()
        };
        self.state.await_news(CHECK_TIMEOUT, is_settled).await;
        let service = self.known_service(version);
        self.lacks_news = !self.is_confirmed(check);
        service.ok_or(CallFailure::VersionGone)
    }

    fn known_service(&self, version: VersionTag) -> Option<ServiceId> {
        // The call may have been split to another service than the one that began the stream.
        let services = self.plan.route.splits.iter().map(|split| &split.service);
        std::iter::once(&self.service)
            .chain(services)
            .find(|service| self.state.serves_version(service, version))
            .cloned()
    }

    async fn find_version(&self, check: Option<CheckNumber>) -> Option<(OriginSource, VersionTag)> {
        let state = &self.state;
        let own = state
            .board
            .stream_versions()
            .version(self.stream, state.now());
        if let Some(version) = own {
            return Some((OriginSource::Own, version));
        }
        let prove = || self.prove_sole(check);
        let is_settled = || prove() != SoleProof::Open;
        let names_stream = self.plan.head.resumes.is_some();
        // Most streams are of the only version, and the store tells so sooner than other routers.
        let wait = if names_stream {
            CHECK_HEAD_START
        } else {
            CHECK_TIMEOUT
        };
        state.await_news(wait, is_settled).await;
        if let SoleProof::Proved(version) = prove() {
            return Some((OriginSource::Sole, version));
        }
        if names_stream && let Some(found) = state.ask_stream_version(self.stream, prove).await {
            return Some(found);
        }
        let version = self.find_part_version(self.own_part()?).await?;
        Some((OriginSource::Cache, version))
    }

    /// The part of the prompt that belongs to this request. The only part of a prompt may be shared by
    /// others.
    fn own_part(&self) -> Option<PartTag> {
        let part = self.plan.head.prompt.get(1..)?.last()?;
        Some(PartTag(part.hash))
    }

    /// Asks for a read of the store.
    fn request_check(&self) -> CheckNumber {
        let board = &self.state.board;
        let check = board.store_checks().request();
        board.streams_changed.notify_one();
        check
    }

    /// Asks for a read of the store, unless this router has the record, or the versions that are known
    /// already rule out that there is only one.
    fn begin_check(&self) -> Option<CheckNumber> {
        let now = self.state.now();
        let streams = self.state.board.stream_versions();
        let is_recorded = streams.version(self.stream, now).is_some();
        drop(streams);
        (!is_recorded && self.known_sole().is_some()).then(|| self.request_check())
    }

    fn check_state(&self, check: CheckNumber) -> CheckState {
        let now = self.state.now();
        self.state.board.store_checks().state(check, now)
    }

    fn is_confirmed(&self, check: CheckNumber) -> bool {
        self.check_state(check) == CheckState::Confirmed
    }

    /// The only version at which the stream of this call can have begun, by the store's state at the
    /// latest read.
    fn known_sole(&self) -> Option<VersionTag> {
        let versions = self.state.board.versions.load();
        versions.sole_version(self.service.key(), self.earliest_start())
    }

    /// Whether the store was read after this call arrived and names one version alone.
    fn prove_sole(&self, check: Option<CheckNumber>) -> SoleProof {
        let Some(check) = check else {
            return SoleProof::Missing;
        };
        match self.check_state(check) {
            CheckState::Open => SoleProof::Open,
            CheckState::Failed => SoleProof::Missing,
            CheckState::Confirmed => self
                .known_sole()
                .map_or(SoleProof::Missing, SoleProof::Proved),
        }
    }

    /// When the stream that this call takes up may have begun, on the clock of [`history_time`]. The
    /// caller waits for the rest of its life at most, and the router that began it may have been late with
    /// the news that the version was no longer in use.
    fn earliest_start(&self) -> MonoTime {
        let life = stream_life(self.plan.route.time_limit);
        let span = life.saturating_sub(self.time_left()) + self.state.board.longest_lag();
        history_time(self.state.now()).saturating_sub(span)
    }

    /// Records the version whose first event goes to the caller, to which the stream is bound.
    pub(super) fn bind_version(&mut self, version: VersionTag) {
        self.version = Some(version);
        if self.plan.route.kind != (CallKind::Stream { resumable: true }) {
            return;
        }
        let until = self.state.now() + stream_life(self.plan.route.time_limit);
        // Upstreams were asked for their parts at the start, before this stream.
        let is_sought = !self.covers_versions() || self.state.board.part_lists().is_active();
        let new_part = self.own_part().filter(|_| is_sought);
        let mut streams = self.state.board.stream_versions();
        let is_first = streams.record(self.stream, version, until);
        if let Some(part) = new_part {
            streams.record_part(part, version, until);
        }
        drop(streams);
        // The control thread sends all records that wait by then.
        if is_first {
            self.state.board.streams_changed.notify_one();
        }
    }

    /// Whether this router knows all versions that were in use for as long as a stream lasts.
    fn covers_versions(&self) -> bool {
        let versions = self.state.board.versions.load();
        let since = versions.covered_since();
        since.is_some_and(|since| since <= self.earliest_start())
    }
}
