//! The register: the operators' inventory of data centres, VMs, models, engines, services and
//! client accounts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, DataCenterId, EngineId, ModelId, ServiceId, VmId};

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCenterEntry {
    pub id: DataCenterId,
    pub region: String,
}

/// An entry VM, which runs a router and a locator.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    pub id: VmId,
    pub data_center: DataCenterId,
    /// Address at which the router accepts calls.
    pub entry: SocketAddr,
    /// Address at which the router accepts connections of other routers.
    pub peer: SocketAddr,
    /// Address at which the locator serves entry addresses to callers.
    pub locator: SocketAddr,
}

/// A model engine.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineEntry {
    pub id: EngineId,
    pub data_center: DataCenterId,
    pub address: SocketAddr,
    pub model: ModelId,
    /// Maximum number of requests that it processes at a time.
    ///
    /// Invariant: at least one.
    pub slots: u32,
    /// Whether it rejects an order that carries an outdated fencing number. The router does not use
    /// this value.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A service other than a model engine.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    pub id: ServiceId,
    /// Addresses of its instances, which are interchangeable.
    ///
    /// Invariant: not empty.
    pub addresses: Vec<SocketAddr>,
    /// Whether a call may be sent a second time, for example after a failure.
    pub repeatable: bool,
    /// Whether it rejects an order that carries an outdated fencing number. The router does not use
    /// this value.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// The name that callers put into their requests.
    pub id: ModelId,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountEntry {
    pub id: AccountId,
    /// BLAKE3 hash of the account's bearer token, in hexadecimal.
    pub token_digest: String,
    /// Its weight relative to other accounts when requests of the same rank are scheduled.
    ///
    /// Invariant: at least one.
    #[serde(default = "one")]
    pub weight: u32,
}

fn one() -> u32 {
    1
}

/// The register document.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AssetRegister {
    pub data_centers: Vec<DataCenterEntry>,
    pub vms: Vec<VmEntry>,
    pub models: Vec<ModelEntry>,
    pub engines: Vec<EngineEntry>,
    #[serde(default)]
    pub services: Vec<ServiceEntry>,
    pub accounts: Vec<AccountEntry>,
}

/// Returns the hash of a bearer token in the form that the register contains.
pub fn token_digest(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}
