//! Parts of a configuration that are left out while the rest is in force.

use std::fmt;

/// What an item of a configuration describes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ItemKind {
    Route,
    Service,
    Account,
    Limits,
}

impl ItemKind {
    pub const ALL: [Self; 4] = [Self::Route, Self::Service, Self::Account, Self::Limits];

    /// The kind in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Service => "service",
            Self::Account => "account",
            Self::Limits => "limits",
        }
    }
}

/// An item that can't be used as its author meant it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnusableItem {
    pub kind: ItemKind,
    /// Place in the document, down to the field if one is at fault.
    pub place: String,
    /// Name of the item; `None` if it can't be read.
    pub name: Option<String>,
    pub reason: String,
}

impl fmt::Display for UnusableItem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.reason)?;
        match &self.name {
            Some(name) => write!(f, ", in {name:?}"),
            None => Ok(()),
        }
    }
}
