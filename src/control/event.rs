//! What the control thread is told and asked.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, oneshot};

use crate::bundle::{ConfigManifest, PartStore};
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

/// Where a request goes, or why it does not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkVerdict {
    /// Send it to this engine.
    Run(EngineKey),
    /// It did not run.
    Refused(WorkRefusal),
}

/// A request that wants an engine.
#[derive(Debug)]
pub struct WorkRequest {
    /// The request.
    pub item: WorkItem,
    /// Notified when it is to give its slot up to more urgent work.
    pub stop: Arc<Notify>,
    /// Where the verdict goes.
    pub reply: oneshot::Sender<WorkVerdict>,
}

/// Where the record of a call goes.
pub type CallReplySender = oneshot::Sender<CallRecord>;

/// A ticketed call.
#[derive(Debug)]
pub struct TicketedCall {
    /// The right to run it.
    pub ticket: CallTicket,
    /// Who calls.
    pub account: AccountKey,
    /// The service that is called.
    pub service: ServiceKey,
    /// The request body.
    pub body: Bytes,
    /// Where the record goes.
    pub reply: CallReplySender,
}

/// A call that may run now, once.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// Number of its ticket.
    pub serial: u64,
    /// The service that is called.
    pub service: ServiceKey,
    /// The request body.
    pub body: Bytes,
}

/// A request for a ticket.
#[derive(Debug)]
pub struct TicketRequest {
    /// Who asks.
    pub account: AccountKey,
    /// The service it is for.
    pub service: ServiceKey,
    /// Where the ticket goes.
    pub reply: oneshot::Sender<Result<CallTicket, MintRefusal>>,
}

/// A manifest that the configuration service holds.
#[derive(Debug)]
pub struct FetchedManifest {
    /// The manifest.
    pub manifest: ConfigManifest,
    /// When the service was asked.
    pub requested_at: MonoTime,
    /// Where the verdict goes.
    pub reply: oneshot::Sender<ManifestVerdict>,
}

/// Parts that the configuration service holds.
#[derive(Debug)]
pub struct FetchedParts {
    /// The manifest that names them.
    pub manifest: ConfigManifest,
    /// The parts.
    pub parts: PartStore,
}

/// A VM on the platform's list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ListedVm {
    /// Its address, with a port where several roles share one VM.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The platform's list of VMs.
#[derive(Debug)]
pub struct VmListUpdate {
    /// The VMs; none when the list has not changed.
    pub vms: Option<Vec<ListedVm>>,
    /// When the platform was asked.
    pub requested_at: MonoTime,
}

/// What a probe of an engine found.
#[derive(Clone, Copy, Debug)]
pub struct EngineProbe {
    /// The engine.
    pub engine: EngineKey,
    /// Its report; none when it could not be reached.
    pub report: Option<EngineReport>,
}

/// An engine that this router is to ask for its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeTarget {
    /// The engine.
    pub engine: EngineKey,
    /// Where it answers.
    pub address: SocketAddr,
}

/// A question of an operator: where would this chat go?
#[derive(Debug)]
pub struct ExplainRequest {
    /// The model.
    pub model: ModelKey,
    /// The chat.
    pub chat: ChatKey,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Vec<RouteExplanation>>,
}

/// One engine that a chat may go to.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RouteExplanation {
    /// The engine.
    pub engine: EngineId,
    /// The VM whose router grants its slots.
    pub steward: Option<VmId>,
    /// Requests in progress on it.
    pub running: u32,
    /// Whether it takes new work, and if not, why.
    pub reason: String,
}

/// What the control thread is told and asked.
#[derive(Debug)]
pub enum ControlEvent {
    /// A request wants an engine.
    Submit(WorkRequest),
    /// A request ended on its engine.
    Finish {
        /// The request.
        request: RequestKey,
        /// The engine.
        engine: EngineKey,
        /// Whether the engine answered as it should.
        answered: bool,
    },
    /// A request that was to stop has given its slot up and waits for its engine.
    Preempted {
        /// The request.
        request: RequestKey,
        /// Where the next verdict goes.
        reply: oneshot::Sender<WorkVerdict>,
    },
    /// The caller of a waiting request left.
    Cancel(RequestKey),
    /// An attempt failed; may there be another?
    Retry(oneshot::Sender<bool>),
    /// A caller wants a ticket.
    Mint(TicketRequest),
    /// A caller spends a ticket.
    Call(TicketedCall),
    /// A call ended.
    CallSettled {
        /// Number of its ticket.
        serial: u64,
        /// What became of it.
        record: CallRecord,
    },
    /// Something happened between routers.
    Peer(PeerEvent),
    /// The configuration service holds a manifest.
    Manifest(FetchedManifest),
    /// The configuration service handed out parts.
    Parts(FetchedParts),
    /// The configuration service could not be reached, or had no news.
    ConfigUnchanged {
        /// When it was asked.
        requested_at: MonoTime,
        /// Whether it answered.
        answered: bool,
    },
    /// The platform's list of VMs.
    VmList(VmListUpdate),
    /// A probe of an engine.
    EngineProbed(EngineProbe),
    /// Which engines shall this router probe?
    ProbeTargets(oneshot::Sender<Vec<ProbeTarget>>),
    /// Where would a chat go?
    Explain(ExplainRequest),
    /// Finish and stop.
    Drain,
}

/// How traffic threads and edges reach the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    events: UnboundedSender<ControlEvent>,
}

impl ControlHandle {
    /// A handle on the queue of events.
    pub fn new(events: UnboundedSender<ControlEvent>) -> Self {
        Self { events }
    }

    /// Tells the control thread something. Nothing is lost while the process lives.
    pub fn send(&self, event: ControlEvent) {
        // The receiver goes only with the process.
        let _ = self.events.send(event);
    }

    /// Asks the control thread something; none when the process is stopping.
    pub async fn request<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> ControlEvent,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.send(event(reply));
        answer.await.ok()
    }
}
