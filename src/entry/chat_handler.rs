//! `POST /v1/chat/completions`: a request to a model, whose response is a stream of events.

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};
use rand::RngExt;
use serde::Deserialize;
use tokio::sync::mpsc::{Receiver, channel};
use tokio::time::timeout;

use crate::board::ConfigSection;
use crate::entry::caller_stream::CallerStream;
use crate::entry::reply::{not_run, refused};
use crate::entry::{EntryState, authenticate, header};
use crate::forward::framing_limit::await_overlong_framing;
use crate::ids::{ChatId, ModelId, RequestId};
use crate::policy::work_item::WorkItem;
use crate::register::AccountEntry;
use crate::rules::WorkRank;
use crate::upstream::EngineRequest;
use crate::upstream::{RelayContext, RelayMessage, ResponseRelay, error_event, ping_comment};

/// Request header with the id of the chat.
const HEADER_CHAT: &str = "x-chat-id";

/// Request header with the rank. A request without it has the rank `quick`.
const HEADER_RANK: &str = "x-rank";

/// Capacity of the channel between a relay and its caller's connection, in messages.
const RELAY_BUFFER: usize = 64;

/// Assumed number of body bytes per token in the cost estimate of a request.
const BYTES_PER_TOKEN: u64 = 4;

/// Response length assumed in the cost estimate of a request when the request sets no `max_tokens`.
const DEFAULT_RESPONSE_TOKENS: u64 = 256;

/// The fields of a chat body that the router uses. The engine receives the body unchanged.
#[derive(Deserialize)]
struct ChatBody {
    model: ModelId,
    #[serde(default)]
    max_tokens: Option<u64>,
}

/// Starts a relay for the request and responds with the stream of its messages.
pub async fn chat_completion(
    request: HttpRequest,
    payload: web::types::Payload,
    state: web::types::State<EntryState>,
) -> HttpResponse {
    let Some(config) = state.board.config() else {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
    };
    let Some(account) = authenticate(&request, &config) else {
        return not_run(
            StatusCode::UNAUTHORIZED,
            "bearer token is missing or unknown",
        );
    };
    let limit = config.bundle.rules.max_body.0 as usize;
    let body = match read_body(&request, payload, limit).await {
        Ok(body) => body,
        Err(fault) => return not_run(fault.status(), fault.reason()),
    };
    let id = generate_request_id();
    let item = match work_item(&request, &state, account, &id, &body) {
        Ok(item) => item,
        Err(reason) => return not_run(StatusCode::BAD_REQUEST, &reason),
    };
    let engine_request = EngineRequest {
        id: id.clone(),
        rank: item.rank,
        body: bytes::Bytes::copy_from_slice(&body),
    };
    let (out, messages) = channel(RELAY_BUFFER);
    let context = RelayContext {
        client: state.client.clone(),
        control: state.control.clone(),
        clock: state.clock,
    };
    let relay = ResponseRelay::new(context, config.clone(), item, engine_request, out);
    ntex::rt::spawn(relay.run());
    respond(&config, &id, messages).await
}

/// Waits for the first message, which decides between a refusal and a stream. If none arrives
/// within the ping interval, starts the stream with a comment, so that the caller can tell that
/// the connection is alive while the request is queued.
async fn respond(
    config: &ConfigSection,
    id: &RequestId,
    mut messages: Receiver<RelayMessage>,
) -> HttpResponse {
    let ping = config.bundle.rules.caller_ping.0;
    let first = match timeout(ping, messages.recv()).await {
        Ok(Some(RelayMessage::Bytes(bytes))) => bytes,
        Ok(Some(RelayMessage::Refused(refusal))) => return refused(&refusal),
        // A relay that ended without a message may have sent the request to an engine.
        Ok(None) => error_event("unknown", "relay ended", 0),
        Err(_) => ping_comment(),
    };
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .header("x-request-id", id.as_str())
        .streaming(CallerStream::new(first, messages, ping))
}

fn work_item(
    request: &HttpRequest,
    state: &EntryState,
    account: &AccountEntry,
    id: &RequestId,
    body: &Bytes,
) -> Result<WorkItem, String> {
    let chat_body: ChatBody =
        serde_json::from_slice(body).map_err(|error| format!("body: {error}"))?;
    let rank = match header(request, HEADER_RANK) {
        None => WorkRank::Quick,
        Some(text) => text
            .parse()
            .map_err(|error| format!("{HEADER_RANK}: {error}"))?,
    };
    let chat = match header(request, HEADER_CHAT) {
        None => id.as_str().parse::<ChatId>(),
        Some(text) => text.parse(),
    };
    let chat = chat.map_err(|error| format!("{HEADER_CHAT}: {error}"))?;
    let response_tokens = chat_body.max_tokens.unwrap_or(DEFAULT_RESPONSE_TOKENS);
    Ok(WorkItem {
        request: id.key(),
        account: account.id.key(),
        weight: account.weight,
        rank,
        model: chat_body.model.key(),
        chat: chat.key(),
        cost: body.len() as u64 / BYTES_PER_TOKEN + response_tokens,
        accepted: state.clock.now(),
        avoid: None,
        pinned: None,
        preemptions: 0,
        served: Duration::ZERO,
    })
}

fn generate_request_id() -> RequestId {
    let number: u128 = rand::rng().random();
    let text = format!("{number:032x}");
    text.parse().expect("hexadecimal digits form an id")
}

/// The reason why a request body could not be read.
#[derive(Clone, Copy, Debug)]
pub enum BodyFault {
    /// The body is larger than the rule `max_body`.
    TooLarge,
    /// The connection failed, or the body did not arrive within `BODY_TIMEOUT`.
    Broken,
}

impl BodyFault {
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Broken => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns the text for the `reason` field of the refusal.
    pub fn reason(self) -> &'static str {
        match self {
            Self::TooLarge => "body is larger than max_body",
            Self::Broken => "body ended early or came too slowly",
        }
    }
}

/// Reads a request body of at most `limit` bytes.
pub async fn read_body(
    request: &HttpRequest,
    mut payload: web::types::Payload,
    limit: usize,
) -> Result<Bytes, BodyFault> {
    let mut body = ntex::util::BytesMut::new();
    let read = async {
        loop {
            let chunk = tokio::select! {
                biased;
                chunk = payload.recv() => chunk,
                () = await_overlong_framing(request.io()) => return Err(BodyFault::Broken),
            };
            let Some(chunk) = chunk else { return Ok(()) };
            let chunk = chunk.map_err(|_| BodyFault::Broken)?;
            if body.len() + chunk.len() > limit {
                return Err(BodyFault::TooLarge);
            }
            body.extend_from_slice(&chunk);
        }
    };
    timeout(BODY_TIMEOUT, read)
        .await
        .map_err(|_| BodyFault::Broken)??;
    Ok(body.freeze())
}

/// Time allowed for a caller to send the body of a request.
const BODY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);
