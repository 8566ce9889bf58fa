//! Messages between forwarding routers.

use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use crate::fleet::member_table::{MemberRecord, MemberStage};
use crate::fleet::store_belief::{StoreChange, StoreItem, StoreRevision};
use crate::ids::IncarnationId;

/// A member, as a heartbeat tells it.
#[derive(Clone, PartialEq, Message)]
pub struct MemberFrame {
    /// IPv4 address.
    #[prost(fixed32, tag = "1")]
    pub address: u32,
    /// Run of the process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// 1 booting, 2 serving, 3 leaving.
    #[prost(uint32, tag = "3")]
    pub stage: u32,
    /// Milliseconds since the sender heard of it.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
}

impl MemberFrame {
    /// The frame of a record that was heard `age` ago.
    pub fn new(record: &MemberRecord, age: Duration) -> Self {
        Self {
            address: record.address.to_bits(),
            incarnation: record.incarnation.0,
            stage: match record.stage {
                MemberStage::Booting => 1,
                MemberStage::Serving => 2,
                MemberStage::Leaving => 3,
            },
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// The record and its age; none if the stage is unknown.
    pub fn record(&self) -> Option<(MemberRecord, Duration)> {
        let stage = match self.stage {
            1 => MemberStage::Booting,
            2 => MemberStage::Serving,
            3 => MemberStage::Leaving,
            _ => return None,
        };
        let record = MemberRecord {
            address: Ipv4Addr::from_bits(self.address),
            incarnation: IncarnationId(self.incarnation),
            stage,
        };
        Some((record, Duration::from_millis(self.age_ms.into())))
    }
}

/// A heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatFrame {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<MemberFrame>,
    /// Members that the sender heard of.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<MemberFrame>,
    /// Version of the configuration that the sender has in force.
    #[prost(uint64, tag = "3")]
    pub config_version: u64,
    /// Revision of the store up to which the sender knows all changes.
    #[prost(uint64, tag = "4")]
    pub store_revision: u64,
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
                hold,
            } => Self {
                key,
                revision: revision.0,
                value: None,
                hold_ms: u32::try_from(hold.as_millis()).unwrap_or(u32::MAX),
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
                hold: Duration::from_millis(frame.hold_ms.into()),
            },
        }
    }
}
