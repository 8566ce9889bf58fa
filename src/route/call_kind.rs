//! The kinds of calls, which determine whether a call may be retried.

/// The kind of the calls of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// The call may run any number of times.
    Idempotent,
    /// The call must run at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream {
        /// Whether another upstream can continue the stream after the last event sent.
        resumable: bool,
    },
}

impl CallKind {
    /// Returns whether the call may be sent again although it may have run.
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns the name of the kind in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non-idempotent",
            Self::Stream { resumable: true } => "resumable-stream",
            Self::Stream { resumable: false } => "stream",
        }
    }
}
