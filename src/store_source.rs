//! Interface to the store that contains the configuration and the entries of upstreams.

use std::fmt;
use std::time::Duration;

use crate::fleet::store_stamp::{StoreEra, StoreStamp};
use crate::fleet::store_view::{StoreChange, StoreItem};

/// Why a request to the store failed.
#[derive(Debug)]
pub enum StoreFault {
    /// The store has discarded the requested changes; all documents must be read again.
    HistoryLost,
    /// The connection closed while the store had nothing to report.
    WatchCut(anyhow::Error),
    /// The store refused the request, did not respond, or its response was invalid.
    Failed(anyhow::Error),
}

impl fmt::Display for StoreFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryLost => f.write_str("the store has discarded the requested changes"),
            Self::WatchCut(error) | Self::Failed(error) => write!(f, "{error:#}"),
        }
    }
}

/// The outcome of a request to the store.
#[derive(Debug)]
pub struct StoreAnswer<T> {
    /// Era of the store according to its response; the last known one if there is no response or
    /// it names none.
    pub era: StoreEra,
    pub result: Result<T, StoreFault>,
}

impl<T> StoreAnswer<T> {
    /// Converts the content of a response.
    pub fn and_then<U, F>(self, convert: F) -> StoreAnswer<U>
    where
        F: FnOnce(T) -> Result<U, StoreFault>,
    {
        StoreAnswer {
            era: self.era,
            result: self.result.and_then(convert),
        }
    }
}

/// Changes after a state of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreChanges {
    /// The changes, in the order of their revisions.
    pub changes: Vec<StoreChange>,
    /// The state of the store up to which the changes are complete.
    pub stamp: StoreStamp,
}

/// A page of documents, in the order of their keys.
#[derive(Clone, Debug, Default)]
pub struct StorePage {
    pub items: Vec<StoreItem>,
    /// State of the store when the page was read.
    pub stamp: StoreStamp,
    /// Whether documents with larger keys follow.
    pub more: bool,
}

/// A client of the store that reads documents and watches for changes.
pub trait StoreSource: Send + 'static {
    /// Reads the first documents whose keys are larger than `after`. `known` is the last known era.
    fn page(
        &mut self,
        after: &str,
        known: StoreEra,
    ) -> impl Future<Output = StoreAnswer<StorePage>>;

    /// Reads the newest state of the store. `known` is the last known era.
    fn newest(&mut self, known: StoreEra) -> impl Future<Output = StoreAnswer<StoreStamp>>;

    /// Waits for changes after a state. Returns without changes if there are none within `wait`. The
    /// era of `after` is the last known one.
    fn watch(
        &mut self,
        after: StoreStamp,
        wait: Duration,
    ) -> impl Future<Output = StoreAnswer<StoreChanges>>;
}
