//! After a pause, the control thread assigns no engine before the newest revision that it has heard
//! of is in force: an engine that it knows may have been removed meanwhile.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use hawthornrouter::board::{Board, LifeStage};
use hawthornrouter::bundle::{ConfigBundle, PackedBundle};
use hawthornrouter::control::{
    CallController, ConfigController, ControlEvent, ControlHandle, ControlLoop, ControlParts,
    FetchedManifest, FetchedParts, PeerController, UpstreamController, VmListUpdate,
    WorkController, WorkRequest, WorkVerdict,
};
use hawthornrouter::fleet::config_state::ManifestVerdict;
use hawthornrouter::ids::{EngineId, EngineKey, IncarnationId, ModelId, RevisionNumber, VmId};
use hawthornrouter::mono::{MonoTime, ProcessClock};
use hawthornrouter::peer::{FleetKey, PeerEvent, PeerIdentity, PeerMailbox, PeerName};
use hawthornrouter::policy::request_scheduler::RequestScheduler;
use hawthornrouter::policy::retry_budget::RetryBudget;
use hawthornrouter::policy::ticket_ledger::TicketLedger;
use hawthornrouter::policy::work_item::WorkItem;
use hawthornrouter::register::{
    AccountEntry, AssetRegister, DataCenterEntry, EngineEntry, ModelEntry, VmEntry, token_digest,
};
use hawthornrouter::rules::{WorkRank, default_rules};
use hawthornrouter::statsd_metrics::StatsdMetrics;
use hawthornrouter::wire::{FleetDigest, ManifestReply, PartsReply, PeerBody};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Longer than the time without a tick after which a process counts as paused.
const PAUSE: Duration = Duration::from_millis(2300);

/// Several ticks, and shorter than the time for which work is held back after a pause.
const FEW_TICKS: Duration = Duration::from_millis(300);

const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

fn engine_id(number: u64) -> EngineId {
    format!("engine-{number}").parse().expect("name")
}

/// Each revision has a single engine, of its own number.
fn bundle(revision: u64) -> PackedBundle {
    let address = |port: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let data_center: hawthornrouter::ids::DataCenterId = "dc-1".parse().expect("name");
    let model: ModelId = "lang-1".parse().expect("name");
    let bundle = ConfigBundle {
        revision: RevisionNumber(revision),
        register: AssetRegister {
            data_centers: vec![DataCenterEntry {
                id: data_center.clone(),
                region: "region-1".to_owned(),
            }],
            vms: vec![VmEntry {
                id: own_vm(),
                data_center: data_center.clone(),
                entry: address(101),
                peer: address(102),
                locator: address(103),
            }],
            models: vec![ModelEntry { id: model.clone() }],
            engines: vec![EngineEntry {
                id: engine_id(revision),
                data_center,
                address: address(110 + revision as u16),
                model,
                slots: 8,
                checks_fencing: false,
            }],
            services: Vec::new(),
            accounts: vec![AccountEntry {
                id: "shop-1".parse().expect("name"),
                token_digest: token_digest("caller-token"),
                weight: 1,
            }],
        },
        rules: default_rules(),
    };
    bundle.pack()
}

fn own_vm() -> VmId {
    "entry-0".parse().expect("name")
}

struct WokenRouter {
    control: ControlHandle,
    clock: ProcessClock,
    calls: u64,
}

impl WokenRouter {
    /// Starts a control thread's work with revision 1 and pauses it.
    async fn start() -> Self {
        let (events, queue) = unbounded_channel();
        let control = ControlHandle::new(events);
        let clock = ProcessClock::start();
        let own = own_vm();
        let incarnation = IncarnationId(1);
        let identity = PeerIdentity {
            vm: own.clone(),
            incarnation,
            key: FleetKey::derive("test-fleet-key"),
            clock,
        };
        let rules = Arc::new(default_rules());
        let scheduler = RequestScheduler::new(own.key(), Arc::clone(&rules));
        let ledger = TicketLedger::new(own.key(), incarnation, [0; 32]);
        let parts = ControlParts {
            clock,
            board: Arc::new(Board::default()),
            config: ConfigController::new(HashSet::new()),
            upstreams: UpstreamController::default(),
            work: WorkController::new(scheduler, RetryBudget::new(rules.retry_budget)),
            peers: PeerController::new(identity, control.clone()),
            calls: CallController::new(own.key(), incarnation, ledger, unbounded_channel().0),
            drain_limit: Duration::from_secs(1),
            metrics: StatsdMetrics::open(None).expect("metrics"),
            stage: tokio::sync::watch::channel(LifeStage::Starting).0,
            own,
        };
        ntex::rt::spawn(ControlLoop::new(parts).run(queue));
        let mut router = Self {
            control,
            clock,
            calls: 0,
        };
        router.send_parts(bundle(1), router.clock.now());
        let request = router.submit();
        assert_eq!(engine_of(request).await, engine_id(1).key());
        sleep(FEW_TICKS).await;
        // Blocks the only thread, as a pause of the process does.
        thread::sleep(PAUSE);
        sleep(Duration::from_millis(100)).await;
        let list = VmListUpdate {
            vms: None,
            requested_at: router.clock.now(),
        };
        router.control.send(ControlEvent::VmList(list));
        router
    }

    fn send_parts(&self, bundle: PackedBundle, requested_at: MonoTime) {
        self.control.send(ControlEvent::Parts(FetchedParts {
            manifest: bundle.manifest,
            requested_at,
            parts: bundle.parts,
        }));
    }

    /// Queues a request.
    fn submit(&mut self) -> oneshot::Receiver<WorkVerdict> {
        self.calls += 1;
        let (reply, verdict) = oneshot::channel();
        let name = |text: &str| text.parse::<ModelId>().expect("name").key();
        let item = WorkItem {
            request: hawthornrouter::ids::RequestKey(self.calls),
            account: hawthornrouter::ids::AccountKey(1),
            weight: 1,
            rank: WorkRank::Quick,
            model: name("lang-1"),
            chat: hawthornrouter::ids::ChatKey(self.calls),
            cost: 10,
            accepted: self.clock.now(),
            avoid: None,
            pinned: None,
            preemptions: 0,
            served: Duration::ZERO,
        };
        self.control
            .send(ControlEvent::Submit(WorkRequest { item, reply }));
        verdict
    }
}

/// Returns the engine of a verdict that must arrive soon.
async fn engine_of(verdict: oneshot::Receiver<WorkVerdict>) -> EngineKey {
    let verdict = timeout(ANSWER_TIMEOUT, verdict).await;
    match verdict.expect("in time").expect("a verdict") {
        WorkVerdict::Run(run) => run.engine,
        WorkVerdict::Refused(refusal) => panic!("{refusal:?}"),
    }
}

#[ntex::test]
async fn revision_from_config_service() {
    let mut router = WokenRouter::start().await;
    let requested_at = router.clock.now();
    let bundle = bundle(2);
    let (reply, verdict) = oneshot::channel();
    router.control.send(ControlEvent::Manifest(FetchedManifest {
        manifest: bundle.manifest.clone(),
        requested_at,
        reply,
    }));
    let verdict = verdict.await.expect("a verdict");
    assert!(matches!(verdict, ManifestVerdict::Fetch(_)));
    let mut request = router.submit();
    sleep(FEW_TICKS).await;
    let early = request.try_recv();
    assert!(
        early.is_err(),
        "{early:?}: an engine was assigned before revision 2 was in force"
    );
    router.send_parts(bundle, requested_at);
    assert_eq!(engine_of(request).await, engine_id(2).key());
}

fn frame(router: &WokenRouter, body: PeerBody, mailbox: &PeerMailbox, opened: MonoTime) {
    let name = PeerName {
        vm: "entry-1".parse().expect("name"),
        incarnation: IncarnationId(2),
    };
    router.control.send(ControlEvent::Peer(PeerEvent::Frame {
        name,
        body,
        mailbox: mailbox.clone(),
        opened,
    }));
}

#[ntex::test]
async fn revision_from_peer() {
    let mut router = WokenRouter::start().await;
    let opened = router.clock.now();
    let bundle = bundle(2);
    let (mailbox, _frames) = unbounded_channel();
    let digest = FleetDigest {
        revision: 2,
        ..FleetDigest::default()
    };
    frame(&router, PeerBody::Digest(digest), &mailbox, opened);
    let mut request = router.submit();
    sleep(FEW_TICKS).await;
    let early = request.try_recv();
    assert!(
        early.is_err(),
        "{early:?}: an engine was assigned before revision 2 was requested"
    );
    let manifest = serde_json::to_string(&bundle.manifest).expect("manifest");
    let manifest = PeerBody::ManifestReply(ManifestReply { manifest });
    frame(&router, manifest, &mailbox, opened);
    sleep(FEW_TICKS).await;
    let early = request.try_recv();
    assert!(
        early.is_err(),
        "{early:?}: an engine was assigned before revision 2 was in force"
    );
    let parts = bundle.parts.into_values().collect();
    frame(
        &router,
        PeerBody::PartsReply(PartsReply { parts }),
        &mailbox,
        opened,
    );
    assert_eq!(engine_of(request).await, engine_id(2).key());
}
