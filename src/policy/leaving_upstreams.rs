//! The upstreams that have said in a response that they leave.
//!
//! A mark holds for one start of an upstream and is never withdrawn: a later response without it was
//! sent earlier, and a restarted upstream is another start. Each router announces a mark when it
//! learns of it and several times in the next seconds, and then passes it on in some heartbeats for
//! as long as the start is registered.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::ids::{UpstreamId, UpstreamStart};
use crate::mono::MonoTime;

/// Number of marks in memory, several times the number of upstreams of a large fleet.
const MAX_MARKS: usize = 4096;

/// Time for which the mark of a start that is not registered is kept: entries of running upstreams
/// may disappear for a while during an outage of the store.
const UNREGISTERED_EXPIRY: Duration = Duration::from_mins(1);

/// Times after which a router announces a mark again: notices may be lost, and routers may be cut
/// off for some seconds.
const ANNOUNCEMENT_TIMES: [Duration; 5] = [
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(8),
];

/// Number of heartbeat rounds of which one carries a mark. With more marks, the control traffic of a
/// router exceeds 5 KB/s, unless they take the place of loads.
pub const MARK_ROUNDS: u64 = 28;

/// Number of marks in one notice.
pub const MAX_NOTICE_MARKS: usize = 16;

/// How a router learned that an upstream leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MarkSource {
    /// From a response of the upstream.
    Response,
    /// From another router.
    Peer(Ipv4Addr),
}

impl fmt::Display for MarkSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Response => f.write_str("response"),
            Self::Peer(address) => address.fmt(f),
        }
    }
}

/// A mark that routers pass on to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeavingReport {
    pub upstream: UpstreamStart,
    /// Time of the upstream's statement, on this router's clock.
    pub at: MonoTime,
}

/// What is known about the leaving of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeavingMark {
    /// Time of the upstream's statement, on this router's clock.
    pub at: MonoTime,
    pub source: MarkSource,
    /// When this router learned of the mark.
    learned: MonoTime,
    /// When the start was last registered, or when this router learned of the mark.
    last_registered: MonoTime,
}

/// The beginning or the end of the leaving of a registered upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeavingChange {
    Begun(UpstreamId, LeavingMark),
    /// The start is no longer registered.
    Ended(UpstreamId, LeavingMark),
}

/// The starts of upstreams that are known to leave.
#[derive(Clone, Debug, Default)]
pub struct LeavingUpstreams {
    /// Invariant: at most [`MAX_MARKS`] marks.
    marks: BTreeMap<UpstreamStart, LeavingMark>,
    /// Marks to announce to other routers.
    announcements: BTreeSet<UpstreamStart>,
    /// Registered starts with a mark, as of the latest [`Self::update`].
    registered: BTreeMap<UpstreamStart, UpstreamId>,
    last_update: MonoTime,
}

impl LeavingUpstreams {
    /// Records that a response of the upstream says that it leaves. Returns whether this is news.
    pub fn record(&mut self, upstream: UpstreamStart, now: MonoTime) -> bool {
        let report = LeavingReport { upstream, at: now };
        self.add(report, MarkSource::Response, now)
    }

    /// Merges the report of another router. Returns whether it is news.
    pub fn merge(&mut self, report: LeavingReport, peer: Ipv4Addr, now: MonoTime) -> bool {
        self.add(report, MarkSource::Peer(peer), now)
    }

    fn add(&mut self, report: LeavingReport, source: MarkSource, now: MonoTime) -> bool {
        let LeavingReport { upstream, at } = report;
        if self.marks.contains_key(&upstream) {
            return false;
        }
        if self.marks.len() >= MAX_MARKS {
            self.evict();
        }
        let mark = LeavingMark {
            at,
            source,
            learned: now,
            last_registered: now,
        };
        self.marks.insert(upstream, mark);
        self.announcements.insert(upstream);
        true
    }

    /// Removes the mark whose start has not been registered for the longest time.
    fn evict(&mut self) {
        let marks = self.marks.iter();
        let oldest = marks.min_by_key(|(upstream, mark)| (mark.last_registered, **upstream));
        if let Some((&upstream, _)) = oldest {
            self.marks.remove(&upstream);
            self.announcements.remove(&upstream);
        }
    }

    /// Whether this start of an upstream leaves.
    pub fn contains(&self, upstream: UpstreamStart) -> bool {
        self.marks.contains_key(&upstream)
    }

    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Number of registered upstreams that leave, as of the latest [`Self::update`].
    pub fn registered(&self) -> usize {
        self.registered.len()
    }

    /// Number of marks in memory.
    pub fn remembered(&self) -> usize {
        self.marks.len()
    }

    /// Compares the marks with the registered upstreams, forgets those of starts that are gone, and
    /// returns what has changed since the last call. Also announces some marks again.
    pub fn update<'a, I>(&mut self, entries: I, now: MonoTime) -> Vec<LeavingChange>
    where
        I: Iterator<Item = (UpstreamStart, &'a UpstreamId)>,
    {
        let mut registered = BTreeMap::new();
        let mut changes = Vec::new();
        for (start, id) in entries {
            let Some(mark) = self.marks.get_mut(&start) else {
                continue;
            };
            mark.last_registered = now;
            if !self.registered.contains_key(&start) {
                changes.push(LeavingChange::Begun(id.clone(), *mark));
            }
            registered.insert(start, id.clone());
        }
        for (start, id) in std::mem::take(&mut self.registered) {
            let mark = self.marks.get(&start).copied();
            if let Some(mark) = mark.filter(|_| !registered.contains_key(&start)) {
                changes.push(LeavingChange::Ended(id, mark));
            }
        }
        self.registered = registered;
        self.marks
            .retain(|_, mark| now.since(mark.last_registered) <= UNREGISTERED_EXPIRY);
        let since = std::mem::replace(&mut self.last_update, now);
        let is_due = |mark: &LeavingMark| {
            let mut times = ANNOUNCEMENT_TIMES.iter().map(|&after| mark.learned + after);
            times.any(|at| since < at && at <= now)
        };
        let marks = &self.marks;
        self.announcements.retain(|start| marks.contains_key(start));
        let due = marks.iter().filter(|(_, mark)| is_due(mark));
        self.announcements.extend(due.map(|(&start, _)| start));
        changes
    }

    /// Selects up to `count` marks of registered starts, at random so that each is passed on some
    /// time.
    pub fn reports<R: Rng>(&self, count: usize, rng: &mut R) -> Vec<LeavingReport> {
        let starts = self.registered.keys().copied();
        self.to_reports(starts.sample(rng, count))
    }

    /// Returns the marks that other routers should get at once.
    pub fn take_notice(&mut self) -> Vec<LeavingReport> {
        let rest = self.announcements.iter().nth(MAX_NOTICE_MARKS).copied();
        let rest = rest.map_or_else(BTreeSet::new, |first| self.announcements.split_off(&first));
        let starts = std::mem::replace(&mut self.announcements, rest);
        self.to_reports(starts.into_iter().collect())
    }

    fn to_reports(&self, starts: Vec<UpstreamStart>) -> Vec<LeavingReport> {
        let starts = starts.into_iter();
        starts
            .filter_map(|upstream| {
                let at = self.marks.get(&upstream)?.at;
                Some(LeavingReport { upstream, at })
            })
            .collect()
    }
}
