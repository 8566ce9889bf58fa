//! Simulates a workload on model engines under a scheduling policy, in virtual time.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;

use crate::bench::engine_model::{EngineJob, EngineModel};
use crate::bench::event_queue::EventQueue;
use crate::bench::fleet_policy::{ActualFleet, FleetPolicy, PolicyAction, RouterIndex};
use crate::bench::run_record::{
    AdmissionLoad, RequestOutcome, RequestRecord, RouterTraffic, RunRecord,
};
use crate::bench::setup::FleetSetup;
use crate::bench::workload::SimRequest;
use crate::ids::{EngineKey, RequestKey};
use crate::mono::MonoTime;
use crate::policy::placement::{WeightedChoice, rendezvous_first};
use crate::policy::request_scheduler::PoolEngine;
use crate::policy::work_item::WorkItem;
use crate::wire::{PeerBody, PeerFrame};

/// Interval between calls to [`FleetPolicy::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Bytes of a frame besides its message: length prefix, authentication tag, and the headers of TCP
/// and IP.
const FRAME_OVERHEAD_BYTES: u64 = 4 + 16 + 40;

/// Virtual time after the last arrival at which a run stops even if requests are unfinished.
const DRAIN_LIMIT: Duration = Duration::from_mins(30);

/// A change in the state of an engine, or in a router's list of engines.
#[derive(Clone, Debug)]
pub enum FleetChange {
    /// An engine crashes; its requests and its cache are lost.
    EngineDown(EngineKey),
    /// A crashed engine is available again, with an empty cache.
    EngineUp(EngineKey),
    /// A router receives a new list of engines.
    NewList {
        /// The router that receives the list.
        router: RouterIndex,
        /// All engines on the list, open or not.
        engines: Rc<[PoolEngine]>,
    },
}

/// A change scheduled for a point in virtual time.
#[derive(Clone, Debug)]
pub struct TimedChange {
    /// Virtual time at which the change takes effect.
    pub at: MonoTime,
    pub change: FleetChange,
}

enum SimEvent {
    Arrival(usize),
    Completion {
        engine: EngineKey,
        version: u64,
    },
    Deliver {
        from: RouterIndex,
        to: RouterIndex,
        body: PeerBody,
    },
    Change(FleetChange),
    Tick,
}

/// Actual state of the engines, as opposed to the routers' views of it.
struct EngineFleet {
    engines: HashMap<EngineKey, EngineModel>,
    alive: Vec<EngineKey>,
    prompts: Vec<u32>,
}

impl ActualFleet for EngineFleet {
    fn load(&self, engine: EngineKey) -> u32 {
        self.engines.get(&engine).map_or(0, EngineModel::load)
    }

    fn cached(&self, engine: EngineKey, item: &WorkItem) -> u32 {
        let prompt = self.prompts[index_of(item.request)];
        let cached = self
            .engines
            .get(&engine)
            .map_or(0, |model| model.cached(item.chat));
        cached.min(prompt)
    }
}

/// A simulation of one workload under the policy `P`.
pub struct FleetSim<P> {
    setup: FleetSetup,
    policy: P,
    fleet: EngineFleet,
    requests: Vec<SimRequest>,
    queue: EventQueue<SimEvent>,
    record: RunRecord,
    unfinished: usize,
}

impl<P: FleetPolicy> FleetSim<P> {
    /// Creates a simulation of `requests` on the engines of `setup`.
    pub fn new(setup: &FleetSetup, mut policy: P, requests: Vec<SimRequest>) -> Self {
        let pool = setup.pool();
        for index in 0..setup.routers {
            policy.set_engines(RouterIndex(index), &pool);
        }
        let alive: Vec<EngineKey> = pool.iter().map(|engine| engine.key).collect();
        let engines = alive.iter().map(|&key| (key, EngineModel::new(setup.spec)));
        let mut queue = EventQueue::default();
        for (index, request) in requests.iter().enumerate() {
            queue.push(request.item.accepted, SimEvent::Arrival(index));
        }
        queue.push(MonoTime::default() + TICK_INTERVAL, SimEvent::Tick);
        Self {
            fleet: EngineFleet {
                engines: engines.collect(),
                alive,
                prompts: requests.iter().map(|request| request.prompt).collect(),
            },
            record: RunRecord {
                requests: requests.iter().map(new_record).collect(),
                traffic: vec![RouterTraffic::default(); setup.routers],
                ..RunRecord::default()
            },
            unfinished: requests.len(),
            setup: setup.clone(),
            policy,
            requests,
            queue,
        }
    }

    /// Schedules changes of the engines.
    #[must_use]
    pub fn with_changes(mut self, changes: Vec<TimedChange>) -> Self {
        for TimedChange { at, change } in changes {
            self.queue.push(at, SimEvent::Change(change));
        }
        self
    }

    /// Runs until every request has an outcome, or until `DRAIN_LIMIT` has passed since the
    /// last arrival.
    pub fn run(mut self) -> RunRecord {
        let last_arrival = self
            .requests
            .last()
            .map_or(MonoTime::default(), |r| r.item.accepted);
        while let Some((now, event)) = self.queue.pop() {
            self.record.end = now;
            self.handle(now, event);
            if self.unfinished == 0 || now > last_arrival + DRAIN_LIMIT {
                break;
            }
        }
        self.record
    }

    fn handle(&mut self, now: MonoTime, event: SimEvent) {
        let actions = match event {
            SimEvent::Arrival(index) => {
                let request = &self.requests[index];
                let item = request.item.clone();
                self.policy.offer(now, request.router, item, &self.fleet)
            }
            SimEvent::Completion { engine, version } => return self.complete(now, engine, version),
            SimEvent::Deliver { from, to, body } => self.policy.deliver(now, from, to, body),
            SimEvent::Change(change) => return self.apply_change(now, change),
            SimEvent::Tick => {
                self.queue.push(now + TICK_INTERVAL, SimEvent::Tick);
                self.policy.tick(now)
            }
        };
        self.apply_actions(now, actions);
    }

    fn apply_actions(&mut self, now: MonoTime, actions: Vec<PolicyAction>) {
        for action in actions {
            match action {
                PolicyAction::Run { request, engine } => self.start(now, request, engine),
                PolicyAction::Preempt { request } => self.preempt(now, request),
                PolicyAction::Refuse { request, refusal } => {
                    let at = now;
                    self.finish_request(now, request, RequestOutcome::Refused { at, refusal });
                }
                PolicyAction::Send { from, to, body } => self.send(now, from, to, body),
            }
        }
    }

    fn start(&mut self, now: MonoTime, request: RequestKey, engine: EngineKey) {
        let sim = &self.requests[index_of(request)];
        let (chat, router) = (sim.item.chat, sim.router);
        let job = EngineJob {
            request,
            chat,
            prompt: sim.prompt,
            output: sim.output,
            priority: self.policy.priority(sim.item.rank),
        };
        self.record.start(index_of(request), now, engine);
        let alive = self.fleet.alive.contains(&engine);
        let Some(model) = self.fleet.engines.get_mut(&engine).filter(|_| alive) else {
            // The router's list still contains an engine that has crashed.
            self.finish_request(now, request, RequestOutcome::Lost(now));
            let actions = self.policy.finish(now, router, request);
            return self.apply_actions(now, actions);
        };
        let cached = model.submit(now, job);
        let record = &mut self.record.requests[index_of(request)];
        if record.slot_grants == 1 {
            record.cached = cached;
        }
        self.record_admission(now, engine, chat.0);
        self.schedule_completion(engine);
    }

    fn preempt(&mut self, now: MonoTime, request: RequestKey) {
        let index = index_of(request);
        let Some(engine) = self.record.requests[index].engine else {
            return;
        };
        let model = self.fleet.engines.get_mut(&engine);
        let Some(remaining) = model.and_then(|model| model.cancel(now, request)) else {
            return;
        };
        self.schedule_completion(engine);
        self.requests[index].prompt = remaining.prompt;
        self.requests[index].output = remaining.output;
        self.record.preempt(index, now);
        let router = self.requests[index].router;
        let actions = self.policy.preempted(now, router, request);
        self.apply_actions(now, actions);
    }

    fn record_admission(&mut self, now: MonoTime, engine: EngineKey, chat: u64) {
        let alive = &self.fleet.alive;
        let total: u32 = alive.iter().map(|&key| self.fleet.load(key)).sum();
        self.record.admissions.push(AdmissionLoad {
            at: now,
            load: self.fleet.load(engine),
            mean: f64::from(total) / alive.len() as f64,
            on_first_choice: rendezvous_first(chat, alive.iter().copied()) == Some(engine),
        });
    }

    fn schedule_completion(&mut self, engine: EngineKey) {
        let Some(model) = self.fleet.engines.get(&engine) else {
            return;
        };
        if let Some(at) = model.next_completion() {
            let version = model.version();
            self.queue
                .push(at, SimEvent::Completion { engine, version });
        }
    }

    fn complete(&mut self, now: MonoTime, engine: EngineKey, version: u64) {
        let Some(model) = self.fleet.engines.get_mut(&engine) else {
            return;
        };
        if model.version() != version {
            return;
        }
        let ended = model.finish_due(now);
        self.schedule_completion(engine);
        self.finish_all(now, ended, RequestOutcome::Done(now));
    }

    fn finish_all(&mut self, now: MonoTime, ended: Vec<RequestKey>, outcome: RequestOutcome) {
        for request in ended {
            self.finish_request(now, request, outcome);
            let router = self.requests[index_of(request)].router;
            let actions = self.policy.finish(now, router, request);
            self.apply_actions(now, actions);
        }
    }

    fn apply_change(&mut self, now: MonoTime, change: FleetChange) {
        match change {
            FleetChange::EngineDown(engine) => {
                self.fleet.alive.retain(|&key| key != engine);
                let model = self.fleet.engines.get_mut(&engine);
                let lost = model.map(|model| model.clear(now)).unwrap_or_default();
                self.finish_all(now, lost, RequestOutcome::Lost(now));
            }
            FleetChange::EngineUp(engine) => self.fleet.alive.push(engine),
            FleetChange::NewList { router, engines } => self.policy.set_engines(router, &engines),
        }
    }

    fn send(&mut self, now: MonoTime, from: RouterIndex, to: RouterIndex, body: PeerBody) {
        let frame = PeerFrame::from(body);
        let bytes = frame.encoded_len() as u64 + FRAME_OVERHEAD_BYTES;
        for router in [from, to] {
            let traffic = &mut self.record.traffic[router.0];
            traffic.bytes += bytes;
            traffic.messages += 1;
        }
        if let Some(body) = frame.body {
            let at = now + self.setup.latency;
            self.queue.push(at, SimEvent::Deliver { from, to, body });
        }
    }

    fn finish_request(&mut self, now: MonoTime, request: RequestKey, outcome: RequestOutcome) {
        if self.record.finish(index_of(request), now, outcome) {
            self.unfinished -= 1;
        }
    }
}

/// Returns the index of a request in its workload; request keys count from 1.
fn index_of(request: RequestKey) -> usize {
    request.0 as usize - 1
}

fn new_record(request: &SimRequest) -> RequestRecord {
    RequestRecord {
        rank: request.item.rank,
        account: request.item.account,
        chat: request.item.chat,
        accepted: request.item.accepted,
        prompt: request.prompt,
        cached: 0,
        engine: None,
        started: None,
        state_since: request.item.accepted,
        slot_grants: 0,
        outcome: RequestOutcome::Pending,
    }
}

/// Returns the open engines as placement choices, weighted by their slots.
pub fn placement_choices(engines: &[PoolEngine]) -> Vec<WeightedChoice<EngineKey>> {
    let open = engines.iter().filter(|engine| engine.open);
    open.map(|engine| WeightedChoice {
        key: engine.key,
        weight: f64::from(engine.slots),
    })
    .collect()
}
