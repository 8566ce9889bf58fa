//! `POST /v1/services/…`: calls to services that must not run twice, and the tickets for them.

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::{self, HttpRequest, HttpResponse};

use crate::control::{ControlEvent, TicketRequest, TicketedCall};
use crate::entry::chat_handler::read_body;
use crate::entry::reply::{minted, not_run, rejected, ticket_needed};
use crate::entry::{EntryState, authenticate, header};
use crate::ids::{AccountKey, ServiceId, ServiceKey};
use crate::policy::ticket::CallTicket;
use crate::policy::ticket_ledger::{CallOutcome, CallRecord, MintRefusal};

/// Request header with the call's ticket.
const HEADER_TICKET: &str = "x-ticket";

/// Response header with the call's outcome: `done`, `not_run` or `unknown`.
const HEADER_OUTCOME: &str = "x-outcome";

/// Time added to the service's timeout for the round trip to the router that owns the ticket.
const OWNER_RESPONSE_MARGIN: Duration = Duration::from_secs(2);

/// Mints a ticket for one call to the service.
pub async fn mint_ticket(
    request: HttpRequest,
    state: web::types::State<EntryState>,
) -> HttpResponse {
    let target = match call_target(&request, &state) {
        Ok(target) => target,
        Err(response) => return response,
    };
    match request_ticket(&state, target).await {
        Ok(ticket) => minted(ticket.to_string()),
        Err(response) => response,
    }
}

/// Runs a call at most once per ticket. A repeated request with a spent ticket gets the recorded
/// outcome, and a request without a ticket gets a new ticket to repeat it with.
pub async fn call_service(
    request: HttpRequest,
    payload: web::types::Payload,
    state: web::types::State<EntryState>,
) -> HttpResponse {
    let target = match call_target(&request, &state) {
        Ok(target) => target,
        Err(response) => return response,
    };
    let Some(text) = header(&request, HEADER_TICKET) else {
        return match request_ticket(&state, target).await {
            Ok(ticket) => ticket_needed(ticket.to_string()),
            Err(response) => response,
        };
    };
    let ticket: CallTicket = match text.parse() {
        Ok(ticket) => ticket,
        Err(error) => {
            return rejected(
                StatusCode::BAD_REQUEST,
                &format!("{HEADER_TICKET}: {error}"),
            );
        }
    };
    let body = match read_body(&request, payload, target.max_body).await {
        Ok(body) => body,
        Err(fault) => return rejected(fault.status(), fault.reason()),
    };
    let body = bytes::Bytes::copy_from_slice(&body);
    let pending = state.control.request(|reply| {
        ControlEvent::Call(TicketedCall {
            ticket,
            account: target.account,
            service: target.service,
            body,
            reply,
        })
    });
    let limit = target.service_timeout + OWNER_RESPONSE_MARGIN;
    let record = tokio::time::timeout(limit, pending).await.ok().flatten();
    let timed_out =
        || CallRecord::from_static(CallOutcome::Unknown, 504, "the owner does not answer");
    respond(&record.unwrap_or_else(timed_out))
}

/// The account and service of a call, with the limits that apply to it.
#[derive(Clone, Copy)]
struct CallTarget {
    account: AccountKey,
    service: ServiceKey,
    max_body: usize,
    service_timeout: Duration,
}

fn call_target(request: &HttpRequest, state: &EntryState) -> Result<CallTarget, HttpResponse> {
    let Some(config) = state.board.config() else {
        return Err(rejected(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration yet",
        ));
    };
    let Some(account) = authenticate(request, &config) else {
        let reason = "bearer token is missing or unknown";
        return Err(rejected(StatusCode::UNAUTHORIZED, reason));
    };
    let name = request.match_info().get("service").unwrap_or_default();
    let service = name.parse::<ServiceId>().map(|service| service.key());
    let registered = service.ok().filter(|key| config.services.contains_key(key));
    let Some(service) = registered else {
        return Err(rejected(
            StatusCode::NOT_FOUND,
            "service is not in the register",
        ));
    };
    Ok(CallTarget {
        account: account.id.key(),
        service,
        max_body: config.bundle.rules.max_body.0 as usize,
        service_timeout: config.bundle.rules.service_answer.0,
    })
}

async fn request_ticket(
    state: &EntryState,
    target: CallTarget,
) -> Result<CallTicket, HttpResponse> {
    let CallTarget {
        account, service, ..
    } = target;
    let minted = state
        .control
        .request(|reply| {
            ControlEvent::Mint(TicketRequest {
                account,
                service,
                reply,
            })
        })
        .await;
    let refuse = |status, reason| Err(not_run(status, reason));
    match minted {
        Some(Ok(ticket)) => Ok(ticket),
        Some(Err(MintRefusal::TooMany)) => {
            refuse(StatusCode::TOO_MANY_REQUESTS, "too many unexpired tickets")
        }
        Some(Err(MintRefusal::Sealed)) | None => {
            refuse(StatusCode::SERVICE_UNAVAILABLE, "draining")
        }
    }
}

fn respond(record: &CallRecord) -> HttpResponse {
    let status = StatusCode::from_u16(record.status).unwrap_or(StatusCode::BAD_GATEWAY);
    HttpResponse::build(status)
        .header(HEADER_OUTCOME, record.outcome.to_string())
        .body(ntex::util::Bytes::copy_from_slice(&record.body))
}
