//! Interface to the store that contains the configuration and the entries of upstreams.

use std::fmt;
use std::time::Duration;

use crate::fleet::store_view::{StoreChange, StoreItem, StoreRevision};

/// Why a request to the store failed.
#[derive(Debug)]
pub enum StoreFault {
    /// The store has discarded the requested changes; all documents must be read again.
    HistoryLost,
    /// The store refused the request, did not respond, or its response was invalid.
    Failed(anyhow::Error),
}

impl fmt::Display for StoreFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryLost => f.write_str("the store has discarded the requested changes"),
            Self::Failed(error) => write!(f, "{error:#}"),
        }
    }
}

/// Changes after a revision of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreChanges {
    /// The changes, in the order of their revisions.
    pub changes: Vec<StoreChange>,
    /// The revision up to which the changes are complete.
    pub revision: StoreRevision,
}

/// A page of documents, in the order of their keys.
#[derive(Clone, Debug, Default)]
pub struct StorePage {
    pub items: Vec<StoreItem>,
    /// Revision of the store when the page was read.
    pub revision: StoreRevision,
    /// Whether documents with larger keys follow.
    pub more: bool,
}

/// A client of the store that reads documents and watches for changes.
pub trait StoreSource: Send + 'static {
    /// Reads the first documents whose keys are larger than `after`.
    fn page(&mut self, after: &str) -> impl Future<Output = Result<StorePage, StoreFault>>;

    /// Waits for changes after a revision. Returns without changes if there are none within `wait`.
    fn watch(
        &mut self,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreChanges, StoreFault>>;
}
