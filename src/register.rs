//! The register: the operators' inventory of places, engines, services and client accounts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, DataCenterId, EngineId, ModelId, ServiceId, VmId};

/// A data centre.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCenterEntry {
    /// Its name.
    pub id: DataCenterId,
    /// The region it lies in.
    pub region: String,
}

/// An entry VM, which runs a router and a locator.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Its name.
    pub id: VmId,
    /// Where it stands.
    pub data_center: DataCenterId,
    /// Where callers reach the router.
    pub entry: SocketAddr,
    /// Where other routers reach it.
    pub peer: SocketAddr,
    /// Where callers ask which entry address to use.
    pub locator: SocketAddr,
}

/// A model engine.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineEntry {
    /// Its name.
    pub id: EngineId,
    /// Where it stands.
    pub data_center: DataCenterId,
    /// Where it answers.
    pub address: SocketAddr,
    /// The model it serves.
    pub model: ModelId,
    /// Requests it batches at once.
    ///
    /// Invariant: at least one.
    pub slots: u32,
    /// Whether it refuses an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Its name.
    pub id: ServiceId,
    /// Its instances; any of them takes a call.
    ///
    /// Invariant: not empty.
    pub addresses: Vec<SocketAddr>,
    /// Whether a call may be sent a second time.
    pub repeatable: bool,
    /// Whether it refuses an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Its name, as callers write it.
    pub id: ModelId,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountEntry {
    /// Its name.
    pub id: AccountId,
    /// Hash (BLAKE3, hexadecimal) of its bearer token.
    pub token_digest: String,
    /// Its weight against other accounts of the same rank.
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
    /// Data centres.
    pub data_centers: Vec<DataCenterEntry>,
    /// Entry VMs.
    pub vms: Vec<VmEntry>,
    /// Models.
    pub models: Vec<ModelEntry>,
    /// Engines.
    pub engines: Vec<EngineEntry>,
    /// Services.
    #[serde(default)]
    pub services: Vec<ServiceEntry>,
    /// Client accounts.
    pub accounts: Vec<AccountEntry>,
}

/// The hash under which a bearer token stands in the register.
pub fn token_digest(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}
