//! Protobuf messages between forwarding routers. Ages are sent instead of times, because the clocks
//! of two processes are unrelated.

use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use crate::dialect::LoadReport;
use crate::fleet::member_table::{MemberRecord, MemberStage};
use crate::fleet::store_role::StoreReport;
use crate::fleet::store_stamp::StoreStamp;
use crate::fleet::store_view::{StoreChange, StoreItem};
use crate::fleet::version_history::{HistoryReport, VersionUse, history_time};
use crate::ids::{
    CallTag, DataCenterTag, IncarnationId, PartTag, ServiceKey, StreamTag, SuspectTag,
    UpstreamStart, VersionTag,
};
use crate::mono::MonoTime;
use crate::policy::cold_upstreams::ColdReport;
use crate::policy::latest_loads::{MAX_HEARTBEAT_REPORTS, UpstreamLoad, UpstreamTag};
use crate::policy::leaving_upstreams::LeavingReport;
use crate::policy::part_lists::{ListReport, PartReport};
use crate::policy::rate_limits::RateReport;
use crate::policy::stream_versions::StreamReport;
use crate::policy::suspect_reports::{CrashReport, SoundReport, SuspectReports};
use crate::policy::suspect_work::suspect_time;
use crate::units::RequestRate;

/// Membership records in a heartbeat. Each member has the same index in all columns.
#[derive(Clone, PartialEq, Message)]
pub struct MemberColumns {
    /// IPv4 addresses as numbers.
    #[prost(fixed32, repeated, tag = "1")]
    pub addresses: Vec<u32>,
    /// Random numbers that tell apart the successive processes at one address.
    #[prost(fixed64, repeated, tag = "2")]
    pub incarnations: Vec<u64>,
    /// The stage in the two lowest bits (1 booting, 2 serving, 3 leaving) and above them the
    /// milliseconds since the sender had the latest information about the member.
    #[prost(uint32, repeated, tag = "3")]
    pub states: Vec<u32>,
    /// Tags of the data centres, see [`DataCenterTag`]. Empty in frames of earlier versions.
    #[prost(uint32, repeated, tag = "4")]
    pub data_centers: Vec<u32>,
}

impl MemberColumns {
    /// Adds a record whose information is `age` old.
    pub fn push(&mut self, record: &MemberRecord, age: Duration) {
        let stage = match record.stage {
            MemberStage::Booting => 1,
            MemberStage::Serving => 2,
            MemberStage::Leaving => 3,
        };
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        self.addresses.push(record.address.to_bits());
        self.incarnations.push(record.incarnation.0);
        self.states.push(age_ms.min(u32::MAX >> 2) << 2 | stage);
        self.data_centers.push(record.data_center.0.into());
    }

    /// The record at this index and its age; `None` if it has an unknown stage.
    fn record_at(&self, index: usize) -> Option<(MemberRecord, Duration)> {
        let packed = *self.states.get(index)?;
        let stage = match packed & 3 {
            1 => MemberStage::Booting,
            2 => MemberStage::Serving,
            3 => MemberStage::Leaving,
            _ => return None,
        };
        let record = MemberRecord {
            address: Ipv4Addr::from_bits(*self.addresses.get(index)?),
            incarnation: IncarnationId(*self.incarnations.get(index)?),
            stage,
            data_center: DataCenterTag(self.data_centers.get(index).map_or(0, |&tag| tag as u16)),
        };
        Some((record, Duration::from_millis((packed >> 2).into())))
    }

    /// Iterates over the records and their ages and skips records with an unknown stage.
    pub fn records(&self) -> impl Iterator<Item = (MemberRecord, Duration)> {
        (0..self.states.len()).filter_map(|index| self.record_at(index))
    }

    /// The record of the sender, which is the first one; `None` if it can't be read. Another record
    /// must not take its place.
    pub fn sender(&self) -> Option<MemberRecord> {
        self.record_at(0).map(|(record, _)| record)
    }

    /// Iterates over the records of other members and their ages, as [`Self::records`].
    pub fn relayed(&self) -> impl Iterator<Item = (MemberRecord, Duration)> {
        (1..self.states.len()).filter_map(|index| self.record_at(index))
    }
}

/// Unit of the ages of loads, in milliseconds. It is coarse so that the ages that are sent take one
/// byte each.
const LOAD_AGE_MS: u64 = 10;

/// Load reports in a heartbeat. Each upstream has the same index in all columns.
#[derive(Clone, PartialEq, Message)]
pub struct LoadColumns {
    /// Shortened keys of the upstreams, see [`UpstreamTag`].
    #[prost(fixed32, repeated, tag = "1")]
    pub tags: Vec<u32>,
    /// Number of running calls.
    #[prost(uint32, repeated, tag = "2")]
    pub running: Vec<u32>,
    /// Number of queued calls.
    #[prost(uint32, repeated, tag = "3")]
    pub waiting: Vec<u32>,
    /// Time since the upstream had this load, in units of [`LOAD_AGE_MS`].
    #[prost(uint32, repeated, tag = "4")]
    pub ages: Vec<u32>,
}

impl LoadColumns {
    /// Converts reports to columns, with their ages at `now`.
    pub fn new(reports: &[UpstreamLoad], now: MonoTime) -> Self {
        let age = |report: &UpstreamLoad| {
            let age = now.since(report.at).as_millis() / u128::from(LOAD_AGE_MS);
            u32::try_from(age).unwrap_or(u32::MAX)
        };
        Self {
            tags: reports.iter().map(|report| report.upstream.0).collect(),
            running: reports.iter().map(|report| report.load.running).collect(),
            waiting: reports.iter().map(|report| report.load.waiting).collect(),
            ages: reports.iter().map(age).collect(),
        }
    }

    /// Converts the columns to reports, with times of the local clock, which is at `now`.
    pub fn reports(&self, now: MonoTime) -> impl Iterator<Item = UpstreamLoad> {
        let loads = self.running.iter().zip(&self.waiting);
        let reports = self.tags.iter().zip(loads).zip(&self.ages);
        reports.map(move |((&tag, (&running, &waiting)), &age)| UpstreamLoad {
            upstream: UpstreamTag(tag),
            // Heartbeats are at their limit of bytes, and a pace is outdated before it has reached the
            // fleet.
            load: LoadReport {
                running,
                waiting,
                ..LoadReport::default()
            },
            at: now.saturating_sub(Duration::from_millis(LOAD_AGE_MS * u64::from(age))),
        })
    }
}

/// Number of loads that take as many bytes as one report about a suspect. The columns of these
/// reports take the bytes of one more load.
const LOADS_PER_SUSPECT_REPORT: usize = 2;

/// Number of loads that take as many bytes as one rate limit; the columns of these take the bytes of
/// one more load.
const LOADS_PER_RATE_REPORT: usize = 1;

/// Number of loads that take as many bytes as the era of the store, which most stores don't have.
const LOADS_PER_ERA: usize = 1;

/// Unit of the ages of reports about suspects and rate limits, in milliseconds.
const REPORT_AGE_MS: u64 = 10;

fn age_of_time(at: MonoTime, now: MonoTime) -> u32 {
    // Rounded up, so that a report does not become newer from router to router.
    let age = now
        .since(at)
        .as_millis()
        .div_ceil(u128::from(REPORT_AGE_MS));
    u32::try_from(age).unwrap_or(u32::MAX)
}

fn time_of_age(age: u32, now: MonoTime) -> MonoTime {
    now.saturating_sub(Duration::from_millis(REPORT_AGE_MS * u64::from(age)))
}

/// Kinds of suspects in [`SuspectColumns`].
const PART_KIND: u32 = 0;
const CALL_KIND: u32 = 1;

/// Reports about suspects in a heartbeat. Each report has the same index in all columns of its
/// kind.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectColumns {
    /// Hashes of suspects that were in a crash.
    #[prost(fixed64, repeated, tag = "1")]
    pub crash_tags: Vec<u64>,
    /// Shortened keys of the upstreams that crashed, see [`UpstreamTag`].
    #[prost(fixed32, repeated, tag = "2")]
    pub crash_upstreams: Vec<u32>,
    /// Times since the crashes, in units of [`REPORT_AGE_MS`].
    #[prost(uint32, repeated, tag = "3")]
    pub crash_ages: Vec<u32>,
    /// Hashes of suspects that an upstream answered.
    #[prost(fixed64, repeated, tag = "4")]
    pub sound_tags: Vec<u64>,
    /// Times since the answers, in units of [`REPORT_AGE_MS`].
    #[prost(uint32, repeated, tag = "5")]
    pub sound_ages: Vec<u32>,
    /// Kinds of the suspects that were in a crash. Empty if all are parts, as in frames of earlier
    /// versions.
    #[prost(uint32, repeated, tag = "6")]
    pub crash_kinds: Vec<u32>,
    /// Kinds of the suspects that an upstream answered. Empty if all are parts.
    #[prost(uint32, repeated, tag = "7")]
    pub sound_kinds: Vec<u32>,
}

/// The column of the kinds of `tags`.
fn kinds_of<I: Iterator<Item = SuspectTag>>(tags: I) -> Vec<u32> {
    let kind = |tag| match tag {
        SuspectTag::Part(_) => PART_KIND,
        SuspectTag::Call(_) => CALL_KIND,
    };
    let kinds: Vec<u32> = tags.map(kind).collect();
    if kinds.iter().all(|&kind| kind == PART_KIND) {
        return Vec::new();
    }
    kinds
}

/// The suspect with this hash, whose kind has this index. `None` if the kind is unknown or missing.
fn suspect_of(hash: u64, kinds: &[u32], index: usize) -> Option<SuspectTag> {
    let kind = if kinds.is_empty() {
        PART_KIND
    } else {
        *kinds.get(index)?
    };
    match kind {
        PART_KIND => Some(SuspectTag::Part(PartTag(hash))),
        CALL_KIND => Some(SuspectTag::Call(CallTag(hash))),
        _ => None,
    }
}

impl SuspectColumns {
    /// Converts reports to columns, with their ages at `now`, a time of the clock of [`suspect_time`].
    pub fn new(reports: &SuspectReports, now: MonoTime) -> Self {
        let (crashes, sound) = (&reports.crashes, &reports.sound);
        Self {
            crash_tags: crashes.iter().map(|report| report.tag.hash()).collect(),
            crash_upstreams: crashes.iter().map(|report| report.upstream.0).collect(),
            crash_ages: crashes
                .iter()
                .map(|report| age_of_time(report.at, now))
                .collect(),
            sound_tags: sound.iter().map(|report| report.tag.hash()).collect(),
            sound_ages: sound
                .iter()
                .map(|report| age_of_time(report.at, now))
                .collect(),
            crash_kinds: kinds_of(crashes.iter().map(|report| report.tag)),
            sound_kinds: kinds_of(sound.iter().map(|report| report.tag)),
        }
    }

    /// Converts the columns to reports, with times of the clock of [`suspect_time`], which is at `now`.
    pub fn reports(&self, now: MonoTime) -> SuspectReports {
        let crashes = self.crash_tags.iter().zip(&self.crash_upstreams);
        let sound = self.sound_tags.iter().zip(&self.sound_ages);
        SuspectReports {
            crashes: crashes
                .zip(&self.crash_ages)
                .enumerate()
                .filter_map(|(index, ((&hash, &upstream), &age))| {
                    Some(CrashReport {
                        tag: suspect_of(hash, &self.crash_kinds, index)?,
                        upstream: UpstreamTag(upstream),
                        at: time_of_age(age, now),
                    })
                })
                .collect(),
            sound: sound
                .enumerate()
                .filter_map(|(index, (&hash, &age))| {
                    Some(SoundReport {
                        tag: suspect_of(hash, &self.sound_kinds, index)?,
                        at: time_of_age(age, now),
                    })
                })
                .collect(),
        }
    }
}

/// Rate limits of upstreams in a heartbeat. Each upstream has the same index in all columns.
#[derive(Clone, PartialEq, Message)]
pub struct RateColumns {
    /// Shortened keys of the upstreams, see [`UpstreamTag`].
    #[prost(fixed32, repeated, tag = "1")]
    pub tags: Vec<u32>,
    /// Thousandths of a request per second, plus one; 0 if the upstream sets no limit any longer.
    #[prost(uint32, repeated, tag = "2")]
    pub limits: Vec<u32>,
    /// Times since the upstreams said so, in units of [`REPORT_AGE_MS`].
    #[prost(uint32, repeated, tag = "3")]
    pub ages: Vec<u32>,
}

impl RateColumns {
    /// Converts reports to columns, with their ages at `now`.
    pub fn new(reports: &[RateReport], now: MonoTime) -> Self {
        let limit = |report: &RateReport| {
            let limit = report.limit.map(|limit| limit.milli().saturating_add(1));
            limit.unwrap_or(0)
        };
        Self {
            tags: reports.iter().map(|report| report.upstream.0).collect(),
            limits: reports.iter().map(limit).collect(),
            ages: reports
                .iter()
                .map(|report| age_of_time(report.at, now))
                .collect(),
        }
    }

    /// Converts the columns to reports, with times of the local clock, which is at `now`.
    pub fn reports(&self, now: MonoTime) -> impl Iterator<Item = RateReport> {
        let reports = self.tags.iter().zip(&self.limits).zip(&self.ages);
        reports.map(move |((&tag, &limit), &age)| RateReport {
            upstream: UpstreamTag(tag),
            limit: limit.checked_sub(1).map(RequestRate::from_milli),
            at: time_of_age(age, now),
        })
    }
}

/// Upstreams that leave, in a heartbeat. Each has the same index in all columns.
#[derive(Clone, PartialEq, Message)]
pub struct LeavingColumns {
    /// The starts of the upstreams, see [`UpstreamStart`].
    #[prost(fixed64, repeated, tag = "1")]
    pub starts: Vec<u64>,
    /// Times since the upstreams said so, in units of [`REPORT_AGE_MS`].
    #[prost(uint32, repeated, tag = "2")]
    pub ages: Vec<u32>,
}

impl LeavingColumns {
    /// Converts reports to columns, with their ages at `now`.
    pub fn new(reports: &[LeavingReport], now: MonoTime) -> Self {
        Self {
            starts: reports.iter().map(|report| report.upstream.0).collect(),
            ages: reports
                .iter()
                .map(|report| age_of_time(report.at, now))
                .collect(),
        }
    }

    /// Converts the columns to reports, with times of the local clock, which is at `now`.
    pub fn reports(&self, now: MonoTime) -> impl Iterator<Item = LeavingReport> {
        let reports = self.starts.iter().zip(&self.ages);
        reports.map(move |(&start, &age)| LeavingReport {
            upstream: UpstreamStart(start),
            at: time_of_age(age, now),
        })
    }
}

/// Cold upstreams in a heartbeat. Each has the same index in all columns.
#[derive(Clone, PartialEq, Message)]
pub struct ColdColumns {
    /// Shortened keys of the upstreams, see [`UpstreamTag`].
    #[prost(fixed32, repeated, tag = "1")]
    pub tags: Vec<u32>,
    /// Remaining cold times in units of [`REPORT_AGE_MS`], doubled; odd if the upstream is known to
    /// be up.
    #[prost(uint32, repeated, tag = "2")]
    pub remaining: Vec<u32>,
}

impl ColdColumns {
    /// Converts reports to columns.
    pub fn new(reports: &[ColdReport]) -> Self {
        let remaining = |report: &ColdReport| {
            let units = report.remaining.as_millis().div_ceil(REPORT_AGE_MS.into());
            let units = u32::try_from(units)
                .unwrap_or(u32::MAX / 2)
                .min(u32::MAX / 2);
            units * 2 + u32::from(report.is_up)
        };
        Self {
            tags: reports.iter().map(|report| report.upstream.0).collect(),
            remaining: reports.iter().map(remaining).collect(),
        }
    }

    /// Converts the columns to reports, as statements of the time `now`.
    pub fn reports(&self, now: MonoTime) -> impl Iterator<Item = ColdReport> {
        let reports = self.tags.iter().zip(&self.remaining);
        reports.map(move |(&tag, &remaining)| ColdReport {
            upstream: UpstreamTag(tag),
            remaining: Duration::from_millis(u64::from(remaining / 2) * REPORT_AGE_MS),
            is_up: remaining % 2 == 1,
            at: now,
        })
    }
}

/// Versions of streams, in a message between a router and the holders of its records. Each stream has
/// the same index in all columns.
#[derive(Clone, PartialEq, Message)]
pub struct StreamColumns {
    #[prost(fixed64, repeated, tag = "1")]
    pub streams: Vec<u64>,
    /// The versions that began the streams, see [`VersionTag`].
    #[prost(fixed64, repeated, tag = "2")]
    pub versions: Vec<u64>,
    /// Milliseconds for which the streams can still be taken up.
    #[prost(uint32, repeated, tag = "3")]
    pub left_ms: Vec<u32>,
    /// Streams whose versions the sender asks for.
    #[prost(fixed64, repeated, tag = "4")]
    pub asked: Vec<u64>,
    /// Streams whose versions the sender was asked for and does not know.
    #[prost(fixed64, repeated, tag = "5")]
    pub missing: Vec<u64>,
}

impl StreamColumns {
    /// Converts reports to columns, with the times left at `now`.
    pub fn new(reports: &[StreamReport], now: MonoTime) -> Self {
        let left = |report: &StreamReport| {
            u32::try_from(report.until.since(now).as_millis()).unwrap_or(u32::MAX)
        };
        Self {
            streams: reports.iter().map(|report| report.stream.0).collect(),
            versions: reports.iter().map(|report| report.version.0).collect(),
            left_ms: reports.iter().map(left).collect(),
            ..Self::default()
        }
    }

    /// Converts the columns to reports, with times of the local clock, which is at `now`.
    pub fn reports(&self, now: MonoTime) -> impl Iterator<Item = StreamReport> {
        let reports = self.streams.iter().zip(&self.versions).zip(&self.left_ms);
        reports.map(move |((&stream, &version), &left_ms)| StreamReport {
            stream: StreamTag(stream),
            version: VersionTag(version),
            until: now + Duration::from_millis(left_ms.into()),
        })
    }
}

/// A question for the upstreams that have parts of prompts cached, or a message that answers one. Each
/// list has the same index in all of its columns.
#[derive(Clone, PartialEq, Message)]
pub struct PartColumns {
    /// Parts that the sender asks for.
    #[prost(fixed64, repeated, tag = "1")]
    pub asked: Vec<u64>,
    /// Parts that the sender was asked for.
    #[prost(fixed64, repeated, tag = "2")]
    pub answered: Vec<u64>,
    /// The starts of the upstreams whose lists the sender has, see [`UpstreamStart`].
    #[prost(fixed64, repeated, tag = "3")]
    pub starts: Vec<u64>,
    /// The versions of these upstreams, see [`VersionTag`].
    #[prost(fixed64, repeated, tag = "4")]
    pub versions: Vec<u64>,
    /// Times since these upstreams were asked, in units of [`REPORT_AGE_MS`].
    #[prost(uint32, repeated, tag = "5")]
    pub ages: Vec<u32>,
    /// For each part that one of these upstreams has, the index of the upstream times the number of
    /// parts in `answered`, plus the index of the part.
    #[prost(uint32, repeated, tag = "6")]
    pub held: Vec<u32>,
    /// Number of messages of the answer; 0 in a question.
    #[prost(uint32, tag = "7")]
    pub messages: u32,
}

impl PartColumns {
    /// Creates a question.
    pub fn question(parts: &[PartTag]) -> Self {
        Self {
            asked: parts.iter().map(|part| part.0).collect(),
            ..Self::default()
        }
    }

    /// Converts a message of an answer to columns, with its ages at `now`.
    pub fn new(report: &PartReport, now: MonoTime) -> Self {
        let mut columns = Self {
            answered: report.asked.iter().map(|part| part.0).collect(),
            messages: u32::try_from(report.messages).unwrap_or(u32::MAX),
            ..Self::default()
        };
        for (index, list) in report.lists.iter().enumerate() {
            columns.starts.push(list.start.0);
            columns.versions.push(list.version.0);
            columns.ages.push(age_of_time(list.asked_at, now));
            let asked = report.asked.iter().enumerate();
            let held = asked.filter(|(_, part)| list.held.contains(part));
            let base = index * report.asked.len();
            columns
                .held
                .extend(held.map(|(part, _)| (base + part) as u32));
        }
        columns
    }

    /// Converts the columns to a message of an answer, with times of the local clock, which is at `now`.
    /// `None` if they are none.
    pub fn report(&self, now: MonoTime) -> Option<PartReport> {
        if self.messages == 0 {
            return None;
        }
        let starts = self.starts.iter().zip(&self.versions).zip(&self.ages);
        let mut lists: Vec<ListReport> = starts
            .map(|((&start, &version), &age)| ListReport {
                start: UpstreamStart(start),
                version: VersionTag(version),
                asked_at: time_of_age(age, now),
                held: Vec::new(),
            })
            .collect();
        let count = self.answered.len();
        for &held in &self.held {
            let held = held as usize;
            let index = held.checked_div(count)?;
            let part = PartTag(self.answered[held % count]);
            lists.get_mut(index)?.held.push(part);
        }
        Some(PartReport {
            asked: self.answered.iter().copied().map(PartTag).collect(),
            lists,
            messages: self.messages as usize,
        })
    }

    /// The parts that the sender asks for.
    pub fn questions(&self) -> Vec<PartTag> {
        self.asked.iter().copied().map(PartTag).collect()
    }
}

/// Number of software versions in one heartbeat.
const MAX_HEARTBEAT_VERSIONS: usize = 64;

/// The software versions that were in use. Each has the same index in all columns.
#[derive(Clone, PartialEq, Message)]
pub struct VersionColumns {
    /// Keys of the services.
    #[prost(fixed64, repeated, tag = "1")]
    pub services: Vec<u64>,
    /// Versions of the services, see [`VersionTag`].
    #[prost(fixed64, repeated, tag = "2")]
    pub versions: Vec<u64>,
    /// Milliseconds since the versions were last in use.
    #[prost(uint32, repeated, tag = "3")]
    pub ages_ms: Vec<u32>,
    /// Milliseconds since the time from which on the sender knows of all uses; `None` if there is no
    /// such time.
    #[prost(uint32, optional, tag = "4")]
    pub covered_ms: Option<u32>,
    /// Milliseconds since the time up to which the sender knows of all uses, one at least; 0 if it does
    /// not say.
    #[prost(uint32, tag = "5")]
    pub known_ms: u32,
}

/// Returns the age of a time in whole milliseconds, which are never more than it is.
fn age_ms(at: MonoTime, now: MonoTime) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

impl VersionColumns {
    /// Whether the versions fit into a heartbeat.
    pub fn fits_datagram(&self) -> bool {
        self.versions.len() <= MAX_HEARTBEAT_VERSIONS
    }

    /// Converts a report to columns, with its ages at `now`.
    pub fn new(report: &HistoryReport, now: MonoTime) -> Self {
        let now = history_time(now);
        let uses = &report.uses;
        Self {
            services: uses.iter().map(|entry| entry.service.0).collect(),
            versions: uses.iter().map(|entry| entry.version.0).collect(),
            ages_ms: uses
                .iter()
                .map(|entry| age_ms(entry.last_used, now))
                .collect(),
            covered_ms: report.covered_since.map(|since| age_ms(since, now)),
            known_ms: age_ms(report.covered_until, now).saturating_add(1),
        }
    }

    /// Converts the columns to a report, with times of the local clock, which is at `now`.
    pub fn report(&self, now: MonoTime) -> HistoryReport {
        let now = history_time(now);
        let time = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        let uses = self.services.iter().zip(&self.versions).zip(&self.ages_ms);
        HistoryReport {
            uses: uses
                .map(|((&service, &version), &age)| VersionUse {
                    service: ServiceKey(service),
                    version: VersionTag(version),
                    last_used: time(age),
                })
                .collect(),
            covered_since: self.covered_ms.filter(|_| self.known_ms > 0).map(time),
            covered_until: time(self.known_ms),
        }
    }
}

/// A heartbeat, sent as one UDP datagram.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatFrame {
    /// The record of the sender, followed by records of other members.
    #[prost(message, optional, tag = "1")]
    pub members: Option<MemberColumns>,
    /// Version of the configuration that the sender has in force.
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// Revision of the store up to which the sender has all changes.
    #[prost(uint64, tag = "3")]
    pub store_revision: u64,
    /// Loads of the busiest upstreams.
    #[prost(message, optional, tag = "4")]
    pub loads: Option<LoadColumns>,
    /// Milliseconds since the store had no newer revision than `store_revision`; `None` if the
    /// sender doesn't know, or is of an earlier version.
    #[prost(uint64, optional, tag = "5")]
    pub store_age_ms: Option<u64>,
    /// Reports about work that may crash upstreams. They take the place of loads.
    #[prost(message, optional, tag = "6")]
    pub suspects: Option<SuspectColumns>,
    /// Rate limits of upstreams. They take the place of loads.
    #[prost(message, optional, tag = "7")]
    pub rates: Option<RateColumns>,
    /// Era of `store_revision`; zero in frames of earlier versions. It takes the place of a load.
    #[prost(uint64, tag = "8")]
    pub store_era: u64,
    /// Upstreams that leave. They take no place of loads.
    #[prost(message, optional, tag = "9")]
    pub leaving: Option<LeavingColumns>,
    /// Versions of streams. A message about these has no other fields.
    #[prost(message, optional, tag = "10")]
    pub streams: Option<StreamColumns>,
    /// Whole seconds for which the sender knows of all software versions in use; `None` if that is long,
    /// or in frames of earlier versions.
    #[prost(uint32, optional, tag = "11")]
    pub covered_s: Option<u32>,
    /// Whole seconds since the sender's process started, up to a limit above the life of any stream.
    /// `None` in frames of earlier versions, whose senders may have started just now.
    #[prost(uint32, optional, tag = "13")]
    pub uptime_s: Option<u32>,
    /// The versions that were in use, for a router that knows of them for a shorter time.
    #[prost(message, optional, tag = "12")]
    pub versions: Option<VersionColumns>,
    /// Whether the sender has lately failed to read the store. False in frames of earlier versions,
    /// whose senders may have failed as well.
    #[prost(bool, tag = "14")]
    pub lacks_store: bool,
    /// Whether the sender takes a version for the only one after a read of the store alone. False in
    /// frames of earlier versions.
    #[prost(bool, tag = "15")]
    pub proves_versions: bool,
    /// Whether the sender answers questions for parts. False in frames of earlier versions.
    #[prost(bool, tag = "16")]
    pub answers_parts: bool,
    /// Upstreams that have parts of prompts cached. A message about these has no other fields.
    #[prost(message, optional, tag = "17")]
    pub parts: Option<PartColumns>,
    /// Cold upstreams. They take no place of loads.
    #[prost(message, optional, tag = "20")]
    pub cold: Option<ColdColumns>,
}

impl HeartbeatFrame {
    /// Adds the loads of the busiest upstreams, which come first in `loads`, reports about suspects,
    /// and rate limits.
    pub fn set_reports(
        &mut self,
        mut loads: Vec<UpstreamLoad>,
        suspects: &SuspectReports,
        rates: &[RateReport],
        now: MonoTime,
    ) {
        let mut displaced = if self.store_era > 0 { LOADS_PER_ERA } else { 0 };
        if !suspects.is_empty() {
            displaced += 1 + LOADS_PER_SUSPECT_REPORT * suspects.len();
            self.suspects = Some(SuspectColumns::new(suspects, suspect_time(now)));
        }
        if !rates.is_empty() {
            displaced += 1 + LOADS_PER_RATE_REPORT * rates.len();
            self.rates = Some(RateColumns::new(rates, now));
        }
        loads.truncate(MAX_HEARTBEAT_REPORTS.saturating_sub(displaced));
        self.loads = Some(LoadColumns::new(&loads, now));
    }

    /// State of the store up to which the sender has all changes.
    pub fn store_stamp(&self) -> StoreStamp {
        StoreStamp::new(self.store_era, self.store_revision)
    }

    /// Creates a message about the versions of streams.
    pub fn with_streams(streams: StreamColumns) -> Self {
        Self {
            streams: Some(streams),
            ..Self::default()
        }
    }

    /// Creates a message about cached parts of prompts.
    pub fn with_parts(parts: PartColumns) -> Self {
        Self {
            parts: Some(parts),
            ..Self::default()
        }
    }

    /// Adds upstreams that leave.
    pub fn set_leaving(&mut self, reports: &[LeavingReport], now: MonoTime) {
        self.leaving = (!reports.is_empty()).then(|| LeavingColumns::new(reports, now));
    }

    /// Adds cold upstreams.
    pub fn set_cold(&mut self, reports: &[ColdReport]) {
        self.cold = (!reports.is_empty()).then(|| ColdColumns::new(reports));
    }

    /// The sender's report of the store's newest state, if it has one.
    pub fn store_report(&self) -> Option<StoreReport> {
        self.store_age_ms.map(|age_ms| StoreReport {
            stamp: self.store_stamp(),
            age: Duration::from_millis(age_ms),
        })
    }
}

/// Requests documents that are newer than those of the requesting router.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct DocumentRequest {
    /// Version of the configuration that the requesting router has in force.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Revision of the store up to which the requesting router has all changes.
    #[prost(uint64, tag = "2")]
    pub store_revision: u64,
    /// Era of `store_revision`; zero in frames of earlier versions.
    #[prost(uint64, tag = "3")]
    pub store_era: u64,
}

impl DocumentRequest {
    /// State of the store up to which the requesting router has all changes.
    pub fn store_stamp(&self) -> StoreStamp {
        StoreStamp::new(self.store_era, self.store_revision)
    }
}

/// A written document or the removal of one.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentFrame {
    /// Key of the document in the store.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision of the store at the change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Content of the document; `None` if it was removed.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<Bytes>,
    /// Milliseconds for which a removed entry stays in use.
    #[prost(uint32, tag = "4")]
    pub hold_ms: u32,
    /// Era of `revision`; zero in frames of earlier versions.
    #[prost(uint64, tag = "5")]
    pub era: u64,
    /// Milliseconds for which a listed entry is not used, because the sender knew it removed before
    /// the store was restored.
    #[prost(uint32, tag = "6")]
    pub withheld_ms: u32,
}

/// The response to a [`DocumentRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct DocumentResponse {
    /// The changes that the requesting router lacks.
    #[prost(message, repeated, tag = "1")]
    pub documents: Vec<DocumentFrame>,
    /// Revision of the store up to which the changes are complete.
    #[prost(uint64, tag = "2")]
    pub store_revision: u64,
    /// Whether the documents are all that the sender has, not only those that changed.
    #[prost(bool, tag = "3")]
    pub full: bool,
    /// Era of `store_revision`; zero in frames of earlier versions.
    #[prost(uint64, tag = "4")]
    pub store_era: u64,
    /// Revision up to which documents may be older than the era.
    #[prost(uint64, tag = "5")]
    pub base_revision: u64,
    /// The versions that were in use, also of entries that the sender no longer has. `None` in
    /// responses of earlier versions.
    #[prost(message, optional, tag = "6")]
    pub versions: Option<VersionColumns>,
    /// State of the store up to which the sender knows the evacuations of data centres, which are among
    /// the documents. `None` in responses of earlier versions, which lack them.
    #[prost(message, optional, tag = "7")]
    pub evacuations: Option<EvacuationMark>,
}

/// State of the store up to which a router knows the evacuations of data centres.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct EvacuationMark {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    #[prost(uint64, tag = "2")]
    pub era: u64,
}

impl From<StoreStamp> for EvacuationMark {
    fn from(stamp: StoreStamp) -> Self {
        Self {
            revision: stamp.revision.0,
            era: stamp.era.0,
        }
    }
}

impl From<EvacuationMark> for StoreStamp {
    fn from(mark: EvacuationMark) -> Self {
        Self::new(mark.era, mark.revision)
    }
}

impl DocumentResponse {
    /// State of the store up to which the changes are complete.
    pub fn store_stamp(&self) -> StoreStamp {
        StoreStamp::new(self.store_era, self.store_revision)
    }

    /// State up to which documents may be older than the era.
    pub fn base(&self) -> StoreStamp {
        StoreStamp::new(self.store_era, self.base_revision)
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl From<StoreChange> for DocumentFrame {
    fn from(change: StoreChange) -> Self {
        let written = |item: StoreItem, withheld: Duration| Self {
            key: item.key,
            revision: item.stamp.revision.0,
            value: Some(item.value),
            hold_ms: 0,
            era: item.stamp.era.0,
            withheld_ms: millis(withheld),
        };
        match change {
            StoreChange::Written(item) => written(item, Duration::ZERO),
            StoreChange::Withheld { item, span } => written(item, span),
            StoreChange::Removed { key, stamp, grace } => Self {
                key,
                revision: stamp.revision.0,
                value: None,
                hold_ms: millis(grace),
                era: stamp.era.0,
                withheld_ms: 0,
            },
        }
    }
}

impl From<DocumentFrame> for StoreChange {
    fn from(frame: DocumentFrame) -> Self {
        let stamp = StoreStamp::new(frame.era, frame.revision);
        let Some(value) = frame.value else {
            return Self::Removed {
                key: frame.key,
                stamp,
                grace: Duration::from_millis(frame.hold_ms.into()),
            };
        };
        let item = StoreItem {
            key: frame.key,
            value,
            stamp,
        };
        match frame.withheld_ms {
            0 => Self::Written(item),
            withheld_ms => Self::Withheld {
                item,
                span: Duration::from_millis(withheld_ms.into()),
            },
        }
    }
}
