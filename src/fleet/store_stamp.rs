//! Order of the states of a store that may be restored from an older copy.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Number of times that the store was restored from an older copy. A store that doesn't count them
/// stays in era zero.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StoreEra {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Revision of the store, which increases with each change within one era.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreRevision(pub u64);

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StoreRevision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A state of the store. A later era comes after all revisions of an earlier one, since a restored
/// store gives out revisions again. The default comes before every state.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreStamp {
    // The order of the fields is that of the comparison.
    pub era: StoreEra,
    pub revision: StoreRevision,
}

impl StoreStamp {
    /// Creates the stamp of a revision in an era.
    pub fn new(era: u64, revision: u64) -> Self {
        Self {
            era: StoreEra(era),
            revision: StoreRevision(revision),
        }
    }
}

impl fmt::Display for StoreStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// A text that is not an era and a revision with a dot between them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StampError;

impl fmt::Display for StampError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not an era and a revision")
    }
}

impl std::error::Error for StampError {}

impl FromStr for StoreStamp {
    type Err = StampError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once('.').ok_or(StampError)?;
        Ok(Self {
            era: era.parse().map_err(|_| StampError)?,
            revision: revision.parse().map_err(|_| StampError)?,
        })
    }
}
