//! The control thread of a forwarding router: follows the store, exchanges heartbeats with peers,
//! decides the stage of the router, and publishes the results on the board.

mod control_state;
mod store_task;

use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::{Instant, MissedTickBehavior};

use crate::client::{ClientLimits, ClientRequest, HttpClient};
use crate::error::{RouterError, RouterResult, StepName};
use crate::fleet::member_table::{GOSSIP_PERIOD, MemberRecord, MemberStage};
use crate::fleet::store_view::DocumentCodec;
use crate::forward::front_server::listen;
use crate::forward_control::control_state::{ControlState, FrameKind};
use crate::forward_control::store_task::{StoreCommand, follow_store};
use crate::forward_settings::ForwardSettings;
use crate::gossip::frames::DocumentResponse;
use crate::gossip::{fetch_documents, serve_document_request};
use crate::ids::{DataCenterTag, IncarnationId};
use crate::store_source::StoreSource;

pub use crate::forward_control::control_state::ControlParts;

/// Size of the receive buffer of heartbeats.
const DATAGRAM_BYTES: usize = 4096;

/// Number of document requests that are answered at the same time. All documents of a large fleet
/// are about a megabyte, and the link of a small VM carries three a second.
const MAX_DOCUMENT_EXCHANGES: usize = 8;

/// Limits on the lists of the parts that upstreams have cached.
const PARTS_LIMITS: ClientLimits = ClientLimits {
    connect_timeout: Duration::from_millis(300),
    response_timeout: Duration::from_secs(1),
    body_bytes: 1 << 20,
};

/// Time between two turns of the control loop above which the process was stopped. Ticks alone take a
/// quarter of a second.
const MAX_TURN_TIME: Duration = Duration::from_millis(500);

/// Longest time for which records of streams are collected before they are sent.
const RECORDS_DELAY: Duration = Duration::from_millis(20);

/// A peer, the time that its response to a request for documents took, and the response.
type PeerResponse = (SocketAddrV4, Duration, RouterResult<DocumentResponse>);

/// Where the settings are read from, at the start and at each reload.
pub trait SettingsSource: Send + 'static {
    /// Reads the settings from their file.
    fn read(&self) -> RouterResult<ForwardSettings>;
}

/// Arguments of [`run_control`].
pub struct ControlStart<C, S, F> {
    /// Decodes the documents of the store.
    pub codec: C,
    /// The client of the store.
    pub store: S,
    /// The settings file.
    pub settings: F,
    /// State that is shared with the traffic thread.
    pub parts: ControlParts,
}

/// Runs the control thread until the router has stopped.
pub async fn run_control<C, S, F>(start: ControlStart<C, S, F>) -> RouterResult<()>
where
    C: DocumentCodec + 'static,
    S: StoreSource,
    F: SettingsSource,
{
    let settings = start.parts.board.settings.load_full();
    let control = listen(settings.control)?;
    let gossip_address = SocketAddrV4::new(settings.address, settings.gossip_port);
    let gossip = UdpSocket::bind(gossip_address)
        .await
        .map_err(|error| RouterError::step(StepName::Listen, gossip_address, error))?;
    let mut term = open_signal(SignalKind::terminate())?;
    let mut interrupt = open_signal(SignalKind::interrupt())?;
    let mut hangup = open_signal(SignalKind::hangup())?;
    let (event_sender, mut store_events) = unbounded_channel();
    let (response_sender, mut responses) = unbounded_channel();
    let (commands, command_receiver) = unbounded_channel();
    tokio::task::spawn_local(follow_store(start.store, event_sender, command_receiver));
    let own = MemberRecord {
        address: settings.address,
        incarnation: IncarnationId(rand::rng().random()),
        stage: MemberStage::Booting,
        data_center: DataCenterTag::from(&settings.data_center),
    };
    let board = Arc::clone(&start.parts.board);
    let state = ControlState::new(start.codec, start.parts, own);
    let state = Rc::new(RefCell::new(state));
    spdlog::info!("start", kv: {
        vm: = settings.vm, incarnation: = own.incarnation, front: = settings.front,
        data_center: = settings.data_center, seeds: = settings.seeds.len(),
        version: = env!("CARGO_PKG_VERSION")
    });
    tokio::task::spawn_local(serve_peers(control, Rc::clone(&state)));
    let mut ticks = tokio::time::interval(GOSSIP_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut datagram = vec![0; DATAGRAM_BYTES];
    let parts_client = HttpClient::new(PARTS_LIMITS);
    let mut records_due: Option<Instant> = None;
    let mut last_turn = Instant::now();
    loop {
        let stop_wait = state.borrow().stop_wait();
        let check_wait = state.borrow().check_wait();
        if last_turn.elapsed() > MAX_TURN_TIME {
            merge_late_datagrams(&gossip, &mut datagram, &state);
        }
        last_turn = Instant::now();
        tokio::select! {
            Some(event) = store_events.recv() => state.borrow_mut().merge_store_event(event),
            Some((peer, took, response)) = responses.recv() => {
                let complete = state.borrow_mut().merge_response(peer, took, response);
                // The store task owns the receiver and runs until this loop has ended.
                let _ = complete.map(|revision| commands.send(StoreCommand::FollowFrom(revision)));
            }
            received = gossip.recv_from(&mut datagram) => {
                let Ok((bytes, sender)) = received else { continue };
                if last_turn.elapsed() > MAX_TURN_TIME {
                    state.borrow_mut().merge_late_frame(&datagram[..bytes], sender);
                    continue;
                }
                let replies = state.borrow_mut().merge_frame(&datagram[..bytes], sender);
                for frame in replies {
                    send_frame(&gossip, &frame, &[sender]).await;
                }
            }
            _ = ticks.tick() => {
                if run_tick(&state, &gossip, &commands, &start.settings).await {
                    break;
                }
            }
            () = tokio::time::sleep(stop_wait.unwrap_or_default()), if stop_wait.is_some() => {
                if state.borrow_mut().advance_stop() {
                    break;
                }
            }
            () = board.streams_changed.notified() => {
                if board.stream_versions().has_unsent() {
                    records_due.get_or_insert_with(|| Instant::now() + RECORDS_DELAY);
                }
                let questions = state.borrow().take_stream_questions();
                send_each(&gossip, questions).await;
                let questions = state.borrow().take_part_lookups();
                send_each(&gossip, questions).await;
            }
            () = tokio::time::sleep(check_wait.unwrap_or_default()), if check_wait.is_some() => {
                let check = state.borrow().begin_check();
                let _ = commands.send(check);
            }
            () = sleep_until(records_due), if records_due.is_some() => {
                records_due = None;
                let records = state.borrow().take_stream_records();
                send_each(&gossip, records).await;
            }
            _ = term.recv() => stop(&gossip, &state).await,
            _ = interrupt.recv() => stop(&gossip, &state).await,
            _ = hangup.recv() => state.borrow_mut().reload(&start.settings, "signal"),
        }
        let past_command = state.borrow_mut().past_command();
        let _ = past_command.map(|command| commands.send(command));
        send_notices(&gossip, &state).await;
        ask_parts(&state, &parts_client);
        fetch_from_peer(&state, &response_sender);
    }
    spdlog::info!("stop", kv: { vm: = settings.vm });
    Ok(())
}

/// Runs the periodic work. Returns whether the router has stopped.
async fn run_tick<C: DocumentCodec, F: SettingsSource>(
    state: &Rc<RefCell<ControlState<C>>>,
    gossip: &UdpSocket,
    commands: &UnboundedSender<StoreCommand>,
    settings: &F,
) -> bool {
    let round = state.borrow_mut().tick();
    // The store task owns the receiver and runs until the control loop has ended.
    let _ = round.store_command.map(|command| commands.send(command));
    if round.paused {
        let _ = commands.send(StoreCommand::Restart);
    }
    if round.read_settings {
        state.borrow_mut().reload(settings, "poll");
    }
    send_heartbeats(gossip, state, &round.targets).await;
    round.stopped
}

/// Requests documents from a peer, if that is due.
fn fetch_from_peer<C: DocumentCodec>(
    state: &Rc<RefCell<ControlState<C>>>,
    responses: &UnboundedSender<PeerResponse>,
) {
    let Some((peer, request)) = state.borrow_mut().next_fetch() else {
        return;
    };
    let responses = responses.clone();
    tokio::task::spawn_local(async move {
        let asked = Instant::now();
        let response = fetch_documents(peer, request).await;
        // Fails only when the control loop has ended and the response is not needed.
        let _ = responses.send((peer, asked.elapsed(), response));
    });
}

/// Asks upstreams for the parts of prompts that they have cached, if the search for the versions of
/// streams wants it.
fn ask_parts<C: DocumentCodec + 'static>(
    state: &Rc<RefCell<ControlState<C>>>,
    client: &HttpClient,
) {
    let Some((upstreams, path)) = state.borrow_mut().take_part_questions() else {
        return;
    };
    for entry in upstreams {
        let (client, state) = (client.clone(), Rc::clone(state));
        tokio::task::spawn_local(async move {
            let asked_at = state.borrow().now();
            let body = fetch_parts(&client, entry.address, path).await;
            let body = body.as_ref();
            state
                .borrow_mut()
                .merge_cached_parts(&entry, body, asked_at);
        });
    }
}

/// Asks an upstream for the parts of prompts that it has cached.
async fn fetch_parts(
    client: &HttpClient,
    address: SocketAddr,
    path: &'static str,
) -> Option<Bytes> {
    let response = client.send(ClientRequest::get(address, path)).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.bytes().await.ok()
}

fn open_signal(kind: SignalKind) -> RouterResult<tokio::signal::unix::Signal> {
    signal(kind).map_err(|error| RouterError::step(StepName::Listen, "signals", error))
}

/// Starts the stop of the router and informs all peers, so that neither this router nor the peers
/// return its address to callers any longer.
async fn stop<C: DocumentCodec>(gossip: &UdpSocket, state: &Rc<RefCell<ControlState<C>>>) {
    let targets = {
        let mut state = state.borrow_mut();
        state.request_stop();
        state.known_addresses()
    };
    let records = state.borrow().take_stream_records();
    send_each(gossip, records).await;
    // Sent twice because datagrams may be lost.
    send_heartbeats(gossip, state, &targets).await;
    send_heartbeats(gossip, state, &targets).await;
}

/// Sends what other routers are to hear at once.
async fn send_notices<C: DocumentCodec>(gossip: &UdpSocket, state: &Rc<RefCell<ControlState<C>>>) {
    let notice = state.borrow_mut().take_notice();
    if let Some((frame, targets)) = notice {
        send_frame(gossip, &frame, &targets).await;
    }
    let collections = state.borrow_mut().take_collections();
    send_each(gossip, collections).await;
}

async fn send_heartbeats<C: DocumentCodec>(
    gossip: &UdpSocket,
    state: &Rc<RefCell<ControlState<C>>>,
    targets: &[SocketAddr],
) {
    if targets.is_empty() {
        return;
    }
    let frame = state.borrow().encode_heartbeat();
    send_frame(gossip, &frame, targets).await;
}

/// Merges what has waited for a stopped process, as far as its age does not matter.
fn merge_late_datagrams<C: DocumentCodec>(
    gossip: &UdpSocket,
    datagram: &mut [u8],
    state: &Rc<RefCell<ControlState<C>>>,
) {
    let mut count = 0_u32;
    while let Ok((bytes, sender)) = gossip.try_recv_from(datagram) {
        state
            .borrow_mut()
            .merge_late_frame(&datagram[..bytes], sender);
        count += 1;
    }
    spdlog::info!("heartbeats-late", kv: { count: = count });
}

async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due).await,
        None => std::future::pending().await,
    }
}

async fn send_each(gossip: &UdpSocket, frames: Vec<(Vec<u8>, SocketAddr)>) {
    for (frame, target) in frames {
        send_frame(gossip, &frame, &[target]).await;
    }
}

async fn send_frame(gossip: &UdpSocket, frame: &[u8], targets: &[SocketAddr]) {
    for target in targets {
        if let Err(error) = gossip.send_to(frame, target).await {
            spdlog::debug!("heartbeat-unsent", kv: { peer: = target, reason: = error });
        }
    }
}

/// Accepts connections of peers and responds to their document requests.
async fn serve_peers<C: DocumentCodec + 'static>(
    listener: TcpListener,
    state: Rc<RefCell<ControlState<C>>>,
) {
    let permits = Arc::new(Semaphore::new(MAX_DOCUMENT_EXCHANGES));
    loop {
        match listener.accept().await {
            Ok((socket, peer)) => {
                // The peer gets the documents from another router.
                let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                    continue;
                };
                let state = Rc::clone(&state);
                tokio::task::spawn_local(async move {
                    let _permit = permit;
                    let respond = |request| state.borrow().respond(request);
                    if let Err(error) = serve_document_request(socket, respond).await {
                        if error.is::<prost::DecodeError>() {
                            state.borrow().count_unreadable(FrameKind::Request);
                        }
                        spdlog::info!("peer-question-failed", kv: {
                            peer: = peer, reason: = error
                        });
                    }
                });
            }
            Err(error) => {
                spdlog::warn!("accept-failed", kv: { reason: = error });
                tokio::time::sleep(GOSSIP_PERIOD).await;
            }
        }
    }
}
