//! Settings of the router and the locator, read from YAML when the process starts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCenterId, VmId};
use crate::units::TimeSpan;

/// An operation that an administration token permits.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AdminScope {
    /// Reading the status.
    Read,
    /// Draining the process.
    Drain,
}

/// A bearer token of the administration API.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdminToken {
    /// BLAKE3 hash of the token, in hexadecimal.
    pub token_digest: String,
    pub scopes: Vec<AdminScope>,
}

/// The address of a peer to connect to before the register is known.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSeed {
    pub vm: VmId,
    pub peer: SocketAddr,
}

/// Settings of `hawthorn-router`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// The VM that the router runs on, by its name in the register.
    pub vm: VmId,
    pub data_center: DataCenterId,
    /// Address at which the router accepts calls.
    pub entry: SocketAddr,
    /// Address at which it accepts connections of other routers.
    pub peer: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Number of threads that process traffic.
    #[serde(default = "default_threads")]
    pub traffic_threads: usize,
    /// Address of the configuration service.
    pub config_service: SocketAddr,
    /// Address of the platform service that lists the VMs.
    pub vm_list: SocketAddr,
    /// Peers to connect to before the register is known.
    #[serde(default)]
    pub seeds: Vec<PeerSeed>,
    /// Shared secret with which routers authenticate to each other.
    pub fleet_key: String,
    #[serde(default)]
    pub admin_tokens: Vec<AdminToken>,
    /// UDP address that receives metrics in the `StatsD` format, or `None` to send none.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Longest time for which a drain waits for requests in progress.
    #[serde(default = "default_drain_limit")]
    pub drain_limit: TimeSpan,
}

/// Settings of `hawthorn-locator`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LocatorSettings {
    /// The VM that the locator runs on.
    pub vm: VmId,
    /// Address at which the locator accepts requests.
    pub listen: SocketAddr,
    /// The entry VMs to choose from.
    pub vms: Vec<LocatorTarget>,
    /// How long callers may cache a response.
    #[serde(default = "default_answer_life")]
    pub answer_life: TimeSpan,
}

/// An entry VM that a locator may return to callers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LocatorTarget {
    pub vm: VmId,
    /// Address at which its router accepts calls.
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
