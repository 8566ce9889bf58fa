//! Decides from an upstream's response head whether the response goes to the caller or the attempt
//! counts as failed.

use std::ops::RangeInclusive;

use crate::policy::call_attempts::AttemptFault;

/// Misdirected Request: another upstream has taken over the address.
const MISDIRECTED_REQUEST: u16 = 421;

/// Switching Protocols, which the router never requests. The HTTP library skips other statuses
/// below 200.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Statuses of HTTP. The HTTP library reads any from 100 to 999.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Statuses that suggest that the call did not run. Only the upstream's explicit "not executed"
/// mark proves it.
const UNPROVEN_REFUSALS: [u16; 3] = [408, 429, 503];

/// Returns whether a status is one of HTTP. A response with another one comes from an upstream that
/// fails: it is no answer, and the call may have run.
pub fn is_http_status(status: u16) -> bool {
    STATUSES.contains(&status)
}

/// The kind of body that a response head announces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyKind {
    /// A stream of events, or a body of unknown kind.
    Events,
    /// Anything else.
    Other,
}

/// The kind of body that can go to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExpectedBody {
    /// Any: the caller has received nothing yet.
    Any,
    /// More events: the caller has received a part of a stream.
    MoreEvents,
}

/// What shows that a response belongs to the call that was sent last on its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseOrigin {
    /// The response repeats the id of the call.
    SameId,
    /// The response has no id, and no other call was sent on the connection.
    OnlyCall,
    /// Nothing: the response has the id of another call, its head is spliced from two, or it has no
    /// id and may be a late one to an earlier call on the connection.
    Unproven,
}

impl ResponseOrigin {
    /// `id_matches` tells whether the id in the response is that of the call, `None` if there is no
    /// id; `is_first_call` whether the call is the first on the connection.
    pub fn new(id_matches: Option<bool>, is_first_call: bool) -> Self {
        match id_matches {
            Some(true) => Self::SameId,
            None if is_first_call => Self::OnlyCall,
            _ => Self::Unproven,
        }
    }
}

/// The properties of a response head that [`check_response_head`] examines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseHeadSummary {
    /// HTTP status code.
    pub status: u16,
    /// Whether the body has a content or transfer encoding that the router never requests.
    pub encoded: bool,
    /// Whether the upstream marked the call as not executed.
    pub not_executed: bool,
    /// Whether the response carries the upstream's stamp, which confirms that the upstream sent it.
    pub stamped: bool,
    /// Whether the response belongs to this call.
    pub origin: ResponseOrigin,
    /// The kind of body, as far as the head says.
    pub body: BodyKind,
    /// The kind of body that can go to the caller.
    pub expected: ExpectedBody,
}

impl ResponseHeadSummary {
    /// Returns whether the response is this upstream's response to this request, so that what it
    /// says about the upstream holds now. A late one may be older than what is known.
    pub fn is_current(self) -> bool {
        self.status != MISDIRECTED_REQUEST && self.origin != ResponseOrigin::Unproven
    }
}

/// Returns `Ok` if the response may be passed to the caller, otherwise the fault of the attempt.
///
/// `can_retry` tells whether another upstream may run the call instead.
pub fn check_response_head(head: ResponseHeadSummary, can_retry: bool) -> Result<(), AttemptFault> {
    // Also a refusal proves nothing about a call that it doesn't belong to.
    if head.origin == ResponseOrigin::Unproven || head.status == SWITCHING_PROTOCOLS {
        return Err(AttemptFault::BadAnswer);
    }
    if head.status == MISDIRECTED_REQUEST {
        return Err(AttemptFault::WrongInstance);
    }
    if head.not_executed {
        return Err(AttemptFault::NotExecuted);
    }
    if head.encoded {
        return Err(AttemptFault::BadAnswer);
    }
    let is_success = (200..300).contains(&head.status);
    if head.expected == ExpectedBody::MoreEvents {
        if !is_success {
            return Err(AttemptFault::Failed(head.status));
        }
        if head.body == BodyKind::Other {
            return Err(AttemptFault::BadAnswer);
        }
    }
    if is_success {
        let complete = head.origin == ResponseOrigin::SameId && head.stamped;
        return if complete {
            Ok(())
        } else {
            Err(AttemptFault::BadAnswer)
        };
    }
    if UNPROVEN_REFUSALS.contains(&head.status) || (head.status >= 500 && can_retry) {
        return Err(AttemptFault::Failed(head.status));
    }
    Ok(())
}
