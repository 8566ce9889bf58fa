//! Follows the store and reports what it says.

use std::pin::pin;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::fleet::store_view::{StoreRevision, StoreSnapshot};
use crate::store_source::{StoreChanges, StoreFault, StoreSource};

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
    News(StoreChanges),
    /// The changes that were asked for are no longer there.
    HistoryLost,
    /// No answer.
    Failed(anyhow::Error),
}

/// What the control thread learned elsewhere.
#[derive(Clone, Copy, Debug)]
pub enum StoreNudge {
    /// The process was paused: what was asked before it may never be answered.
    Restart,
    /// A peer told everything up to this revision, to a router that knew nothing.
    Known(StoreRevision),
}

/// How far the store is known.
#[derive(Debug)]
enum StorePosition {
    /// Pages are read, these so far.
    Reading(StoreSnapshot),
    /// Everything up to this revision is known.
    Following(StoreRevision),
}

impl StorePosition {
    fn start() -> Self {
        Self::Reading(StoreSnapshot::default())
    }

    fn after(nudge: StoreNudge) -> Self {
        match nudge {
            StoreNudge::Restart => Self::start(),
            StoreNudge::Known(revision) => Self::Following(revision),
        }
    }

    /// Asks for what is unknown; none while more pages follow. Pages that were read stay: a store
    /// that is too busy for all routers that start at once would never give one of them all.
    async fn ask<S: StoreSource>(
        &mut self,
        source: &mut S,
    ) -> Result<Option<StoreWord>, StoreFault> {
        match self {
            Self::Following(revision) => {
                let news = source.watch(*revision).await?;
                *revision = news.revision.max(*revision);
                Ok(Some(StoreWord::News(news)))
            }
            Self::Reading(snapshot) => {
                let after = snapshot.items.last().map_or("", |item| item.key.as_str());
                let page = source.page(after).await?;
                if snapshot.items.is_empty() {
                    // Pages are read at different times: changes since the first come as news.
                    snapshot.revision = page.revision;
                }
                let more = page.more && !page.items.is_empty();
                snapshot.items.extend(page.items);
                if more {
                    return Ok(None);
                }
                let snapshot = std::mem::take(snapshot);
                *self = Self::Following(snapshot.revision);
                Ok(Some(StoreWord::Snapshot(snapshot)))
            }
        }
    }
}

/// Follows the store until the receiver is gone.
pub async fn follow_store<S: StoreSource>(
    mut source: S,
    words: UnboundedSender<StoreWord>,
    mut nudges: UnboundedReceiver<StoreNudge>,
) {
    let mut position = StorePosition::start();
    let mut backoff = FIRST_BACKOFF;
    loop {
        let reading = matches!(position, StorePosition::Reading(_));
        let asked = {
            let mut ask = pin!(position.ask(&mut source));
            loop {
                tokio::select! {
                    result = &mut ask => break Ok(result),
                    nudge = nudges.recv() => match nudge {
                        // The question that waits tells what is newer anyway.
                        Some(StoreNudge::Known(_)) if !reading => {}
                        Some(nudge) => break Err(nudge),
                        None => return,
                    }
                }
            }
        };
        let (word, pause) = match asked {
            Err(nudge) => {
                position = StorePosition::after(nudge);
                continue;
            }
            Ok(Ok(word)) => {
                backoff = FIRST_BACKOFF;
                let changed =
                    matches!(&word, Some(StoreWord::News(news)) if !news.changes.is_empty());
                (word, if changed { NEWS_PAUSE } else { Duration::ZERO })
            }
            Ok(Err(StoreFault::HistoryLost)) => {
                position = StorePosition::start();
                (Some(StoreWord::HistoryLost), HISTORY_PAUSE)
            }
            Ok(Err(StoreFault::Failed(error))) => {
                let pause = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
                backoff = (backoff * 2).min(LAST_BACKOFF);
                (Some(StoreWord::Failed(error)), pause)
            }
        };
        if let Some(word) = word
            && words.send(word).is_err()
        {
            return;
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}
