//! Which engines take new work, from several sources that lag and contradict each other.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::EngineKey;
use crate::mono::MonoTime;

/// Failures in a row after which an engine gets no new work for a while.
const FAILURE_LIMIT: u32 = 3;

/// First pause after too many failures; it doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// Longest pause after failures.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// Whether an engine takes new work, and if not, why.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// It takes new work.
    Open,
    /// The platform's list says that its VM is leaving.
    LeavingByList,
    /// The engine itself says that it is leaving.
    LeavingByReport,
    /// Calls to it fail.
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

/// An engine's own report, first hand or through a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// When the engine said it, on this process's clock.
    pub reported_at: MonoTime,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests that it runs, from all routers.
    pub running: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct UpstreamRecord {
    listed_leaving: bool,
    report: Option<EngineReport>,
    failures: u32,
    closed_until: Option<MonoTime>,
}

/// Beliefs about every engine.
#[derive(Debug, Default)]
pub struct UpstreamView {
    records: HashMap<EngineKey, UpstreamRecord>,
}

impl UpstreamView {
    /// Keeps beliefs about these engines only.
    pub fn retain(&mut self, engines: &[EngineKey]) {
        self.records.retain(|engine, _| engines.contains(engine));
    }

    /// Takes the platform's word on an engine's VM.
    pub fn set_listed_leaving(&mut self, engine: EngineKey, leaving: bool) {
        self.records.entry(engine).or_default().listed_leaving = leaving;
    }

    /// Takes an engine's report, unless a newer one is known.
    pub fn merge_report(&mut self, engine: EngineKey, report: EngineReport) {
        let record = self.records.entry(engine).or_default();
        if record
            .report
            .is_none_or(|known| known.reported_at < report.reported_at)
        {
            record.report = Some(report);
        }
    }

    /// The newest report of an engine.
    pub fn latest_report(&self, engine: EngineKey) -> Option<EngineReport> {
        self.records.get(&engine)?.report
    }

    /// Counts a call that failed.
    pub fn record_failure(&mut self, now: MonoTime, engine: EngineKey) {
        let record = self.records.entry(engine).or_default();
        record.failures = record.failures.saturating_add(1);
        if record.failures >= FAILURE_LIMIT {
            let doublings = (record.failures - FAILURE_LIMIT).min(4);
            let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE);
            record.closed_until = Some(now + pause);
        }
    }

    /// Counts a call that an engine answered.
    pub fn record_success(&mut self, engine: EngineKey) {
        let record = self.records.entry(engine).or_default();
        record.failures = 0;
        record.closed_until = None;
    }

    /// Whether an engine takes new work. The word of leaving from any source is enough.
    pub fn state(&self, now: MonoTime, engine: EngineKey) -> UpstreamState {
        let Some(record) = self.records.get(&engine) else {
            return UpstreamState::Open;
        };
        if record.report.is_some_and(|report| report.leaving) {
            UpstreamState::LeavingByReport
        } else if record.listed_leaving {
            UpstreamState::LeavingByList
        } else if record.closed_until.is_some_and(|until| now < until) {
            UpstreamState::Failing
        } else {
            UpstreamState::Open
        }
    }
}
