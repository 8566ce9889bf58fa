//! Messages between forwarding routers.

use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use crate::dialect::LoadReport;
use crate::fleet::member_table::{MemberRecord, MemberStage};
use crate::fleet::store_view::{StoreChange, StoreItem, StoreRevision};
use crate::ids::IncarnationId;
use crate::mono::MonoTime;
use crate::policy::latest_loads::{UpstreamLoad, UpstreamTag};

/// Members, as a heartbeat tells them: one place in each column a member.
#[derive(Clone, PartialEq, Message)]
pub struct MemberColumns {
    /// IPv4 addresses.
    #[prost(fixed32, repeated, tag = "1")]
    pub addresses: Vec<u32>,
    /// Runs of the processes.
    #[prost(fixed64, repeated, tag = "2")]
    pub incarnations: Vec<u64>,
    /// 1 booting, 2 serving, 3 leaving; and four times the milliseconds since the sender heard of
    /// the member.
    #[prost(uint32, repeated, tag = "3")]
    pub states: Vec<u32>,
}

impl MemberColumns {
    /// Adds a record that was heard `age` ago.
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
    }

    /// The records and their ages, without those of unknown stage.
    pub fn records(&self) -> impl Iterator<Item = (MemberRecord, Duration)> {
        let columns = self.addresses.iter().zip(&self.incarnations);
        columns
            .zip(&self.states)
            .filter_map(|((&address, &incarnation), &state)| {
                let stage = match state & 3 {
                    1 => MemberStage::Booting,
                    2 => MemberStage::Serving,
                    3 => MemberStage::Leaving,
                    _ => return None,
                };
                let record = MemberRecord {
                    address: Ipv4Addr::from_bits(address),
                    incarnation: IncarnationId(incarnation),
                    stage,
                };
                Some((record, Duration::from_millis((state >> 2).into())))
            })
    }
}

/// Unit of the ages of loads, in milliseconds: one byte holds the ages that are passed on.
const LOAD_AGE_MS: u64 = 10;

/// Loads of upstreams, as a heartbeat tells them: one place in each column an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct LoadColumns {
    /// Tags of the upstreams.
    #[prost(fixed32, repeated, tag = "1")]
    pub tags: Vec<u32>,
    /// Calls that run.
    #[prost(uint32, repeated, tag = "2")]
    pub running: Vec<u32>,
    /// Calls that wait.
    #[prost(uint32, repeated, tag = "3")]
    pub waiting: Vec<u32>,
    /// Time since the upstream was at this load, in units of [`LOAD_AGE_MS`].
    #[prost(uint32, repeated, tag = "4")]
    pub ages: Vec<u32>,
}

impl LoadColumns {
    /// The columns of `words` at `now`.
    pub fn new(words: &[UpstreamLoad], now: MonoTime) -> Self {
        let age = |word: &UpstreamLoad| {
            let age = now.since(word.at).as_millis() / u128::from(LOAD_AGE_MS);
            u32::try_from(age).unwrap_or(u32::MAX)
        };
        Self {
            tags: words.iter().map(|word| word.upstream.0).collect(),
            running: words.iter().map(|word| word.load.running).collect(),
            waiting: words.iter().map(|word| word.load.waiting).collect(),
            ages: words.iter().map(age).collect(),
        }
    }

    /// The reports by the clock of which it is `now`.
    pub fn words(&self, now: MonoTime) -> impl Iterator<Item = UpstreamLoad> {
        let loads = self.running.iter().zip(&self.waiting);
        let words = self.tags.iter().zip(loads).zip(&self.ages);
        words.map(move |((&tag, (&running, &waiting)), &age)| UpstreamLoad {
            upstream: UpstreamTag(tag),
            load: LoadReport { running, waiting },
            at: now.back(Duration::from_millis(LOAD_AGE_MS * u64::from(age))),
        })
    }
}

/// A heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatFrame {
    /// The sender, then members that it heard of.
    #[prost(message, optional, tag = "1")]
    pub members: Option<MemberColumns>,
    /// Version of the configuration that the sender has in force.
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// Revision of the store up to which the sender knows all changes.
    #[prost(uint64, tag = "3")]
    pub store_revision: u64,
    /// Loads of the busiest upstreams.
    #[prost(message, optional, tag = "4")]
    pub loads: Option<LoadColumns>,
}

/// Asks a peer for documents that are newer.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct DocumentAsk {
    /// Version of the configuration that the asker has in force.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Revision of the store up to which the asker knows all changes.
    #[prost(uint64, tag = "2")]
    pub store_revision: u64,
}

/// A document or its removal.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentFrame {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision of the change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Its content; none if it was removed.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<Bytes>,
    /// Milliseconds that a removed entry is still used.
    #[prost(uint32, tag = "4")]
    pub hold_ms: u32,
}

/// Documents that are newer than what was asked with.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentGive {
    /// The documents.
    #[prost(message, repeated, tag = "1")]
    pub documents: Vec<DocumentFrame>,
    /// Revision of the store up to which they are complete.
    #[prost(uint64, tag = "2")]
    pub store_revision: u64,
}

impl From<StoreChange> for DocumentFrame {
    fn from(change: StoreChange) -> Self {
        match change {
            StoreChange::Written(item) => Self {
                key: item.key,
                revision: item.revision.0,
                value: Some(item.value),
                hold_ms: 0,
            },
            StoreChange::Removed {
                key,
                revision,
                grace,
            } => Self {
                key,
                revision: revision.0,
                value: None,
                hold_ms: u32::try_from(grace.as_millis()).unwrap_or(u32::MAX),
            },
        }
    }
}

impl From<DocumentFrame> for StoreChange {
    fn from(frame: DocumentFrame) -> Self {
        let revision = StoreRevision(frame.revision);
        match frame.value {
            Some(value) => Self::Written(StoreItem {
                key: frame.key,
                value,
                revision,
            }),
            None => Self::Removed {
                key: frame.key,
                revision,
                grace: Duration::from_millis(frame.hold_ms.into()),
            },
        }
    }
}
