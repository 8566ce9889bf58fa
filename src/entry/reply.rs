//! Answers that are not a stream.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;

use crate::policy::refusal::WorkRefusal;

/// Body of an answer that says what became of a request.
#[derive(Serialize)]
struct OutcomeBody<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<&'a str>,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<String>,
}

/// An answer that says that the request did not run, and when to try again.
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

/// An answer to a request that is wrong and did not run.
pub fn not_run(status: StatusCode, reason: &str) -> HttpResponse {
    HttpResponse::build(status).json(&OutcomeBody {
        outcome: Some("not_run"),
        reason,
        ticket: None,
    })
}

/// An answer to a ticketed request that is wrong. It says nothing of the ticket, which may have
/// been spent before.
pub fn rejected(status: StatusCode, reason: &str) -> HttpResponse {
    HttpResponse::build(status).json(&OutcomeBody {
        outcome: None,
        reason,
        ticket: None,
    })
}

/// An answer that asks the caller to come back with the ticket that it carries.
pub fn ticket_needed(ticket: String) -> HttpResponse {
    HttpResponse::build(StatusCode::PRECONDITION_REQUIRED).json(&OutcomeBody {
        outcome: Some("not_run"),
        reason: "ticket needed",
        ticket: Some(ticket),
    })
}

/// An answer with a ticket.
pub fn minted(ticket: String) -> HttpResponse {
    HttpResponse::Created().json(&OutcomeBody {
        outcome: None,
        reason: "minted",
        ticket: Some(ticket),
    })
}
