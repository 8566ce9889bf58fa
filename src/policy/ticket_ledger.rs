//! The only place where the tickets of one router run can be spent.
//!
//! The ledger lives in the memory of one incarnation. A ticket that it has not seen can be spent
//! once; from then on the ledger answers with what became of the call. When the owner is gone the
//! answer is `unknown`, unless the owner sealed the ledger and handed it to peers first.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{AccountKey, IncarnationId, ServiceKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::ticket::{CallTicket, TicketBody};

/// What is known of a call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The service answered.
    Done,
    /// The call did not run and never will.
    NotRun,
    /// The call may have run.
    Unknown,
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        })
    }
}

/// What became of a call, as its caller is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRecord {
    /// What is known.
    pub outcome: CallOutcome,
    /// Status of the service's answer, or of the refusal.
    pub status: u16,
    /// The service's answer, or the reason of the refusal.
    pub body: Bytes,
}

impl CallRecord {
    /// A record without an answer of the service.
    pub fn from_static(outcome: CallOutcome, status: u16, reason: &'static str) -> Self {
        Self {
            outcome,
            status,
            body: Bytes::from_static(reason.as_bytes()),
        }
    }
}

/// The answer of a ledger to a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpendVerdict {
    /// The ticket is spent now; run the call.
    Run,
    /// The call runs already; wait for its record.
    Running,
    /// The call has ended, or can't run.
    Ended(CallRecord),
}

/// Why no ticket was minted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MintRefusal {
    /// The account has as many unexpired tickets as it may.
    TooMany,
    /// The ledger is sealed.
    Sealed,
}

/// One spent ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerEntry {
    /// Its number.
    pub serial: u64,
    /// The account it belongs to.
    pub account: AccountKey,
    /// Hash of the request body it was spent on.
    pub body_digest: u64,
    /// What became of it; none while it runs.
    pub record: Option<CallRecord>,
    expires: MonoTime,
}

/// The tickets of one run of a router.
#[derive(Debug)]
pub struct TicketLedger {
    key: [u8; 32],
    owner: VmKey,
    incarnation: IncarnationId,
    next_serial: u64,
    entries: HashMap<u64, LedgerEntry>,
    /// Expiry times of the unexpired tickets, oldest first.
    minted: HashMap<AccountKey, VecDeque<MonoTime>>,
    sealed: bool,
}

impl TicketLedger {
    /// An empty ledger; `key` must be secret to this run.
    pub fn new(owner: VmKey, incarnation: IncarnationId, key: [u8; 32]) -> Self {
        Self {
            key,
            owner,
            incarnation,
            next_serial: 1,
            entries: HashMap::new(),
            minted: HashMap::new(),
            sealed: false,
        }
    }

    /// Mints a ticket, unless `limit` unexpired ones are out for the account.
    pub fn mint(
        &mut self,
        now: MonoTime,
        account: AccountKey,
        service: ServiceKey,
        life: Duration,
        limit: u32,
    ) -> Result<CallTicket, MintRefusal> {
        if self.sealed {
            return Err(MintRefusal::Sealed);
        }
        let out = self.minted.entry(account).or_default();
        while out.front().is_some_and(|&expires| expires <= now) {
            out.pop_front();
        }
        if out.len() >= limit as usize {
            return Err(MintRefusal::TooMany);
        }
        let expires = now + life;
        out.push_back(expires);
        let body = TicketBody {
            owner: self.owner.0,
            incarnation: self.incarnation.0,
            account: account.0,
            service: service.0,
            serial: self.next_serial,
            expires_ms: expires.0.as_millis() as u64,
        };
        self.next_serial += 1;
        Ok(CallTicket::seal(body, &self.key))
    }

    /// Spends a ticket on a request, or tells what became of it.
    pub fn spend(
        &mut self,
        now: MonoTime,
        ticket: &CallTicket,
        account: AccountKey,
        service: ServiceKey,
        body_digest: u64,
    ) -> SpendVerdict {
        let body = &ticket.body;
        let own = body.owner() == self.owner && body.incarnation() == self.incarnation;
        if !own || !ticket.is_sealed(&self.key) {
            return ended(CallOutcome::Unknown, 409, "ticket of another owner");
        }
        if body.account() != account || body.service() != service {
            return ended(
                CallOutcome::Unknown,
                403,
                "ticket of another account or service",
            );
        }
        if let Some(entry) = self.entries.get(&body.serial) {
            return entry.verdict(account, body_digest);
        }
        if now.0.as_millis() as u64 >= body.expires_ms {
            return ended(CallOutcome::Unknown, 410, "ticket has expired");
        }
        self.entries.insert(
            body.serial,
            LedgerEntry {
                serial: body.serial,
                account,
                body_digest,
                record: None,
                expires: MonoTime(Duration::from_millis(body.expires_ms)),
            },
        );
        if self.sealed {
            let record = CallRecord::from_static(CallOutcome::NotRun, 503, "draining");
            self.settle(body.serial, record.clone());
            return SpendVerdict::Ended(record);
        }
        SpendVerdict::Run
    }

    /// Writes down what became of a call. The first record stays.
    pub fn settle(&mut self, serial: u64, record: CallRecord) {
        if let Some(entry) = self.entries.get_mut(&serial) {
            entry.record.get_or_insert(record);
        }
    }

    /// Forgets ended calls whose tickets have expired.
    pub fn expire(&mut self, now: MonoTime) {
        self.entries
            .retain(|_, entry| entry.record.is_none() || entry.expires > now);
        self.minted
            .retain(|_, out| out.back().is_some_and(|&expires| expires > now));
    }

    /// Refuses everything from now on. Calls that run may still settle.
    pub fn seal(&mut self) {
        self.sealed = true;
    }

    /// Calls that run.
    pub fn running(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.record.is_none())
            .count()
    }

    /// Spent tickets that the ledger remembers.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the ledger remembers nothing.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What peers need in order to answer for this ledger: seals it first. A call that still runs
    /// is handed over as unknown.
    pub fn hand_over(&mut self) -> HandedOverLedger {
        self.seal();
        let entries = self.entries.values().cloned().map(LedgerEntry::closed);
        HandedOverLedger {
            owner: self.owner,
            incarnation: self.incarnation,
            entries: entries.map(|entry| (entry.serial, entry)).collect(),
        }
    }
}

impl LedgerEntry {
    /// An entry as a peer receives it.
    pub fn from_peer(
        serial: u64,
        account: AccountKey,
        body_digest: u64,
        record: CallRecord,
    ) -> Self {
        Self {
            serial,
            account,
            body_digest,
            record: Some(record),
            expires: MonoTime::default(),
        }
    }

    fn closed(mut self) -> Self {
        self.record.get_or_insert_with(|| {
            CallRecord::from_static(CallOutcome::Unknown, 504, "owner stopped")
        });
        self
    }

    fn verdict(&self, account: AccountKey, body_digest: u64) -> SpendVerdict {
        if self.account != account {
            return ended(CallOutcome::Unknown, 403, "ticket of another account");
        }
        if self.body_digest != body_digest {
            return ended(
                CallOutcome::Unknown,
                409,
                "ticket was spent on another body",
            );
        }
        match &self.record {
            Some(record) => SpendVerdict::Ended(record.clone()),
            None => SpendVerdict::Running,
        }
    }
}

/// The sealed ledger of a router that has stopped, as its peers hold it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HandedOverLedger {
    /// The VM that owned it.
    pub owner: VmKey,
    /// The run that owned it.
    pub incarnation: IncarnationId,
    /// Every spent ticket by its number.
    pub entries: HashMap<u64, LedgerEntry>,
}

impl HandedOverLedger {
    /// Tells what became of a ticket. One that is not in a sealed ledger never ran.
    pub fn lookup(&self, ticket: &CallTicket, account: AccountKey, body_digest: u64) -> CallRecord {
        if ticket.body.account() != account {
            return CallRecord::from_static(CallOutcome::Unknown, 403, "ticket of another account");
        }
        let Some(entry) = self.entries.get(&ticket.body.serial) else {
            return CallRecord::from_static(
                CallOutcome::NotRun,
                503,
                "owner stopped before it ran",
            );
        };
        match entry.verdict(account, body_digest) {
            SpendVerdict::Ended(record) => record,
            _ => CallRecord::from_static(CallOutcome::Unknown, 504, "owner stopped"),
        }
    }
}

fn ended(outcome: CallOutcome, status: u16, reason: &'static str) -> SpendVerdict {
    SpendVerdict::Ended(CallRecord::from_static(outcome, status, reason))
}
