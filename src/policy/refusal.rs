//! Refusals of requests before they run.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The reason why a request was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The queue of the request's rank, or its account's share of that queue, is full.
    Overload,
    /// The deadline of the request expired in the queue.
    Deadline,
    /// The router is draining.
    Draining,
    /// No engine or service can take the request.
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
    pub reason: RefusalReason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}
