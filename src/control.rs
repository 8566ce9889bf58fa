//! The control thread: it owns every decision and publishes what traffic needs on the board.
//!
//! Traffic threads and edges send [`ControlEvent`]s and get typed answers back. The queue of
//! events needs no bound of its own: each open connection has at most a few events in it, and the
//! listeners bound the connections.

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
    CallPlan, CallReplySender, ControlEvent, ControlHandle, EngineProbe, ExplainRequest,
    FetchedManifest, FetchedParts, ListedVm, ProbeTarget, RouteExplanation, TicketRequest,
    TicketedCall, VmListUpdate, WorkRequest, WorkVerdict,
};
pub use peer_controller::{PeerController, targets_of};
pub use upstream_controller::UpstreamController;
pub use work_controller::WorkController;
