//! Registration of an upstream in the configuration store.

use std::net::SocketAddr;
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
}
