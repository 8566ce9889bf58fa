//! Ticketed calls: the ledger of this incarnation, calls relayed to other owners, and the ledgers
//! that stopped routers handed over.

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
use crate::wire::{LedgerAck, LedgerHandover, PeerBody, RelayedCall, RelayedCallReply};

/// Time that a relayed call may take, on top of the time limit of the service, for the messages
/// between the routers.
const RELAY_MARGIN: Duration = Duration::from_secs(1);

/// Destination of the record of a call.
#[derive(Debug)]
enum RecordWaiter {
    /// A caller of this router.
    Caller(CallReplySender),
    /// A router that relayed the call, and its number for the relay.
    Peer { relay: u64, mailbox: PeerMailbox },
}

/// A call that was relayed to peers and has no record yet.
#[derive(Debug)]
struct PendingRelay {
    waiter: CallReplySender,
    /// Peers that have not replied yet.
    pending_peers: Vec<VmKey>,
    deadline: MonoTime,
}

/// The sealed ledger of another router.
#[derive(Debug)]
struct StoredLedger {
    ledger: HandedOverLedger,
    expires_at: MonoTime,
}

/// Routes and records the calls that may run at most once.
#[derive(Debug)]
pub struct CallController {
    own: VmKey,
    incarnation: IncarnationId,
    ledger: TicketLedger,
    plans: UnboundedSender<CallPlan>,
    /// Waiters of each running call, by the serial number of its ticket.
    waiters: HashMap<u64, Vec<RecordWaiter>>,
    relays: HashMap<u64, PendingRelay>,
    next_relay: u64,
    /// Ledgers of stopped routers, by the incarnation that minted their tickets.
    stored_ledgers: HashMap<IncarnationId, StoredLedger>,
    /// Peers that acknowledged this router's sealed ledger.
    acked_peers: Vec<VmKey>,
}

impl CallController {
    /// Creates a controller that sends the calls to run to `plans`.
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
            stored_ledgers: HashMap::new(),
            acked_peers: Vec::new(),
        }
    }

    /// Mints a ticket and sends it, or the refusal, to the requester.
    pub fn mint(&mut self, now: MonoTime, request: TicketRequest, rules: &RuleBook) {
        let life = rules.ticket_life.0;
        let limit = rules.tickets_per_account;
        let ticket = self
            .ledger
            .mint(now, request.account, request.service, life, limit);
        let _ = request.reply.send(ticket);
    }

    /// Handles a call from a caller of this router: runs it if this router minted the ticket, looks
    /// the record up if the ledger was handed over to this router, and relays the call otherwise.
    pub fn call(
        &mut self,
        now: MonoTime,
        call: TicketedCall,
        rules: &RuleBook,
        peers: &PeerController,
    ) {
        let body = &call.ticket.body;
        let (owner, incarnation) = (body.owner(), body.incarnation());
        if owner == self.own && incarnation == self.incarnation {
            let waiter = RecordWaiter::Caller(call.reply);
            self.spend(
                now,
                &call.ticket,
                call.account,
                call.service,
                call.body,
                waiter,
            );
        } else if let Some(stored) = self.stored_ledgers.get(&incarnation) {
            let digest = xxh3_64(&call.body);
            let record = stored.ledger.lookup(&call.ticket, call.account, digest);
            let _ = call.reply.send(record);
        } else {
            self.relay(now, call, rules, peers);
        }
    }

    /// Handles a call that another router relayed. `mailbox` sends the reply to that router.
    pub fn handle_relayed_call(
        &mut self,
        now: MonoTime,
        request: RelayedCall,
        mailbox: PeerMailbox,
    ) {
        let relay = request.relay;
        let waiter = RecordWaiter::Peer { relay, mailbox };
        let Ok(ticket) = request.ticket.parse::<CallTicket>() else {
            waiter.send(unknown(400, "not a ticket"));
            return;
        };
        let account = AccountKey(request.account);
        let incarnation = ticket.body.incarnation();
        if let Some(stored) = self.stored_ledgers.get(&incarnation) {
            waiter.send(
                stored
                    .ledger
                    .lookup(&ticket, account, xxh3_64(&request.body)),
            );
        } else if incarnation == self.incarnation {
            self.spend(
                now,
                &ticket,
                account,
                ServiceKey(request.service),
                request.body,
                waiter,
            );
        } else {
            waiter.send(unknown(504, "not the owner"));
        }
    }

    /// Handles a peer's reply to a relayed call. The outcome `unknown` is final only from the last
    /// peer: another one may have the ledger and reply with the record.
    pub fn handle_call_reply(&mut self, peer: VmKey, reply: RelayedCallReply) {
        let Some(pending) = self.relays.get_mut(&reply.relay) else {
            return;
        };
        pending.pending_peers.retain(|&vm| vm != peer);
        let record = CallRecord::from(reply.record.unwrap_or_default());
        let is_last = pending.pending_peers.is_empty();
        if record.outcome == CallOutcome::Unknown && !is_last {
            return;
        }
        if let Some(pending) = self.relays.remove(&reply.relay) {
            let _ = pending.waiter.send(record);
        }
    }

    /// Fails the relayed calls that wait only for `peer`, whose connection ended. Their outcome is
    /// `unknown`, because the peer may have run them.
    pub fn peer_down(&mut self, peer: VmKey) {
        for pending in self.relays.values_mut() {
            pending.pending_peers.retain(|&vm| vm != peer);
        }
        let failed: Vec<u64> = self
            .relays
            .iter()
            .filter(|(_, pending)| pending.pending_peers.is_empty())
            .map(|(&relay, _)| relay)
            .collect();
        self.fail_relays(failed, "the owner's connection ended");
    }

    /// Stores the record of an ended call and sends it to all its waiters.
    pub fn settle(&mut self, serial: u64, record: &CallRecord) {
        self.ledger.settle(serial, record.clone());
        for waiter in self.waiters.remove(&serial).unwrap_or_default() {
            waiter.send(record.clone());
        }
    }

    /// Fails relayed calls past their deadline and removes expired tickets and ledgers.
    pub fn tick(&mut self, now: MonoTime) {
        self.ledger.expire(now);
        self.stored_ledgers
            .retain(|_, stored| now < stored.expires_at);
        let late: Vec<u64> = self
            .relays
            .iter()
            .filter(|(_, pending)| now >= pending.deadline)
            .map(|(&relay, _)| relay)
            .collect();
        self.fail_relays(late, "the owner does not answer");
    }

    /// Stores the sealed ledger of a stopping router for `life`, the lifetime of its tickets, and
    /// returns the acknowledgement.
    pub fn store_ledger(
        &mut self,
        now: MonoTime,
        life: Duration,
        handover: LedgerHandover,
    ) -> PeerBody {
        let incarnation = handover.incarnation;
        let stored = StoredLedger {
            ledger: handover.into(),
            expires_at: now + life,
        };
        self.stored_ledgers
            .insert(IncarnationId(incarnation), stored);
        spdlog::info!("ledger-held", kv: { incarnation });
        PeerBody::LedgerAck(LedgerAck { incarnation })
    }

    /// Records that `peer` has stored this router's sealed ledger.
    pub fn record_ledger_ack(&mut self, peer: VmKey) {
        self.acked_peers.push(peer);
    }

    /// Returns the peers that have acknowledged this router's sealed ledger.
    pub fn acked_peers(&self) -> &[VmKey] {
        &self.acked_peers
    }

    /// Stops minting tickets and starting calls; the records of running calls are still stored.
    pub fn seal(&mut self) {
        self.ledger.seal();
    }

    /// Seals the ledger and returns the message that hands it over to a peer.
    pub fn hand_over(&mut self) -> LedgerHandover {
        LedgerHandover::from(&self.ledger.hand_over())
    }

    /// Counts the calls that run here and those that are relayed.
    pub fn running(&self) -> usize {
        self.ledger.running() + self.relays.len()
    }

    /// Counts the spent tickets in the ledger.
    pub fn ledger_len(&self) -> usize {
        self.ledger.len()
    }

    /// Counts the stored ledgers of stopped routers.
    pub fn stored_ledgers_len(&self) -> usize {
        self.stored_ledgers.len()
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
            SpendVerdict::Ended(record) => waiter.send(record),
        }
    }

    /// Relays a call to the owner of its ticket. If the incarnation that minted the ticket is not
    /// reachable, relays it to every connected peer, any of which may store its ledger.
    fn relay(
        &mut self,
        now: MonoTime,
        call: TicketedCall,
        rules: &RuleBook,
        peers: &PeerController,
    ) {
        let body = &call.ticket.body;
        let (owner, incarnation) = (body.owner(), body.incarnation());
        let known = peers.view().record(owner);
        let owner_reachable = known.is_some_and(|record| record.incarnation == incarnation)
            && peers.view().is_responsive(now, owner);
        let targets = if owner_reachable {
            vec![owner]
        } else {
            peers.connected()
        };
        let relay = self.next_relay;
        self.next_relay += 1;
        let request = RelayedCall {
            relay,
            ticket: call.ticket.to_string(),
            account: call.account.0,
            service: call.service.0,
            body: call.body,
        };
        let pending_peers: Vec<VmKey> = targets
            .into_iter()
            .filter(|&vm| peers.send(vm, PeerBody::RelayedCall(request.clone())))
            .collect();
        if pending_peers.is_empty() {
            let _ = call.reply.send(unknown(504, "the owner can't be reached"));
            return;
        }
        let pending = PendingRelay {
            waiter: call.reply,
            pending_peers,
            deadline: now + rules.service_answer.0 + RELAY_MARGIN,
        };
        self.relays.insert(relay, pending);
    }

    /// Reports the outcome `unknown` to the waiters of `relays`.
    fn fail_relays(&mut self, relays: Vec<u64>, reason: &'static str) {
        for relay in relays {
            if let Some(pending) = self.relays.remove(&relay) {
                let _ = pending.waiter.send(unknown(504, reason));
            }
        }
    }
}

impl RecordWaiter {
    fn send(self, record: CallRecord) {
        match self {
            Self::Caller(reply) => {
                let _ = reply.send(record);
            }
            Self::Peer { relay, mailbox } => {
                let record = Some((&record).into());
                let _ = mailbox.send(PeerBody::RelayedCallReply(RelayedCallReply {
                    relay,
                    record,
                }));
            }
        }
    }
}

fn unknown(status: u16, reason: &'static str) -> CallRecord {
    CallRecord::from_static(CallOutcome::Unknown, status, reason)
}
