//! What decided the choice of an upstream, for the log.

use std::fmt;
use std::net::SocketAddr;

use crate::ids::UpstreamId;

/// What decided the choice of an upstream.
#[derive(Clone, Debug)]
pub struct ChoiceNote {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its load as this router knew it.
    pub load: f64,
    /// Age of the list of upstreams.
    pub belief_ms: u64,
    /// Whether a kept connection was used.
    pub kept: bool,
    /// Where it was to copy parts of the prompt from.
    pub source: Option<SocketAddr>,
}

impl fmt::Display for ChoiceNote {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let link = if self.kept { "kept" } else { "new" };
        write!(f, "{},load:{:.0},", self.upstream, self.load)?;
        write!(f, "belief-ms:{},link:{link}", self.belief_ms)?;
        match self.source {
            Some(source) => write!(f, ",source:{source}"),
            None => Ok(()),
        }
    }
}
