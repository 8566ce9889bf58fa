//! Starts the threads of a forwarding router.

use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ntex::rt::{DefaultRuntime, System};
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::dialect::EdgeDialect;
use crate::error::{RouterError, RouterResult, StepName};
use crate::fleet::store_view::DocumentCodec;
use crate::forward::front_server::{
    close_idle_callers, listen, probe_uplink, serve_callers, serve_queries, sweep_state,
    watch_responses,
};
use crate::forward::traffic_state::TrafficState;
use crate::forward_board::ForwardBoard;
use crate::forward_control::{ControlParts, ControlStart, SettingsSource, run_control};
use crate::mono::ProcessClock;
use crate::prometheus_metrics::PrometheusMetrics;
use crate::store_source::StoreSource;

/// Interval between two cleanups of the traffic thread's state.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Receive buffer of a caller's connection: over a round trip of 3 ms it carries 170 Mbit/s.
const UNREAD_BYTES: usize = 64 << 10;

/// Runs a forwarding router, with the control thread in the background and traffic on the calling
/// thread. Returns when the router has stopped.
pub fn run_forwarder<D, C, S, F>(dialect: D, codec: C, store: S, source: F) -> RouterResult<()>
where
    D: EdgeDialect,
    C: DocumentCodec + Send + 'static,
    S: StoreSource,
    F: SettingsSource,
{
    let clock = ProcessClock::start();
    let settings = source.read()?;
    let board = Arc::new(ForwardBoard::new(settings));
    let telemetry = PrometheusMetrics::new()
        .map_err(|error| RouterError::step(StepName::Listen, "metrics", error))?;
    let start = ControlStart {
        codec,
        store,
        settings: source,
        parts: ControlParts {
            board: Arc::clone(&board),
            clock,
            telemetry: telemetry.clone(),
        },
    };
    let (result_sender, result) = tokio::sync::oneshot::channel();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            // The receiver is dropped only when the process is ending.
            let _ = result_sender.send(control_thread(start));
        })
        .map_err(|error| RouterError::step(StepName::Listen, "control thread", error))?;
    System::new("traffic", DefaultRuntime).block_on(async move {
        let settings = board.settings.load_full();
        let state = Rc::new(TrafficState::new(dialect, board, clock, telemetry));
        let front = listen(settings.front)?;
        if settings.memory_bytes.is_some() {
            limit_unread_bytes(&front);
        }
        let mut query_addresses = vec![settings.ready, settings.locator];
        let metrics = std::net::SocketAddrV4::new(settings.address, settings.metrics_port);
        query_addresses.push(metrics);
        query_addresses.dedup();
        for address in query_addresses {
            let listener = listen(address)?;
            tokio::task::spawn_local(serve_queries(listener, Rc::clone(&state)));
        }
        tokio::task::spawn_local(sweep_state(Rc::clone(&state), SWEEP_PERIOD));
        tokio::task::spawn_local(close_idle_callers(Rc::clone(&state)));
        tokio::task::spawn_local(probe_uplink(Rc::clone(&state)));
        tokio::task::spawn_local(watch_responses(Rc::clone(&state)));
        tokio::task::spawn_local(serve_callers(front, state));
        result.await.unwrap_or(Ok(()))
    })
}

/// Bounds what the kernel keeps for callers that send faster than their bytes are read, since it
/// counts towards the memory of the VM. Accepted connections inherit the bound.
fn limit_unread_bytes(listener: &TcpListener) {
    if let Err(error) = SockRef::from(listener).set_recv_buffer_size(UNREAD_BYTES) {
        spdlog::warn!("socket-option", kv: { reason: = error });
    }
}

fn control_thread<C, S, F>(start: ControlStart<C, S, F>) -> RouterResult<()>
where
    C: DocumentCodec + 'static,
    S: StoreSource,
    F: SettingsSource,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| RouterError::step(StepName::Listen, "control thread", error))?;
    LocalSet::new().block_on(&runtime, run_control(start))
}
