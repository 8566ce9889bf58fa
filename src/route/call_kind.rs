//! What may be repeated.

/// Kind of the calls of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// May run any number of times.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// Answers with a stream of events.
    Stream {
        /// A second engine may go on after the last event sent.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a call that may have run may be sent again.
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// The name of the kind in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non-idempotent",
            Self::Stream { resumable: true } => "resumable-stream",
            Self::Stream { resumable: false } => "stream",
        }
    }
}
