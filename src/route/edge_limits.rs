//! Limits on client requests and connections.

use std::time::Duration;

use crate::units::ByteSize;

/// Limits on requests and on the connections that carry them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EdgeLimits {
    /// Maximum size of a request head.
    pub head_bytes: ByteSize,
    /// Maximum size of a request body.
    pub body_bytes: ByteSize,
    /// Time within which a caller must send the request head.
    pub head_timeout: Duration,
    /// Time for which a connection without a request stays open.
    pub idle_timeout: Duration,
}

impl Default for EdgeLimits {
    /// The limits of callers' connections while no configuration is in force. The other listeners
    /// always use them.
    fn default() -> Self {
        Self {
            head_bytes: ByteSize(16 << 10),
            body_bytes: ByteSize(4 << 20),
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
