//! The upstream side of a response that is being read.

use std::time::Duration;

use hyper::body::Incoming;

use crate::dialect::EdgeDialect;
use crate::forward::event_reader::EventReader;
use crate::forward::http_connection::HttpConnection;
use crate::forward::traffic_state::UpstreamGuard;
use crate::forward::upstream_response::ConnectionReuse;

/// What one attempt reads its response from. It is dropped with the attempt, so that no bytes of a
/// failed response can reach the next one.
pub struct StreamSource<D: EdgeDialect> {
    /// Counts the call at its upstream while the response is read.
    pub guard: UpstreamGuard<D>,
    pub connection: HttpConnection,
    pub body: Incoming,
    /// Whether the connection may be reused once the body is read.
    pub reuse: ConnectionReuse,
    /// Splits the body into events, if it is a stream.
    pub reader: EventReader,
    /// How long the call has waited for bytes since the last event. Comments do not end the wait.
    pub waited: Duration,
    /// Whether the end of the body can be told without the end of the connection.
    pub is_framed: bool,
}
