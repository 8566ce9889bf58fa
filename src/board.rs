//! State shared between the threads of a router, as typed sections that the control thread writes
//! and every other thread may read.
//!
//! Readers take an immutable snapshot and never wait for a writer.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use serde::{Deserialize, Serialize};

use crate::bundle::ConfigBundle;
use crate::fleet::upstream_view::UpstreamState;
use crate::ids::{EngineId, EngineKey, ModelId, ModelKey, RevisionNumber, ServiceKey, VmId};
use crate::policy::rank_shares::RankCounts;
use crate::register::{AccountEntry, EngineEntry, ServiceEntry};

/// The life stage of a router, from start to stop.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LifeStage {
    /// The router has no configuration yet, or a source of the configuration has neither responded
    /// nor been found unreachable.
    #[default]
    Starting,
    /// The router accepts requests.
    Serving,
    /// The router accepts requests, but locators no longer name it to callers.
    Draining,
    /// The router refuses new requests and finishes those in progress.
    Closing,
    /// The requests have ended or the drain limit has passed, and the ticket ledger was sent to the
    /// peers.
    Stopped,
}

/// The configuration in force, with indexes for lookups per request.
#[derive(Debug)]
pub struct ConfigSection {
    pub bundle: Arc<ConfigBundle>,
    /// Client accounts by the digest of their token.
    pub accounts: HashMap<String, AccountEntry>,
    /// Engines by the hash of their name.
    pub engines: HashMap<EngineKey, EngineEntry>,
    /// Services by the hash of their name.
    pub services: HashMap<ServiceKey, ServiceEntry>,
}

impl ConfigSection {
    /// Builds the indexes over a bundle.
    pub fn new(bundle: Arc<ConfigBundle>) -> Self {
        let register = &bundle.register;
        let accounts = register.accounts.iter();
        let engines = register.engines.iter();
        let services = register.services.iter();
        Self {
            accounts: accounts
                .map(|a| (a.token_digest.clone(), a.clone()))
                .collect(),
            engines: engines.map(|e| (e.id.key(), e.clone())).collect(),
            services: services.map(|s| (s.id.key(), s.clone())).collect(),
            bundle,
        }
    }
}

/// Status of an engine, for operators.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct UpstreamStatus {
    pub engine: EngineId,
    pub model: ModelId,
    /// Whether the engine accepts new requests, and if not, why.
    pub state: UpstreamState,
    /// Requests in progress on the engine, including the last reported numbers of other routers.
    pub running: u32,
    /// Number of requests that the engine runs at the same time.
    pub slots: u32,
    /// Age of the engine's last load report in milliseconds, or `None` if there is none.
    pub report_age_ms: Option<u64>,
    /// Whether this router is the slot owner of the engine.
    pub steward: bool,
}

/// Status of a peer router, for operators.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PeerStatus {
    pub vm: VmId,
    /// Whether the peer's last digest is recent enough for the peer to be expected to respond.
    pub answers: bool,
    pub draining: bool,
    /// Revision of the configuration that the peer has in force.
    pub revision: RevisionNumber,
}

/// A rejected configuration, for operators.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RejectionStatus {
    pub revision: RevisionNumber,
    /// Why it was rejected, for example a validation error.
    pub reason: String,
}

/// Number of queued requests of one client account.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct AccountQueue {
    pub account: crate::ids::AccountId,
    pub waiting: u32,
}

/// Status of a router, for operators.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct StatusSection {
    pub stage: LifeStage,
    /// Revision of the configuration in force.
    pub revision: RevisionNumber,
    /// The last configuration that was rejected.
    pub rejected: Option<RejectionStatus>,
    pub upstreams: Vec<UpstreamStatus>,
    pub peers: Vec<PeerStatus>,
    /// Number of queued requests by rank, most urgent first.
    pub waiting: RankCounts,
    /// Client accounts with queued requests.
    pub queues: Vec<AccountQueue>,
    /// Number of requests in progress.
    pub running: u64,
    /// Number of spent tickets in the ledger.
    pub ledger: u64,
    /// Number of ledgers stored on behalf of stopped routers.
    pub handed_ledgers: u64,
    /// Number of pauses of this process that were detected.
    pub pauses: u64,
}

/// An open engine and its slot owner.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct EngineOwnerEntry {
    /// Hash of the engine's name.
    pub engine: EngineKey,
    /// Hash of the model's name.
    pub model: ModelKey,
    /// Number of requests that the engine runs at the same time.
    pub slots: u32,
    /// The slot owner: the VM whose router grants the engine's slots.
    pub steward: VmId,
}

/// The open engines with their slot owners, from which locators compute the preferred router of a
/// chat.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct EngineOwnerSection {
    /// Hash of the entries, by which locators avoid reading unchanged entries again.
    pub version: u64,
    pub homes: Vec<EngineOwnerEntry>,
}

impl EngineOwnerSection {
    /// Builds a section and computes its version.
    pub fn new(homes: Vec<EngineOwnerEntry>) -> Self {
        // Serialising plain data to a string can't fail.
        let text = serde_json::to_string(&homes).unwrap_or_default();
        Self {
            version: xxhash_rust::xxh3::xxh3_64(text.as_bytes()),
            homes,
        }
    }
}

/// The current snapshot of each section.
#[derive(Debug, Default)]
pub struct Board {
    config: ArcSwapOption<ConfigSection>,
    status: ArcSwap<StatusSection>,
    engine_owners: ArcSwap<EngineOwnerSection>,
    stage: ArcSwap<LifeStage>,
}

impl Board {
    /// The configuration in force, or `None` before the first one.
    pub fn config(&self) -> Option<Arc<ConfigSection>> {
        self.config.load_full()
    }

    /// Replaces the configuration that the traffic threads use.
    pub fn set_config(&self, section: ConfigSection) {
        self.config.store(Some(Arc::new(section)));
    }

    pub fn status(&self) -> Arc<StatusSection> {
        self.status.load_full()
    }

    pub fn set_status(&self, section: StatusSection) {
        self.status.store(Arc::new(section));
    }

    /// The open engines with their slot owners.
    pub fn engine_owners(&self) -> Arc<EngineOwnerSection> {
        self.engine_owners.load_full()
    }

    pub fn set_engine_owners(&self, section: EngineOwnerSection) {
        self.engine_owners.store(Arc::new(section));
    }

    pub fn stage(&self) -> LifeStage {
        **self.stage.load()
    }

    pub fn set_stage(&self, stage: LifeStage) {
        self.stage.store(Arc::new(stage));
    }
}
