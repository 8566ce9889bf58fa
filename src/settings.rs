//! Settings of each role, read from YAML when a process starts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCenterId, VmId};
use crate::units::TimeSpan;

/// What an administration token allows.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AdminScope {
    /// Reading status.
    Read,
    /// Draining the process.
    Drain,
}

/// An administration token.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdminToken {
    /// Hash (BLAKE3, hexadecimal) of the token.
    pub token_digest: String,
    /// What it allows.
    pub scopes: Vec<AdminScope>,
}

/// Where a router finds a peer before it has a register.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSeed {
    /// The peer's VM.
    pub vm: VmId,
    /// Its peer address.
    pub peer: SocketAddr,
}

/// Settings of `hawthorn-router`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// The VM it runs on, as the register names it.
    pub vm: VmId,
    /// The data centre it stands in.
    pub data_center: DataCenterId,
    /// Where callers reach it.
    pub entry: SocketAddr,
    /// Where other routers reach it.
    pub peer: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Threads that carry traffic.
    #[serde(default = "default_threads")]
    pub traffic_threads: usize,
    /// The configuration service.
    pub config_service: SocketAddr,
    /// The platform's list of VMs.
    pub vm_list: SocketAddr,
    /// Peers to ask before the register is known.
    #[serde(default)]
    pub seeds: Vec<PeerSeed>,
    /// Secret that routers prove to each other.
    pub fleet_key: String,
    /// Administration tokens.
    #[serde(default)]
    pub admin_tokens: Vec<AdminToken>,
    /// Where metrics go, in the `StatsD` form over UDP.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// How long a drain waits for requests in progress.
    #[serde(default = "default_drain_limit")]
    pub drain_limit: TimeSpan,
}

/// Settings of `hawthorn-locator`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LocatorSettings {
    /// The VM it runs on.
    pub vm: VmId,
    /// Where callers ask.
    pub listen: SocketAddr,
    /// The entry VMs to choose from.
    pub vms: Vec<LocatorTarget>,
    /// How long callers keep an answer.
    #[serde(default = "default_answer_life")]
    pub answer_life: TimeSpan,
}

/// An entry VM that a locator may name.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LocatorTarget {
    /// Its name.
    pub vm: VmId,
    /// Where callers reach its router.
    pub entry: SocketAddr,
}

fn default_threads() -> usize {
    2
}

fn default_drain_limit() -> TimeSpan {
    TimeSpan::from_millis(30 * 60 * 1000)
}

fn default_answer_life() -> TimeSpan {
    TimeSpan::from_millis(5_000)
}
