//! A TCP relay that can stop forwarding without closing its connections, as a middlebox does that
//! has lost its connection state.

use std::net::SocketAddr;
use std::sync::Arc;

use ntex::web::{self, App, HttpResponse, HttpServer};
use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How the relay treats connections.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum RelayMode {
    /// Forwards everything.
    Pass,
    /// Forwards nothing, on old and new connections, until the mode changes back.
    Block,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct RelayState {
    mode: RelayMode,
    /// Increased by `/control/silence`. Connections of an older generation stay open, and nothing
    /// is forwarded on them any more.
    generation: u64,
}

type StateSender = Arc<watch::Sender<RelayState>>;

/// Accepts and relays connections until the process exits.
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
        let (client, _) = listener.accept().await?;
        ntex::rt::spawn(relay_connection(client, to, state.subscribe()));
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

async fn relay_connection(client: TcpStream, to: SocketAddr, state: watch::Receiver<RelayState>) {
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let generation = state.borrow().generation;
    tokio::join!(
        forward_bytes(client_read, server_write, state.clone(), generation),
        forward_bytes(server_read, client_write, state, generation),
    );
}

async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<RelayState>,
    generation: u64,
) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        let passing = state.wait_for(|state| state.mode == RelayMode::Pass).await;
        if !passing.is_ok_and(|state| state.generation == generation) {
            // Keeps both sockets open, so that neither end notices.
            std::future::pending::<()>().await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
