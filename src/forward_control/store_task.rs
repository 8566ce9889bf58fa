//! The task that reads the store and watches it for changes.

use std::pin::pin;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::fleet::renewal_outage::StoreFailure;
use crate::fleet::store_stamp::{StoreEra, StoreStamp};
use crate::fleet::store_view::StoreSnapshot;
use crate::store_source::{StoreAnswer, StoreChanges, StoreFault, StorePage, StoreSource};

/// Longest wait after the first failure; it doubles with each further one, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Longest wait after a failure: changes must be in force within two seconds after the store is
/// reachable again.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// How long the store may delay its response to a watch request if there are no changes. An
/// overdue response reveals a connection on which the store no longer responds; the delay is short
/// because a change must apply within two seconds after the store accepted it.
const WATCH_WAIT: Duration = Duration::from_millis(1500);

/// Shortest wait, as a share of [`WATCH_WAIT`]. A change ends the waits of all readers together;
/// with different waits they tell the others at different times that nothing has changed.
const MIN_WAIT_SHARE: f64 = 0.6;

/// The same for the first request after a failure, so that the end of an outage is known at once.
const PROBE_WAIT: Duration = Duration::from_millis(1);

/// Wait after changes, so that a burst of changes takes few requests. Together with the response
/// time of a slow store, a quarter of a second, it stays well below the two seconds within which a
/// change must be in force.
const CHANGES_DELAY: Duration = Duration::from_millis(450);

/// Shortest wait before all documents are read again, so that a store that repeatedly discards its
/// history does not receive requests in a tight loop. The longest is three times as long, so that
/// not all readers read at the same moment.
const REREAD_DELAY: Duration = Duration::from_millis(50);

/// What the task reports to the control thread.
#[derive(Debug)]
pub enum StoreEvent {
    /// A response names a later era than `before`. Unless it is the first response, the store was
    /// restored from an older copy, and all documents are read again.
    EraBegan { era: StoreEra, before: StoreEra },
    /// A page was read, and more pages follow.
    Page(StorePage),
    /// All documents were read.
    Snapshot(StoreSnapshot),
    /// The store reported changes, or none within its waiting time.
    Changes(StoreChanges),
    /// The store has discarded the requested changes; all documents are read again.
    HistoryLost,
    /// The changes that the store still has of the time before its first read, after the state `after`;
    /// `is_whole` if these are all changes ever. `None` if they could not be read.
    Past(Option<PastChanges>),
    /// A request failed; it is repeated after a wait.
    Failed(StoreFailure, anyhow::Error),
}

/// The oldest changes that the store still has, and all later ones.
#[derive(Debug)]
pub struct PastChanges {
    pub changes: StoreChanges,
    /// The state that the oldest change follows.
    pub after: StoreStamp,
    /// Whether no change was ever discarded.
    pub is_whole: bool,
}

/// Commands of the control thread to this task.
#[derive(Clone, Copy, Debug)]
pub enum StoreCommand {
    /// Drops the pending request and reads all documents again. Sent after a pause of the process,
    /// because a request from before it may never get a response.
    Restart,
    /// Watches for changes after this state, unless a watch is in progress. Sent to a router
    /// without documents once a peer has delivered all of them up to this state, and to a router
    /// that begins to read the store.
    FollowFrom(StoreStamp),
    /// Interrupts the pending request and reads all changes that the store still has from before this
    /// state.
    ReadPast(StoreStamp),
    /// Drops the pending request and sends no more until the next command. Sent to a router that
    /// leaves the reading to its peers.
    Suspend,
}

/// Content of a response of the store.
#[derive(Debug)]
enum StoreReply {
    Page(StorePage),
    Changes(StoreChanges),
}

/// Progress of reading the store.
#[derive(Debug)]
enum StorePosition {
    /// Reads the store page by page; contains the documents that were read so far.
    Reading(StoreSnapshot),
    /// Watches for changes; all changes up to this state have been received.
    Following(StoreStamp),
    /// Sends no requests.
    Suspended,
}

impl StorePosition {
    fn start() -> Self {
        Self::Reading(StoreSnapshot::default())
    }

    /// Whether the next response begins a read of all documents.
    fn is_start(&self) -> bool {
        matches!(self, Self::Reading(snapshot) if snapshot.items.is_empty())
    }

    fn after(self, command: StoreCommand) -> Self {
        match command {
            StoreCommand::Restart => Self::start(),
            StoreCommand::FollowFrom(stamp) => Self::Following(stamp),
            StoreCommand::ReadPast(_) => self,
            StoreCommand::Suspend => Self::Suspended,
        }
    }

    /// Sends the next request; `known` is the last known era. A watch waits for up to `wait`.
    async fn request_next<S: StoreSource>(
        &self,
        source: &mut S,
        known: StoreEra,
        wait: Duration,
    ) -> StoreAnswer<StoreReply> {
        match self {
            Self::Suspended => std::future::pending().await,
            Self::Following(stamp) => {
                let answer = source.watch(*stamp, wait).await;
                answer.and_then(|changes| Ok(StoreReply::Changes(changes)))
            }
            Self::Reading(snapshot) => {
                let after = snapshot.items.last().map_or("", |item| item.key.as_str());
                let answer = source.page(after, known).await;
                answer.and_then(|page| Ok(StoreReply::Page(page)))
            }
        }
    }

    /// Moves on after a response. Pages that were read are retained after a failure: if many routers
    /// start at once on an overloaded store, a router that started again from the first page might
    /// never read all of them.
    fn advance(&mut self, reply: StoreReply) -> StoreEvent {
        match (reply, &mut *self) {
            (StoreReply::Page(page), Self::Reading(snapshot)) => {
                if snapshot.items.is_empty() {
                    // Pages are read at different times. Watching starts at the state of the
                    // first page, so changes made since then are delivered as well.
                    snapshot.stamp = page.stamp;
                }
                let more = page.more && !page.items.is_empty();
                if more {
                    snapshot.items.extend(page.items.iter().cloned());
                    return StoreEvent::Page(page);
                }
                snapshot.items.extend(page.items);
                let snapshot = std::mem::take(snapshot);
                *self = Self::Following(snapshot.stamp);
                StoreEvent::Snapshot(snapshot)
            }
            (StoreReply::Page(page), _) => StoreEvent::Page(page),
            (StoreReply::Changes(changes), position) => {
                if let Self::Following(stamp) = position {
                    *stamp = changes.stamp.max(*stamp);
                }
                StoreEvent::Changes(changes)
            }
        }
    }
}

/// Searches the oldest state after which the store still has all changes, and reads these. Returns
/// `None` if a request fails.
async fn read_past<S: StoreSource>(source: &mut S, known: StoreStamp) -> Option<PastChanges> {
    let era = known.era.0;
    let mut lost = None;
    let mut after = known.revision.0;
    let mut changes = StoreChanges {
        stamp: known,
        ..StoreChanges::default()
    };
    loop {
        // The whole history first: it is not long if it can be read.
        let next = match lost {
            None => 0,
            Some(lost) if after - lost <= 1 => break,
            Some(lost) => lost + (after - lost) / 2,
        };
        let answer = source.watch(StoreStamp::new(era, next), PROBE_WAIT).await;
        if answer.era != known.era {
            return None;
        }
        match answer.result {
            Ok(read) => {
                (changes, after) = (read, next);
                if next == 0 {
                    break;
                }
            }
            Err(StoreFault::HistoryLost) => lost = Some(next),
            Err(StoreFault::WatchCut(_) | StoreFault::Failed(_)) => return None,
        }
    }
    Some(PastChanges {
        changes,
        after: StoreStamp::new(era, after),
        is_whole: after == 0,
    })
}

/// Reads and watches the store until the control thread has closed a channel.
pub async fn follow_store<S: StoreSource>(
    mut source: S,
    events: UnboundedSender<StoreEvent>,
    mut commands: UnboundedReceiver<StoreCommand>,
) {
    let mut position = StorePosition::start();
    let mut era = StoreEra::default();
    let mut backoff = INITIAL_BACKOFF;
    let mut has_failed = false;
    loop {
        let wait = if has_failed {
            PROBE_WAIT
        } else {
            WATCH_WAIT.mul_f64(rand::rng().random_range(MIN_WAIT_SHARE..1.0))
        };
        let following = matches!(position, StorePosition::Following(_));
        let outcome = {
            let mut request = pin!(position.request_next(&mut source, era, wait));
            loop {
                tokio::select! {
                    result = &mut request => break Ok(result),
                    command = commands.recv() => match command {
                        // The pending watch request delivers all later changes anyway.
                        Some(StoreCommand::FollowFrom(_)) if following => {}
                        Some(command) => break Err(command),
                        None => return,
                    }
                }
            }
        };
        let answer = match outcome {
            Ok(answer) => answer,
            Err(command) => {
                if let StoreCommand::FollowFrom(stamp) = command {
                    era = era.max(stamp.era);
                }
                if let StoreCommand::ReadPast(stamp) = command {
                    let past = read_past(&mut source, stamp).await;
                    if events.send(StoreEvent::Past(past)).is_err() {
                        return;
                    }
                }
                position = position.after(command);
                continue;
            }
        };
        let mut result = answer.result;
        let failure = match &result {
            Err(StoreFault::WatchCut(_)) => StoreFailure::WatchCut,
            _ => StoreFailure::Unavailable,
        };
        if answer.era < era {
            let error = anyhow::anyhow!("response of era {}, era {era} is known", answer.era);
            result = Err(StoreFault::Failed(error));
        } else if answer.era > era {
            let before = std::mem::replace(&mut era, answer.era);
            if events.send(StoreEvent::EraBegan { era, before }).is_err() {
                return;
            }
            // Only the first page of a read doesn't follow from what an earlier era said.
            if !position.is_start() {
                position = StorePosition::start();
                result = result.and(Err(StoreFault::HistoryLost));
            }
        }
        has_failed = false;
        let (event, pause) = match result {
            Ok(reply) => {
                backoff = INITIAL_BACKOFF;
                let event = position.advance(reply);
                let changed = matches!(&event, StoreEvent::Changes(new) if !new.changes.is_empty());
                let pause = if changed {
                    CHANGES_DELAY
                } else {
                    Duration::ZERO
                };
                (event, pause)
            }
            Err(StoreFault::HistoryLost) => {
                position = StorePosition::start();
                let pause = REREAD_DELAY.mul_f64(rand::rng().random_range(1.0..3.0));
                (StoreEvent::HistoryLost, pause)
            }
            Err(StoreFault::WatchCut(error) | StoreFault::Failed(error)) => {
                has_failed = true;
                let pause = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
                backoff = (backoff * 2).min(MAX_BACKOFF);
                (StoreEvent::Failed(failure, error), pause)
            }
        };
        if events.send(event).is_err() {
            return;
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}
