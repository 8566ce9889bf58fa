//! The listener for callers.

mod call_handler;
mod caller_stream;
mod chat_handler;
mod reply;

use std::sync::Arc;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use serde::Deserialize;

use crate::board::{Board, ConfigSection, LifeStage};
use crate::client::{CONNECT_TIMEOUT, ClientLimits, HttpClient};
use crate::control::ControlHandle;
use crate::error::{RouterError, RouterResult, StepName};
use crate::mono::ProcessClock;
use crate::register::{AccountEntry, token_digest};
use crate::settings::RouterSettings;

/// Largest head of a request, in headers.
const MAX_HEADERS: usize = 64;

/// Time that a caller may take to send a request's head.
const HEAD_LIMIT: Seconds = Seconds(5);

/// How long a stopping listener waits for connections to end.
const STOP_LIMIT: Seconds = Seconds(30);

/// Open connections on one traffic thread.
const MAX_CONNECTIONS: usize = 4096;

/// Bound on the time to the head of an engine's answer; the rules set the shorter limits.
const ANSWER_LIMIT: Duration = Duration::from_hours(1);

/// Bound on the payload that the client collects; answers are streamed and not collected.
const PAYLOAD_LIMIT: usize = 1 << 20;

/// What handlers share.
#[derive(Clone)]
pub struct EntryState {
    /// The blackboard.
    pub board: Arc<Board>,
    /// The control thread.
    pub control: ControlHandle,
    /// The clock of this process.
    pub clock: ProcessClock,
    /// The client towards engines, one a thread.
    pub client: HttpClient,
}

/// Opens the listener and serves callers until it is stopped.
pub fn serve_callers(
    settings: &RouterSettings,
    board: Arc<Board>,
    control: ControlHandle,
    clock: ProcessClock,
) -> RouterResult<Server> {
    let config = HttpServiceConfig::new()
        .set_max_headers(MAX_HEADERS)
        .set_client_timeout(HEAD_LIMIT);
    let server = HttpServer::new(async move || {
        let board = Arc::clone(&board);
        let control = control.clone();
        let client = HttpClient::new(ClientLimits {
            connect_timeout: CONNECT_TIMEOUT,
            response_timeout: ANSWER_LIMIT,
            body_bytes: PAYLOAD_LIMIT,
        });
        App::new()
            .state(EntryState {
                board,
                control,
                clock,
                client,
            })
            .route("/v1/chat/completions", web::post().to(chat_handler::chat))
            .route("/v1/services/{service}", web::post().to(call_handler::call))
            .route(
                "/v1/services/{service}/tickets",
                web::post().to(call_handler::mint),
            )
            .route("/v1/ready", web::get().to(ready))
    });
    let server = server
        .workers(settings.traffic_threads)
        .maxconn(MAX_CONNECTIONS)
        .disable_signals()
        .shutdown_timeout(STOP_LIMIT)
        .config(SharedCfg::new("entry").add(config))
        .bind(settings.entry)
        .map_err(|error| RouterError::step(StepName::Listen, settings.entry, error))?;
    Ok(server.run())
}

#[derive(Deserialize)]
struct ReadyQuery {
    /// Version of the homes that the locator has.
    #[serde(default)]
    homes: u64,
}

/// Tells locators whether this router may be named to callers, and the homes of chats if they
/// have changed.
async fn ready(
    query: web::types::Query<ReadyQuery>,
    state: web::types::State<EntryState>,
) -> HttpResponse {
    if state.board.stage() != LifeStage::Serving {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let homes = state.board.engine_owners();
    if homes.version == query.homes {
        HttpResponse::NoContent().finish()
    } else {
        HttpResponse::Ok().json(&*homes)
    }
}

/// The account whose bearer token the request carries.
fn authenticate<'a>(request: &HttpRequest, config: &'a ConfigSection) -> Option<&'a AccountEntry> {
    let value = request.headers().get("authorization")?.to_str().ok()?;
    let token = value.strip_prefix("Bearer ")?;
    config.accounts.get(&token_digest(token))
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
