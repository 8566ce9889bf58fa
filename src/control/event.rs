//! Events and requests that other threads send to the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, oneshot};

use crate::bundle::{ConfigManifest, PartsByDigest};
use crate::fleet::config_state::ManifestVerdict;
use crate::fleet::upstream_view::EngineReport;
use crate::ids::{
    AccountKey, ChatKey, EngineId, EngineKey, ModelKey, RequestKey, ServiceKey, VmId,
};
use crate::mono::MonoTime;
use crate::peer::PeerEvent;
use crate::policy::refusal::WorkRefusal;
use crate::policy::ticket::CallTicket;
use crate::policy::ticket_ledger::{CallRecord, MintRefusal};
use crate::policy::work_item::WorkItem;

/// One run of a request on an engine, where a slot is reserved for it.
#[derive(Debug)]
pub struct EngineRun {
    pub engine: EngineKey,
    /// Notified when this run is preempted: it has to release its slot to more urgent work.
    pub preempt_signal: Arc<Notify>,
}

/// The scheduling decision for a model request.
#[derive(Debug)]
pub enum WorkVerdict {
    Run(EngineRun),
    /// It was refused and did not run.
    Refused(WorkRefusal),
}

/// A model request to be queued for an engine.
#[derive(Debug)]
pub struct WorkRequest {
    pub item: WorkItem,
    pub reply: oneshot::Sender<WorkVerdict>,
}

/// Receives the record of a ticketed call.
pub type CallReplySender = oneshot::Sender<CallRecord>;

/// A ticketed call from a caller of this router.
#[derive(Debug)]
pub struct TicketedCall {
    /// Permits one run of the call.
    pub ticket: CallTicket,
    pub account: AccountKey,
    pub service: ServiceKey,
    pub body: Bytes,
    pub reply: CallReplySender,
}

/// A ticketed call whose ticket was spent, to be sent to its service once.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// Serial number of its ticket.
    pub serial: u64,
    pub service: ServiceKey,
    pub body: Bytes,
}

/// A caller's request for a ticket.
#[derive(Debug)]
pub struct TicketRequest {
    pub account: AccountKey,
    /// The service that the ticket will be valid for.
    pub service: ServiceKey,
    pub reply: oneshot::Sender<Result<CallTicket, MintRefusal>>,
}

/// A manifest read from the configuration service.
#[derive(Debug)]
pub struct FetchedManifest {
    pub manifest: ConfigManifest,
    /// When the read was started; the content is at least as recent.
    pub requested_at: MonoTime,
    pub reply: oneshot::Sender<ManifestVerdict>,
}

/// Configuration parts read from the configuration service.
#[derive(Debug)]
pub struct FetchedParts {
    /// The manifest that lists the parts.
    pub manifest: ConfigManifest,
    /// When the manifest was requested; the content is at least as recent.
    pub requested_at: MonoTime,
    pub parts: PartsByDigest,
}

/// A VM on the platform's list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ListedVm {
    /// Address of the VM, with the port of one of its roles (such as an entry or an engine), because
    /// several roles may share a VM.
    pub address: SocketAddr,
    /// Whether the VM is about to be removed and should receive no new requests.
    pub leaving: bool,
}

/// The result of reading the platform's list of VMs.
#[derive(Debug)]
pub struct VmListUpdate {
    /// The VMs, or `None` if the list has not changed since the last read.
    pub vms: Option<Vec<ListedVm>>,
    /// When the read was started; the content is at least as recent.
    pub requested_at: MonoTime,
}

/// The result of probing an engine for its load.
#[derive(Clone, Copy, Debug)]
pub struct EngineProbe {
    pub engine: EngineKey,
    /// The engine's report, or `None` if the probe failed.
    pub report: Option<EngineReport>,
}

/// An engine that this router has to probe for its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeTarget {
    pub engine: EngineKey,
    pub address: SocketAddr,
}

/// An operator's query about how a chat would be routed.
#[derive(Debug)]
pub struct ExplainRequest {
    pub model: ModelKey,
    pub chat: ChatKey,
    /// Receives the engines of the model: those that accept requests in order of preference, then
    /// the others.
    pub reply: oneshot::Sender<Vec<RouteExplanation>>,
}

/// One engine of the model, as part of the reply to an [`ExplainRequest`].
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RouteExplanation {
    pub engine: EngineId,
    /// The slot owner: the VM whose router grants the engine's slots. `None` if the VM is not
    /// known.
    pub steward: Option<VmId>,
    /// Number of requests in progress on the engine.
    pub running: u32,
    /// The engine's state: `open` if it accepts new requests, otherwise why it does not.
    pub reason: String,
}

/// An event or request for the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// Queues a model request for an engine.
    Submit(WorkRequest),
    /// A model request ended on its engine.
    Finish {
        request: RequestKey,
        engine: EngineKey,
        /// Whether the engine responded correctly.
        answered: bool,
    },
    /// A preempted request has released its slot and is queued for its engine again.
    Preempted {
        request: RequestKey,
        /// Receives the decision when the request may run again.
        reply: oneshot::Sender<WorkVerdict>,
    },
    /// The caller of a queued request disconnected.
    Cancel(RequestKey),
    /// Withdraws one retry from the retry budget after a failed attempt; replies whether the budget
    /// permits it.
    Retry(oneshot::Sender<bool>),
    /// Issues a ticket to a caller.
    Mint(TicketRequest),
    /// Runs a ticketed call, or returns the record of its first run.
    Call(TicketedCall),
    /// A ticketed call ended.
    CallSettled {
        /// Serial number of its ticket.
        serial: u64,
        /// The outcome, and the service's response if there is one.
        record: CallRecord,
    },
    /// A peer connection was opened or closed, or a frame was received.
    Peer(PeerEvent),
    /// A manifest was read from the configuration service; replies which of its parts to fetch.
    Manifest(FetchedManifest),
    /// Configuration parts were read from the configuration service.
    Parts(FetchedParts),
    /// A read of the configuration service failed, or returned no change or an unreadable manifest.
    ConfigUnchanged {
        /// When the read was started.
        requested_at: MonoTime,
        /// Whether the service responded.
        answered: bool,
    },
    /// The platform's list of VMs was read.
    VmList(VmListUpdate),
    /// An engine was probed.
    EngineProbed(EngineProbe),
    /// Replies with the engines that this router has to probe.
    ProbeTargets(oneshot::Sender<Vec<ProbeTarget>>),
    /// Replies with the engines of a model in the order in which a chat would be routed to them.
    Explain(ExplainRequest),
    /// Finishes the work in progress, then stops the router.
    Drain,
}

/// Sends events to the control thread from any other thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    events: UnboundedSender<ControlEvent>,
}

impl ControlHandle {
    pub fn new(events: UnboundedSender<ControlEvent>) -> Self {
        Self { events }
    }

    /// Queues an event for the control thread without waiting for it to be handled. No event is
    /// lost while the control thread runs.
    pub fn send(&self, event: ControlEvent) {
        // The send fails only once the control thread has stopped.
        let _ = self.events.send(event);
    }

    /// Sends a request to the control thread and waits for the reply. Returns `None` if the control
    /// thread dropped the request, for example because the process is stopping.
    pub async fn request<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> ControlEvent,
    ) -> Option<T> {
        let (reply, response) = oneshot::channel();
        self.send(event(reply));
        response.await.ok()
    }
}
