//! Responses with a JSON body, sent when there is no stream of events.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;

use crate::policy::refusal::WorkRefusal;

/// The JSON body of a response.
#[derive(Serialize)]
struct OutcomeBody<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<&'a str>,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<String>,
}

/// Returns the response to a request that was refused before it ran, with a `retry-after` header.
pub fn refused(refusal: &WorkRefusal) -> HttpResponse {
    let seconds = refusal.retry_after.as_secs_f64().ceil().max(1.0);
    HttpResponse::ServiceUnavailable()
        .header("retry-after", seconds.to_string())
        .json(&OutcomeBody {
            outcome: Some("not_run"),
            reason: &refusal.reason.to_string(),
            ticket: None,
        })
}

/// Returns the response to a request that was rejected before it ran, with the outcome `not_run`.
pub fn not_run(status: StatusCode, reason: &str) -> HttpResponse {
    HttpResponse::build(status).json(&OutcomeBody {
        outcome: Some("not_run"),
        reason,
        ticket: None,
    })
}

/// Returns the response to a rejected call to a service. It has no outcome, because the call's
/// ticket may have been spent by an earlier request.
pub fn rejected(status: StatusCode, reason: &str) -> HttpResponse {
    HttpResponse::build(status).json(&OutcomeBody {
        outcome: None,
        reason,
        ticket: None,
    })
}

/// Returns the response to a call without a ticket, with a new ticket to repeat the call with.
pub fn ticket_needed(ticket: String) -> HttpResponse {
    HttpResponse::build(StatusCode::PRECONDITION_REQUIRED).json(&OutcomeBody {
        outcome: Some("not_run"),
        reason: "ticket needed",
        ticket: Some(ticket),
    })
}

/// Returns the response to a request for a ticket.
pub fn minted(ticket: String) -> HttpResponse {
    HttpResponse::Created().json(&OutcomeBody {
        outcome: None,
        reason: "minted",
        ticket: Some(ticket),
    })
}
