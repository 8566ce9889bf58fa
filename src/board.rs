//! The blackboard: typed sections, each written by one controller and read by everyone.
//!
//! Readers take an immutable snapshot; no reader waits for a writer.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use serde::{Deserialize, Serialize};

use crate::bundle::ConfigBundle;
use crate::fleet::upstream_view::UpstreamState;
use crate::ids::{EngineId, EngineKey, ModelId, ModelKey, RevisionNumber, ServiceKey, VmId};
use crate::policy::rank_shares::RankCounts;
use crate::register::{AccountEntry, EngineEntry, ServiceEntry};

/// How far a router is in its life.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LifeStage {
    /// It has no configuration yet, or has not heard all sources.
    #[default]
    Starting,
    /// It takes work.
    Serving,
    /// It takes work and is no longer named to callers.
    Draining,
    /// It refuses new work and finishes what it has.
    Closing,
    /// It has finished.
    Stopped,
}

/// The configuration in force, with indexes for traffic.
#[derive(Debug)]
pub struct ConfigSection {
    /// Register and rules.
    pub bundle: Arc<ConfigBundle>,
    /// Accounts by the digest of their token.
    pub accounts: HashMap<String, AccountEntry>,
    /// Engines by hash.
    pub engines: HashMap<EngineKey, EngineEntry>,
    /// Services by hash.
    pub services: HashMap<ServiceKey, ServiceEntry>,
}

impl ConfigSection {
    /// Indexes a bundle.
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

/// An engine, as operators see it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct UpstreamStatus {
    /// The engine.
    pub engine: EngineId,
    /// Its model.
    pub model: ModelId,
    /// Whether it takes new work, and if not, why.
    pub state: UpstreamState,
    /// Requests in progress on it, as far as this router knows.
    pub running: u32,
    /// Requests that it batches at once.
    pub slots: u32,
    /// Age of its last report, in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Whether this router grants its slots.
    pub steward: bool,
}

/// A peer, as operators see it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PeerStatus {
    /// Its VM.
    pub vm: VmId,
    /// Whether it answers.
    pub answers: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// The configuration that it has in force.
    pub revision: RevisionNumber,
}

/// A refused configuration, as operators see it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RejectionStatus {
    /// Its number.
    pub revision: RevisionNumber,
    /// Why it was refused.
    pub reason: String,
}

/// Waiting requests of one account.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct AccountQueue {
    /// The account.
    pub account: crate::ids::AccountId,
    /// Requests that wait.
    pub waiting: u32,
}

/// What operators see of a router.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct StatusSection {
    /// How far it is in its life.
    pub stage: LifeStage,
    /// The configuration in force.
    pub revision: RevisionNumber,
    /// The last configuration that was refused.
    pub rejected: Option<RejectionStatus>,
    /// Engines.
    pub upstreams: Vec<UpstreamStatus>,
    /// Peers.
    pub peers: Vec<PeerStatus>,
    /// Waiting requests by rank, most urgent first.
    pub waiting: RankCounts,
    /// Accounts with waiting requests.
    pub queues: Vec<AccountQueue>,
    /// Requests in progress.
    pub running: u64,
    /// Spent tickets that the ledger remembers.
    pub ledger: u64,
    /// Ledgers of stopped routers that are held.
    pub handed_ledgers: u64,
    /// Pauses of this process that were noticed.
    pub pauses: u64,
}

/// An open engine and the VM whose router grants its slots.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct EngineOwnerEntry {
    /// Hash of the engine.
    pub engine: EngineKey,
    /// Hash of its model.
    pub model: ModelKey,
    /// Requests that it batches at once.
    pub slots: u32,
    /// The VM.
    pub steward: VmId,
}

/// The open engines with their stewards, from which locators compute where a chat is at home.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct EngineOwnerSection {
    /// Hash of the entries.
    pub version: u64,
    /// The entries.
    pub homes: Vec<EngineOwnerEntry>,
}

impl EngineOwnerSection {
    /// A section of these entries, with its version.
    pub fn new(homes: Vec<EngineOwnerEntry>) -> Self {
        // Serialising plain data to a string has no way to fail.
        let text = serde_json::to_string(&homes).unwrap_or_default();
        Self {
            version: xxhash_rust::xxh3::xxh3_64(text.as_bytes()),
            homes,
        }
    }
}

/// The sections.
#[derive(Debug, Default)]
pub struct Board {
    config: ArcSwapOption<ConfigSection>,
    status: ArcSwap<StatusSection>,
    homes: ArcSwap<EngineOwnerSection>,
    stage: ArcSwap<LifeStage>,
}

impl Board {
    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<ConfigSection>> {
        self.config.load_full()
    }

    /// Puts a configuration in force for traffic.
    pub fn set_config(&self, section: ConfigSection) {
        self.config.store(Some(Arc::new(section)));
    }

    /// What operators see.
    pub fn status(&self) -> Arc<StatusSection> {
        self.status.load_full()
    }

    /// Writes what operators see.
    pub fn set_status(&self, section: StatusSection) {
        self.status.store(Arc::new(section));
    }

    /// Open engines with their stewards.
    pub fn engine_owners(&self) -> Arc<EngineOwnerSection> {
        self.homes.load_full()
    }

    /// Writes the open engines with their stewards.
    pub fn set_engine_owners(&self, section: EngineOwnerSection) {
        self.homes.store(Arc::new(section));
    }

    /// How far the router is in its life.
    pub fn stage(&self) -> LifeStage {
        **self.stage.load()
    }

    /// Writes how far the router is in its life.
    pub fn set_stage(&self, stage: LifeStage) {
        self.stage.store(Arc::new(stage));
    }
}
