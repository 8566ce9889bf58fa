//! Many routers that choose homes for prompts, each hearing little of each upstream.

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

/// Routers of the fleet.
const ROUTERS: usize = 27;

/// Upstreams of the service.
const UPSTREAMS: usize = 140;

/// Calls that each upstream runs at once.
const SLOTS: u32 = 24;

/// Mean time from a call to its first event, whose head carries the load report.
const FIRST_EVENT: Duration = Duration::from_millis(120);

/// Length of a run.
const RUN: Duration = Duration::from_secs(20);

/// The bound that the fleet must keep: a multiple of the mean load, and some calls.
const DUE: AffinityBound = AffinityBound {
    multiple: 2.0,
    slack: 3.0,
};

/// The bound that routers choose by.
const BOUND: AffinityBound = AffinityBound {
    multiple: 1.7,
    slack: 3.0,
};

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct HomeLoad {
    /// Mean time between two calls, over all routers.
    pub gap: Duration,
    /// Mean length of a call after its first event.
    pub length: Duration,
    /// Prompts, each asked for as often as any other.
    pub prompts: u64,
    /// Share of the calls that are about one prompt more.
    pub hot_share: f64,
    /// Time between two upstreams that leave, each for a new one; none where all stay.
    pub churn: Option<Duration>,
}

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HomeChoice {
    /// The home below the bound.
    Bounded,
    /// The home, whatever its load.
    Unbounded,
    /// The least loaded upstream, as far as known.
    LeastLoaded,
    /// Any upstream.
    Random,
}

/// Where an upstream copies a prompt from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopySource {
    /// From the first other upstream in the prompt's order.
    OtherHome,
    /// From where this router last sent the prompt.
    OwnMemory,
}

/// What routers use.
#[derive(Clone, Copy, Debug)]
pub struct HomeWay {
    /// How an upstream is chosen.
    pub choice: HomeChoice,
    /// Where it copies from.
    pub source: CopySource,
    /// Whether routers estimate the fleet's calls about a prompt.
    pub heat: bool,
    /// Whether heartbeats carry loads.
    pub told: bool,
}

/// The product's own way.
pub const PRODUCT_WAY: HomeWay = HomeWay {
    choice: HomeChoice::Bounded,
    source: CopySource::OtherHome,
    heat: true,
    told: true,
};

/// What a run shows.
#[derive(Clone, Copy, Debug, Default)]
pub struct HomeFigures {
    /// Calls.
    pub calls: u32,
    /// Calls that met an upstream above the bound that is due.
    pub above: u32,
    /// Calls whose prompt was read anew, for want of the upstream's own copy or a source's.
    pub read: u32,
}

impl HomeFigures {
    /// Share of the calls that met an upstream above the bound.
    pub fn above_share(&self) -> f64 {
        f64::from(self.above) / f64::from(self.calls.max(1))
    }

    /// Share of the calls whose prompt was read anew.
    pub fn read_share(&self) -> f64 {
        f64::from(self.read) / f64::from(self.calls.max(1))
    }
}

/// A call and where it went.
#[derive(Clone, Copy, Debug)]
struct SimCall {
    router: usize,
    upstream: usize,
    prompt: u64,
    began: MonoTime,
}

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum HomeEvent {
    Arrival,
    FirstEvent(SimCall),
    End(SimCall),
    Round { router: usize },
    Churn,
}

#[derive(Clone)]
struct SimRouter {
    tracks: Vec<UpstreamStats>,
    heat: PromptLoad,
    news: LatestLoads,
    /// Where each prompt was sent last.
    sent: HashMap<u64, usize>,
}

/// One run.
pub struct HomeSim {
    load: HomeLoad,
    way: HomeWay,
    rng: ChaCha8Rng,
    keys: Vec<UpstreamKey>,
    next_key: u64,
    /// Calls that each upstream has.
    loads: Vec<u32>,
    /// Prompts that each upstream keeps.
    caches: Vec<HashSet<u64>>,
    routers: Vec<SimRouter>,
    events: EventQueue<HomeEvent>,
    figures: HomeFigures,
}

fn upstream_key(number: u64) -> UpstreamKey {
    UpstreamKey(xxh3_64(&number.to_le_bytes()))
}

impl HomeSim {
    /// A fleet that has served nothing yet.
    pub fn new(seed: u64, load: HomeLoad, way: HomeWay) -> Self {
        let router = SimRouter {
            tracks: vec![UpstreamStats::default(); UPSTREAMS],
            heat: PromptLoad::default(),
            news: LatestLoads::default(),
            sent: HashMap::new(),
        };
        Self {
            load,
            way,
            rng: ChaCha8Rng::seed_from_u64(seed),
            keys: (0..UPSTREAMS as u64).map(upstream_key).collect(),
            next_key: UPSTREAMS as u64,
            loads: vec![0; UPSTREAMS],
            caches: vec![HashSet::new(); UPSTREAMS],
            routers: vec![router; ROUTERS],
            events: EventQueue::default(),
            figures: HomeFigures::default(),
        }
    }

    /// Plays to the end.
    pub fn run(mut self) -> HomeFigures {
        let end = MonoTime(RUN);
        self.events.push(MonoTime::default(), HomeEvent::Arrival);
        if let Some(churn) = self.load.churn {
            self.events.push(MonoTime(churn), HomeEvent::Churn);
        }
        for router in 0..ROUTERS {
            let first = MonoTime(GOSSIP_PERIOD.mul_f64(self.rng.random()));
            self.events.push(first, HomeEvent::Round { router });
        }
        while let Some((now, event)) = self.events.pop() {
            if now > end {
                break;
            }
            match event {
                HomeEvent::Arrival => self.arrival(now),
                HomeEvent::FirstEvent(call) => self.first_event(call, now),
                HomeEvent::End(call) => self.end(call, now),
                HomeEvent::Round { router } => self.round(router, now),
                HomeEvent::Churn => self.churn(now),
            }
        }
        self.figures
    }

    /// An exponential span.
    fn span(&mut self, mean: Duration) -> Duration {
        let draw: f64 = self.rng.random();
        mean.mul_f64(-(1.0 - draw).ln())
    }

    fn options(&self, router: usize, now: MonoTime) -> Vec<UpstreamCandidate> {
        let tracks = self.routers[router].tracks.iter().zip(&self.keys);
        tracks
            .map(|(track, &key)| UpstreamCandidate {
                key,
                slots: SLOTS,
                load: match self.way.choice {
                    HomeChoice::Unbounded => 0.0,
                    _ => track.load(ROUTERS, now),
                },
                is_local: false,
                eligibility: Eligibility::Open,
                cache_readable: true,
            })
            .collect()
    }

    fn choose(&mut self, router: usize, prompt: u64, now: MonoTime) -> usize {
        let options = self.options(router, now);
        let draw = self.rng.random();
        let open_calls = if self.way.heat {
            self.routers[router].heat.open_calls(prompt, ROUTERS, now)
        } else {
            0.0
        };
        let home = match self.way.choice {
            HomeChoice::Random | HomeChoice::LeastLoaded => None,
            HomeChoice::Bounded | HomeChoice::Unbounded => Some(SharedPart { prompt, open_calls }),
        };
        let chosen = match self.way.choice {
            HomeChoice::Random => draw as usize % UPSTREAMS,
            _ => choose_upstream(&options, home, BOUND, draw).expect("all are open"),
        };
        self.figures.read += u32::from(!self.finds(router, prompt, chosen, &options));
        chosen
    }

    /// Whether an upstream finds a prompt in its own cache or in that of its source.
    fn finds(
        &self,
        router: usize,
        prompt: u64,
        upstream: usize,
        options: &[UpstreamCandidate],
    ) -> bool {
        let source = match self.way.source {
            CopySource::OtherHome => next_preferred(options, prompt, upstream),
            CopySource::OwnMemory => self.routers[router].sent.get(&prompt).copied(),
        };
        let has = |upstream: usize| self.caches[upstream].contains(&prompt);
        has(upstream) || source.is_some_and(has)
    }

    fn arrival(&mut self, now: MonoTime) {
        let next = now + self.span(self.load.gap);
        self.events.push(next, HomeEvent::Arrival);
        let router = self.rng.random_range(0..ROUTERS);
        let prompt = if self.rng.random_bool(self.load.hot_share) {
            u64::MAX
        } else {
            self.rng.random_range(0..self.load.prompts)
        };
        let prompt = xxh3_64(&prompt.to_le_bytes());
        let upstream = self.choose(router, prompt, now);
        let mean = f64::from(self.loads.iter().sum::<u32>()) / UPSTREAMS as f64;
        let load = f64::from(self.loads[upstream]);
        self.figures.calls += 1;
        self.figures.above += u32::from(load > DUE.multiple * mean + DUE.slack);
        self.loads[upstream] += 1;
        self.caches[upstream].insert(prompt);
        let state = &mut self.routers[router];
        state.tracks[upstream].own_calls += 1;
        state.sent.insert(prompt, upstream);
        let call = SimCall {
            router,
            upstream,
            prompt,
            began: now,
        };
        let first = now + self.span(FIRST_EVENT);
        self.events.push(first, HomeEvent::FirstEvent(call));
    }

    /// The first event brings a load report.
    fn first_event(&mut self, call: SimCall, now: MonoTime) {
        let load = LoadReport {
            running: self.loads[call.upstream],
            waiting: 0,
        };
        let router = &mut self.routers[call.router];
        router.tracks[call.upstream].record_report(load, now);
        router.news.merge(UpstreamLoad {
            upstream: self.keys[call.upstream].into(),
            load,
            at: now,
        });
        let end = now + self.span(self.load.length);
        self.events.push(end, HomeEvent::End(call));
    }

    fn end(&mut self, call: SimCall, now: MonoTime) {
        let router = &mut self.routers[call.router];
        let length = now.since(call.began);
        router.heat.record_call(call.prompt, length, now);
        router.tracks[call.upstream].own_calls -= 1;
        self.loads[call.upstream] -= 1;
    }

    /// A router's heartbeats.
    fn round(&mut self, router: usize, now: MonoTime) {
        self.events
            .push(now + GOSSIP_PERIOD, HomeEvent::Round { router });
        if !self.way.told {
            return;
        }
        let words = self.routers[router].news.busiest(now);
        let others: Vec<usize> = (0..ROUTERS).filter(|&other| other != router).collect();
        for &target in others.sample(&mut self.rng, ROUND_FANOUT) {
            let target = &mut self.routers[target];
            for &word in &words {
                target.news.merge(word);
            }
            for (key, track) in self.keys.iter().zip(&mut target.tracks) {
                if let Some(word) = target.news.latest(*key) {
                    track.record_report(word.load, word.at);
                }
            }
        }
    }

    /// An upstream leaves and a new one takes its place; its calls run to their ends.
    fn churn(&mut self, now: MonoTime) {
        if let Some(churn) = self.load.churn {
            self.events.push(now + churn, HomeEvent::Churn);
        }
        let upstream = self.rng.random_range(0..UPSTREAMS);
        self.keys[upstream] = upstream_key(self.next_key);
        self.next_key += 1;
        self.caches[upstream].clear();
    }
}
