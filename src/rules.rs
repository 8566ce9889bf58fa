//! The rules that operators add to the register: ranks, limits, deadlines and retries.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::ValueError;
use crate::units::{ByteSize, ShareRatio, TimeSpan};

/// The rank of a request, most urgent first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkRank {
    /// Needed while someone stands at the counter.
    Quick,
    /// A short verdict.
    Verdict,
    /// Slow work that must finish.
    Long,
}

impl WorkRank {
    /// Every rank, most urgent first.
    pub const ALL: [Self; 3] = [Self::Quick, Self::Verdict, Self::Long];

    /// Position in [`Self::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// The priority an engine is given; a smaller number is more urgent.
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

/// What one rank is promised and limited to.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RankRule {
    /// Share of the slots that this rank may hold while another rank waits.
    pub share: ShareRatio,
    /// Share of the slots that this rank gets at least while it waits.
    ///
    /// Invariant: the floors of all ranks add up to at most 100%.
    pub floor: ShareRatio,
    /// Longest expected time in a queue; work that would wait longer is refused at once.
    pub max_wait: TimeSpan,
    /// Time from acceptance to the end of the answer.
    pub deadline: TimeSpan,
    /// Longest silence before the first event of an answer.
    pub first_event: TimeSpan,
    /// Longest silence between two events of an answer.
    pub next_event: TimeSpan,
    /// Time within which an answer counts as good.
    pub target: TimeSpan,
    /// Share of the answers that must be good.
    pub objective: ShareRatio,
}

/// The rules of each rank.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RankRules {
    /// Rules of quick questions.
    pub quick: RankRule,
    /// Rules of short verdicts.
    pub verdict: RankRule,
    /// Rules of long work.
    pub long: RankRule,
}

impl RankRules {
    /// The rule of `rank`.
    pub fn of(&self, rank: WorkRank) -> &RankRule {
        match rank {
            WorkRank::Quick => &self.quick,
            WorkRank::Verdict => &self.verdict,
            WorkRank::Long => &self.long,
        }
    }
}

/// A load multiple of at least one.
///
/// Invariant: between 1 and 100.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct LoadMultiple(f64);

impl LoadMultiple {
    /// The factor.
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

/// The rules document.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RuleBook {
    /// No engine holds more than this multiple of the mean load.
    pub load_multiple: LoadMultiple,
    /// Share of each engine's slots that only quick questions may take.
    pub headroom: ShareRatio,
    /// Rules by rank.
    pub ranks: RankRules,
    /// Retries, as a share of the requests.
    pub retry_budget: ShareRatio,
    /// How long callers keep a locator's answer.
    pub locator_answer: TimeSpan,
    /// How long a ticket can be spent, and its answer fetched again.
    pub ticket_life: TimeSpan,
    /// Tickets that an account may have minted by one router and not yet expired.
    pub tickets_per_account: u32,
    /// How long a service may take to answer a call.
    pub service_answer: TimeSpan,
    /// Largest request body.
    pub max_body: ByteSize,
    /// How long a caller may take no event before it is cut off.
    pub caller_stall: TimeSpan,
    /// Time between keep-alive comments to a caller.
    pub caller_ping: TimeSpan,
}

/// The rules that hold until a configuration is in force.
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
