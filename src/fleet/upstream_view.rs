//! Which engines accept new work. The platform's VM list, the engines' own reports and the outcomes
//! of calls are combined, because each of them can be late and they can contradict each other.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::EngineKey;
use crate::mono::MonoTime;

/// Consecutive failures after which an engine gets no new work until its back-off ends.
const FAILURE_LIMIT: u32 = 3;

/// Back-off after [`FAILURE_LIMIT`] failures; each further failure doubles it up to
/// [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Whether an engine accepts new work, or the reason why not.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// Accepts new work.
    Open,
    /// The platform's list marks its VM as leaving.
    LeavingByList,
    /// The engine reports that it is leaving.
    LeavingByReport,
    /// Consecutive calls to it failed, and its back-off has not ended.
    Failing,
}

impl fmt::Display for UpstreamState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Open => "open",
            Self::LeavingByList => "leaving_by_list",
            Self::LeavingByReport => "leaving_by_report",
            Self::Failing => "failing",
        })
    }
}

/// Load report of an engine, read by this router or relayed by a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// When the engine made the report, on this process's clock.
    pub reported_at: MonoTime,
    /// Whether the engine is shutting down and accepts no new work.
    pub leaving: bool,
    /// Requests that it is running, from all routers.
    pub running: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct UpstreamRecord {
    listed_leaving: bool,
    report: Option<EngineReport>,
    failures: u32,
    backoff_until: Option<MonoTime>,
}

/// Last known state of each engine.
#[derive(Debug, Default)]
pub struct UpstreamView {
    records: HashMap<EngineKey, UpstreamRecord>,
}

impl UpstreamView {
    /// Discards the state of all engines but these.
    pub fn retain(&mut self, engines: &[EngineKey]) {
        self.records.retain(|engine, _| engines.contains(engine));
    }

    /// Records whether the platform's list marks the engine's VM as leaving.
    pub fn set_listed_leaving(&mut self, engine: EngineKey, leaving: bool) {
        self.records.entry(engine).or_default().listed_leaving = leaving;
    }

    /// Stores an engine's report, unless the stored one is at least as new.
    pub fn merge_report(&mut self, engine: EngineKey, report: EngineReport) {
        let record = self.records.entry(engine).or_default();
        if record
            .report
            .is_none_or(|known| known.reported_at < report.reported_at)
        {
            record.report = Some(report);
        }
    }

    /// The newest report of an engine, or `None` if there is none.
    pub fn latest_report(&self, engine: EngineKey) -> Option<EngineReport> {
        self.records.get(&engine)?.report
    }

    /// Counts a failed call and starts a back-off after `FAILURE_LIMIT` consecutive ones.
    pub fn record_failure(&mut self, now: MonoTime, engine: EngineKey) {
        let record = self.records.entry(engine).or_default();
        record.failures = record.failures.saturating_add(1);
        if record.failures >= FAILURE_LIMIT {
            let doublings = (record.failures - FAILURE_LIMIT).min(4);
            let backoff = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
            record.backoff_until = Some(now + backoff);
        }
    }

    /// Resets the failure count and the back-off after a successful call.
    pub fn record_success(&mut self, engine: EngineKey) {
        let record = self.records.entry(engine).or_default();
        record.failures = 0;
        record.backoff_until = None;
    }

    /// Whether an engine accepts new work. It counts as leaving as soon as one source reports it;
    /// an engine without state counts as open.
    pub fn state(&self, now: MonoTime, engine: EngineKey) -> UpstreamState {
        let Some(record) = self.records.get(&engine) else {
            return UpstreamState::Open;
        };
        if record.report.is_some_and(|report| report.leaving) {
            UpstreamState::LeavingByReport
        } else if record.listed_leaving {
            UpstreamState::LeavingByList
        } else if record.backoff_until.is_some_and(|until| now < until) {
            UpstreamState::Failing
        } else {
            UpstreamState::Open
        }
    }
}
