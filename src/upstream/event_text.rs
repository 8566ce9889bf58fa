//! Encodes the server-sent events that callers receive.

use bytes::Bytes;
use serde::Serialize;

/// The data of an error event.
#[derive(Serialize)]
struct ErrorData<'a> {
    outcome: &'a str,
    reason: &'a str,
    events: u64,
}

/// The data of an end marker.
#[derive(Serialize)]
struct EndData {
    events: u64,
}

/// Encodes an event with a part of a response. `sequence` is its position in the response.
pub fn content_event(sequence: u64, data: &str) -> Bytes {
    let mut text = format!("id: {sequence}\n");
    for line in data.split('\n') {
        text.push_str("data: ");
        text.push_str(line);
        text.push('\n');
    }
    text.push('\n');
    Bytes::from(text)
}

/// Encodes the marker at the end of a complete response of `events` events.
pub fn end_event(events: u64) -> Bytes {
    named_event("end", &EndData { events })
}

/// Encodes the event that ends a response which was interrupted after `events` events.
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

/// Encodes a comment that shows the caller that the connection is alive.
pub fn ping_comment() -> Bytes {
    Bytes::from_static(b": ping\n\n")
}

fn named_event<T: Serialize>(name: &str, data: &T) -> Bytes {
    // Serialising structs of strings and integers can't fail.
    let data = serde_json::to_string(data).unwrap_or_default();
    Bytes::from(format!("event: {name}\ndata: {data}\n\n"))
}
