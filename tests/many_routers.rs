//! Many routers, each of which hears little of each upstream: homes keep within their bound all
//! the same. Played on virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use hawthornrouter::dialect::LoadReport;
use hawthornrouter::fleet::member_table::{GOSSIP_PERIOD, ROUND_FANOUT};
use hawthornrouter::ids::UpstreamKey;
use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::load_news::{LoadNews, LoadWord, UpstreamTag};
use hawthornrouter::policy::prompt_heat::PromptHeat;
use hawthornrouter::policy::upstream_choice::{
    HomeBound, PromptHome, UpstreamOption, UpstreamUse, choose_upstream,
};
use hawthornrouter::policy::upstream_track::UpstreamTrack;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

const ROUTERS: usize = 27;
const UPSTREAMS: usize = 140;
/// Mean time from a call to its first event, whose head carries the load report.
const FIRST_EVENT: Duration = Duration::from_millis(120);
const RUN: Duration = Duration::from_secs(20);
/// The bound that the fleet must keep: a multiple of the mean load, and some calls.
const DUE: HomeBound = HomeBound {
    multiple: 2.0,
    slack: 3.0,
};
/// Calls in a hundred that may meet an upstream above it.
const MOST_ABOVE: f64 = 0.03;
/// The bound that routers choose by.
const BOUND: HomeBound = HomeBound {
    multiple: 1.7,
    slack: 3.0,
};

/// What is asked for, and what routers use.
#[derive(Clone, Copy)]
struct Play {
    /// Mean time between two calls, over all routers.
    gap: Duration,
    /// Mean length of a call after its first event.
    length: Duration,
    /// Prompts, each asked for as often as any other.
    prompts: u64,
    /// Share of the calls that are about one prompt more.
    hot_share: f64,
    /// Whether routers estimate the fleet's calls about a prompt.
    heat: bool,
    /// Whether heartbeats carry loads.
    told: bool,
}

/// A call and where it went.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Call {
    router: usize,
    upstream: usize,
    prompt: u64,
    began: Duration,
}

/// What happens next; the derived order only breaks ties.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrival,
    FirstEvent(Call),
    End(Call),
    Round { router: usize },
}

#[derive(Clone)]
struct Router {
    tracks: Vec<UpstreamTrack>,
    heat: PromptHeat,
    news: LoadNews,
}

struct Fleet {
    play: Play,
    rng: ChaCha8Rng,
    keys: Vec<UpstreamKey>,
    loads: Vec<u32>,
    routers: Vec<Router>,
    steps: BinaryHeap<Reverse<(Duration, Step)>>,
    calls: u32,
    /// Calls that reached an upstream above the bound that is due.
    above: u32,
}

impl Fleet {
    fn new(seed: u64, play: Play) -> Self {
        let keys = (0..UPSTREAMS as u64).map(|index| UpstreamKey(xxh3_64(&index.to_le_bytes())));
        let router = Router {
            tracks: vec![UpstreamTrack::default(); UPSTREAMS],
            heat: PromptHeat::default(),
            news: LoadNews::default(),
        };
        Self {
            play,
            rng: ChaCha8Rng::seed_from_u64(seed),
            keys: keys.collect(),
            loads: vec![0; UPSTREAMS],
            routers: vec![router; ROUTERS],
            steps: BinaryHeap::new(),
            calls: 0,
            above: 0,
        }
    }

    /// An exponential span.
    fn span(&mut self, mean: Duration) -> Duration {
        let draw: f64 = self.rng.random();
        mean.mul_f64(-(1.0 - draw).ln())
    }

    fn push(&mut self, at: Duration, step: Step) {
        self.steps.push(Reverse((at, step)));
    }

    fn choose(&mut self, router: usize, prompt: u64, now: MonoTime) -> usize {
        let Router { tracks, heat, .. } = &self.routers[router];
        let option = |(index, track): (usize, &UpstreamTrack)| UpstreamOption {
            key: self.keys[index],
            slots: 24,
            load: track.load(ROUTERS, now),
            near: false,
            usable: UpstreamUse::Open,
            readable: true,
        };
        let options: Vec<UpstreamOption> = tracks.iter().enumerate().map(option).collect();
        let open_calls = if self.play.heat {
            heat.open_calls(prompt, ROUTERS, now)
        } else {
            0.0
        };
        let home = PromptHome { prompt, open_calls };
        choose_upstream(&options, Some(home), BOUND, self.rng.random()).expect("one is open")
    }

    fn arrival(&mut self, now: Duration) {
        let next = now + self.span(self.play.gap);
        self.push(next, Step::Arrival);
        let router = self.rng.random_range(0..ROUTERS);
        let prompt = if self.rng.random_bool(self.play.hot_share) {
            u64::MAX
        } else {
            self.rng.random_range(0..self.play.prompts)
        };
        let prompt = xxh3_64(&prompt.to_le_bytes());
        let upstream = self.choose(router, prompt, MonoTime(now));
        let mean = f64::from(self.loads.iter().sum::<u32>()) / UPSTREAMS as f64;
        let load = f64::from(self.loads[upstream]);
        self.calls += 1;
        self.above += u32::from(load > DUE.multiple * mean + DUE.slack);
        self.loads[upstream] += 1;
        self.routers[router].tracks[upstream].own += 1;
        let call = Call {
            router,
            upstream,
            prompt,
            began: now,
        };
        let first = now + self.span(FIRST_EVENT);
        self.push(first, Step::FirstEvent(call));
    }

    /// The first event brings a load report.
    fn first_event(&mut self, call: Call, now: Duration) {
        let at = MonoTime(now);
        let load = LoadReport {
            running: self.loads[call.upstream],
            waiting: 0,
        };
        let router = &mut self.routers[call.router];
        router.tracks[call.upstream].reported(load, at);
        router.news.note(LoadWord {
            upstream: self.keys[call.upstream].into(),
            load,
            at,
        });
        let end = now + self.span(self.play.length);
        self.push(end, Step::End(call));
    }

    fn end(&mut self, call: Call, now: Duration) {
        let router = &mut self.routers[call.router];
        let at = MonoTime(now);
        let length = at.since(MonoTime(call.began));
        router.heat.ended(call.prompt, length, at);
        router.tracks[call.upstream].own -= 1;
        self.loads[call.upstream] -= 1;
    }

    /// A router's heartbeats.
    fn round(&mut self, router: usize, now: Duration) {
        self.push(now + GOSSIP_PERIOD, Step::Round { router });
        let words = self.routers[router].news.busiest(MonoTime(now));
        let others: Vec<usize> = (0..ROUTERS).filter(|&other| other != router).collect();
        for &target in others.sample(&mut self.rng, ROUND_FANOUT) {
            let target = &mut self.routers[target];
            for &word in &words {
                target.news.note(word);
            }
            for (key, track) in self.keys.iter().zip(&mut target.tracks) {
                if let Some(word) = target.news.latest(*key) {
                    track.reported(word.load, word.at);
                }
            }
        }
    }

    /// Plays to the end and gives the share of calls that met an upstream above its bound.
    fn share_above(mut self) -> f64 {
        self.push(Duration::ZERO, Step::Arrival);
        if self.play.told {
            for router in 0..ROUTERS {
                let first = GOSSIP_PERIOD.mul_f64(self.rng.random());
                self.push(first, Step::Round { router });
            }
        }
        while let Some(Reverse((now, step))) = self.steps.pop() {
            if now > RUN {
                break;
            }
            match step {
                Step::Arrival => self.arrival(now),
                Step::FirstEvent(call) => self.first_event(call, now),
                Step::End(call) => self.end(call, now),
                Step::Round { router } => self.round(router, now),
            }
        }
        f64::from(self.above) / f64::from(self.calls)
    }
}

/// Plays with and without a mechanism: the bound is kept only with it.
fn compare(without: Play, with: Play) {
    for seed in 1..=3 {
        let before = Fleet::new(seed, without).share_above();
        let after = Fleet::new(seed, with).share_above();
        println!("seed {seed}: {before:.4} without, {after:.4} with");
        assert!(before > MOST_ABOVE, "seed {seed}: the load is no trial");
        assert!(after <= MOST_ABOVE, "seed {seed}: {after}");
    }
}

#[test]
fn hot_prompt() {
    let without = Play {
        gap: Duration::from_micros(1500),
        length: Duration::from_millis(450),
        prompts: 1300,
        hot_share: 0.12,
        heat: false,
        told: false,
    };
    compare(
        without,
        Play {
            heat: true,
            ..without
        },
    );
}

#[test]
fn uneven_homes() {
    let without = Play {
        gap: Duration::from_millis(4),
        length: Duration::from_millis(1500),
        prompts: 150,
        hot_share: 0.0,
        heat: true,
        told: false,
    };
    compare(
        without,
        Play {
            told: true,
            ..without
        },
    );
}

#[test]
fn long_calls() {
    let without = Play {
        gap: Duration::from_millis(4),
        length: Duration::from_millis(1500),
        prompts: 400,
        hot_share: 0.12,
        heat: true,
        told: false,
    };
    compare(
        without,
        Play {
            told: true,
            ..without
        },
    );
}

#[test]
fn latest_report() {
    let word = |running, at| LoadWord {
        upstream: UpstreamTag(7),
        load: LoadReport {
            running,
            waiting: 0,
        },
        at: MonoTime(Duration::from_millis(at)),
    };
    let mut news = LoadNews::default();
    news.note(word(9, 500));
    // Comes later, but is older.
    news.note(word(2, 300));
    assert_eq!(news.latest(UpstreamKey(7)), Some(word(9, 500)));
    news.note(word(3, 600));
    assert_eq!(news.latest(UpstreamKey(7)), Some(word(3, 600)));
    let late = MonoTime(Duration::from_millis(1700));
    assert!(news.busiest(late).is_empty(), "old reports are passed on");
}
