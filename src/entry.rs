//! The HTTP server for callers, with the readiness probe for locators.

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

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;

/// Time allowed for a caller to send the head of a request.
const REQUEST_HEAD_TIMEOUT: Seconds = Seconds(5);

/// Time that the server waits on shutdown for open connections to finish.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(30);

/// Maximum number of open connections on one traffic thread.
const MAX_CONNECTIONS_PER_THREAD: usize = 4096;

/// Upper bound on the time to the head of an engine's response. The rules set shorter limits for
/// each rank.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_hours(1);

/// Maximum size of a response body that the client buffers. Responses of engines are streamed and
/// not subject to it.
const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;

/// State shared by the request handlers of one traffic thread.
#[derive(Clone)]
pub struct EntryState {
    /// Configuration and stage of the router, published by the control thread.
    pub board: Arc<Board>,
    /// Handle for sending events to the control thread.
    pub control: ControlHandle,
    /// Monotonic clock of this process.
    pub clock: ProcessClock,
    /// HTTP client for engines. Each traffic thread has its own.
    pub client: HttpClient,
}

/// Binds the listener and starts the server, which runs until it is stopped through the returned
/// handle.
pub fn serve_callers(
    settings: &RouterSettings,
    board: Arc<Board>,
    control: ControlHandle,
    clock: ProcessClock,
) -> RouterResult<Server> {
    let config = HttpServiceConfig::new()
        .set_max_headers(MAX_HEADERS)
        .set_client_timeout(REQUEST_HEAD_TIMEOUT);
    let server = HttpServer::new(async move || {
        let board = Arc::clone(&board);
        let control = control.clone();
        let client = HttpClient::new(ClientLimits {
            connect_timeout: CONNECT_TIMEOUT,
            response_timeout: RESPONSE_HEAD_TIMEOUT,
            body_bytes: MAX_BUFFERED_BODY_BYTES,
        });
        App::new()
            .state(EntryState {
                board,
                control,
                clock,
                client,
            })
            .route(
                "/v1/chat/completions",
                web::post().to(chat_handler::chat_completion),
            )
            .route(
                "/v1/services/{service}",
                web::post().to(call_handler::call_service),
            )
            .route(
                "/v1/services/{service}/tickets",
                web::post().to(call_handler::mint_ticket),
            )
            .route("/v1/ready", web::get().to(ready))
    });
    let server = server
        .workers(settings.traffic_threads)
        .maxconn(MAX_CONNECTIONS_PER_THREAD)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .config(SharedCfg::new("entry").add(config))
        .bind(settings.entry)
        .map_err(|error| RouterError::step(StepName::Listen, settings.entry, error))?;
    Ok(server.run())
}

#[derive(Deserialize)]
struct ReadyQuery {
    /// Version of the [`EngineOwnerSection`](crate::board::EngineOwnerSection) that the locator has
    /// cached, or zero if it has none.
    #[serde(default)]
    homes: u64,
}

/// Readiness probe for locators. Responds with 503 unless the router serves callers, with 204 if
/// the locator's copy of the engine owners is current, and with the current ones otherwise.
async fn ready(
    query: web::types::Query<ReadyQuery>,
    state: web::types::State<EntryState>,
) -> HttpResponse {
    if state.board.stage() != LifeStage::Serving {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let owners = state.board.engine_owners();
    if owners.version == query.homes {
        HttpResponse::NoContent().finish()
    } else {
        HttpResponse::Ok().json(&*owners)
    }
}

/// Returns the account that the request's bearer token belongs to.
fn authenticate<'a>(request: &HttpRequest, config: &'a ConfigSection) -> Option<&'a AccountEntry> {
    let value = request.headers().get("authorization")?.to_str().ok()?;
    let token = value.strip_prefix("Bearer ")?;
    config.accounts.get(&token_digest(token))
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
