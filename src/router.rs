//! Starts a router: its listeners, the control thread and the thread for ticketed calls.

use std::collections::HashSet;
use std::sync::Arc;
use std::thread;

use ntex::rt::{DefaultRuntime, System};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::watch;

use crate::admin::serve_admin;
use crate::board::{Board, LifeStage};
use crate::call_runner::run_calls;
use crate::control::{
    CallController, CallPlan, ConfigController, ControlEvent, ControlHandle, ControlLoop,
    ControlParts, PeerController, UpstreamController, WorkController, targets_of,
};
use crate::entry::serve_callers;
use crate::error::{RouterError, RouterResult, StepName};
use crate::feeds::{FeedAddresses, watch_feeds};
use crate::ids::IncarnationId;
use crate::mono::ProcessClock;
use crate::peer::{FleetKey, PeerIdentity, accept_peers};
use crate::policy::request_scheduler::RequestScheduler;
use crate::policy::retry_budget::RetryBudget;
use crate::policy::ticket_ledger::TicketLedger;
use crate::rules::default_rules;
use crate::settings::RouterSettings;
use crate::statsd_metrics::StatsdMetrics;

/// Runs a router in the ntex system of the calling thread until it has drained.
pub async fn run_router(settings: RouterSettings) -> RouterResult<()> {
    let router = start_router(&settings)?;
    let mut stages = router.stages.clone();
    let stopped = stages.wait_for(|&stage| stage == LifeStage::Stopped);
    tokio::select! {
        _ = stopped => {}
        () = drain_on_signal(&router.control) => {}
    }
    let mut stages = router.stages.clone();
    let _ = stages.wait_for(|&stage| stage == LifeStage::Stopped).await;
    router.entry.stop(true).await;
    router.admin.stop(false).await;
    Ok(())
}

/// A running router.
pub struct RunningRouter {
    /// Sends events to the control thread.
    pub control: ControlHandle,
    /// The current life stage.
    pub stages: watch::Receiver<LifeStage>,
    entry: ntex::server::Server,
    admin: ntex::server::Server,
}

/// Opens every listener, then starts the threads.
pub fn start_router(settings: &RouterSettings) -> RouterResult<RunningRouter> {
    let clock = ProcessClock::start();
    let board = Arc::new(Board::default());
    let (events, event_queue) = unbounded_channel();
    let control = ControlHandle::new(events);
    let (plans, plan_queue) = unbounded_channel();
    let (stage, stages) = watch::channel(LifeStage::Starting);
    let listener = std::net::TcpListener::bind(settings.peer)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .map_err(|error| RouterError::step(StepName::Listen, settings.peer, error))?;
    let entry = serve_callers(settings, Arc::clone(&board), control.clone(), clock)?;
    let admin = serve_admin(settings, Arc::clone(&board), control.clone())?;
    let start = ControlStart {
        settings: settings.clone(),
        clock,
        board: Arc::clone(&board),
        control: control.clone(),
        plans,
        stage,
        listener,
        metrics: StatsdMetrics::open(settings.metrics)?,
        event_queue,
    };
    spawn_system("control", async move || start.run().await)?;
    let calls_control = control.clone();
    spawn_system("calls", async move || {
        run_calls(board, calls_control, plan_queue).await;
    })?;
    Ok(RunningRouter {
        control,
        stages,
        entry,
        admin,
    })
}

/// Waits for SIGTERM or SIGINT and starts draining.
async fn drain_on_signal(control: &ControlHandle) {
    wait_for_signal().await;
    spdlog::info!("drain-signal");
    control.send(ControlEvent::Drain);
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut term) = signal(SignalKind::terminate()) else {
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

fn spawn_system<F>(name: &'static str, body: F) -> RouterResult<()>
where
    F: AsyncFnOnce() + Send + 'static,
{
    let spawned = thread::Builder::new().name(name.to_owned()).spawn(move || {
        System::new(name, DefaultRuntime).block_on(body());
    });
    spawned
        .map(|_| ())
        .map_err(|error| RouterError::step(StepName::Listen, name, error))
}

/// Everything that is moved into the control thread when it starts.
struct ControlStart {
    settings: RouterSettings,
    clock: ProcessClock,
    board: Arc<Board>,
    control: ControlHandle,
    plans: tokio::sync::mpsc::UnboundedSender<CallPlan>,
    stage: watch::Sender<LifeStage>,
    listener: std::net::TcpListener,
    metrics: StatsdMetrics,
    event_queue: UnboundedReceiver<ControlEvent>,
}

impl ControlStart {
    async fn run(self) {
        let own = self.settings.vm.clone();
        let incarnation = IncarnationId(rand::random());
        let identity = PeerIdentity {
            vm: own.clone(),
            incarnation,
            key: FleetKey::derive(&self.settings.fleet_key),
            clock: self.clock,
        };
        self.spawn_peer_listener(identity.clone());
        let mut peers = PeerController::new(identity, self.control.clone());
        let seeds = self.settings.seeds.iter();
        peers.set_targets(targets_of(seeds.map(|seed| (&seed.vm, seed.peer))));
        let other_seeds = self.settings.seeds.iter().filter(|seed| seed.vm != own);
        let pending_peers: HashSet<_> = other_seeds.map(|seed| seed.vm.key()).collect();
        let addresses = FeedAddresses {
            config_service: self.settings.config_service,
            vm_list: self.settings.vm_list,
        };
        watch_feeds(addresses, self.control.clone(), self.clock);
        let rules = Arc::new(default_rules());
        let scheduler = RequestScheduler::new(own.key(), Arc::clone(&rules));
        let ledger = TicketLedger::new(own.key(), incarnation, rand::random());
        let parts = ControlParts {
            clock: self.clock,
            board: self.board,
            config: ConfigController::new(pending_peers),
            upstreams: UpstreamController::default(),
            work: WorkController::new(scheduler, RetryBudget::new(rules.retry_budget)),
            peers,
            calls: CallController::new(own.key(), incarnation, ledger, self.plans),
            drain_limit: self.settings.drain_limit.0,
            metrics: self.metrics,
            stage: self.stage,
            own,
        };
        ControlLoop::new(parts).run(self.event_queue).await;
        // Returning would end this thread's system and close the connections with peers. They stay
        // open until the process exits. Callers' streams don't depend on this thread.
        std::future::pending::<()>().await;
    }

    fn spawn_peer_listener(&self, identity: PeerIdentity) {
        let control = self.control.clone();
        let listener = self.listener.try_clone().and_then(TcpListener::from_std);
        match listener {
            Ok(listener) => {
                let notify = move |event| control.send(ControlEvent::Peer(event));
                ntex::rt::spawn(accept_peers(listener, identity, notify));
            }
            Err(error) => spdlog::error!("peer-listen-failed", kv: { error: = error }),
        }
    }
}
