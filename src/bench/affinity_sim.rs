//! Simulates a service whose many routers choose upstreams by prompt affinity.
//!
//! Each router handles few of the calls to each upstream, so it receives few of the upstream's load
//! reports itself. The choice of upstreams, the load estimates and the exchange of reports are the
//! product's own code.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::bench::event_queue::EventQueue;
use crate::dialect::LoadReport;
use crate::fleet::member_table::{GOSSIP_PERIOD, ROUND_FANOUT};
use crate::ids::UpstreamKey;
use crate::mono::MonoTime;
use crate::policy::latest_loads::{LatestLoads, UpstreamLoad};
use crate::policy::prompt_load::PromptLoad;
use crate::policy::upstream_choice::{
    AffinityBound, Eligibility, SharedPart, UpstreamCandidate, choose_upstream, next_preferred,
};
use crate::policy::upstream_stats::UpstreamStats;

const ROUTERS: usize = 27;

const UPSTREAMS: usize = 140;

/// Number of calls that each upstream runs concurrently.
const SLOTS: u32 = 24;

/// Mean time from the start of a call to its first event. The response head, which carries the load
/// report, arrives at the same time.
const MEAN_TIME_TO_FIRST_EVENT: Duration = Duration::from_millis(120);

const RUN_LENGTH: Duration = Duration::from_secs(20);

/// The bound that the fleet must keep. Calls sent to an upstream above it are counted.
const REQUIRED_BOUND: AffinityBound = AffinityBound {
    multiple: 2.0,
    slack: 3.0,
};

/// The bound that routers apply to their estimates of the load.
const ROUTER_BOUND: AffinityBound = AffinityBound {
    multiple: 1.7,
    slack: 3.0,
};

/// The calls that a simulation generates.
#[derive(Clone, Copy, Debug)]
pub struct AffinityWorkload {
    /// Mean time between two calls, over all routers.
    pub mean_gap: Duration,
    /// Mean time from the first event of a call to its end.
    pub mean_length: Duration,
    /// Number of ordinary prompts, all equally frequent.
    pub prompt_count: u64,
    /// Share of the calls that use one additional, hot prompt.
    pub hot_share: f64,
    /// Interval at which a new upstream replaces a random one, or `None` if all upstreams stay.
    pub churn_interval: Option<Duration>,
}

/// How routers select the upstream of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Selection {
    /// The prompt's first preferred upstream whose load is within the bound.
    Bounded,
    /// A preferred upstream of the prompt, whatever its load.
    Unbounded,
    /// The upstream with the lowest estimated load.
    LeastLoaded,
    /// Any upstream.
    Random,
}

/// The upstream whose cache the chosen upstream may copy a prompt from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopySource {
    /// The prompt's preferred upstream among the others.
    NextPreferred,
    /// The upstream that this router last sent the prompt to.
    LastSent,
}

/// The mechanisms that routers use.
#[derive(Clone, Copy, Debug)]
pub struct RoutingOptions {
    /// How the upstream of a call is selected.
    pub selection: Selection,
    /// Where the chosen upstream copies the prompt from.
    pub copy_source: CopySource,
    /// Whether routers estimate the number of open calls with a prompt over all routers.
    pub estimates_prompt_load: bool,
    /// Whether heartbeats between routers carry load reports of upstreams.
    pub shares_load_reports: bool,
}

/// The mechanisms that the product uses.
pub const PRODUCT_OPTIONS: RoutingOptions = RoutingOptions {
    selection: Selection::Bounded,
    copy_source: CopySource::NextPreferred,
    estimates_prompt_load: true,
    shares_load_reports: true,
};

/// The results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct AffinityFigures {
    /// Number of calls that arrived.
    pub calls: u32,
    /// Calls sent to an upstream whose load exceeded the required bound.
    pub above_bound: u32,
    /// Calls whose prompt was neither in the upstream's cache nor in that of its copy source.
    pub cache_misses: u32,
}

impl AffinityFigures {
    /// Returns the share of the calls that were sent to an upstream above the required bound.
    pub fn above_bound_share(&self) -> f64 {
        f64::from(self.above_bound) / f64::from(self.calls.max(1))
    }

    /// Returns the share of the calls whose prompt was in neither cache.
    pub fn miss_share(&self) -> f64 {
        f64::from(self.cache_misses) / f64::from(self.calls.max(1))
    }
}

/// An open call.
#[derive(Clone, Copy, Debug)]
struct SimCall {
    router: usize,
    upstream: usize,
    prompt: u64,
    started_at: MonoTime,
}

#[derive(Clone, Copy, Debug)]
enum AffinityEvent {
    Arrival,
    FirstEvent(SimCall),
    End(SimCall),
    Heartbeat { router: usize },
    Churn,
}

#[derive(Clone)]
struct SimRouter {
    /// Statistics by index of the upstream.
    stats: Vec<UpstreamStats>,
    prompt_load: PromptLoad,
    latest_loads: LatestLoads,
    /// The upstream that each prompt was last sent to.
    last_sent: HashMap<u64, usize>,
}

/// A run of the simulation.
pub struct AffinitySim {
    workload: AffinityWorkload,
    options: RoutingOptions,
    rng: ChaCha8Rng,
    keys: Vec<UpstreamKey>,
    next_key_number: u64,
    /// Number of open calls of each upstream.
    loads: Vec<u32>,
    /// Prompts that each upstream has cached.
    caches: Vec<HashSet<u64>>,
    routers: Vec<SimRouter>,
    events: EventQueue<AffinityEvent>,
    figures: AffinityFigures,
}

fn upstream_key(number: u64) -> UpstreamKey {
    UpstreamKey(xxh3_64(&number.to_le_bytes()))
}

impl AffinitySim {
    /// Creates a simulation with empty caches and no open calls.
    pub fn new(seed: u64, workload: AffinityWorkload, options: RoutingOptions) -> Self {
        let router = SimRouter {
            stats: vec![UpstreamStats::default(); UPSTREAMS],
            prompt_load: PromptLoad::default(),
            latest_loads: LatestLoads::default(),
            last_sent: HashMap::new(),
        };
        Self {
            workload,
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            keys: (0..UPSTREAMS as u64).map(upstream_key).collect(),
            next_key_number: UPSTREAMS as u64,
            loads: vec![0; UPSTREAMS],
            caches: vec![HashSet::new(); UPSTREAMS],
            routers: vec![router; ROUTERS],
            events: EventQueue::default(),
            figures: AffinityFigures::default(),
        }
    }

    /// Runs the simulation for `RUN_LENGTH` of virtual time.
    pub fn run(mut self) -> AffinityFigures {
        let end = MonoTime(RUN_LENGTH);
        self.events
            .push(MonoTime::default(), AffinityEvent::Arrival);
        if let Some(interval) = self.workload.churn_interval {
            self.events.push(MonoTime(interval), AffinityEvent::Churn);
        }
        for router in 0..ROUTERS {
            let first = MonoTime(GOSSIP_PERIOD.mul_f64(self.rng.random()));
            self.events.push(first, AffinityEvent::Heartbeat { router });
        }
        while let Some((now, event)) = self.events.pop() {
            if now > end {
                break;
            }
            match event {
                AffinityEvent::Arrival => self.arrival(now),
                AffinityEvent::FirstEvent(call) => self.first_event(call, now),
                AffinityEvent::End(call) => self.end(call, now),
                AffinityEvent::Heartbeat { router } => self.send_heartbeats(router, now),
                AffinityEvent::Churn => self.replace_upstream(now),
            }
        }
        self.figures
    }

    /// Draws a duration from an exponential distribution.
    fn sample_exponential(&mut self, mean: Duration) -> Duration {
        let draw: f64 = self.rng.random();
        mean.mul_f64(-(1.0 - draw).ln())
    }

    fn candidates(&self, router: usize, now: MonoTime) -> Vec<UpstreamCandidate> {
        let stats = self.routers[router].stats.iter().zip(&self.keys);
        stats
            .map(|(stats, &key)| UpstreamCandidate {
                key,
                slots: SLOTS,
                load: match self.options.selection {
                    Selection::Unbounded => 0.0,
                    _ => stats.load(ROUTERS, now),
                },
                own_calls: stats.own_calls,
                is_reported: stats.is_reported(now),
                is_local: false,
                eligibility: Eligibility::Open,
                cache_readable: true,
            })
            .collect()
    }

    fn choose(&mut self, router: usize, prompt: u64, now: MonoTime) -> usize {
        let candidates = self.candidates(router, now);
        let draw = self.rng.random();
        let open_calls = if self.options.estimates_prompt_load {
            self.routers[router]
                .prompt_load
                .open_calls(prompt, ROUTERS, now)
        } else {
            0.0
        };
        let affinity = match self.options.selection {
            Selection::Random | Selection::LeastLoaded => None,
            Selection::Bounded | Selection::Unbounded => Some(SharedPart { prompt, open_calls }),
        };
        let chosen = match self.options.selection {
            Selection::Random => draw as usize % UPSTREAMS,
            _ => choose_upstream(&candidates, affinity, ROUTER_BOUND, draw)
                .expect("all candidates are open"),
        };
        self.figures.cache_misses +=
            u32::from(!self.is_cached(router, prompt, chosen, &candidates));
        chosen
    }

    /// Returns whether a prompt is in the cache of an upstream or of its copy source.
    fn is_cached(
        &self,
        router: usize,
        prompt: u64,
        upstream: usize,
        candidates: &[UpstreamCandidate],
    ) -> bool {
        let source = match self.options.copy_source {
            CopySource::NextPreferred => next_preferred(candidates, prompt, upstream),
            CopySource::LastSent => self.routers[router].last_sent.get(&prompt).copied(),
        };
        let has = |upstream: usize| self.caches[upstream].contains(&prompt);
        has(upstream) || source.is_some_and(has)
    }

    fn arrival(&mut self, now: MonoTime) {
        let next = now + self.sample_exponential(self.workload.mean_gap);
        self.events.push(next, AffinityEvent::Arrival);
        let router = self.rng.random_range(0..ROUTERS);
        let prompt = if self.rng.random_bool(self.workload.hot_share) {
            u64::MAX
        } else {
            self.rng.random_range(0..self.workload.prompt_count)
        };
        let prompt = xxh3_64(&prompt.to_le_bytes());
        let upstream = self.choose(router, prompt, now);
        let mean = f64::from(self.loads.iter().sum::<u32>()) / UPSTREAMS as f64;
        let load = f64::from(self.loads[upstream]);
        self.figures.calls += 1;
        self.figures.above_bound +=
            u32::from(load > REQUIRED_BOUND.multiple * mean + REQUIRED_BOUND.slack);
        self.loads[upstream] += 1;
        self.caches[upstream].insert(prompt);
        let state = &mut self.routers[router];
        state.stats[upstream].own_calls += 1;
        state.last_sent.insert(prompt, upstream);
        let call = SimCall {
            router,
            upstream,
            prompt,
            started_at: now,
        };
        let first = now + self.sample_exponential(MEAN_TIME_TO_FIRST_EVENT);
        self.events.push(first, AffinityEvent::FirstEvent(call));
    }

    fn first_event(&mut self, call: SimCall, now: MonoTime) {
        let load = LoadReport {
            running: self.loads[call.upstream],
            ..LoadReport::default()
        };
        let router = &mut self.routers[call.router];
        router.stats[call.upstream].record_report(load, now);
        router.latest_loads.merge(UpstreamLoad {
            upstream: self.keys[call.upstream].into(),
            load,
            at: now,
        });
        let end = now + self.sample_exponential(self.workload.mean_length);
        self.events.push(end, AffinityEvent::End(call));
    }

    fn end(&mut self, call: SimCall, now: MonoTime) {
        let router = &mut self.routers[call.router];
        let length = now.since(call.started_at);
        router.prompt_load.record_call(call.prompt, length, now);
        router.stats[call.upstream].own_calls -= 1;
        self.loads[call.upstream] -= 1;
    }

    /// Sends the load reports of the busiest upstreams to some other routers.
    fn send_heartbeats(&mut self, router: usize, now: MonoTime) {
        self.events
            .push(now + GOSSIP_PERIOD, AffinityEvent::Heartbeat { router });
        if !self.options.shares_load_reports {
            return;
        }
        let reports = self.routers[router].latest_loads.busiest(now);
        let others: Vec<usize> = (0..ROUTERS).filter(|&other| other != router).collect();
        for &target in others.sample(&mut self.rng, ROUND_FANOUT) {
            let target = &mut self.routers[target];
            for &report in &reports {
                target.latest_loads.merge(report);
            }
            for (key, stats) in self.keys.iter().zip(&mut target.stats) {
                if let Some(report) = target.latest_loads.latest(*key) {
                    stats.record_report(report.load, report.at);
                }
            }
        }
    }

    /// Replaces a random upstream by a new one with an empty cache. Open calls continue to their
    /// ends.
    fn replace_upstream(&mut self, now: MonoTime) {
        if let Some(interval) = self.workload.churn_interval {
            self.events.push(now + interval, AffinityEvent::Churn);
        }
        let upstream = self.rng.random_range(0..UPSTREAMS);
        self.keys[upstream] = upstream_key(self.next_key_number);
        self.next_key_number += 1;
        self.caches[upstream].clear();
    }
}
