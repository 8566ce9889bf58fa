//! The rules document, in which operators set ranks, limits, deadlines and retries.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::ValueError;
use crate::units::{ByteSize, ShareRatio, TimeSpan};

/// The urgency class of a request, most urgent first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkRank {
    /// Short requests whose result a person waits for, for example at a counter.
    Quick,
    /// Requests for a short verdict.
    Verdict,
    /// Long-running requests that must complete.
    Long,
}

impl WorkRank {
    /// All ranks, most urgent first.
    pub const ALL: [Self; 3] = [Self::Quick, Self::Verdict, Self::Long];

    /// Returns the position in [`Self::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the priority that is sent to an engine; a smaller number is more urgent.
    pub fn engine_priority(self) -> u8 {
        self as u8
    }
}

impl fmt::Display for WorkRank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Quick => "quick",
            Self::Verdict => "verdict",
            Self::Long => "long",
        })
    }
}

impl FromStr for WorkRank {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        Self::ALL
            .into_iter()
            .find(|rank| rank.to_string() == text)
            .ok_or_else(|| ValueError::new(text, "quick, verdict or long"))
    }
}

/// Limits, timeouts and service objectives of one rank.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RankRule {
    /// Share of the slots above which this rank is served only after the waiting ranks that are
    /// below theirs.
    pub share: ShareRatio,
    /// Smallest share of the slots that this rank is granted while it has requests waiting.
    ///
    /// Invariant: the floors of all ranks add up to at most 100%.
    pub floor: ShareRatio,
    /// Longest expected queueing time. A request that would wait longer is refused at once.
    pub max_wait: TimeSpan,
    /// Time from the acceptance of a request to the end of its response.
    pub deadline: TimeSpan,
    /// Timeout for the first event of a response.
    pub first_event: TimeSpan,
    /// Timeout between two events of a response.
    pub next_event: TimeSpan,
    /// Longest time in which a response still counts as good.
    pub target: TimeSpan,
    /// Share of the responses that must be good.
    pub objective: ShareRatio,
}

/// The rules of each rank.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RankRules {
    pub quick: RankRule,
    pub verdict: RankRule,
    pub long: RankRule,
}

impl RankRules {
    pub fn of(&self, rank: WorkRank) -> &RankRule {
        match rank {
            WorkRank::Quick => &self.quick,
            WorkRank::Verdict => &self.verdict,
            WorkRank::Long => &self.long,
        }
    }
}

/// A bound on the load of an engine, as a multiple of the mean load.
///
/// Invariant: between 1 and 100.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct LoadMultiple(f64);

impl LoadMultiple {
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for LoadMultiple {
    type Error = ValueError;

    fn try_from(factor: f64) -> Result<Self, ValueError> {
        if (1.0..=100.0).contains(&factor) {
            Ok(Self(factor))
        } else {
            Err(ValueError::new(
                &factor.to_string(),
                "a factor from 1 to 100",
            ))
        }
    }
}

impl From<LoadMultiple> for f64 {
    fn from(multiple: LoadMultiple) -> f64 {
        multiple.0
    }
}

impl fmt::Display for LoadMultiple {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for LoadMultiple {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let factor: f64 = text
            .parse()
            .map_err(|_| ValueError::new(text, "a factor from 1 to 100"))?;
        Self::try_from(factor)
    }
}

/// The contents of the rules document.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RuleBook {
    /// Upper bound on the load of each engine, as a multiple of the mean load.
    pub load_multiple: LoadMultiple,
    /// Share of each engine's slots that is reserved for quick requests.
    pub headroom: ShareRatio,
    pub ranks: RankRules,
    /// Maximum number of retries, as a share of the requests.
    pub retry_budget: ShareRatio,
    /// How long callers may cache the response of a locator. A draining router accepts requests for
    /// at least this time.
    pub locator_answer: TimeSpan,
    /// How long a ticket may be used and the response to its call fetched again.
    pub ticket_life: TimeSpan,
    /// Maximum number of unexpired tickets that one router issues to an account.
    pub tickets_per_account: u32,
    /// Timeout of a call to a service.
    pub service_answer: TimeSpan,
    /// Maximum size of a request body.
    pub max_body: ByteSize,
    /// How long a caller may go without reading an event before its connection is closed.
    pub caller_stall: TimeSpan,
    /// Interval of the keep-alive comments in the event stream to a caller.
    pub caller_ping: TimeSpan,
}

/// Returns the rules that apply until the first configuration is in force.
pub fn default_rules() -> RuleBook {
    let seconds = |count: u64| TimeSpan::from_millis(count * 1000);
    let rank = |share, floor, wait, deadline, target, objective| RankRule {
        share: ShareRatio::from_percent(share),
        floor: ShareRatio::from_percent(floor),
        max_wait: seconds(wait),
        deadline: seconds(deadline),
        first_event: seconds(10),
        next_event: seconds(10),
        target: seconds(target),
        objective: ShareRatio::from_percent(objective),
    };
    RuleBook {
        load_multiple: LoadMultiple(1.25),
        headroom: ShareRatio::from_percent(25),
        ranks: RankRules {
            quick: rank(70, 30, 2, 20, 3, 99),
            verdict: rank(60, 20, 8, 60, 10, 95),
            long: rank(60, 25, 600, 1800, 900, 90),
        },
        retry_budget: ShareRatio::from_percent(10),
        locator_answer: seconds(5),
        ticket_life: seconds(600),
        tickets_per_account: 1000,
        service_answer: seconds(10),
        max_body: ByteSize(256 * 1024),
        caller_stall: seconds(10),
        caller_ping: seconds(2),
    }
}
