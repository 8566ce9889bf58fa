//! The text of server-sent events towards callers.

use bytes::Bytes;
use serde::Serialize;

/// What an error event says.
#[derive(Serialize)]
struct ErrorData<'a> {
    outcome: &'a str,
    reason: &'a str,
    events: u64,
}

/// What the end marker says.
#[derive(Serialize)]
struct EndData {
    events: u64,
}

/// An event of an answer.
pub fn answer_event(sequence: u64, data: &str) -> Bytes {
    let mut text = format!("id: {sequence}\n");
    for line in data.split('\n') {
        text.push_str("data: ");
        text.push_str(line);
        text.push('\n');
    }
    text.push('\n');
    Bytes::from(text)
}

/// The marker at the end of a whole answer of `events` events.
pub fn end_event(events: u64) -> Bytes {
    named_event("end", &EndData { events })
}

/// The marker at the end of an answer that was cut after `events` events.
pub fn error_event(outcome: &str, reason: &str, events: u64) -> Bytes {
    named_event(
        "error",
        &ErrorData {
            outcome,
            reason,
            events,
        },
    )
}

/// A comment that shows the caller that the connection lives.
pub fn ping_comment() -> Bytes {
    Bytes::from_static(b": ping\n\n")
}

fn named_event<T: Serialize>(name: &str, data: &T) -> Bytes {
    // Serialising plain data to a string has no way to fail.
    let data = serde_json::to_string(data).unwrap_or_default();
    Bytes::from(format!("event: {name}\ndata: {data}\n\n"))
}
