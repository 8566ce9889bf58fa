//! The HTTP API for operators.

use std::sync::Arc;

use ntex::server::Server;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use serde::{Deserialize, Serialize};

use crate::board::Board;
use crate::control::{ControlEvent, ControlHandle, ExplainRequest, RouteExplanation};
use crate::error::{RouterError, RouterResult, StepName};
use crate::ids::{ChatId, ModelId};
use crate::register::token_digest;
use crate::settings::{AdminScope, AdminToken, RouterSettings};

/// State that the handlers share.
#[derive(Clone)]
struct AdminState {
    board: Arc<Board>,
    control: ControlHandle,
    tokens: Arc<Vec<AdminToken>>,
}

/// Response of `/v1/explain`: the engines of a model, as a chat would be routed to them.
#[derive(Debug, Deserialize, Serialize)]
pub struct ExplainBody {
    /// The engines that accept requests in order of preference, then the others.
    pub routes: Vec<RouteExplanation>,
}

/// Response body of a refused request.
#[derive(Debug, Deserialize, Serialize)]
pub struct AdminError {
    /// Reason of the refusal.
    pub error: String,
}

#[derive(Deserialize)]
struct ExplainQuery {
    model: ModelId,
    chat: ChatId,
}

/// Binds the operators' listener and returns its server.
pub fn serve_admin(
    settings: &RouterSettings,
    board: Arc<Board>,
    control: ControlHandle,
) -> RouterResult<Server> {
    let state = AdminState {
        board,
        control,
        tokens: Arc::new(settings.admin_tokens.clone()),
    };
    let server = HttpServer::new(async move || {
        App::new()
            .state(state.clone())
            .route("/v1/status", web::get().to(status))
            .route("/v1/explain", web::get().to(explain))
            .route("/v1/drain", web::post().to(drain))
    });
    let server = server
        .workers(1)
        .disable_signals()
        .bind(settings.admin)
        .map_err(|error| RouterError::step(StepName::Listen, settings.admin, error))?;
    Ok(server.run())
}

async fn status(request: HttpRequest, state: web::types::State<AdminState>) -> HttpResponse {
    match authorize(&request, &state, AdminScope::Read) {
        Ok(()) => HttpResponse::Ok().json(&*state.board.status()),
        Err(response) => response,
    }
}

async fn explain(
    request: HttpRequest,
    query: web::types::Query<ExplainQuery>,
    state: web::types::State<AdminState>,
) -> HttpResponse {
    if let Err(response) = authorize(&request, &state, AdminScope::Read) {
        return response;
    }
    let (model, chat) = (query.model.key(), query.chat.key());
    let routes = state
        .control
        .request(|reply| ControlEvent::Explain(ExplainRequest { model, chat, reply }))
        .await;
    HttpResponse::Ok().json(&ExplainBody {
        routes: routes.unwrap_or_default(),
    })
}

async fn drain(request: HttpRequest, state: web::types::State<AdminState>) -> HttpResponse {
    if let Err(response) = authorize(&request, &state, AdminScope::Drain) {
        return response;
    }
    state.control.send(ControlEvent::Drain);
    HttpResponse::Accepted().finish()
}

/// Checks that the bearer token of a request has `scope`. Returns the response to send if not.
fn authorize(
    request: &HttpRequest,
    state: &AdminState,
    scope: AdminScope,
) -> Result<(), HttpResponse> {
    let error = |text: &str| AdminError {
        error: text.to_owned(),
    };
    let value = request.headers().get("authorization");
    let token = value
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    let digest = token.map(token_digest);
    let known = state
        .tokens
        .iter()
        .find(|known| Some(&known.token_digest) == digest.as_ref());
    match known {
        None => Err(HttpResponse::Unauthorized().json(&error("token is missing or unknown"))),
        Some(known) if known.scopes.contains(&scope) => Ok(()),
        Some(_) => Err(HttpResponse::Forbidden().json(&error("token lacks the scope"))),
    }
}
