//! One route.

use std::fmt;
use std::time::Duration;

use crate::ids::{RouteId, ServiceId};
use crate::route::CallKind;

/// Rank of a call; 0 is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PriorityRank(pub u8);

impl fmt::Display for PriorityRank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A service of a route and its part of the calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceSplit {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the splits of the route.
    pub weight: u32,
}

/// How the calls of one path prefix are served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// Name in logs and metrics.
    pub name: RouteId,
    /// Host of the route, in lower case.
    pub host: String,
    /// Start of the paths of the route.
    ///
    /// Invariant: begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time that a caller waits for the end of the answer.
    pub time_limit: Duration,
    /// Time within which an answer, or its first event, is worth most.
    pub target: Duration,
    /// Longest pause between events for which a stream is on time.
    pub gap_target: Option<Duration>,
    /// Rank of the calls unless the client account has one.
    pub rank: PriorityRank,
    /// The services that run the calls.
    ///
    /// Invariant: not empty, and not all weights are zero.
    pub splits: Vec<ServiceSplit>,
    /// Number of upstreams that one call may be sent to.
    pub max_attempts: u32,
    /// Whether calls need no key.
    pub public: bool,
    /// Whether calls carry prompts whose parts upstreams cache.
    pub cached_prompts: bool,
}

impl RouteRule {
    /// The service for a call; `draw` is uniform over `u64`.
    pub fn pick_service(&self, draw: u64) -> &ServiceId {
        let total: u64 = self
            .splits
            .iter()
            .map(|split| u64::from(split.weight))
            .sum();
        let mut rest = draw % total.max(1);
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if rest < weight {
                return &split.service;
            }
            rest -= weight;
        }
        &self.splits[0].service
    }
}
