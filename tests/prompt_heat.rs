//! Many routers and a hot prompt: its calls spread before load reports tell that a home is full.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use hawthornrouter::dialect::LoadReport;
use hawthornrouter::ids::UpstreamKey;
use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::prompt_heat::PromptHeat;
use hawthornrouter::policy::upstream_choice::{
    HomeBound, PromptHome, UpstreamOption, UpstreamUse, choose_upstream,
};
use hawthornrouter::policy::upstream_track::UpstreamTrack;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

const ROUTERS: usize = 27;
const UPSTREAMS: usize = 140;
/// Prompts with a home of their own.
const PROMPTS: u64 = 1300;
/// Share of the calls that are about one prompt.
const HOT_SHARE: f64 = 0.1;
/// Mean time between two calls, over all routers.
const CALL_GAP: Duration = Duration::from_micros(1300);
/// Mean time from a call to its first event, whose head carries the load report.
const FIRST_EVENT: Duration = Duration::from_millis(120);
/// Mean length of a call.
const CALL_LENGTH: Duration = Duration::from_millis(450);
const RUN: Duration = Duration::from_secs(20);
/// The bound that the fleet must keep: a multiple of the mean load, and some calls.
const DUE: HomeBound = HomeBound {
    multiple: 2.0,
    slack: 3.0,
};
const BOUND: HomeBound = HomeBound {
    multiple: 1.7,
    slack: 3.0,
};

/// What happens next; the derived order only breaks ties.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Call,
    Head { router: usize, upstream: usize },
    End(usize, usize, u64, Duration),
}

struct Router {
    tracks: Vec<UpstreamTrack>,
    heat: PromptHeat,
}

struct Fleet {
    rng: ChaCha8Rng,
    keys: Vec<UpstreamKey>,
    loads: Vec<u32>,
    routers: Vec<Router>,
    steps: BinaryHeap<Reverse<(Duration, Step)>>,
    /// Whether routers spread hot prompts.
    heat: bool,
    calls: u32,
    /// Calls that reached an upstream above the bound that is due.
    above: u32,
    /// Calls that reached the home of their prompt.
    home: u32,
}

impl Fleet {
    fn new(seed: u64, heat: bool) -> Self {
        let keys = (0..UPSTREAMS as u64).map(|index| UpstreamKey(xxh3_64(&index.to_le_bytes())));
        let router = || Router {
            tracks: vec![UpstreamTrack::default(); UPSTREAMS],
            heat: PromptHeat::default(),
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            keys: keys.collect(),
            loads: vec![0; UPSTREAMS],
            routers: (0..ROUTERS).map(|_| router()).collect(),
            steps: BinaryHeap::new(),
            heat,
            calls: 0,
            above: 0,
            home: 0,
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

    fn options(&self, router: usize, now: MonoTime) -> Vec<UpstreamOption> {
        let tracks = &self.routers[router].tracks;
        let option = |(index, track): (usize, &UpstreamTrack)| UpstreamOption {
            key: self.keys[index],
            slots: 24,
            load: track.load(ROUTERS, now),
            near: false,
            usable: UpstreamUse::Open,
            readable: true,
        };
        tracks.iter().enumerate().map(option).collect()
    }

    fn call(&mut self, now: Duration) {
        let router = self.rng.random_range(0..ROUTERS);
        let hot = self.rng.random_bool(HOT_SHARE);
        let prompt = if hot {
            0
        } else {
            self.rng.random_range(0..PROMPTS)
        };
        let prompt = xxh3_64(&prompt.to_le_bytes());
        let options = self.options(router, MonoTime(now));
        let open_calls = self.routers[router]
            .heat
            .open_calls(prompt, ROUTERS, MonoTime(now));
        let open_calls = if self.heat { open_calls } else { 0.0 };
        let place = PromptHome { prompt, open_calls };
        let draw = self.rng.random();
        let upstream = choose_upstream(&options, Some(place), BOUND, draw).expect("one is open");
        let mean = f64::from(self.loads.iter().sum::<u32>()) / UPSTREAMS as f64;
        self.calls += 1;
        let load = f64::from(self.loads[upstream]);
        self.above += u32::from(load > DUE.multiple * mean + DUE.slack);
        let empty: Vec<UpstreamOption> = options
            .into_iter()
            .map(|option| UpstreamOption {
                load: 0.0,
                ..option
            })
            .collect();
        let home = choose_upstream(
            &empty,
            Some(PromptHome {
                prompt,
                open_calls: 0.0,
            }),
            BOUND,
            0,
        );
        self.home += u32::from(home == Some(upstream));
        self.loads[upstream] += 1;
        self.routers[router].tracks[upstream].own += 1;
        let head = now + self.span(FIRST_EVENT);
        let end = head + self.span(CALL_LENGTH);
        self.push(head, Step::Head { router, upstream });
        self.push(end, Step::End(router, upstream, prompt, end - now));
        let next = now + self.span(CALL_GAP);
        self.push(next, Step::Call);
    }

    fn head(&mut self, router: usize, upstream: usize, now: MonoTime) {
        let load = LoadReport {
            running: self.loads[upstream],
            waiting: 0,
        };
        self.routers[router].tracks[upstream].reported(load, now);
    }

    fn run(mut self) -> Self {
        self.push(Duration::ZERO, Step::Call);
        while let Some(Reverse((now, step))) = self.steps.pop() {
            if now > RUN {
                break;
            }
            match step {
                Step::Call => self.call(now),
                Step::Head { router, upstream } => self.head(router, upstream, MonoTime(now)),
                Step::End(router, upstream, prompt, length) => {
                    self.routers[router]
                        .heat
                        .ended(prompt, length, MonoTime(now));
                    self.loads[upstream] -= 1;
                    self.routers[router].tracks[upstream].own -= 1;
                }
            }
        }
        self
    }

    fn share_above(&self) -> f64 {
        f64::from(self.above) / f64::from(self.calls)
    }

    fn share_home(&self) -> f64 {
        f64::from(self.home) / f64::from(self.calls)
    }
}

#[test]
fn late_reports() {
    for seed in 1..=3 {
        for heat in [false, true] {
            let fleet = Fleet::new(seed, heat).run();
            println!(
                "seed {seed} heat {heat}: above {:.4} home {:.3}",
                fleet.share_above(),
                fleet.share_home()
            );
        }
    }
}
