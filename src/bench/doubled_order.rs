//! Orders whose copies reach several routers, late and twice, while routers crash and drain.

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

/// Length of the run in which orders come and routers fail, in milliseconds.
const LENGTH_MS: u64 = 120_000;

/// Longest delay of a copy, a relay or an answer of the service, in milliseconds.
const MAX_DELAY_MS: u64 = 8000;

#[derive(Clone, Copy, Debug)]
enum OrderEvent {
    Mint(usize),
    /// A copy of an order reaches a router, from its caller or relayed.
    Arrive {
        order: usize,
        router: usize,
    },
    /// The service answers the owner.
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
    held: BTreeMap<IncarnationId, HandedOverLedger>,
}

impl RouterModel {
    fn new(index: usize, incarnation: u64) -> Self {
        let incarnation = IncarnationId(incarnation);
        let mut key = [0; 32];
        key[..8].copy_from_slice(&incarnation.0.to_le_bytes());
        Self {
            ledger: TicketLedger::new(RouterIndex(index).vm(), incarnation, key),
            incarnation,
            held: BTreeMap::new(),
        }
    }
}

#[derive(Clone, Default)]
struct OrderModel {
    ticket: Option<CallTicket>,
    runs: u32,
    told_not_run: bool,
    told_done: bool,
}

struct OrderSim {
    rng: ChaCha8Rng,
    queue: EventQueue<OrderEvent>,
    routers: Vec<RouterModel>,
    orders: Vec<OrderModel>,
}

/// Runs the scenario.
pub fn run(seed: u64) -> ScenarioReport {
    let mut sim = OrderSim::new(seed);
    sim.run();
    let mut report = ScenarioReport::new("doubled-order", seed);
    let most = sim.orders.iter().map(|order| order.runs).max().unwrap_or(0);
    let lies = sim
        .orders
        .iter()
        .filter(|order| order.told_not_run && order.runs > 0);
    let ghosts = sim
        .orders
        .iter()
        .filter(|order| order.told_done && order.runs == 0);
    report.at_most("most_runs_of_a_ticket", f64::from(most), 1.0);
    report.at_most("told_not_run_and_ran", lies.count() as f64, 0.0);
    report.at_most("told_done_and_did_not_run", ghosts.count() as f64, 0.0);
    let done = sim.orders.iter().filter(|order| order.told_done).count();
    report.figure("orders_told_done", done as f64 / ORDERS as f64);
    report.figure(
        "baseline_hashed_owner_doubled",
        f64::from(hashed_owner_doubles(seed)),
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

    fn later(&mut self, now: MonoTime, event: OrderEvent) {
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
            self.later(now, OrderEvent::Arrive { order, router });
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
                    self.later(now, OrderEvent::Settle { order, owner });
                }
                SpendVerdict::Running => {}
                SpendVerdict::Ended(record) => self.tell(order, &record),
            }
        } else if let Some(held) = model.held.get(&ticket.body.incarnation()) {
            let record = held.lookup(&ticket, ACCOUNT, 0);
            self.tell(order, &record);
        } else if let Some(owner) = self.owner_of(&ticket) {
            self.later(
                now,
                OrderEvent::Arrive {
                    order,
                    router: owner,
                },
            );
        }
    }

    /// The router whose present run owns a ticket.
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
        self.tell(order, &record);
    }

    fn tell(&mut self, order: usize, record: &CallRecord) {
        let order = &mut self.orders[order];
        order.told_not_run |= record.outcome == CallOutcome::NotRun;
        order.told_done |= record.outcome == CallOutcome::Done;
    }

    fn restart(&mut self, router: usize) {
        let incarnation = self.rng.random();
        self.routers[router] = RouterModel::new(router, incarnation);
    }

    /// Seals a ledger in the middle of its calls and hands it to some of the others.
    fn drain(&mut self, router: usize) {
        let handed = self.routers[router].ledger.hand_over();
        for (index, model) in self.routers.iter_mut().enumerate() {
            if index != router && self.rng.random_bool(0.7) {
                model.held.insert(handed.incarnation, handed.clone());
            }
        }
        self.restart(router);
    }
}

/// Orders that run twice when callers choose a key and each router finds its owner by hash among
/// the routers that it believes in.
fn hashed_owner_doubles(seed: u64) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let vms: Vec<VmKey> = (0..ROUTERS).map(|index| RouterIndex(index).vm()).collect();
    let mut remembered: BTreeSet<(VmKey, u64)> = BTreeSet::new();
    let mut doubled = 0;
    for order in 0..ORDERS as u64 {
        let mut runs = 0;
        for _ in 0..COPIES {
            // One copy in ten comes to a router that misses one of the others.
            let missing = rng
                .random_bool(0.1)
                .then(|| vms[rng.random_range(0..ROUTERS)]);
            let believed = vms.iter().copied().filter(|&vm| Some(vm) != missing);
            let Some(owner) = rendezvous_first(order, believed) else {
                continue;
            };
            runs += u32::from(remembered.insert((owner, order)));
        }
        doubled += u32::from(runs > 1);
    }
    doubled
}
