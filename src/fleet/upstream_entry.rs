//! Registration of an upstream in the configuration store.

use std::fmt;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use crate::ids::{DataCenterId, ServiceId, UpstreamId};

/// Whether an upstream accepts new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServingState {
    /// Accepts new work.
    Ready,
    /// Finishes its open calls and accepts no new ones.
    Draining,
}

/// Unix milliseconds at which an upstream started, by its own clock.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct UpstreamStart(pub u64);

impl fmt::Display for UpstreamStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for UpstreamStart {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// One registered upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamEntry {
    /// Identifies the run of the upstream; a restart usually has a new id.
    pub id: UpstreamId,
    pub service: ServiceId,
    /// Address on which it listens. Another upstream may be registered with it later.
    pub address: SocketAddr,
    pub data_center: DataCenterId,
    /// Number of calls that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: ServingState,
    /// How long it is slower than usual after its start.
    pub warm_up: Duration,
    /// When it started, which tells apart two runs under one id; `None` if its entry doesn't say.
    pub start: Option<UpstreamStart>,
}
