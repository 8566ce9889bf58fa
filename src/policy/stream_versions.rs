//! Which software version began each stream.
//!
//! The router that passes the first event of a stream on records its version. Records go to a few
//! routers that the stream's tag selects, and a router that lacks a record asks these.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{DataCenterTag, IncarnationId, PartTag, StreamTag, VersionTag};
use crate::mono::MonoTime;
use crate::policy::data_center_rounds::order_by_rounds;

/// Number of records in memory, twice what a router of the largest fleet holds and what one of four
/// routers holds at a thousand streams per second.
pub const MAX_RECORDS: usize = 32_768;

/// Number of other routers that hold the record of a stream.
pub const HOLDERS: usize = 3;

/// Number of other routers that are asked for a record. It is larger than [`HOLDERS`] because some of
/// these may have ended since.
pub const ASKED_HOLDERS: usize = 5;

/// Number of records in one message.
pub const MAX_MESSAGE_RECORDS: usize = 64;

/// Shortest time for which the version of a stream is kept. Callers of a route whose time limit was
/// reduced may still wait as long as before.
const MIN_STREAM_LIFE: Duration = Duration::from_secs(12);

/// Time within which a stream ends, over all calls that take it up, as a multiple of the time limit of
/// its route.
const STREAM_TIME_LIMITS: f64 = 1.5;

/// Returns the longest time from the first event of a stream to the end of the last call that takes
/// it up. `time_limit` is that of its route.
pub fn stream_life(time_limit: Duration) -> Duration {
    time_limit.mul_f64(STREAM_TIME_LIMITS).max(MIN_STREAM_LIFE)
}

/// Longest wait for the records of other routers.
pub const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// Version in the record of a part with which streams of several versions have begun.
const SEVERAL_VERSIONS: VersionTag = VersionTag(0);

/// The version of a stream, as routers tell each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamReport {
    pub stream: StreamTag,
    pub version: VersionTag,
    /// When the stream can no longer be taken up, on this router's clock.
    pub until: MonoTime,
}

/// A router that may hold records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RecordHolder {
    pub address: Ipv4Addr,
    pub data_center: DataCenterTag,
    /// Whether the router stops soon, so that its records are lost.
    pub is_leaving: bool,
}

/// Returns up to `count` of `routers` in the order in which they hold the record of a stream: by their
/// hash with the stream, one of each data centre before a second one of any.
pub fn choose_holders(stream: StreamTag, routers: &[RecordHolder], count: usize) -> Vec<Ipv4Addr> {
    let mut ranked: Vec<&RecordHolder> = routers.iter().collect();
    ranked.sort_by_cached_key(|router| {
        let score = xxh3_64_with_seed(&router.address.octets(), stream.0);
        (router.is_leaving, score)
    });
    order_by_rounds(&mut ranked, |router| router.data_center);
    ranked.sort_by_key(|router| router.is_leaving);
    let addresses = ranked.into_iter().map(|router| router.address);
    addresses.take(count).collect()
}

/// Progress of the search for a record at other routers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LookupState {
    /// The record is known.
    Found(VersionTag),
    /// Some routers have not answered yet.
    Open,
    /// No router has the record.
    Missing,
}

#[derive(Clone, Copy, Debug)]
struct StreamRecord {
    version: VersionTag,
    until: MonoTime,
    /// Whether this router passed the first event on, so that it sends the record to the holders.
    is_own: bool,
}

/// A search for a record at other routers.
#[derive(Clone, Copy, Debug, Default)]
struct RecordLookup {
    /// Number of answers that are awaited; `None` before the question is sent.
    awaited: Option<usize>,
    /// Whether a router has answered.
    is_answered: bool,
    /// Whether all routers that could be asked are silent.
    is_cut_off: bool,
    /// Number of calls that wait for the record.
    callers: usize,
}

/// The records of streams and the searches in progress.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    /// Invariant: at most [`MAX_RECORDS`].
    records: HashMap<StreamTag, StreamRecord>,
    /// The same streams by the ends of their records.
    ends: BTreeSet<(MonoTime, StreamTag)>,
    /// Records to send to their holders.
    unsent: BTreeSet<StreamTag>,
    /// Searches in progress.
    lookups: HashMap<StreamTag, RecordLookup>,
    /// Routers that were asked for a record and not heard of since, and when they were asked.
    unheard: HashMap<Ipv4Addr, MonoTime>,
    /// Routers that take a version for the only one after a read of the store alone, and read it.
    proving: BTreeMap<Ipv4Addr, IncarnationId>,
}

impl StreamVersions {
    /// Records the version whose first event goes to the caller, to be sent to the holders. Returns
    /// whether no other record waits to be sent.
    pub fn record(&mut self, stream: StreamTag, version: VersionTag, until: MonoTime) -> bool {
        let is_first = self.unsent.is_empty();
        self.insert(
            stream,
            StreamRecord {
                version,
                until,
                is_own: true,
            },
        );
        self.unsent.insert(stream);
        is_first
    }

    /// Records that a stream whose prompt ends with a part has begun at a version, to be sent to the
    /// holders.
    pub fn record_part(&mut self, part: PartTag, version: VersionTag, until: MonoTime) {
        let stream = StreamTag::of_part(part);
        self.merge(StreamReport {
            stream,
            version,
            until,
        });
        self.unsent.insert(stream);
    }

    /// Merges the record of another router, unless a later one is known.
    pub fn merge(&mut self, report: StreamReport) {
        let known = self.records.get(&report.stream);
        if known.is_some_and(|known| known.until >= report.until && !report.stream.is_part()) {
            return;
        }
        let differs = known.is_some_and(|known| known.version != report.version);
        let record = StreamRecord {
            version: if differs && report.stream.is_part() {
                SEVERAL_VERSIONS
            } else {
                report.version
            },
            until: known.map_or(report.until, |known| known.until.max(report.until)),
            is_own: known.is_some_and(|known| known.is_own),
        };
        self.insert(report.stream, record);
    }

    fn insert(&mut self, stream: StreamTag, record: StreamRecord) {
        self.remove(stream);
        if self.records.len() >= MAX_RECORDS
            && let Some(&(_, oldest)) = self.ends.first()
        {
            self.remove(oldest);
        }
        self.ends.insert((record.until, stream));
        self.records.insert(stream, record);
    }

    fn remove(&mut self, stream: StreamTag) {
        if let Some(record) = self.records.remove(&stream) {
            self.ends.remove(&(record.until, stream));
            self.unsent.remove(&stream);
        }
    }

    /// The version of a stream, if it is known.
    pub fn version(&self, stream: StreamTag, now: MonoTime) -> Option<VersionTag> {
        let record = self.records.get(&stream)?;
        let is_certain = record.until > now && record.version != SEVERAL_VERSIONS;
        is_certain.then_some(record.version)
    }

    /// Whether streams with the same part have begun at several versions.
    pub fn has_several(&self, part: StreamTag, now: MonoTime) -> bool {
        let record = self.records.get(&part);
        record.is_some_and(|record| record.until > now && record.version == SEVERAL_VERSIONS)
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Sends the records of this router's streams to their present holders, before it stops.
    pub fn resend_own(&mut self) {
        let own = self.records.iter().filter(|(_, record)| record.is_own);
        self.unsent.extend(own.map(|(&stream, _)| stream));
    }

    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Returns the records to send to their holders.
    pub fn take_unsent(&mut self) -> Vec<StreamReport> {
        let unsent = std::mem::take(&mut self.unsent).into_iter();
        unsent
            .filter_map(|stream| {
                let record = self.records.get(&stream)?;
                Some(StreamReport {
                    stream,
                    version: record.version,
                    until: record.until,
                })
            })
            .collect()
    }

    /// Returns the record of a stream for a router that asks for it.
    pub fn report(&self, stream: StreamTag, now: MonoTime) -> Option<StreamReport> {
        let record = self.records.get(&stream)?;
        (record.until > now).then_some(StreamReport {
            stream,
            version: record.version,
            until: record.until,
        })
    }

    /// Starts a search, unless one is in progress.
    pub fn begin_lookup(&mut self, stream: StreamTag) {
        self.lookups.entry(stream).or_default().callers += 1;
    }

    /// Returns the streams to ask other routers for.
    pub fn questions(&self) -> Vec<StreamTag> {
        let lookups = self.lookups.iter();
        let unasked = lookups.filter(|(_, lookup)| lookup.awaited.is_none());
        unasked.map(|(&stream, _)| stream).collect()
    }

    /// Records that `count` routers were asked.
    pub fn set_asked(&mut self, stream: StreamTag, count: usize) {
        if let Some(lookup) = self.lookups.get_mut(&stream) {
            lookup.awaited = Some(count);
        }
    }

    /// Records that a router has no record of a stream.
    pub fn record_missing(&mut self, stream: StreamTag) {
        if let Some(lookup) = self.lookups.get_mut(&stream) {
            lookup.awaited = lookup.awaited.map(|count| count.saturating_sub(1));
            lookup.is_answered = true;
        }
    }

    /// Returns the progress of a search.
    pub fn lookup_state(&self, stream: StreamTag, now: MonoTime) -> LookupState {
        if let Some(version) = self.version(stream, now) {
            return LookupState::Found(version);
        }
        match self.lookups.get(&stream) {
            Some(lookup) if lookup.awaited != Some(0) => LookupState::Open,
            _ => LookupState::Missing,
        }
    }

    /// Records that a router is asked for a record.
    pub fn record_asked(&mut self, router: Ipv4Addr, now: MonoTime) {
        self.unheard.entry(router).or_insert(now);
    }

    /// Records that a router was heard of.
    pub fn record_heard(&mut self, router: Ipv4Addr) {
        self.unheard.remove(&router);
    }

    /// Sets whether a run of a router takes a version for the only one after a read of the store alone,
    /// and reads it.
    pub fn set_proving(&mut self, router: Ipv4Addr, run: IncarnationId, is_proving: bool) {
        if is_proving {
            self.proving.insert(router, run);
        } else {
            self.proving.remove(&router);
        }
    }

    /// Forgets what routers said that run as other processes by now, perhaps of an earlier build.
    pub fn end_proving(&mut self, runs: &BTreeMap<Ipv4Addr, IncarnationId>) {
        self.proving
            .retain(|router, run| runs.get(router).is_none_or(|present| present == run));
    }

    /// Whether a call that takes a stream up may be passed on to a router.
    pub fn may_take_up(&self, router: Ipv4Addr, now: MonoTime) -> bool {
        self.proving.contains_key(&router) && !self.is_silent(router, now)
    }

    /// Whether a router has not answered within [`LOOKUP_TIMEOUT`] and is worth no wait.
    pub fn is_silent(&self, router: Ipv4Addr, now: MonoTime) -> bool {
        let asked = self.unheard.get(&router);
        asked.is_some_and(|&at| now.since(at) >= LOOKUP_TIMEOUT)
    }

    /// Records that all routers that could be asked are silent.
    pub fn set_cut_off(&mut self, stream: StreamTag) {
        if let Some(lookup) = self.lookups.get_mut(&stream) {
            lookup.is_cut_off = true;
        }
    }

    /// Whether all routers that could be asked are silent.
    pub fn is_cut_off(&self, stream: StreamTag) -> bool {
        let lookup = self.lookups.get(&stream);
        lookup.is_some_and(|lookup| lookup.is_cut_off)
    }

    /// Whether other routers were asked in a search, and none has answered.
    pub fn is_unanswered(&self, stream: StreamTag) -> bool {
        let lookup = self.lookups.get(&stream);
        lookup.is_some_and(|lookup| {
            let is_asked = lookup.awaited.is_some_and(|count| count > 0);
            lookup.is_cut_off || (is_asked && !lookup.is_answered)
        })
    }

    /// Ends the search of one call.
    pub fn end_lookup(&mut self, stream: StreamTag) {
        if let Some(lookup) = self.lookups.get_mut(&stream) {
            lookup.callers -= 1;
            if lookup.callers == 0 {
                self.lookups.remove(&stream);
            }
        }
    }

    /// Forgets the streams that can no longer be taken up.
    pub fn remove_expired(&mut self, now: MonoTime) {
        while let Some(&(until, stream)) = self.ends.first()
            && until <= now
        {
            self.remove(stream);
        }
    }
}
