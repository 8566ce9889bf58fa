//! An attempt, as log lines show it: the choice of its upstream and what it left unfinished.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;

use crate::fleet::software_version::SoftwareVersion;
use crate::ids::UpstreamId;

/// The choice of an upstream for an attempt. `Display` writes the value of the log
/// key `choice`.
#[derive(Clone, Debug)]
pub struct ChoiceRecord {
    pub upstream: UpstreamId,
    /// Version of the upstream's software.
    pub version: SoftwareVersion,
    /// Estimated load of the upstream when it was chosen, in calls.
    pub load: f64,
    /// Age of the list of upstreams, in milliseconds.
    pub view_age_ms: u64,
    /// Whether the attempt reused an idle connection.
    pub reused: Cell<bool>,
    /// The upstream from which the chosen one may copy cached parts of the prompt.
    pub cache_source: Option<SocketAddr>,
    /// Bytes of an unfinished event that had arrived when the attempt failed. Not part of the key
    /// `choice`.
    pub partial_bytes: Cell<usize>,
}

impl fmt::Display for ChoiceRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let link = if self.reused.get() { "kept" } else { "new" };
        write!(f, "{},load:{:.0},", self.upstream, self.load)?;
        write!(f, "belief-ms:{},link:{link}", self.view_age_ms)?;
        if let Some(source) = self.cache_source {
            write!(f, ",source:{source}")?;
        }
        write!(f, ",version:{}", self.version)
    }
}
