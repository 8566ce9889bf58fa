//! Errors of the product. Each names the step and, where there is one, the peer.

use std::fmt;
use std::path::PathBuf;

/// A value that does not have the form its type asks for.
#[derive(Clone, Debug, thiserror::Error)]
#[error("found {found:?}, expected {expected}")]
pub struct ValueError {
    found: String,
    expected: &'static str,
}

impl ValueError {
    /// An error for the text `found` where `expected` describes the right form.
    pub fn new(found: &str, expected: &'static str) -> Self {
        Self {
            found: found.chars().take(80).collect(),
            expected,
        }
    }
}

/// What was being done when an error arose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepName {
    /// Opening a listening socket.
    Listen,
    /// Opening a connection.
    Connect,
    /// Sending a request.
    Send,
    /// Waiting for the first event or the head of an answer.
    FirstEvent,
    /// Waiting between events.
    NextEvent,
    /// Reading a frame of the peer protocol.
    PeerFrame,
    /// Proving the fleet key to a peer.
    PeerProof,
    /// Reading from the configuration service.
    ConfigRead,
    /// Reading the list of VMs.
    VmList,
    /// Reading an engine's load report.
    LoadReport,
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Listen => "listen",
            Self::Connect => "connect",
            Self::Send => "send",
            Self::FirstEvent => "first-event",
            Self::NextEvent => "next-event",
            Self::PeerFrame => "peer-frame",
            Self::PeerProof => "peer-proof",
            Self::ConfigRead => "config-read",
            Self::VmList => "vm-list",
            Self::LoadReport => "load-report",
        })
    }
}

/// An error of the router fleet.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// A file could not be read or written.
    #[error("{}: {cause}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        cause: std::io::Error,
    },
    /// A document has a wrong form or value.
    #[error("{file}:{line}: {field}: {problem}")]
    Document {
        /// The document's name.
        file: String,
        /// Line from 1, or 0 where no line is known.
        line: usize,
        /// The key at fault.
        field: String,
        /// What was found and what was expected.
        problem: String,
    },
    /// A conversation with another process failed.
    #[error("step={step} peer={peer}: {cause}")]
    Step {
        /// What was being done.
        step: StepName,
        /// With whom.
        peer: String,
        /// Why it failed.
        cause: anyhow::Error,
    },
    /// The command line or its arguments are wrong.
    #[error("{0}")]
    Usage(String),
    /// A command did its work and the answer is no.
    #[error("{0}")]
    Failed(String),
}

impl RouterError {
    /// An error at `step` with `peer`.
    pub fn step<P: fmt::Display, E: Into<anyhow::Error>>(
        step: StepName,
        peer: P,
        cause: E,
    ) -> Self {
        Self::Step {
            step,
            peer: peer.to_string(),
            cause: cause.into(),
        }
    }

    /// An error at `step` with `peer` described by `text`.
    pub fn step_text<P: fmt::Display>(step: StepName, peer: P, text: &str) -> Self {
        Self::step(step, peer, anyhow::Error::msg(text.to_owned()))
    }

    /// The exit code of a process that ends with this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            _ => 1,
        }
    }
}

/// Result of a step that may fail with a [`RouterError`].
pub type RouterResult<T> = Result<T, RouterError>;
