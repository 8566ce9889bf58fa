//! Whether an upstream may take a call now, and if not, why.

use std::time::Duration;

use crate::fleet::upstream_entry::UpstreamEntry;

/// Why an upstream takes no call now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateReason {
    /// It is draining, has said that it leaves, or is gone.
    Leaving,
    /// Its data centre is evacuated.
    Evacuated,
    /// It has asked for no requests for this long.
    Declining(Duration),
    /// It has not run the call when it received it before.
    Tried,
    /// Its rate limit allows this router a request after this time; `None` if the router has no share
    /// of the limit.
    Limited(Option<Duration>),
    /// It is cold, or was until lately. This router may call it after this time; `None` if it has no
    /// share of its calls now.
    Cold(Option<Duration>),
    /// This router has its share of the upstream's connections.
    Connections,
}

impl GateReason {
    /// The reason as it appears in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Declining(_) => "declining",
            Self::Tried => "tried",
            Self::Limited(_) => "limited",
            Self::Cold(_) => "cold",
            Self::Connections => "connections",
        }
    }
}

/// One condition on an upstream.
pub trait UpstreamGate {
    /// Returns why the upstream takes no call now, or `None` if this condition allows one.
    fn check(&self, entry: &UpstreamEntry) -> Option<GateReason>;
}

/// Both conditions; the reason of the first one that is not met. Tuples nest for more than two.
impl<A: UpstreamGate, B: UpstreamGate> UpstreamGate for (A, B) {
    fn check(&self, entry: &UpstreamEntry) -> Option<GateReason> {
        let (first, second) = self;
        first.check(entry).or_else(|| second.check(entry))
    }
}
