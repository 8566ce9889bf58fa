//! The control thread: makes all routing and configuration decisions and publishes the state that
//! traffic threads need on the [`Board`](crate::board::Board).
//!
//! Traffic threads and listeners send [`ControlEvent`]s and receive typed replies. The event queue
//! has no bound of its own: each open connection has at most a few events in it, and the listeners
//! limit the number of connections.

mod call_controller;
mod config_controller;
mod control_loop;
mod event;
mod peer_controller;
mod upstream_controller;
mod work_controller;

pub use call_controller::CallController;
pub use config_controller::ConfigController;
pub use control_loop::{ControlLoop, ControlParts};
pub use event::{
    CallPlan, CallReplySender, ControlEvent, ControlHandle, EngineProbe, EngineRun, ExplainRequest,
    FetchedManifest, FetchedParts, ListedVm, ProbeTarget, RouteExplanation, TicketRequest,
    TicketedCall, VmListUpdate, WorkRequest, WorkVerdict,
};
pub use peer_controller::{PeerController, targets_of};
pub use upstream_controller::UpstreamController;
pub use work_controller::WorkController;
