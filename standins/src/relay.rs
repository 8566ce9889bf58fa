//! A relay between two ends that can lose track of its connections.

use std::net::SocketAddr;
use std::sync::Arc;

use ntex::web::{self, App, HttpResponse, HttpServer};
use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the relay does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum RelayMode {
    /// Passes everything on.
    Pass,
    /// Passes nothing on, of old and new connections.
    Block,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct RelayState {
    mode: RelayMode,
    /// Connections of an older generation stay open and silent for good.
    generation: u64,
}

type StateSender = Arc<watch::Sender<RelayState>>;

/// Relays until the process ends.
pub async fn serve(listen: SocketAddr, to: SocketAddr, control: SocketAddr) -> anyhow::Result<()> {
    let start = RelayState {
        mode: RelayMode::Pass,
        generation: 0,
    };
    let state: StateSender = Arc::new(watch::channel(start).0);
    let shared = Arc::clone(&state);
    let server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&shared))
            .route("/control/mode", web::post().to(set_mode))
            .route("/control/silence", web::post().to(silence))
    });
    let server = server.workers(1).bind(control)?.run();
    ntex::rt::spawn(server);
    let listener = TcpListener::bind(listen).await?;
    loop {
        let (near, _) = listener.accept().await?;
        ntex::rt::spawn(carry(near, to, state.subscribe()));
    }
}

async fn set_mode(
    body: web::types::Json<RelayMode>,
    state: web::types::State<StateSender>,
) -> HttpResponse {
    let mode = body.into_inner();
    state.send_modify(|state| state.mode = mode);
    HttpResponse::Ok().finish()
}

async fn silence(state: web::types::State<StateSender>) -> HttpResponse {
    state.send_modify(|state| state.generation += 1);
    HttpResponse::Ok().finish()
}

async fn carry(near: TcpStream, to: SocketAddr, state: watch::Receiver<RelayState>) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let generation = state.borrow().generation;
    tokio::join!(
        pass(near_read, far_write, state.clone(), generation),
        pass(far_read, near_write, state, generation),
    );
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<RelayState>,
    generation: u64,
) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        let open = state.wait_for(|state| state.mode == RelayMode::Pass).await;
        if !open.is_ok_and(|state| state.generation == generation) {
            // Lost track of it: neither end is told.
            std::future::pending::<()>().await;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
