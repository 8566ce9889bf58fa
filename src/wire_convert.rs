//! Turns records of the decisions into messages and back.

use std::collections::HashMap;

use crate::ids::{AccountKey, EngineKey, IncarnationId, RequestKey, VmKey};
use crate::policy::request_scheduler::{ANY_REQUEST, RequestScheduler, SchedulerStep};
use crate::policy::slot_counts::{EngineLoad, SlotKind, SlotResponse};
use crate::policy::ticket_ledger::{CallOutcome, CallRecord, HandedOverLedger, LedgerEntry};
use crate::rules::WorkRank;
use crate::wire::{
    HandedOverEntry, LedgerHandover, LoadEntry, LoadTotal, PeerBody, RecordEntry, SlotRelease,
    SlotReply, SlotRequest,
};

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
            headroom: load.headroom,
        }
    }
}

impl From<LoadEntry> for EngineLoad {
    fn from(entry: LoadEntry) -> Self {
        Self {
            engine: EngineKey(entry.engine),
            running: entry.running,
            headroom: entry.headroom,
        }
    }
}

impl From<&HandedOverLedger> for LedgerHandover {
    fn from(ledger: &HandedOverLedger) -> Self {
        let entries = ledger.entries.values().map(|entry| HandedOverEntry {
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

impl From<LedgerHandover> for HandedOverLedger {
    fn from(handover: LedgerHandover) -> Self {
        let mut entries = HashMap::new();
        for entry in handover.entries {
            let record = entry.record.unwrap_or_default().into();
            let account = AccountKey(entry.account);
            let handed = LedgerEntry::from_peer(entry.serial, account, entry.body_digest, record);
            entries.insert(entry.serial, handed);
        }
        Self {
            owner: VmKey(handover.owner),
            incarnation: IncarnationId(handover.incarnation),
            entries,
        }
    }
}

impl From<SlotReply> for SlotResponse {
    fn from(reply: SlotReply) -> Self {
        match (reply.granted, reply.headroom) {
            (false, _) => Self::Full,
            (true, false) => Self::Granted(SlotKind::Shared),
            (true, true) => Self::Granted(SlotKind::Headroom),
        }
    }
}

/// The answer to an ask, as a message.
pub fn slot_reply(
    request: RequestKey,
    engine: EngineKey,
    answer: SlotResponse,
    total: u32,
) -> SlotReply {
    SlotReply {
        request: request.0,
        engine: engine.0,
        granted: answer != SlotResponse::Full,
        headroom: answer == SlotResponse::Granted(SlotKind::Headroom),
        total,
    }
}

/// A message and the router that it is for.
#[derive(Clone, Debug)]
pub struct AddressedMessage {
    /// The router; none for every other one.
    pub to: Option<VmKey>,
    /// The message.
    pub body: PeerBody,
}

/// The message that a step of the scheduler sends to other routers, if it sends one. Messages
/// about slots also tell the sender's total, so that others know it without a message of its own.
pub fn step_message(
    scheduler: &RequestScheduler,
    step: &SchedulerStep,
) -> Option<AddressedMessage> {
    let (to, body) = match *step {
        SchedulerStep::RequestSlot {
            request,
            rank,
            engine,
            slot_owner,
            wait,
        } => {
            let ask = SlotRequest {
                request: request.0,
                engine: engine.0,
                rank: rank.index() as u32,
                wait,
                total: scheduler.own_running(engine),
            };
            (Some(slot_owner), PeerBody::SlotRequest(ask))
        }
        SchedulerStep::Grant {
            engine,
            router,
            kind,
        } => {
            let total = scheduler.own_running(engine);
            let reply = slot_reply(ANY_REQUEST, engine, SlotResponse::Granted(kind), total);
            (Some(router), PeerBody::SlotReply(reply))
        }
        SchedulerStep::Release {
            engine,
            slot_owner,
            kind,
        } => {
            let release = SlotRelease {
                engine: engine.0,
                headroom: kind == SlotKind::Headroom,
                total: scheduler.own_running(engine),
            };
            (Some(slot_owner), PeerBody::SlotRelease(release))
        }
        SchedulerStep::Announce { model, running } => {
            let total = LoadTotal {
                model: model.0,
                running,
                waiting: scheduler.waiting_total(),
            };
            (None, PeerBody::LoadTotal(total))
        }
        SchedulerStep::Run { .. }
        | SchedulerStep::Preempt { .. }
        | SchedulerStep::Refuse { .. } => return None,
    };
    Some(AddressedMessage { to, body })
}

/// The kind of slot that a message names.
pub fn kind_from_wire(headroom: bool) -> SlotKind {
    if headroom {
        SlotKind::Headroom
    } else {
        SlotKind::Shared
    }
}

/// The rank that a message numbers; one that is out of range counts as the least urgent.
pub fn rank_from_wire(number: u32) -> WorkRank {
    let index = usize::try_from(number).unwrap_or(usize::MAX);
    WorkRank::ALL.get(index).copied().unwrap_or(WorkRank::Long)
}
