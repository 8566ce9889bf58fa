//! Finds the software version at which a call may go on with a stream.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::FrontCall;
use crate::dialect::EdgeDialect;
use crate::fleet::version_history::history_time;
use crate::forward::traffic_state::TrafficState;
use crate::forward_board::ForwardBoard;
use crate::ids::{PartTag, ServiceId, StreamTag, VersionTag};
use crate::mono::MonoTime;
use crate::policy::call_attempts::CallFailure;
use crate::policy::stream_versions::{LookupState, stream_life};
use crate::route::CallKind;

/// Longest wait for the records of other routers.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// Age above which the list of other routers says nothing: this process was paused.
const MAX_ROUTERS_AGE: Duration = Duration::from_secs(1);

/// How the version of a stream was found, for logs and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OriginSource {
    /// This router has its record.
    Own,
    /// Another router had its record.
    Peer,
    /// Upstreams of one version have cached its prompt.
    Cache,
    /// The service had no other version for as long as the stream may have lasted.
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

/// A search for the record of a stream, which ends when the guard is dropped.
struct LookupGuard<'a> {
    board: &'a ForwardBoard,
    stream: StreamTag,
}

impl<'a> LookupGuard<'a> {
    fn begin(board: &'a ForwardBoard, stream: StreamTag) -> Self {
        board.stream_versions().begin_lookup(stream);
        board.streams_changed.notify_one();
        Self { board, stream }
    }
}

impl Drop for LookupGuard<'_> {
    fn drop(&mut self) {
        self.board.stream_versions().end_lookup(self.stream);
    }
}

impl<D: EdgeDialect> TrafficState<D> {
    /// Asks other routers for the version of a stream.
    async fn ask_stream_version(&self, stream: StreamTag) -> Option<VersionTag> {
        if let Some(version) = self.board.stream_versions().version(stream, self.now()) {
            return Some(version);
        }
        let mut merged = self.board.streams_merged.subscribe();
        let _lookup = LookupGuard::begin(&self.board, stream);
        let state = || {
            let streams = self.board.stream_versions();
            streams.lookup_state(stream, self.now())
        };
        // The sender is on the board, so the only failure is the time limit.
        let _ = tokio::time::timeout(
            LOOKUP_TIMEOUT,
            merged.wait_for(|_| state() != LookupState::Open),
        )
        .await;
        match state() {
            LookupState::Found(version) => Some(version),
            LookupState::Open | LookupState::Missing => None,
        }
    }

    /// Returns the only version of a service at which a stream may have begun at `since` or later, if
    /// that is certain.
    fn sole_version(&self, service: &ServiceId, since: MonoTime) -> Option<VersionTag> {
        if !self.knows_versions() {
            return None;
        }
        self.board
            .versions
            .load()
            .sole_version(service.key(), since)
    }

    /// Whether no other router can know of a version that this one has not heard of: the store or
    /// half of the other routers are within reach.
    fn knows_versions(&self) -> bool {
        let settings = self.board.settings.load();
        if u128::from(self.store_age_ms()) <= settings.apply_limit.as_millis() {
            return true;
        }
        let known_ms = self.board.routers_known_ms.load(Ordering::Relaxed);
        if self.now().since(MonoTime(Duration::from_millis(known_ms))) > MAX_ROUTERS_AGE {
            return false;
        }
        let routers = self.board.serving_routers.load();
        let heard = routers
            .iter()
            .filter(|router| router.address != settings.address);
        let others = self.board.fleet_size().saturating_sub(1);
        2 * heard.count() >= others
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
        let found = self.find_version().await;
        let source = found.map_or(OriginSource::Unknown, |(source, _)| source);
        let take_ups = &self.state.telemetry.take_ups;
        take_ups.with_label_values(&[source.label()]).inc();
        self.origin = Some(source);
        self.version = found.map(|(_, version)| version);
        let version = self.version.ok_or(CallFailure::UnknownVersion)?;
        // The call may have been split to another service than the one that began the stream.
        let services = self.plan.route.splits.iter().map(|split| &split.service);
        let service = std::iter::once(&self.service)
            .chain(services)
            .find(|service| self.state.serves_version(service, version));
        self.service = service.ok_or(CallFailure::VersionGone)?.clone();
        Ok(())
    }

    async fn find_version(&self) -> Option<(OriginSource, VersionTag)> {
        let state = &self.state;
        let own = state
            .board
            .stream_versions()
            .version(self.stream, state.now());
        if let Some(version) = own {
            return Some((OriginSource::Own, version));
        }
        if let Some(version) = state.sole_version(&self.service, self.earliest_start()) {
            return Some((OriginSource::Sole, version));
        }
        self.plan.head.resumes.as_ref()?;
        if let Some(version) = state.ask_stream_version(self.stream).await {
            return Some((OriginSource::Peer, version));
        }
        // The only part of a prompt may be shared by other requests.
        let part = self.plan.head.prompt.get(1..)?.last()?;
        let part = StreamTag::of_part(PartTag(part.hash));
        let version = state.ask_stream_version(part).await?;
        Some((OriginSource::Cache, version))
    }

    /// When the stream that this call takes up may have begun, on the clock of [`history_time`]. The
    /// caller waits for the rest of its life at most. A router that has not heard of a change yet may
    /// have begun it at a version that was no longer in use.
    fn earliest_start(&self) -> MonoTime {
        let life = stream_life(self.plan.route.time_limit);
        let slack = self.state.board.settings.load().apply_limit;
        let span = life.saturating_sub(self.time_left()) + slack;
        history_time(self.state.now()).saturating_sub(span)
    }

    /// Records the version whose first event goes to the caller, to which the stream is bound.
    pub(super) fn bind_version(&mut self, version: VersionTag) {
        self.version = Some(version);
        if self.plan.route.kind == (CallKind::Stream { resumable: true }) {
            let until = self.state.now() + stream_life(self.plan.route.time_limit);
            let is_news = self
                .state
                .board
                .stream_versions()
                .record(self.stream, version, until);
            if is_news {
                self.state.board.streams_changed.notify_one();
            }
        }
    }
}
