//! An upstream as it registers itself.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{DataCenterId, ServiceId, UpstreamId};

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServingState {
    /// Takes work.
    Ready,
    /// Finishes its work and takes no more.
    Draining,
}

/// One registered upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamEntry {
    /// The run of the upstream; a restart mostly has a new one.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it takes connections. Another upstream may have the address later.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_center: DataCenterId,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServingState,
    /// How long it stays slow after its start.
    pub warm_up: Duration,
}
