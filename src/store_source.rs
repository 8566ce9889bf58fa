//! Where the configuration and the entries of upstreams come from.

use std::fmt;

use crate::fleet::store_view::{StoreChange, StoreItem, StoreRevision};

/// Why the store gave no answer.
#[derive(Debug)]
pub enum StoreFault {
    /// It has discarded the changes that were asked for.
    HistoryLost,
    /// It refused, was silent, or its answer was unusable.
    Failed(anyhow::Error),
}

impl fmt::Display for StoreFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryLost => f.write_str("history lost"),
            Self::Failed(error) => write!(f, "{error:#}"),
        }
    }
}

/// Changes, complete up to a revision.
#[derive(Clone, Debug, Default)]
pub struct StoreChanges {
    /// The changes, in order.
    pub changes: Vec<StoreChange>,
    /// The revision up to which they are complete.
    pub revision: StoreRevision,
}

/// Some documents, in the order of their keys.
#[derive(Clone, Debug, Default)]
pub struct StorePage {
    /// The documents.
    pub items: Vec<StoreItem>,
    /// The store's revision when it gave them.
    pub revision: StoreRevision,
    /// Whether documents with larger keys follow.
    pub more: bool,
}

/// A store that can be read and watched.
pub trait StoreSource: Send + 'static {
    /// Reads documents whose keys are larger than `after`.
    fn page(&mut self, after: &str) -> impl Future<Output = Result<StorePage, StoreFault>>;

    /// Waits for changes after a revision; without any, the news are empty after some time.
    fn watch(
        &mut self,
        after: StoreRevision,
    ) -> impl Future<Output = Result<StoreChanges, StoreFault>>;
}
