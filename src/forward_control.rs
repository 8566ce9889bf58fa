//! The control thread of a forwarding router: it follows the store and the peers, decides the
//! stage, and writes the board.

mod control_state;
mod store_task;

use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;

use rand::RngExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::MissedTickBehavior;

use crate::error::{RouterError, RouterResult, StepName};
use crate::fleet::member_table::{GOSSIP_PERIOD, MemberRecord, MemberStage};
use crate::fleet::store_view::DocumentCodec;
use crate::forward::front_server::listen;
use crate::forward_control::control_state::ControlState;
use crate::forward_control::store_task::{StoreNudge, follow_store};
use crate::forward_settings::ForwardSettings;
use crate::gossip::{answer_peer, fetch_documents};
use crate::ids::IncarnationId;
use crate::store_source::StoreSource;

pub use crate::forward_control::control_state::ControlParts;

/// Largest heartbeat that is read.
const DATAGRAM_READ: usize = 4096;

/// Reads the settings anew.
pub trait SettingsSource: Send + 'static {
    /// The settings as the file has them now.
    fn read(&self) -> RouterResult<ForwardSettings>;
}

/// What the control thread starts with.
pub struct ControlStart<C, S, F> {
    /// Decodes the store's documents.
    pub codec: C,
    /// The store.
    pub store: S,
    /// The settings file.
    pub settings: F,
    /// What the traffic thread shares.
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
    let (words, mut heard) = unbounded_channel();
    let (fetched, mut gives) = unbounded_channel();
    let (nudges, learned) = unbounded_channel();
    tokio::task::spawn_local(follow_store(start.store, words, learned));
    let own = MemberRecord {
        address: settings.address,
        incarnation: IncarnationId(rand::rng().random()),
        stage: MemberStage::Booting,
    };
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
    let mut datagram = vec![0; DATAGRAM_READ];
    loop {
        tokio::select! {
            Some(word) = heard.recv() => state.borrow_mut().store_word(word),
            Some((peer, give)) = gives.recv() => {
                let known = state.borrow_mut().fetched(peer, give);
                // The task that follows the store lives as long as this loop.
                let _ = known.map(|revision| nudges.send(StoreNudge::Known(revision)));
            }
            received = gossip.recv_from(&mut datagram) => {
                let Ok((bytes, sender)) = received else { continue };
                let answer = state.borrow_mut().heartbeat(&datagram[..bytes]);
                if answer {
                    send_round(&gossip, &state, &[sender]).await;
                }
            }
            _ = ticks.tick() => {
                let round = state.borrow_mut().tick();
                if round.paused {
                    let _ = nudges.send(StoreNudge::Restart);
                }
                if round.read_settings {
                    state.borrow_mut().reload(&start.settings, "poll");
                }
                send_round(&gossip, &state, &round.targets).await;
                if round.stopped {
                    spdlog::info!("stop", kv: { vm: = settings.vm });
                    return Ok(());
                }
            }
            _ = term.recv() => stop(&gossip, &state).await,
            _ = interrupt.recv() => stop(&gossip, &state).await,
            _ = hangup.recv() => state.borrow_mut().reload(&start.settings, "signal"),
        }
        let ask = state.borrow_mut().next_fetch();
        if let Some((peer, ask)) = ask {
            let fetched = fetched.clone();
            tokio::task::spawn_local(async move {
                // The receiver lives as long as this loop.
                let _ = fetched.send((peer, fetch_documents(peer, ask).await));
            });
        }
    }
}

fn open_signal(kind: SignalKind) -> RouterResult<tokio::signal::unix::Signal> {
    signal(kind).map_err(|error| RouterError::step(StepName::Listen, "signals", error))
}

/// Leaves the answers with addresses at once, here and at every peer.
async fn stop<C: DocumentCodec>(gossip: &UdpSocket, state: &Rc<RefCell<ControlState<C>>>) {
    let targets = {
        let mut state = state.borrow_mut();
        state.stop_asked();
        state.known_addresses()
    };
    // Twice, since datagrams may be lost.
    send_round(gossip, state, &targets).await;
    send_round(gossip, state, &targets).await;
}

async fn send_round<C: DocumentCodec>(
    gossip: &UdpSocket,
    state: &Rc<RefCell<ControlState<C>>>,
    targets: &[SocketAddr],
) {
    if targets.is_empty() {
        return;
    }
    let frame = state.borrow().frame();
    for target in targets {
        if let Err(error) = gossip.send_to(&frame, target).await {
            spdlog::debug!("heartbeat-unsent", kv: { peer: = target, reason: = error });
        }
    }
}

/// Gives documents to peers that ask.
async fn serve_peers<C: DocumentCodec + 'static>(
    listener: TcpListener,
    state: Rc<RefCell<ControlState<C>>>,
) {
    loop {
        match listener.accept().await {
            Ok((socket, peer)) => {
                let state = Rc::clone(&state);
                tokio::task::spawn_local(async move {
                    let give = |ask| state.borrow().give(ask);
                    if let Err(error) = answer_peer(socket, give).await {
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
