//! Settings of a forwarding router, independent of the format of the settings file.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use crate::ids::{DataCenterId, VmId};
use crate::policy::cold_upstreams::ColdBound;
use crate::policy::memory_budget::BudgetTerms;
use crate::policy::retry_window::RetryTerms;
use crate::policy::upstream_choice::AffinityBound;

/// Settings of a forwarding router.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardSettings {
    /// The VM that the router runs on.
    pub vm: VmId,
    /// Address of the VM, and of the router's heartbeats and metrics.
    pub address: Ipv4Addr,
    /// Data centre of the VM.
    pub data_center: DataCenterId,
    /// Listener for calls.
    pub front: SocketAddrV4,
    /// Listener for the readiness checks of the platform.
    pub ready: SocketAddrV4,
    /// Listener for callers' requests for router addresses.
    pub locator: SocketAddrV4,
    /// Listener for the document requests of peers; all routers use the same port.
    pub control: SocketAddrV4,
    /// UDP port of heartbeats, the same on all VMs.
    pub gossip_port: u16,
    /// Port of the metrics endpoint.
    pub metrics_port: u16,
    /// Addresses of routers that get heartbeats also while they aren't known as live members.
    pub seeds: Vec<Ipv4Addr>,
    /// Address of the configuration store.
    pub store: SocketAddrV4,
    /// For how long the store keeps its history, unless it discards it sooner.
    pub store_history: Duration,
    /// Load limit above which a prompt is not sent to its preferred upstream.
    pub affinity_bound: AffinityBound,
    /// Limits on retries, shared by all routers.
    pub retry: RetryTerms,
    /// What cold upstreams may get beyond their rate.
    pub cold_bound: ColdBound,
    /// Time within which a change in the store must apply.
    pub apply_limit: Duration,
    /// Time between the stop signal and the forced end of the process.
    pub stop_grace: Duration,
    /// How long an upstream serves after the removal of its entry.
    pub drain_time: Duration,
    /// Longest time for which callers may cache a locate response.
    pub locate_ttl: Duration,
    /// Memory of the VM in bytes, `None` if it sets no limit.
    pub memory_bytes: Option<usize>,
    /// Number of descriptors that the VM allows, `None` if it sets no limit.
    pub max_descriptors: Option<usize>,
}

impl ForwardSettings {
    /// Returns what callers may use of the VM's memory and descriptors.
    pub fn budget_terms(&self) -> BudgetTerms {
        BudgetTerms::new(self.memory_bytes, self.max_descriptors)
    }
}
