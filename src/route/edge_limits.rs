//! Bounds on what a caller may send.

use std::time::Duration;

use crate::units::ByteSize;

/// Bounds on requests and on the connections that carry them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EdgeLimits {
    /// Largest request head.
    pub head_bytes: ByteSize,
    /// Largest request body.
    pub body_bytes: ByteSize,
    /// Longest time to send a head.
    pub head_timeout: Duration,
    /// Longest time that a connection stays open without a request.
    pub idle_timeout: Duration,
}
