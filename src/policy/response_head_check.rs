//! Whether the head of an upstream's answer is one to pass on.

use crate::policy::call_attempts::AttemptFault;

/// Another upstream has the address.
const WRONG_INSTANCE: u16 = 421;

/// Statuses that say that the call did not run, which only a mark proves.
const UNPROVED: [u16; 3] = [408, 429, 503];

/// What the head of an answer shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseHeadSummary {
    /// The status.
    pub status: u16,
    /// The body is encoded, which nobody asked for.
    pub encoded: bool,
    /// The upstream says that it did not run the call.
    pub not_executed: bool,
    /// The upstream vouches for the answer.
    pub signed: bool,
    /// Whether the answer names this request; none if it names no request.
    pub id_matches: Option<bool>,
}

/// Judges an answer; `elsewhere` tells whether another upstream may run the call instead.
pub fn check_response_head(
    sight: ResponseHeadSummary,
    elsewhere: bool,
) -> Result<(), AttemptFault> {
    if sight.status == WRONG_INSTANCE {
        return Err(AttemptFault::WrongInstance);
    }
    if sight.id == Some(false) {
        return Err(AttemptFault::BadAnswer);
    }
    if sight.not_executed {
        return Err(AttemptFault::NotExecuted);
    }
    if sight.encoded {
        return Err(AttemptFault::BadAnswer);
    }
    if (200..300).contains(&sight.status) {
        let whole = sight.id.is_some() && sight.signed;
        return if whole {
            Ok(())
        } else {
            Err(AttemptFault::BadAnswer)
        };
    }
    if UNPROVED.contains(&sight.status) || (sight.status >= 500 && elsewhere) {
        return Err(AttemptFault::Failed(sight.status));
    }
    Ok(())
}
