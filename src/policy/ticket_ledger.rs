//! The ledger of one router incarnation, the only place where its tickets can be spent.
//!
//! The ledger is kept in the memory of that incarnation, the owner of its tickets. A ticket can be
//! spent once; later attempts return the outcome of the call. When the owner is unreachable the
//! outcome is `unknown`, unless the owner sealed its ledger and handed it over to peers before it
//! stopped.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{AccountKey, IncarnationId, ServiceKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::ticket::{CallTicket, TicketBody};

/// What is known about a call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The service responded.
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

/// The result of a call as it is reported to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRecord {
    pub outcome: CallOutcome,
    /// HTTP status of the service's response, or of the refusal.
    pub status: u16,
    /// Body of the service's response, or the reason of the refusal.
    pub body: Bytes,
}

impl CallRecord {
    /// Creates a record whose body is the fixed text `reason`, for a call without a response of the
    /// service.
    pub fn from_static(outcome: CallOutcome, status: u16, reason: &'static str) -> Self {
        Self {
            outcome,
            status,
            body: Bytes::from_static(reason.as_bytes()),
        }
    }
}

/// The result of an attempt to spend a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpendVerdict {
    /// The ticket is now spent and the caller must run the call.
    Run,
    /// The call is already running; its record will follow.
    Running,
    /// The call has ended or can't run.
    Ended(CallRecord),
}

/// The reason why no ticket was minted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MintRefusal {
    /// The account has reached its limit of unexpired tickets.
    TooMany,
    /// The ledger is sealed because the router is draining.
    Sealed,
}

/// One spent ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerEntry {
    pub serial: u64,
    pub account: AccountKey,
    /// Hash of the request body that the ticket was spent on.
    pub body_digest: u64,
    /// The result of the call, or `None` while it runs.
    pub record: Option<CallRecord>,
    expires: MonoTime,
}

/// The tickets of one router incarnation.
#[derive(Debug)]
pub struct TicketLedger {
    key: [u8; 32],
    owner: VmKey,
    incarnation: IncarnationId,
    next_serial: u64,
    entries: HashMap<u64, LedgerEntry>,
    /// Expiry times of the unexpired tickets by account, oldest first.
    unexpired: HashMap<AccountKey, VecDeque<MonoTime>>,
    sealed: bool,
}

impl TicketLedger {
    /// Creates an empty ledger. `key` signs the tickets and must be known to this incarnation only.
    pub fn new(owner: VmKey, incarnation: IncarnationId, key: [u8; 32]) -> Self {
        Self {
            key,
            owner,
            incarnation,
            next_serial: 1,
            entries: HashMap::new(),
            unexpired: HashMap::new(),
            sealed: false,
        }
    }

    /// Mints a ticket, unless the account already has `limit` unexpired ones.
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
        let tickets = self.unexpired.entry(account).or_default();
        while tickets.front().is_some_and(|&expires| expires <= now) {
            tickets.pop_front();
        }
        if tickets.len() >= limit as usize {
            return Err(MintRefusal::TooMany);
        }
        let expires = now + life;
        tickets.push_back(expires);
        let body = TicketBody {
            owner: self.owner.0,
            incarnation: self.incarnation.0,
            account: account.0,
            service: service.0,
            serial: self.next_serial,
            expires_ms: expires.0.as_millis() as u64,
        };
        self.next_serial += 1;
        Ok(CallTicket::sign(body, &self.key))
    }

    /// Spends a ticket on a request, or returns the result of the call that it was spent on.
    pub fn spend(
        &mut self,
        now: MonoTime,
        ticket: &CallTicket,
        account: AccountKey,
        service: ServiceKey,
        body_digest: u64,
    ) -> SpendVerdict {
        let body = &ticket.body;
        let is_owner = body.owner() == self.owner && body.incarnation() == self.incarnation;
        if !is_owner || !ticket.is_signed_with(&self.key) {
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

    /// Stores the result of a call. An earlier record is not overwritten.
    pub fn settle(&mut self, serial: u64, record: CallRecord) {
        if let Some(entry) = self.entries.get_mut(&serial) {
            entry.record.get_or_insert(record);
        }
    }

    /// Removes ended calls whose tickets have expired.
    pub fn expire(&mut self, now: MonoTime) {
        self.entries
            .retain(|_, entry| entry.record.is_none() || entry.expires > now);
        self.unexpired
            .retain(|_, tickets| tickets.back().is_some_and(|&expires| expires > now));
    }

    /// Stops minting tickets. Tickets that are presented from now on get the outcome `not_run`, and
    /// running calls may still settle.
    pub fn seal(&mut self) {
        self.sealed = true;
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.record.is_none())
            .count()
    }

    /// Returns the number of spent tickets in the ledger.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Seals the ledger and returns the copy that peers use once this router has stopped. A call
    /// that still runs is handed over with the outcome `unknown`.
    pub fn hand_over(&mut self) -> HandedOverLedger {
        self.seal();
        let entries = self.entries.values().cloned().map(LedgerEntry::into_ended);
        HandedOverLedger {
            owner: self.owner,
            incarnation: self.incarnation,
            entries: entries.map(|entry| (entry.serial, entry)).collect(),
        }
    }
}

impl LedgerEntry {
    /// Creates an entry of a ledger that was received from its owner.
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

    fn into_ended(mut self) -> Self {
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

/// The sealed ledger of a stopped router, as its peers store it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HandedOverLedger {
    /// VM of the router that owned the ledger.
    pub owner: VmKey,
    /// Incarnation of the router that owned the ledger.
    pub incarnation: IncarnationId,
    /// The spent tickets by serial number.
    pub entries: HashMap<u64, LedgerEntry>,
}

impl HandedOverLedger {
    /// Returns the result of the call of a ticket. A ticket without an entry was never spent, and
    /// can't be spent any more because the ledger is sealed.
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
