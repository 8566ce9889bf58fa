//! The task that reads the store and watches it for changes.

use std::pin::pin;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;

use crate::fleet::renewal_outage::StoreFailure;
use crate::fleet::store_stamp::{StoreEra, StoreStamp};
use crate::fleet::store_view::StoreSnapshot;
use crate::policy::store_checks::CheckNumber;
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
    /// The changes that the store still has of the time before its first read. `None` if they could not
    /// be read.
    Past(Option<PastChanges>),
    /// A check has ended. If it is confirmed, all changes up to it were reported before.
    Checked {
        number: CheckNumber,
        is_confirmed: bool,
    },
    /// A request failed; it is repeated after a wait.
    Failed(StoreFailure, anyhow::Error),
}

/// What the store still has of the changes before its first read. It does not tell when it discarded
/// the others, so a part of them does not show since when it is complete.
#[derive(Debug)]
pub enum PastChanges {
    /// All changes ever.
    Whole(StoreChanges),
    /// The store has discarded some, by their age or early, or was restored from an older copy.
    Partial,
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
    /// Interrupts the pending request and reads all changes up to this state, if the store has never
    /// discarded any.
    ReadPast(StoreStamp),
    /// Interrupts the pending request and reads the newest state of the store. A router that sends no
    /// other requests has all changes up to `known`.
    Check {
        number: CheckNumber,
        known: StoreStamp,
    },
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
            StoreCommand::ReadPast(_) | StoreCommand::Check { .. } => self,
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

/// Reads all changes up to `known`. Returns `None` if a request fails.
async fn read_past<S: StoreSource>(source: &mut S, known: StoreStamp) -> Option<PastChanges> {
    let mut past = StoreChanges::default();
    if known.era != past.stamp.era {
        return Some(PastChanges::Partial);
    }
    while past.stamp < known {
        let answer = source.watch(past.stamp, PROBE_WAIT).await;
        if answer.era != known.era {
            return None;
        }
        match answer.result {
            // A response may hold only the first changes.
            Ok(next) if next.stamp > past.stamp => {
                past.changes.extend(next.changes);
                past.stamp = next.stamp;
            }
            Err(StoreFault::HistoryLost) => return Some(PastChanges::Partial),
            Ok(_) | Err(StoreFault::WatchCut(_) | StoreFault::Failed(_)) => return None,
        }
    }
    Some(PastChanges::Whole(past))
}

/// Reads the newest state of the store and the changes up to it after `known`, which fails if not all
/// of these are returned.
async fn read_newest<S: StoreSource>(source: &mut S, known: StoreStamp) -> StoreAnswer<StoreReply> {
    let newest = source.newest(known.era).await;
    let era = newest.era;
    let stamp = match newest.result {
        // What is known of another era says nothing of this one.
        Ok(_) if era != known.era => {
            let result = Err(StoreFault::HistoryLost);
            return StoreAnswer { era, result };
        }
        Ok(stamp) if stamp > known => stamp,
        result => {
            let changes = StoreChanges {
                stamp: known,
                ..StoreChanges::default()
            };
            let result = result.map(|_| StoreReply::Changes(changes));
            return StoreAnswer { era, result };
        }
    };
    let answer = source.watch(known, PROBE_WAIT).await;
    answer.and_then(|changes| {
        if changes.stamp < stamp {
            let error = anyhow::anyhow!("kv-watch: {} where {stamp} is known", changes.stamp);
            return Err(StoreFault::Failed(error));
        }
        Ok(StoreReply::Changes(changes))
    })
}

/// A check that a call waits for.
#[derive(Clone, Copy, Debug)]
struct PendingCheck {
    number: CheckNumber,
    /// State up to which a router that sends no other requests has all changes.
    known: StoreStamp,
}

/// What the task asks the store for next.
#[derive(Debug)]
struct StoreProgress {
    position: StorePosition,
    /// Latest known era.
    era: StoreEra,
    check: Option<PendingCheck>,
    /// Whether the latest request failed.
    has_failed: bool,
    /// Whether it failed otherwise than by a cut watch, which says nothing of the store.
    is_unavailable: bool,
}

impl StoreProgress {
    /// Whether the next request is the one of a check. A check waits for the end of a read of all
    /// documents, whose first pages are older.
    fn check_is_next(&self) -> bool {
        self.check.is_some() && !matches!(self.position, StorePosition::Reading(_))
    }

    /// Sends the next request. A watch waits for up to `wait`.
    async fn request_next<S: StoreSource>(
        &self,
        source: &mut S,
        wait: Duration,
    ) -> StoreAnswer<StoreReply> {
        match (&self.position, self.check) {
            (StorePosition::Following(stamp), Some(_)) => read_newest(source, *stamp).await,
            (StorePosition::Suspended, Some(check)) => read_newest(source, check.known).await,
            _ => self.position.request_next(source, self.era, wait).await,
        }
    }

    /// The end of a check that is asked for while the store does not answer.
    fn failed_check(&self, command: StoreCommand) -> Option<StoreEvent> {
        match command {
            StoreCommand::Check { number, .. } if self.is_unavailable => {
                Some(StoreEvent::Checked {
                    number,
                    is_confirmed: false,
                })
            }
            _ => None,
        }
    }

    /// Carries a command out. Returns the store's history if it is asked for.
    async fn apply<S: StoreSource>(
        &mut self,
        command: StoreCommand,
        source: &mut S,
    ) -> Option<StoreEvent> {
        let position = std::mem::replace(&mut self.position, StorePosition::Suspended);
        let is_following = matches!(position, StorePosition::Following(_));
        self.position = match command {
            // The watch delivers all later changes anyway.
            StoreCommand::FollowFrom(_) if is_following => position,
            command => position.after(command),
        };
        if !matches!(
            command,
            StoreCommand::Check { .. } | StoreCommand::ReadPast(_)
        ) {
            // Nothing is known of the next requests.
            self.is_unavailable = false;
        }
        match command {
            StoreCommand::FollowFrom(stamp) => self.era = self.era.max(stamp.era),
            StoreCommand::Check { number, known } => {
                self.era = self.era.max(known.era);
                self.check = Some(PendingCheck { number, known });
            }
            StoreCommand::ReadPast(stamp) => {
                return Some(StoreEvent::Past(read_past(source, stamp).await));
            }
            StoreCommand::Restart | StoreCommand::Suspend => {}
        }
        None
    }

    /// Moves on after a response, or fails. Returns what to report and how long to wait.
    fn advance(
        &mut self,
        answer: StoreAnswer<StoreReply>,
        backoff: &mut Duration,
    ) -> (Vec<StoreEvent>, Duration) {
        let mut reports = Vec::new();
        let checked = self.check_is_next().then(|| self.check.take()).flatten();
        let was_suspended = matches!(self.position, StorePosition::Suspended);
        let mut result = answer.result;
        let failure = match &result {
            Err(StoreFault::WatchCut(_)) => StoreFailure::WatchCut,
            _ => StoreFailure::Unavailable,
        };
        if answer.era < self.era {
            let error =
                anyhow::anyhow!("response of era {}, era {} is known", answer.era, self.era);
            result = Err(StoreFault::Failed(error));
        } else if answer.era > self.era {
            let before = std::mem::replace(&mut self.era, answer.era);
            reports.push(StoreEvent::EraBegan {
                era: self.era,
                before,
            });
            // Only the first page of a read doesn't follow from what an earlier era said.
            if !self.position.is_start() {
                self.position = StorePosition::start();
                result = result.and(Err(StoreFault::HistoryLost));
            }
        }
        let is_confirmed = result.is_ok();
        self.has_failed = false;
        self.is_unavailable = false;
        let pause = match result {
            Ok(reply) => {
                *backoff = INITIAL_BACKOFF;
                let event = self.position.advance(reply);
                let changed = matches!(&event, StoreEvent::Changes(new) if !new.changes.is_empty());
                reports.push(event);
                if changed {
                    CHANGES_DELAY
                } else {
                    Duration::ZERO
                }
            }
            // Such a router takes the documents from its peers.
            Err(_) if was_suspended => {
                self.position = StorePosition::Suspended;
                Duration::ZERO
            }
            Err(StoreFault::HistoryLost) => {
                self.position = StorePosition::start();
                reports.push(StoreEvent::HistoryLost);
                REREAD_DELAY.mul_f64(rand::rng().random_range(1.0..3.0))
            }
            Err(StoreFault::WatchCut(error) | StoreFault::Failed(error)) => {
                self.has_failed = true;
                self.is_unavailable = failure == StoreFailure::Unavailable;
                let pause = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
                *backoff = (*backoff * 2).min(MAX_BACKOFF);
                reports.push(StoreEvent::Failed(failure, error));
                pause
            }
        };
        reports.extend(checked.map(|check| StoreEvent::Checked {
            number: check.number,
            is_confirmed,
        }));
        (reports, pause)
    }
}

/// Reads and watches the store until the control thread has closed a channel.
pub async fn follow_store<S: StoreSource>(
    mut source: S,
    events: UnboundedSender<StoreEvent>,
    mut commands: UnboundedReceiver<StoreCommand>,
) {
    let mut progress = StoreProgress {
        position: StorePosition::start(),
        era: StoreEra::default(),
        check: None,
        has_failed: false,
        is_unavailable: false,
    };
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let wait = if progress.has_failed {
            PROBE_WAIT
        } else {
            WATCH_WAIT.mul_f64(rand::rng().random_range(MIN_WAIT_SHARE..1.0))
        };
        let following = matches!(progress.position, StorePosition::Following(_));
        let outcome = {
            let mut request = pin!(progress.request_next(&mut source, wait));
            loop {
                tokio::select! {
                    result = &mut request => break Ok(result),
                    command = commands.recv() => match command {
                        // The pending watch request delivers all later changes anyway.
                        Some(StoreCommand::FollowFrom(_)) if following => {}
                        Some(command) => match progress.failed_check(command) {
                            Some(failed) => {
                                if events.send(failed).is_err() {
                                    return;
                                }
                            }
                            None => break Err(command),
                        },
                        None => return,
                    }
                }
            }
        };
        let (reports, pause) = match outcome {
            Ok(answer) => progress.advance(answer, &mut backoff),
            Err(command) => {
                let past = progress.apply(command, &mut source).await;
                (past.into_iter().collect(), Duration::ZERO)
            }
        };
        for event in reports {
            if events.send(event).is_err() {
                return;
            }
        }
        let end = Instant::now() + pause;
        while !progress.check_is_next() && Instant::now() < end {
            let command = tokio::select! {
                () = tokio::time::sleep_until(end) => break,
                command = commands.recv() => command,
            };
            let Some(command) = command else { return };
            let event = match progress.failed_check(command) {
                Some(failed) => Some(failed),
                None => progress.apply(command, &mut source).await,
            };
            if let Some(event) = event
                && events.send(event).is_err()
            {
                return;
            }
        }
    }
}
