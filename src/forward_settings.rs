//! Settings of a forwarding router, whatever file they came from.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use crate::ids::{DataCenterId, VmId};
use crate::policy::retry_window::RetryTerms;
use crate::policy::upstream_choice::AffinityBound;

/// Settings of a forwarding router.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardSettings {
    /// The VM.
    pub vm: VmId,
    /// Its address.
    pub address: Ipv4Addr,
    /// Its data centre.
    pub data_center: DataCenterId,
    /// Where callers connect.
    pub front: SocketAddrV4,
    /// Where the platform asks whether the router is ready.
    pub ready: SocketAddrV4,
    /// Where callers ask for addresses.
    pub locator: SocketAddrV4,
    /// Where peers fetch documents.
    pub control: SocketAddrV4,
    /// Port of heartbeats, the same on all VMs.
    pub gossip_port: u16,
    /// Port of metrics.
    pub metrics_port: u16,
    /// VMs that may know the others.
    pub seeds: Vec<Ipv4Addr>,
    /// The configuration store.
    pub store: SocketAddrV4,
    /// Bound on the load of the home of a prompt.
    pub home: AffinityBound,
    /// The fleet's retry budget.
    pub retry: RetryTerms,
    /// Time from the request to stop to the kill.
    pub stop_grace: Duration,
    /// Longest life of an answer with addresses.
    pub locate_ttl: Duration,
}
