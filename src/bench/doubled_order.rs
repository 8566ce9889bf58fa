//! Orders whose copies reach several routers, delayed and repeated, while routers crash and drain.
//!
//! Checks that no ticket runs twice and that reported outcomes match what ran.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::bench::event_queue::EventQueue;
use crate::bench::fleet_policy::RouterIndex;
use crate::bench::report::ScenarioReport;
use crate::ids::{AccountKey, IncarnationId, ServiceKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::placement::rendezvous_first;
use crate::policy::ticket::CallTicket;
use crate::policy::ticket_ledger::{
    CallOutcome, CallRecord, HandedOverLedger, SpendVerdict, TicketLedger,
};

const ROUTERS: usize = 4;
const ORDERS: usize = 400;
const COPIES: usize = 4;
const CRASHES: usize = 12;
const DRAINS: usize = 6;
const ACCOUNT: AccountKey = AccountKey(1);
const SERVICE: ServiceKey = ServiceKey(2);
const TICKET_LIFE: Duration = Duration::from_mins(10);

/// Period in which orders are minted and routers fail, in milliseconds.
const LENGTH_MS: u64 = 120_000;

/// Upper limit of the delay of a copy, a relay or a response of the service, in milliseconds.
const MAX_DELAY_MS: u64 = 8000;

#[derive(Clone, Copy, Debug)]
enum OrderEvent {
    Mint(usize),
    /// A copy of an order reaches a router, from its caller or relayed by another router.
    Arrive {
        order: usize,
        router: usize,
    },
    /// The response of the service reaches the owner of the ticket.
    Settle {
        order: usize,
        owner: IncarnationId,
    },
    Crash(usize),
    Drain(usize),
}

struct RouterModel {
    incarnation: IncarnationId,
    ledger: TicketLedger,
    /// Ledgers of drained incarnations of other routers.
    handed_over: BTreeMap<IncarnationId, HandedOverLedger>,
}

impl RouterModel {
    fn new(index: usize, incarnation: u64) -> Self {
        let incarnation = IncarnationId(incarnation);
        let mut key = [0; 32];
        key[..8].copy_from_slice(&incarnation.0.to_le_bytes());
        Self {
            ledger: TicketLedger::new(RouterIndex(index).vm(), incarnation, key),
            incarnation,
            handed_over: BTreeMap::new(),
        }
    }
}

#[derive(Clone, Default)]
struct OrderModel {
    /// `None` until the order is minted.
    ticket: Option<CallTicket>,
    runs: u32,
    reported_not_run: bool,
    reported_done: bool,
}

struct OrderSim {
    rng: ChaCha8Rng,
    queue: EventQueue<OrderEvent>,
    routers: Vec<RouterModel>,
    orders: Vec<OrderModel>,
}

/// Runs the scenario with a seed.
pub fn run(seed: u64) -> ScenarioReport {
    let mut sim = OrderSim::new(seed);
    sim.run();
    let mut report = ScenarioReport::new("doubled-order", seed);
    let max_runs = sim.orders.iter().map(|order| order.runs).max().unwrap_or(0);
    let ran_despite_not_run = sim
        .orders
        .iter()
        .filter(|order| order.reported_not_run && order.runs > 0);
    let done_without_run = sim
        .orders
        .iter()
        .filter(|order| order.reported_done && order.runs == 0);
    report.at_most("most_runs_of_a_ticket", f64::from(max_runs), 1.0);
    report.at_most(
        "told_not_run_and_ran",
        ran_despite_not_run.count() as f64,
        0.0,
    );
    report.at_most(
        "told_done_and_did_not_run",
        done_without_run.count() as f64,
        0.0,
    );
    let done = sim
        .orders
        .iter()
        .filter(|order| order.reported_done)
        .count();
    report.figure("orders_told_done", done as f64 / ORDERS as f64);
    report.figure(
        "baseline_hashed_owner_doubled",
        f64::from(count_hashed_owner_doubles(seed)),
    );
    report
}

impl OrderSim {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut queue = EventQueue::default();
        let mut push = |rng: &mut ChaCha8Rng, event| {
            let at = rng.random_range(0..LENGTH_MS);
            queue.push(MonoTime(Duration::from_millis(at)), event);
        };
        for order in 0..ORDERS {
            push(&mut rng, OrderEvent::Mint(order));
        }
        for number in 0..CRASHES {
            push(&mut rng, OrderEvent::Crash(number % ROUTERS));
        }
        for number in 0..DRAINS {
            push(&mut rng, OrderEvent::Drain(number % ROUTERS));
        }
        let routers = (0..ROUTERS).map(|index| RouterModel::new(index, index as u64 + 1));
        Self {
            routers: routers.collect(),
            orders: vec![OrderModel::default(); ORDERS],
            rng,
            queue,
        }
    }

    fn run(&mut self) {
        while let Some((now, event)) = self.queue.pop() {
            match event {
                OrderEvent::Mint(order) => self.mint(now, order),
                OrderEvent::Arrive { order, router } => self.arrive(now, order, router),
                OrderEvent::Settle { order, owner } => self.settle(order, owner),
                OrderEvent::Crash(router) => self.restart(router),
                OrderEvent::Drain(router) => self.drain(router),
            }
        }
    }

    fn push_delayed(&mut self, now: MonoTime, event: OrderEvent) {
        let delay = Duration::from_millis(self.rng.random_range(1..MAX_DELAY_MS));
        self.queue.push(now + delay, event);
    }

    fn mint(&mut self, now: MonoTime, order: usize) {
        let owner = self.rng.random_range(0..ROUTERS);
        let ledger = &mut self.routers[owner].ledger;
        let minted = ledger.mint(now, ACCOUNT, SERVICE, TICKET_LIFE, u32::MAX);
        self.orders[order].ticket = minted.ok();
        for _ in 0..COPIES {
            let router = self.rng.random_range(0..ROUTERS);
            self.push_delayed(now, OrderEvent::Arrive { order, router });
        }
    }

    fn arrive(&mut self, now: MonoTime, order: usize, router: usize) {
        let Some(ticket) = self.orders[order].ticket else {
            return;
        };
        let model = &mut self.routers[router];
        if ticket.body.incarnation() == model.incarnation {
            match model.ledger.spend(now, &ticket, ACCOUNT, SERVICE, 0) {
                SpendVerdict::Run => {
                    self.orders[order].runs += 1;
                    let owner = ticket.body.incarnation();
                    self.push_delayed(now, OrderEvent::Settle { order, owner });
                }
                SpendVerdict::Running => {}
                SpendVerdict::Ended(record) => self.report_outcome(order, &record),
            }
        } else if let Some(ledger) = model.handed_over.get(&ticket.body.incarnation()) {
            let record = ledger.lookup(&ticket, ACCOUNT, 0);
            self.report_outcome(order, &record);
        } else if let Some(owner) = self.owner_of(&ticket) {
            self.push_delayed(
                now,
                OrderEvent::Arrive {
                    order,
                    router: owner,
                },
            );
        }
    }

    /// Returns the router whose current incarnation owns a ticket, or `None` if it has restarted.
    fn owner_of(&self, ticket: &CallTicket) -> Option<usize> {
        let incarnation = ticket.body.incarnation();
        self.routers
            .iter()
            .position(|router| router.incarnation == incarnation)
    }

    fn settle(&mut self, order: usize, owner: IncarnationId) {
        let Some(ticket) = self.orders[order].ticket else {
            return;
        };
        let model = self
            .routers
            .iter_mut()
            .find(|router| router.incarnation == owner);
        let Some(model) = model else { return };
        let record = CallRecord::from_static(CallOutcome::Done, 200, "paid");
        model.ledger.settle(ticket.body.serial, record.clone());
        self.report_outcome(order, &record);
    }

    fn report_outcome(&mut self, order: usize, record: &CallRecord) {
        let order = &mut self.orders[order];
        order.reported_not_run |= record.outcome == CallOutcome::NotRun;
        order.reported_done |= record.outcome == CallOutcome::Done;
    }

    fn restart(&mut self, router: usize) {
        let incarnation = self.rng.random();
        self.routers[router] = RouterModel::new(router, incarnation);
    }

    /// Seals a ledger while its calls run, sends it to some of the other routers and restarts.
    fn drain(&mut self, router: usize) {
        let handed = self.routers[router].ledger.hand_over();
        for (index, model) in self.routers.iter_mut().enumerate() {
            if index != router && self.rng.random_bool(0.7) {
                model.handed_over.insert(handed.incarnation, handed.clone());
            }
        }
        self.restart(router);
    }
}

/// Counts the orders that run more than once under the baseline: callers choose the key of an
/// order, and each router finds the owner by hash among the routers in its own view.
fn count_hashed_owner_doubles(seed: u64) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let vms: Vec<VmKey> = (0..ROUTERS).map(|index| RouterIndex(index).vm()).collect();
    let mut executed: BTreeSet<(VmKey, u64)> = BTreeSet::new();
    let mut doubled = 0;
    for order in 0..ORDERS as u64 {
        let mut runs = 0;
        for _ in 0..COPIES {
            // One copy in ten reaches a router whose view lacks one of the routers.
            let missing = rng
                .random_bool(0.1)
                .then(|| vms[rng.random_range(0..ROUTERS)]);
            let view = vms.iter().copied().filter(|&vm| Some(vm) != missing);
            let Some(owner) = rendezvous_first(order, view) else {
                continue;
            };
            runs += u32::from(executed.insert((owner, order)));
        }
        doubled += u32::from(runs > 1);
    }
    doubled
}
