//! Registration of an upstream in the configuration store.

use std::fmt;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::software_version::SoftwareVersion;
use crate::ids::{DataCenterId, ServiceId, UpstreamId, UpstreamStart, VersionTag};
use crate::mono::MonoTime;

/// Whether an upstream accepts new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServingState {
    /// Accepts new work.
    Ready,
    /// Finishes its open calls and accepts no new ones.
    Draining,
}

/// When an upstream started, in milliseconds since the Unix epoch by its own clock.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StartTime(pub u64);

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StartTime {
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
    /// Version of the software that this start of the upstream runs.
    pub version: SoftwareVersion,
    /// Number of calls that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: ServingState,
    /// How long it is slower than usual after its start.
    pub warm_up: Duration,
    /// Tells apart the starts under one id. Without it, they all count as one.
    pub started: Option<StartTime>,
    /// When calls must no longer use it, if its entry was removed but may only have expired.
    pub used_until: Option<MonoTime>,
}

impl UpstreamEntry {
    /// Returns whether the upstream may be used no longer.
    pub fn is_over(&self, now: MonoTime) -> bool {
        self.used_until.is_some_and(|until| until <= now)
    }

    /// Identifies the software version among those of all services.
    pub fn version_tag(&self) -> VersionTag {
        self.version.tag(&self.service)
    }

    /// Identifies this start of the upstream.
    pub fn start(&self) -> UpstreamStart {
        let started = self.started.unwrap_or_default();
        UpstreamStart(xxh3_64_with_seed(self.id.as_str().as_bytes(), started.0))
    }
}
