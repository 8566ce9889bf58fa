//! Ticketed calls: the ledger of this run, relays to other owners, and ledgers handed over.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use xxhash_rust::xxh3::xxh3_64;

use crate::control::event::{CallPlan, CallReplySender, TicketRequest, TicketedCall};
use crate::control::peer_controller::PeerController;
use crate::ids::{AccountKey, IncarnationId, ServiceKey, VmKey};
use crate::mono::MonoTime;
use crate::peer::PeerMailbox;
use crate::policy::ticket::CallTicket;
use crate::policy::ticket_ledger::{
    CallOutcome, CallRecord, HandedOverLedger, SpendVerdict, TicketLedger,
};
use crate::rules::RuleBook;
use crate::wire::{CallAsk, CallReply, LedgerAck, LedgerHandover, PeerBody};

/// How much longer than the service a relay may take.
const RELAY_MARGIN: Duration = Duration::from_secs(1);

/// Who waits for the record of a call.
#[derive(Debug)]
enum RecordWaiter {
    /// A caller of this router.
    Caller(CallReplySender),
    /// A router that relayed the call.
    Peer { relay: u64, mailbox: PeerMailbox },
}

#[derive(Debug)]
struct PendingRelay {
    waiter: CallReplySender,
    /// Peers that have not answered yet.
    asked: Vec<VmKey>,
    deadline: MonoTime,
}

#[derive(Debug)]
struct HeldLedger {
    ledger: HandedOverLedger,
    forget_at: MonoTime,
}

/// Everything about calls that may run at most once.
#[derive(Debug)]
pub struct CallController {
    own: VmKey,
    incarnation: IncarnationId,
    ledger: TicketLedger,
    plans: UnboundedSender<CallPlan>,
    waiters: HashMap<u64, Vec<RecordWaiter>>,
    relays: HashMap<u64, PendingRelay>,
    next_relay: u64,
    held: HashMap<IncarnationId, HeldLedger>,
    /// Peers that hold this router's sealed ledger.
    acked: Vec<VmKey>,
}

impl CallController {
    /// A controller whose calls go to `plans` to be run.
    pub fn new(
        own: VmKey,
        incarnation: IncarnationId,
        ledger: TicketLedger,
        plans: UnboundedSender<CallPlan>,
    ) -> Self {
        Self {
            own,
            incarnation,
            ledger,
            plans,
            waiters: HashMap::new(),
            relays: HashMap::new(),
            next_relay: 1,
            held: HashMap::new(),
            acked: Vec::new(),
        }
    }

    /// Mints a ticket.
    pub fn mint(&mut self, now: MonoTime, ask: TicketRequest, rules: &RuleBook) {
        let life = rules.ticket_life.0;
        let limit = rules.tickets_per_account;
        let ticket = self.ledger.mint(now, ask.account, ask.service, life, limit);
        let _ = ask.reply.send(ticket);
    }

    /// Takes a call of a caller of this router.
    pub fn call(
        &mut self,
        now: MonoTime,
        offer: TicketedCall,
        rules: &RuleBook,
        peers: &PeerController,
    ) {
        let body = &offer.ticket.body;
        let (owner, incarnation) = (body.owner(), body.incarnation());
        if owner == self.own && incarnation == self.incarnation {
            let waiter = RecordWaiter::Caller(offer.reply);
            self.spend(
                now,
                &offer.ticket,
                offer.account,
                offer.service,
                offer.body,
                waiter,
            );
        } else if let Some(held) = self.held.get(&incarnation) {
            let digest = xxh3_64(&offer.body);
            let record = held.ledger.lookup(&offer.ticket, offer.account, digest);
            let _ = offer.reply.send(record);
        } else {
            self.relay(now, offer, rules, peers);
        }
    }

    /// Takes a call that another router relays.
    pub fn handle_relayed_call(&mut self, now: MonoTime, ask: CallAsk, mailbox: PeerMailbox) {
        let relay = ask.relay;
        let waiter = RecordWaiter::Peer { relay, mailbox };
        let Ok(ticket) = ask.ticket.parse::<CallTicket>() else {
            waiter.tell(unknown(400, "not a ticket"));
            return;
        };
        let account = AccountKey(ask.account);
        let incarnation = ticket.body.incarnation();
        if let Some(held) = self.held.get(&incarnation) {
            waiter.tell(held.ledger.lookup(&ticket, account, xxh3_64(&ask.body)));
        } else if incarnation == self.incarnation {
            self.spend(
                now,
                &ticket,
                account,
                ServiceKey(ask.service),
                ask.body,
                waiter,
            );
        } else {
            waiter.tell(unknown(504, "not the owner"));
        }
    }

    /// Takes a peer's answer to a relay. `unknown` from one peer leaves the others to be heard.
    pub fn handle_call_reply(&mut self, peer: VmKey, reply: CallReply) {
        let Some(pending) = self.relays.get_mut(&reply.relay) else {
            return;
        };
        pending.asked.retain(|&asked| asked != peer);
        let record = CallRecord::from(reply.record.unwrap_or_default());
        let is_last = pending.asked.is_empty();
        if record.outcome == CallOutcome::Unknown && !is_last {
            return;
        }
        if let Some(pending) = self.relays.remove(&reply.relay) {
            let _ = pending.waiter.send(record);
        }
    }

    /// Gives up relays to a peer whose connection ended: what it did is not known.
    pub fn peer_down(&mut self, peer: VmKey) {
        for pending in self.relays.values_mut() {
            pending.asked.retain(|&asked| asked != peer);
        }
        let dead: Vec<u64> = self
            .relays
            .iter()
            .filter(|(_, pending)| pending.asked.is_empty())
            .map(|(&relay, _)| relay)
            .collect();
        self.give_up(dead, "the owner's connection ended");
    }

    /// Takes the end of a call.
    pub fn settle(&mut self, serial: u64, record: &CallRecord) {
        self.ledger.settle(serial, record.clone());
        for waiter in self.waiters.remove(&serial).unwrap_or_default() {
            waiter.tell(record.clone());
        }
    }

    /// Gives up late relays and forgets what has expired.
    pub fn tick(&mut self, now: MonoTime) {
        self.ledger.expire(now);
        self.held.retain(|_, held| now < held.forget_at);
        let late: Vec<u64> = self
            .relays
            .iter()
            .filter(|(_, pending)| now >= pending.deadline)
            .map(|(&relay, _)| relay)
            .collect();
        self.give_up(late, "the owner does not answer");
    }

    /// Takes the sealed ledger of a router that stops.
    pub fn store_ledger(
        &mut self,
        now: MonoTime,
        life: Duration,
        handover: LedgerHandover,
    ) -> PeerBody {
        let incarnation = handover.incarnation;
        let held = HeldLedger {
            ledger: handover.into(),
            forget_at: now + life,
        };
        self.held.insert(IncarnationId(incarnation), held);
        spdlog::info!("ledger-held", kv: { incarnation });
        PeerBody::LedgerAck(LedgerAck { incarnation })
    }

    /// Counts a peer that holds this router's ledger.
    pub fn record_ledger_ack(&mut self, peer: VmKey) {
        self.acked.push(peer);
    }

    /// Peers that hold this router's ledger.
    pub fn acked_peers(&self) -> &[VmKey] {
        &self.acked
    }

    /// Refuses new calls; those that run may still settle.
    pub fn seal(&mut self) {
        self.ledger.seal();
    }

    /// Seals the ledger and puts it into a message.
    pub fn hand_over(&mut self) -> LedgerHandover {
        LedgerHandover::from(&self.ledger.hand_over())
    }

    /// Calls that run.
    pub fn running(&self) -> usize {
        self.ledger.running() + self.relays.len()
    }

    /// Spent tickets that the ledger remembers.
    pub fn ledger_len(&self) -> usize {
        self.ledger.len()
    }

    /// Ledgers of stopped routers that are held.
    pub fn stored_ledgers_len(&self) -> usize {
        self.held.len()
    }

    fn spend(
        &mut self,
        now: MonoTime,
        ticket: &CallTicket,
        account: AccountKey,
        service: ServiceKey,
        body: bytes::Bytes,
        waiter: RecordWaiter,
    ) {
        let serial = ticket.body.serial;
        match self
            .ledger
            .spend(now, ticket, account, service, xxh3_64(&body))
        {
            SpendVerdict::Run => {
                self.waiters.entry(serial).or_default().push(waiter);
                let plan = CallPlan {
                    serial,
                    service,
                    body,
                };
                if self.plans.send(plan).is_err() {
                    let record = CallRecord::from_static(CallOutcome::NotRun, 503, "stopping");
                    self.settle(serial, &record);
                }
            }
            SpendVerdict::Running => self.waiters.entry(serial).or_default().push(waiter),
            SpendVerdict::Ended(record) => waiter.tell(record),
        }
    }

    /// Asks the owner; when its run is gone, asks every peer for its handed ledger.
    fn relay(
        &mut self,
        now: MonoTime,
        offer: TicketedCall,
        rules: &RuleBook,
        peers: &PeerController,
    ) {
        let body = &offer.ticket.body;
        let (owner, incarnation) = (body.owner(), body.incarnation());
        let known = peers.view().record(owner);
        let owner_lives = known.is_some_and(|record| record.incarnation == incarnation)
            && peers.view().is_responsive(now, owner);
        let targets = if owner_lives {
            vec![owner]
        } else {
            peers.connected()
        };
        let relay = self.next_relay;
        self.next_relay += 1;
        let ask = CallAsk {
            relay,
            ticket: offer.ticket.to_string(),
            account: offer.account.0,
            service: offer.service.0,
            body: offer.body,
        };
        let asked: Vec<VmKey> = targets
            .into_iter()
            .filter(|&vm| peers.send(vm, PeerBody::CallAsk(ask.clone())))
            .collect();
        if asked.is_empty() {
            let _ = offer.reply.send(unknown(504, "the owner can't be reached"));
            return;
        }
        let pending = PendingRelay {
            waiter: offer.reply,
            asked,
            deadline: now + rules.service_answer.0 + RELAY_MARGIN,
        };
        self.relays.insert(relay, pending);
    }

    fn give_up(&mut self, relays: Vec<u64>, reason: &'static str) {
        for relay in relays {
            if let Some(pending) = self.relays.remove(&relay) {
                let _ = pending.waiter.send(unknown(504, reason));
            }
        }
    }
}

impl RecordWaiter {
    fn tell(self, record: CallRecord) {
        match self {
            Self::Caller(reply) => {
                let _ = reply.send(record);
            }
            Self::Peer { relay, mailbox } => {
                let record = Some((&record).into());
                let _ = mailbox.send(PeerBody::CallReply(CallReply { relay, record }));
            }
        }
    }
}

fn unknown(status: u16, reason: &'static str) -> CallRecord {
    CallRecord::from_static(CallOutcome::Unknown, status, reason)
}
