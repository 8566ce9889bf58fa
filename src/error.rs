//! Error types of the routers, the locator and the command-line tools.

use std::fmt;
use std::path::PathBuf;

/// A text that can't be parsed as a value of the expected type.
#[derive(Clone, Debug, thiserror::Error)]
#[error("found {found:?}, expected {expected}")]
pub struct ValueError {
    found: String,
    expected: &'static str,
}

impl ValueError {
    /// Creates an error for the text `found`, of which it keeps at most 80 characters. `expected`
    /// describes the valid form.
    pub fn new(found: &str, expected: &'static str) -> Self {
        Self {
            found: found.chars().take(80).collect(),
            expected,
        }
    }
}

/// The operation that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepName {
    /// Opening a listening socket.
    Listen,
    /// Opening a connection.
    Connect,
    /// Sending a request.
    Send,
    /// Waiting for the first event or the head of a response.
    FirstEvent,
    /// Waiting for a further event of a response.
    NextEvent,
    /// Reading a frame of the peer protocol.
    PeerFrame,
    /// Authenticating to a peer with the fleet key.
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

#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// A file could not be read or written.
    #[error("{}: {cause}", path.display())]
    File {
        path: PathBuf,
        cause: std::io::Error,
    },
    /// A document can't be parsed or contains an invalid value.
    #[error("{file}:{line}: {field}: {problem}")]
    Document {
        /// The path or another name of the document.
        file: String,
        /// Line number from 1, or 0 if it is unknown.
        line: usize,
        /// The key of the invalid value.
        field: String,
        /// What was found and what was expected.
        problem: String,
    },
    /// An operation on the network or an exchange with another process failed.
    #[error("step={step} peer={peer}: {cause}")]
    Step {
        step: StepName,
        /// The address or name of the other side, or of the local resource for
        /// [`StepName::Listen`].
        peer: String,
        cause: anyhow::Error,
    },
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// A command ran and its result is negative, for example because a checked file has faults.
    #[error("{0}")]
    Failed(String),
}

impl RouterError {
    /// Creates a [`Self::Step`] error.
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

    /// Creates a [`Self::Step`] error whose cause is `text`.
    pub fn step_text<P: fmt::Display>(step: StepName, peer: P, text: &str) -> Self {
        Self::step(step, peer, anyhow::Error::msg(text.to_owned()))
    }

    /// Returns the exit code of a process that ends with this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            _ => 1,
        }
    }
}

pub type RouterResult<T> = Result<T, RouterError>;
