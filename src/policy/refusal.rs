//! Why a request was refused before it ran.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The reason of a refusal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The queue is so long that the request would miss its deadline.
    Overload,
    /// The request waited to the end of its time.
    Deadline,
    /// The router is draining.
    Draining,
    /// No engine or service can take it.
    NoUpstream,
    /// The model, service or rank is not known.
    Unknown,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::Draining => "draining",
            Self::NoUpstream => "no_upstream",
            Self::Unknown => "unknown_target",
        })
    }
}

/// A refusal: the request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to try again.
    pub retry_after: Duration,
}
