//! Detects response heads that consist of the start of one head and a complete other one.

use http::{HeaderValue, Response};
use hyper::ext::ReasonPhrase;

/// Length of a status line without its reason: `HTTP/1.1 200`.
const STATUS_LINE_BYTES: usize = 12;

/// Returns whether an upstream broke off a head and sent another one after it. The second status line
/// then stands in the reason phrase or in a header's value; at other places it is no valid HTTP.
pub fn is_spliced<B>(response: &Response<B>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>();
    let values = response.headers().values().map(HeaderValue::as_bytes);
    values
        .chain(reason.map(ReasonPhrase::as_bytes))
        .any(contains_status_line)
}

fn contains_status_line(text: &[u8]) -> bool {
    text.windows(STATUS_LINE_BYTES).any(|line| {
        line.starts_with(b"HTTP/1.")
            && line[7].is_ascii_digit()
            && line[8] == b' '
            && line[9..].iter().all(u8::is_ascii_digit)
    })
}
