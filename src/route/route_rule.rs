//! The configuration of one route.

use std::fmt;
use std::time::Duration;

use crate::ids::{RouteId, ServiceId};
use crate::route::CallKind;

/// Priority of a call; calls with rank 0 are served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PriorityRank(pub u8);

impl fmt::Display for PriorityRank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A service of a route and its share of the route's calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceSplit {
    /// Service that receives the share.
    pub service: ServiceId,
    /// Weight relative to the other splits of the route.
    pub weight: u32,
}

/// Rules for the calls to one host and path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// Name of the route in logs and metrics.
    pub name: RouteId,
    /// Host name in lower case, without a port.
    pub host: String,
    /// Prefix that the paths of the route share.
    ///
    /// Invariant: begins and ends with a slash.
    pub prefix: String,
    /// Kind of the calls, which determines whether they may be retried.
    pub kind: CallKind,
    /// Maximum time from the request to the end of the response.
    pub time_limit: Duration,
    /// Target latency of the response, or of its first event if it is a stream.
    pub target: Duration,
    /// Target for the time between two events of a stream; `None` if the route sets none.
    pub gap_target: Option<Duration>,
    /// Rank of the calls whose client account has no rank of its own.
    pub rank: PriorityRank,
    /// Services that run the calls.
    ///
    /// Invariant: not empty, and not all weights are zero.
    pub splits: Vec<ServiceSplit>,
    /// Maximum number of upstreams that may receive one call.
    pub max_attempts: u32,
    /// Whether calls are accepted without an API key.
    pub public: bool,
    /// Whether the calls carry prompts that upstreams cache in parts.
    pub cached_prompts: bool,
}

impl RouteRule {
    /// Chooses a service by weight; `draw` is a uniformly random `u64`.
    pub fn pick_service(&self, draw: u64) -> &ServiceId {
        let total: u64 = self
            .splits
            .iter()
            .map(|split| u64::from(split.weight))
            .sum();
        let mut offset = draw % total.max(1);
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if offset < weight {
                return &split.service;
            }
            offset -= weight;
        }
        &self.splits[0].service
    }
}
