//! Follows the store and reports what it says.

use std::time::Duration;

use rand::RngExt;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use crate::fleet::store_belief::{StoreRevision, StoreSnapshot};
use crate::store_source::{StoreFault, StoreNews, StoreSource};

/// Wait after the first failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// Longest wait after a failure: changes must be in force within two seconds of the store's
/// return.
const LAST_BACKOFF: Duration = Duration::from_millis(600);

/// Pause after changes, so that a burst costs few calls: with the answer of a slow store, a quarter
/// of a second, still well below the two seconds within which a change must be in force.
const NEWS_PAUSE: Duration = Duration::from_millis(450);

/// Pause before everything is read anew, so that a store that keeps losing its history is not
/// asked without end.
const HISTORY_PAUSE: Duration = Duration::from_millis(50);

/// What the store said.
#[derive(Debug)]
pub enum StoreWord {
    /// All documents.
    Snapshot(StoreSnapshot),
    /// Changes.
    News(StoreNews),
    /// The changes that were asked for are no longer there.
    HistoryLost,
    /// No answer.
    Failed(anyhow::Error),
}

/// Follows the store until the receiver is gone. `known` tells up to which revision everything
/// is known, from whatever source; a change of `restart` drops a pending wait.
pub async fn follow_store<S: StoreSource>(
    mut source: S,
    words: UnboundedSender<StoreWord>,
    mut restart: watch::Receiver<u64>,
) {
    let mut after: Option<StoreRevision> = None;
    let mut backoff = FIRST_BACKOFF;
    loop {
        let read = async {
            match after {
                None => source.snapshot().await.map(StoreWord::Snapshot),
                Some(revision) => source.news(revision).await.map(StoreWord::News),
            }
        };
        let result = tokio::select! {
            result = read => result,
            changed = restart.changed() => {
                if changed.is_err() {
                    return;
                }
                // The process was paused: what was asked before it may never be answered.
                after = None;
                continue;
            }
        };
        let (word, pause) = match result {
            Ok(word) => {
                backoff = FIRST_BACKOFF;
                let mut pause = Duration::ZERO;
                match &word {
                    StoreWord::Snapshot(snapshot) => after = Some(snapshot.revision),
                    StoreWord::News(news) => {
                        after = after.max(Some(news.revision));
                        if !news.changes.is_empty() {
                            pause = NEWS_PAUSE;
                        }
                    }
                    StoreWord::HistoryLost | StoreWord::Failed(_) => {}
                }
                (word, pause)
            }
            Err(StoreFault::HistoryLost) => {
                after = None;
                (StoreWord::HistoryLost, HISTORY_PAUSE)
            }
            Err(StoreFault::Failed(error)) => {
                let pause = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
                backoff = (backoff * 2).min(LAST_BACKOFF);
                (StoreWord::Failed(error), pause)
            }
        };
        if words.send(word).is_err() {
            return;
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}
