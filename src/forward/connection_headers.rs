//! Headers that apply to a single connection and are not forwarded.

use http::header::{CONNECTION, HeaderMap, HeaderName};

/// Returns the connection options: the header names and tokens listed in `Connection`, in lower
/// case.
pub fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .collect()
}

/// Returns whether a header is hop-by-hop, or is generated for each connection like
/// `Content-Length`.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "content-length"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
    )
}
