//! Version of an upstream's software, as its entry in the store names it.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{ServiceId, VersionTag};

/// The version of an upstream's software. Versions have no order; two are the same if all of their
/// characters are.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// The tag of this version of `service`. Versions of two services differ even if their names
    /// are equal.
    pub fn tag(&self, service: &ServiceId) -> VersionTag {
        VersionTag(xxh3_64_with_seed(self.0.as_bytes(), service.key().0))
    }
}

impl fmt::Display for SoftwareVersion {
    /// Writes the version for a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.escape_debug().fmt(f)
    }
}

impl FromStr for SoftwareVersion {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}
