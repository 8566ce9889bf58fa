//! Runs a workload over model engines under a policy, on virtual time.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;

use crate::bench::engine_model::{EngineJob, EngineModel};
use crate::bench::event_queue::EventQueue;
use crate::bench::fleet_policy::{FleetPolicy, FleetTruth, PolicyAction, RouterIndex};
use crate::bench::run_record::{
    AdmissionLoad, RequestEnd, RequestRecord, RouterTraffic, RunRecord,
};
use crate::bench::setup::FleetSetup;
use crate::bench::workload::SimRequest;
use crate::ids::{EngineKey, RequestKey};
use crate::mono::MonoTime;
use crate::policy::placement::{WeightedChoice, rendezvous_first};
use crate::policy::request_scheduler::PoolEngine;
use crate::policy::work_item::WorkItem;
use crate::wire::{PeerBody, PeerFrame};

/// Time between two ticks of the policy.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Bytes of a frame besides its message: length, seal, and the headers of TCP and IP.
const FRAME_OVERHEAD: u64 = 4 + 16 + 40;

/// How long a run goes on after the last arrival.
const DRAIN_LIMIT: Duration = Duration::from_mins(30);

/// A change of the engines.
#[derive(Clone, Debug)]
pub enum FleetChange {
    /// An engine dies with all that it runs.
    EngineDown(EngineKey),
    /// An engine comes back empty.
    EngineUp(EngineKey),
    /// A router sees this list of engines from now on.
    NewList {
        /// The router.
        router: RouterIndex,
        /// The list.
        engines: Rc<[PoolEngine]>,
    },
}

/// A change and when it comes.
#[derive(Clone, Debug)]
pub struct TimedChange {
    /// When.
    pub at: MonoTime,
    /// What.
    pub change: FleetChange,
}

enum SimEvent {
    Arrive(usize),
    Wake {
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

/// Engines as they are.
struct EngineFleet {
    engines: HashMap<EngineKey, EngineModel>,
    alive: Vec<EngineKey>,
    prompts: Vec<u32>,
}

impl FleetTruth for EngineFleet {
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

/// A run in progress.
pub struct FleetSim<P> {
    setup: FleetSetup,
    policy: P,
    fleet: EngineFleet,
    requests: Vec<SimRequest>,
    queue: EventQueue<SimEvent>,
    record: RunRecord,
    open: usize,
}

impl<P: FleetPolicy> FleetSim<P> {
    /// A run of `requests` on the engines of `setup`.
    pub fn new(setup: &FleetSetup, mut policy: P, requests: Vec<SimRequest>) -> Self {
        let pool = setup.pool();
        for index in 0..setup.routers {
            policy.set_engines(RouterIndex(index), &pool);
        }
        let alive: Vec<EngineKey> = pool.iter().map(|engine| engine.key).collect();
        let engines = alive.iter().map(|&key| (key, EngineModel::new(setup.spec)));
        let mut queue = EventQueue::default();
        for (index, request) in requests.iter().enumerate() {
            queue.push(request.item.accepted, SimEvent::Arrive(index));
        }
        queue.push(MonoTime::default() + TICK_INTERVAL, SimEvent::Tick);
        Self {
            fleet: EngineFleet {
                engines: engines.collect(),
                alive,
                prompts: requests.iter().map(|request| request.prompt).collect(),
            },
            record: RunRecord {
                requests: requests.iter().map(open_record).collect(),
                traffic: vec![RouterTraffic::default(); setup.routers],
                ..RunRecord::default()
            },
            open: requests.len(),
            setup: setup.clone(),
            policy,
            requests,
            queue,
        }
    }

    /// Plans changes of the engines.
    #[must_use]
    pub fn with_changes(mut self, changes: Vec<TimedChange>) -> Self {
        for TimedChange { at, change } in changes {
            self.queue.push(at, SimEvent::Change(change));
        }
        self
    }

    /// Runs until every request has ended.
    pub fn run(mut self) -> RunRecord {
        let last = self
            .requests
            .last()
            .map_or(MonoTime::default(), |r| r.item.accepted);
        while let Some((now, event)) = self.queue.pop() {
            self.record.end = now;
            self.handle(now, event);
            if self.open == 0 || now > last + DRAIN_LIMIT {
                break;
            }
        }
        self.record
    }

    fn handle(&mut self, now: MonoTime, event: SimEvent) {
        let actions = match event {
            SimEvent::Arrive(index) => {
                let request = &self.requests[index];
                let item = request.item.clone();
                self.policy.offer(now, request.router, item, &self.fleet)
            }
            SimEvent::Wake { engine, version } => return self.wake(now, engine, version),
            SimEvent::Deliver { from, to, body } => self.policy.deliver(now, from, to, body),
            SimEvent::Change(change) => return self.change(now, change),
            SimEvent::Tick => {
                self.queue.push(now + TICK_INTERVAL, SimEvent::Tick);
                self.policy.tick(now)
            }
        };
        self.carry_out(now, actions);
    }

    fn carry_out(&mut self, now: MonoTime, actions: Vec<PolicyAction>) {
        for action in actions {
            match action {
                PolicyAction::Run { request, engine } => self.start(now, request, engine),
                PolicyAction::Preempt { request } => self.preempt(now, request),
                PolicyAction::Refuse { request, refusal } => {
                    let at = now;
                    self.end(now, request, RequestEnd::Refused { at, refusal });
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
            answer: sim.answer,
            priority: self.policy.priority(sim.item.rank),
        };
        self.record.start(index_of(request), now, engine);
        let alive = self.fleet.alive.contains(&engine);
        let Some(model) = self.fleet.engines.get_mut(&engine).filter(|_| alive) else {
            // The router believes in an engine that is gone.
            self.end(now, request, RequestEnd::Lost(now));
            let actions = self.policy.finish(now, router, request);
            return self.carry_out(now, actions);
        };
        let cached = model.submit(now, job);
        let record = &mut self.record.requests[index_of(request)];
        if record.stints == 1 {
            record.cached = cached;
        }
        self.note_admission(now, engine, chat.0);
        self.plan_wake(engine);
    }

    fn preempt(&mut self, now: MonoTime, request: RequestKey) {
        let index = index_of(request);
        let Some(engine) = self.record.requests[index].engine else {
            return;
        };
        let model = self.fleet.engines.get_mut(&engine);
        let Some(stopped) = model.and_then(|model| model.cancel(now, request)) else {
            return;
        };
        self.plan_wake(engine);
        self.requests[index].prompt = stopped.prompt;
        self.requests[index].answer = stopped.answer;
        self.record.pause(index, now);
        let router = self.requests[index].router;
        let actions = self.policy.preempted(now, router, request);
        self.carry_out(now, actions);
    }

    fn note_admission(&mut self, now: MonoTime, engine: EngineKey, chat: u64) {
        let alive = &self.fleet.alive;
        let total: u32 = alive.iter().map(|&key| self.fleet.load(key)).sum();
        self.record.admissions.push(AdmissionLoad {
            at: now,
            load: self.fleet.load(engine),
            mean: f64::from(total) / alive.len() as f64,
            on_first_choice: rendezvous_first(chat, alive.iter().copied()) == Some(engine),
        });
    }

    fn plan_wake(&mut self, engine: EngineKey) {
        let Some(model) = self.fleet.engines.get(&engine) else {
            return;
        };
        if let Some(at) = model.next_end() {
            let version = model.version();
            self.queue.push(at, SimEvent::Wake { engine, version });
        }
    }

    fn wake(&mut self, now: MonoTime, engine: EngineKey, version: u64) {
        let Some(model) = self.fleet.engines.get_mut(&engine) else {
            return;
        };
        if model.version() != version {
            return;
        }
        let ended = model.finish_due(now);
        self.plan_wake(engine);
        self.finish_all(now, ended, RequestEnd::Done(now));
    }

    fn finish_all(&mut self, now: MonoTime, ended: Vec<RequestKey>, end: RequestEnd) {
        for request in ended {
            self.end(now, request, end);
            let router = self.requests[index_of(request)].router;
            let actions = self.policy.finish(now, router, request);
            self.carry_out(now, actions);
        }
    }

    fn change(&mut self, now: MonoTime, change: FleetChange) {
        match change {
            FleetChange::EngineDown(engine) => {
                self.fleet.alive.retain(|&key| key != engine);
                let model = self.fleet.engines.get_mut(&engine);
                let lost = model.map(|model| model.clear(now)).unwrap_or_default();
                self.finish_all(now, lost, RequestEnd::Lost(now));
            }
            FleetChange::EngineUp(engine) => self.fleet.alive.push(engine),
            FleetChange::NewList { router, engines } => self.policy.set_engines(router, &engines),
        }
    }

    fn send(&mut self, now: MonoTime, from: RouterIndex, to: RouterIndex, body: PeerBody) {
        let frame = PeerFrame::from(body);
        let bytes = frame.encoded_len() as u64 + FRAME_OVERHEAD;
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

    fn end(&mut self, now: MonoTime, request: RequestKey, end: RequestEnd) {
        if self.record.finish(index_of(request), now, end) {
            self.open -= 1;
        }
    }
}

/// Position of a request in its workload; requests are numbered from 1.
fn index_of(request: RequestKey) -> usize {
    request.0 as usize - 1
}

fn open_record(request: &SimRequest) -> RequestRecord {
    RequestRecord {
        rank: request.item.rank,
        account: request.item.account,
        chat: request.item.chat,
        accepted: request.item.accepted,
        prompt: request.prompt,
        cached: 0,
        engine: None,
        started: None,
        since: request.item.accepted,
        stints: 0,
        end: RequestEnd::Open,
    }
}

/// Open engines with their weights, as placement takes them.
pub fn placement_choices(engines: &[PoolEngine]) -> Vec<WeightedChoice<EngineKey>> {
    let open = engines.iter().filter(|engine| engine.open);
    open.map(|engine| WeightedChoice {
        key: engine.key,
        weight: f64::from(engine.slots),
    })
    .collect()
}
