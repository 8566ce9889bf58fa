//! Turns records of the decisions into messages and back.

use std::collections::HashMap;

use crate::ids::{AccountKey, EngineKey, IncarnationId, VmKey};
use crate::policy::slot_steward::EngineLoad;
use crate::policy::ticket_ledger::{CallOutcome, CallRecord, HandedLedger, LedgerEntry};
use crate::rules::WorkRank;
use crate::wire::{HandedEntry, LedgerHandover, LoadEntry, RecordEntry};

impl From<&CallRecord> for RecordEntry {
    fn from(record: &CallRecord) -> Self {
        let outcome = match record.outcome {
            CallOutcome::Unknown => 0,
            CallOutcome::Done => 1,
            CallOutcome::NotRun => 2,
        };
        Self {
            outcome,
            status: u32::from(record.status),
            body: record.body.clone(),
        }
    }
}

impl From<RecordEntry> for CallRecord {
    fn from(entry: RecordEntry) -> Self {
        let outcome = match entry.outcome {
            1 => CallOutcome::Done,
            2 => CallOutcome::NotRun,
            _ => CallOutcome::Unknown,
        };
        Self {
            outcome,
            status: u16::try_from(entry.status).unwrap_or(502),
            body: entry.body,
        }
    }
}

impl From<EngineLoad> for LoadEntry {
    fn from(load: EngineLoad) -> Self {
        Self {
            engine: load.engine.0,
            running: load.running,
        }
    }
}

impl From<LoadEntry> for EngineLoad {
    fn from(entry: LoadEntry) -> Self {
        Self {
            engine: EngineKey(entry.engine),
            running: entry.running,
        }
    }
}

impl From<&HandedLedger> for LedgerHandover {
    fn from(ledger: &HandedLedger) -> Self {
        let entries = ledger.entries.values().map(|entry| HandedEntry {
            serial: entry.serial,
            account: entry.account.0,
            body_digest: entry.body_digest,
            record: entry.record.as_ref().map(RecordEntry::from),
        });
        Self {
            owner: ledger.owner.0,
            incarnation: ledger.incarnation.0,
            entries: entries.collect(),
        }
    }
}

impl From<LedgerHandover> for HandedLedger {
    fn from(handover: LedgerHandover) -> Self {
        let mut entries = HashMap::new();
        for entry in handover.entries {
            let record = entry.record.unwrap_or_default().into();
            let account = AccountKey(entry.account);
            let handed = LedgerEntry::handed(entry.serial, account, entry.body_digest, record);
            entries.insert(entry.serial, handed);
        }
        Self {
            owner: VmKey(handover.owner),
            incarnation: IncarnationId(handover.incarnation),
            entries,
        }
    }
}

/// The rank that a message numbers; one that is out of range counts as the least urgent.
pub fn rank_from_wire(number: u32) -> WorkRank {
    let index = usize::try_from(number).unwrap_or(usize::MAX);
    WorkRank::ALL.get(index).copied().unwrap_or(WorkRank::Long)
}
