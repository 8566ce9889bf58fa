//! Plays fleets of routers in virtual time whose upstreams start during traffic. Guards against more
//! calls to a cold upstream, from all routers together, than its bound in any second.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hawthornrouter::dialect::ColdStatement;
use hawthornrouter::fleet::upstream_entry::{ServingState, StartTime, UpstreamEntry};
use hawthornrouter::ids::DataCenterTag;
use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::cold_upstreams::{ColdBound, ColdPlace, ColdReport, ColdUpstreams};
use hawthornrouter::policy::known_routers::{FleetContact, KnownRouters};
use hawthornrouter::policy::latest_loads::UpstreamTag;
use hawthornrouter::policy::locate_choice::RouterPlace;
use hawthornrouter::route::ColdTerms;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const UPSTREAMS: usize = 90;
const DEMAND_PER_S: f64 = 560.0;
const STEP_MS: u64 = 5;
const COLD_MS: u64 = 3000;
const BOUND: ColdBound = ColdBound {
    overshoot: 1.5,
    slack: 5.0,
};
/// `ColdPerS` x `ColdOvershoot` + `ColdSlack`, with a rate of 9.3.
const MAX_CALLS: usize = 18;
const SEEDS: u64 = 20;
/// The fleet is warm until this time, and the trouble ends at the next one.
const DOWN_MS: u64 = 6000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// One data centre is off for 8 s. Connections are refused, or time out.
    DataCenterOff { refused: bool, unlisted: bool },
    /// Every sixth upstream restarts under its id within 700 ms.
    Restarts,
    /// Every sixth upstream is new.
    Joins,
}

#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Routers that restart at random times from 1 s before the end of the trouble.
    restarted: usize,
    /// Routers that hear no peer and no store from 1 s before the trouble on.
    cut_off: usize,
}

struct Router {
    cold: ColdUpstreams,
    known: KnownRouters,
    contact: FleetContact,
    started_ms: u64,
    is_cut_off: bool,
    /// By upstream: end of the backoff and its length, in ms.
    backoff: Vec<(u64, u64)>,
    open: Vec<u32>,
}

struct Upstream {
    entry: UpstreamEntry,
    tag: UpstreamTag,
    /// When the entry of the latest start reaches each router, in ms.
    news_ms: Vec<u64>,
    removed_ms: Option<u64>,
    is_down: bool,
    cold_from: Option<u64>,
    cold_arrivals: Vec<u64>,
    arrivals: usize,
    open: u32,
}

#[derive(Clone, Copy)]
enum Event {
    Answer(usize, usize),
    End(usize, usize),
    Failure(usize, usize, bool),
    Report(usize, ColdReport),
}

fn at(ms: u64) -> MonoTime {
    MonoTime(Duration::from_millis(10_000 + ms))
}

fn terms() -> ColdTerms {
    ColdTerms::new(3.0, 9.3).unwrap().unwrap()
}

fn place(index: usize) -> RouterPlace {
    RouterPlace {
        address: Ipv4Addr::from_bits(0x0a00_0000 + index as u32),
        data_center: DataCenterTag((index % 3) as u16),
    }
}

/// Wall clock of the entries, in ms.
fn wall(ms: u64) -> u64 {
    1_000_000 + ms
}

fn entry(index: usize, born_ms: u64, warm_up: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("i-{index}").parse().unwrap(),
        service: "llm".parse().unwrap(),
        address: SocketAddr::from(([10, 1, 0, index as u8], 80)),
        data_center: format!("dc-{}", index % 3).parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: 64,
        state: ServingState::Ready,
        warm_up: Duration::from_millis(warm_up),
        started: Some(StartTime(born_ms)),
        used_until: None,
    }
}

struct Fleet {
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    upstreams: Vec<Upstream>,
    /// By the step of their time.
    events: Vec<Vec<Event>>,
    refused: bool,
    /// Whether the affected upstreams are new.
    joins: bool,
    rejected: usize,
    calls: usize,
}

impl Fleet {
    fn new(seed: u64, count: usize, steps: usize) -> Self {
        let router = |_| Router {
            cold: ColdUpstreams::default(),
            known: KnownRouters::default(),
            contact: FleetContact::default(),
            started_ms: 0,
            is_cut_off: false,
            backoff: vec![(0, 0); UPSTREAMS],
            open: vec![0; UPSTREAMS],
        };
        let upstream = |index| {
            let entry = entry(index, wall(0) - 600_000, 0);
            Upstream {
                tag: entry.id.key().into(),
                entry,
                news_ms: vec![0; count],
                removed_ms: None,
                is_down: false,
                cold_from: None,
                cold_arrivals: Vec::new(),
                arrivals: 0,
                open: 0,
            }
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            routers: (0..count).map(router).collect(),
            upstreams: (0..UPSTREAMS).map(upstream).collect(),
            events: (0..steps + 1000).map(|_| Vec::new()).collect(),
            refused: true,
            joins: false,
            rejected: 0,
            calls: 0,
        }
    }

    fn schedule(&mut self, ms: u64, event: Event) {
        if let Some(events) = self.events.get_mut((ms / STEP_MS) as usize) {
            events.push(event);
        }
    }

    fn stop_upstream(&mut self, index: usize, unlisted: bool, ms: u64) {
        for router in 0..self.routers.len() {
            // The calls in progress break, unless the whole machine is off.
            if std::mem::take(&mut self.routers[router].open[index]) > 0 && self.refused {
                let after = self.rng.random_range(5..15);
                self.schedule(ms + after, Event::Failure(router, index, true));
            }
        }
        let upstream = &mut self.upstreams[index];
        upstream.is_down = true;
        upstream.open = 0;
        upstream.removed_ms = unlisted.then_some(ms + 3000);
    }

    /// Starts an upstream, whose entry is written up to 0.8 s late and read up to 1.2 s later.
    fn start_upstream(&mut self, index: usize, ms: u64) {
        let written = self.rng.random_range(0..800);
        for router in 0..self.routers.len() {
            let read = self.rng.random_range(5..1200);
            self.upstreams[index].news_ms[router] = ms + written + read;
        }
        let upstream = &mut self.upstreams[index];
        upstream.entry = entry(index, wall(ms), COLD_MS - written);
        upstream.is_down = false;
        upstream.removed_ms = None;
        upstream.cold_from = Some(ms);
    }

    /// Whether the router has the entry of the latest start.
    fn is_listed(&self, router: usize, index: usize, ms: u64) -> bool {
        let upstream = &self.upstreams[index];
        upstream.removed_ms.is_none_or(|removed| ms < removed)
            && (ms > upstream.news_ms[router] + STEP_MS
                || upstream.entry.started.unwrap().0 <= wall(0))
    }

    /// The periodic work of a router: members, entries and the log.
    fn tick(&mut self, index: usize, old_entries: &[UpstreamEntry], unlisted: bool, ms: u64) {
        let count = self.routers.len();
        let up_ms = ms - self.routers[index].started_ms;
        let is_cut_off = self.routers[index].is_cut_off;
        // A router that has just started hears of the others within 1.5 s.
        let reached = (count * (up_ms as usize + 1) / 1500).min(count);
        let hears = |other: usize| {
            other == index || (!is_cut_off && other < reached && !self.routers[other].is_cut_off)
        };
        let live: Vec<RouterPlace> = (0..count)
            .filter(|&other| hears(other))
            .map(place)
            .collect();
        let mut entries = Vec::new();
        for (number, upstream) in self.upstreams.iter().enumerate() {
            let is_original = upstream.entry.started.unwrap().0 <= wall(0);
            let has_news = ms >= upstream.news_ms[index] && !is_cut_off;
            if is_original || has_news {
                let is_removed = upstream.removed_ms.is_some_and(|removed| removed <= ms);
                if !is_removed || is_cut_off {
                    entries.push(&upstream.entry);
                }
            } else if (!unlisted || is_cut_off) && old_entries[number].slots > 0 {
                entries.push(&old_entries[number]);
            }
        }
        let router = &mut self.routers[index];
        router.known.record(place(index).address, &live, at(ms));
        router.contact = router.known.contact(place(index).address, count, at(ms));
        let known = router.known.places();
        router.cold.set_routers(place(index).address, known);
        let listed = entries.iter().map(|&entry| (entry, terms()));
        let unix_now = Duration::from_millis(wall(ms));
        router.cold.observe(listed, true, at(ms), unix_now);
        router.cold.tick(at(ms));
    }

    fn spread(&mut self, index: usize, ms: u64) {
        let reports = self.routers[index].cold.take_notice(at(ms));
        if reports.is_empty() || self.routers[index].is_cut_off {
            return;
        }
        let others = (0..self.routers.len()).filter(|&other| other != index);
        for target in others.sample(&mut self.rng, 4) {
            if !self.routers[target].is_cut_off && !self.rng.random_bool(0.02) {
                for &report in &reports {
                    let delay = self.rng.random_range(5..15);
                    self.schedule(ms + delay, Event::Report(target, report));
                }
            }
        }
    }

    fn handle(&mut self, event: Event, ms: u64) {
        match event {
            Event::Answer(router, index) => {
                if !self.upstreams[index].is_down {
                    let tag = self.upstreams[index].tag;
                    let router = &mut self.routers[router];
                    router.backoff[index] = (0, 0);
                    router
                        .cold
                        .record_answer(tag, ColdStatement::Silent, at(ms));
                }
            }
            Event::End(router, index) => {
                self.upstreams[index].open = self.upstreams[index].open.saturating_sub(1);
                let open = &mut self.routers[router].open[index];
                *open = open.saturating_sub(1);
            }
            Event::Failure(router, index, refused) => {
                let tag = self.upstreams[index].tag;
                let router = &mut self.routers[router];
                let length = (router.backoff[index].1 * 2).clamp(250, 2000);
                router.backoff[index] = (ms + length, length);
                router.cold.record_failure(tag, refused, at(ms));
            }
            Event::Report(router, report) => self.routers[router].cold.merge(report, at(ms)),
        }
    }

    /// Sends a call to the upstream that looks idle: `loads` are 200 ms old and the same for all.
    fn call(&mut self, index: usize, loads: &[u32], unlisted: bool, ms: u64) {
        self.calls += 1;
        let mut is_listed = [true; UPSTREAMS];
        for (number, listed) in is_listed.iter_mut().enumerate() {
            let news = self.is_listed(index, number, ms) && !self.routers[index].is_cut_off;
            let is_old = self.upstreams[number].cold_from.is_some() && !news;
            *listed = if is_old {
                !self.joins && (!unlisted || self.routers[index].is_cut_off)
            } else {
                self.upstreams[number]
                    .removed_ms
                    .is_none_or(|removed| ms < removed)
            };
        }
        let router = &mut self.routers[index];
        let place = ColdPlace {
            fleet_size: router.known.places().len(),
            contact: router.contact,
            bound: BOUND,
        };
        let options = (0..UPSTREAMS).filter(|&number| is_listed[number]);
        let open = options.filter(|&number| {
            let wait = router.cold.wait(self.upstreams[number].tag, place, at(ms));
            wait == Ok(Duration::ZERO)
        });
        let draw: u64 = self.rng.random();
        let best = open.min_by_key(|&number| {
            let in_backoff = router.backoff[number].0 > ms;
            let load = loads[number].max(router.open[number]);
            (in_backoff, load, (number as u64 + 1).wrapping_mul(draw | 1))
        });
        let Some(number) = best else {
            self.rejected += 1;
            return;
        };
        let tag = self.upstreams[number].tag;
        router.cold.take(tag, place, at(ms));
        if self.upstreams[number].is_down {
            let refused = self.refused;
            let after = if refused { STEP_MS } else { 300 };
            self.schedule(ms + after, Event::Failure(index, number, refused));
            return;
        }
        router.open[number] += 1;
        let upstream = &mut self.upstreams[number];
        upstream.open += 1;
        upstream.arrivals += 1;
        if upstream.cold_from.is_some_and(|from| ms < from + COLD_MS) {
            upstream.cold_arrivals.push(ms);
        }
        let first = self.rng.random_range(20..250);
        let end = first + self.rng.random_range(500..3500);
        self.schedule(ms + first, Event::Answer(index, number));
        self.schedule(ms + end, Event::End(index, number));
    }
}

impl Fleet {
    /// The most calls that a cold upstream got in a second, calls per second of a cold upstream, and
    /// the share of rejected calls.
    fn result(&self, affected: &[usize]) -> (usize, f64, f64) {
        let mut most = 0;
        let mut total = 0;
        for &index in affected {
            let arrivals = &self.upstreams[index].cold_arrivals;
            total += arrivals.len();
            for (first, &ms) in arrivals.iter().enumerate() {
                let inside = arrivals[first..]
                    .iter()
                    .take_while(|&&other| other < ms + 1000);
                most = most.max(inside.count());
            }
        }
        let per_s = total as f64 / affected.len() as f64 / (COLD_MS as f64 / 1000.0);
        (most, per_s, self.rejected as f64 / self.calls as f64)
    }
}

/// Plays one fleet; see [`Fleet::result`].
fn play(seed: u64, count: usize, trouble: Trouble, faults: Faults) -> (usize, f64, f64) {
    let up_ms = match trouble {
        Trouble::DataCenterOff { .. } => DOWN_MS + 8000,
        Trouble::Restarts => DOWN_MS + 700,
        Trouble::Joins => DOWN_MS,
    };
    let steps = ((up_ms + 5000) / STEP_MS) as usize;
    let mut fleet = Fleet::new(seed, count, steps);
    let mut old_entries: Vec<UpstreamEntry> = fleet
        .upstreams
        .iter()
        .map(|upstream| upstream.entry.clone())
        .collect();
    let affected: Vec<usize> = (0..UPSTREAMS)
        .filter(|index| match trouble {
            Trouble::DataCenterOff { .. } => index % 3 == 0,
            _ => index % 6 == 0,
        })
        .collect();
    let (refused, unlisted) = match trouble {
        Trouble::DataCenterOff { refused, unlisted } => (refused, unlisted),
        Trouble::Restarts => (true, false),
        Trouble::Joins => (true, true),
    };
    fleet.refused = refused;
    fleet.joins = trouble == Trouble::Joins;
    if trouble == Trouble::Joins {
        for &index in &affected {
            fleet.upstreams[index].removed_ms = Some(0);
            old_entries[index].slots = 0;
        }
    }
    let mut restarts: Vec<(u64, usize)> = (0..faults.restarted)
        .map(|number| (up_ms - 1000 + fleet.rng.random_range(0..3000), number))
        .collect();
    restarts.sort_unstable();
    let mut loads = vec![vec![0; UPSTREAMS]; 40];
    for step in 0..steps {
        let ms = step as u64 * STEP_MS;
        if ms == DOWN_MS - 1000 {
            for router in fleet.routers.iter_mut().rev().take(faults.cut_off) {
                router.is_cut_off = true;
            }
        }
        if ms == DOWN_MS && trouble != Trouble::Joins {
            for &index in &affected {
                fleet.stop_upstream(index, unlisted, ms);
            }
        }
        if ms == up_ms {
            for &index in &affected {
                fleet.start_upstream(index, ms);
            }
        }
        while restarts.first().is_some_and(|&(at, _)| at <= ms) {
            let (_, index) = restarts.remove(0);
            let router = &mut fleet.routers[index];
            router.cold = ColdUpstreams::default();
            router.known = KnownRouters::default();
            router.started_ms = ms;
            fleet.tick(index, &old_entries, unlisted, ms);
            let helper = (index + 1) % count;
            for report in fleet.routers[helper].cold.reports(at(ms)) {
                fleet.schedule(ms + 10, Event::Report(index, report));
            }
        }
        for event in std::mem::take(&mut fleet.events[step]) {
            fleet.handle(event, ms);
        }
        for index in 0..count {
            let has_news = |upstream: &Upstream| {
                ms <= upstream.news_ms[index] + STEP_MS && upstream.news_ms[index] < ms + STEP_MS
            };
            let is_read = fleet.upstreams.iter().any(has_news);
            if (step + index).is_multiple_of(50) || is_read {
                fleet.tick(index, &old_entries, unlisted, ms);
            }
            fleet.spread(index, ms);
        }
        let stale = loads[step % 40].clone();
        let expected = DEMAND_PER_S * STEP_MS as f64 / 1000.0;
        let calls = expected as usize + usize::from(fleet.rng.random_bool(expected.fract()));
        for _ in 0..calls {
            let index = fleet.rng.random_range(0..count);
            fleet.call(index, &stale, unlisted, ms);
        }
        loads[step % 40] = fleet
            .upstreams
            .iter()
            .map(|upstream| upstream.open)
            .collect();
    }
    fleet.result(&affected)
}

fn check(trouble: Trouble, faults: Faults) {
    let mut violations = Vec::new();
    for count in [4, 25, 135] {
        let (mut most, mut per_s, mut rejected) = (0, 0.0, 0.0);
        for seed in 0..SEEDS {
            let played = play(seed, count, trouble, faults);
            if played.0 > MAX_CALLS {
                violations.push((count, seed, played.0));
            }
            most = most.max(played.0);
            per_s += played.1 / SEEDS as f64;
            rejected += played.2 / SEEDS as f64;
        }
        println!(
            "{count} routers, {trouble:?}, {faults:?}: {most} in a second, mean {per_s:.1}, rejected {rejected:.4}"
        );
    }
    assert!(
        violations.is_empty(),
        "routers, seed, calls in a second: {violations:?}"
    );
}

const DATA_CENTER_TROUBLES: [Trouble; 4] = [
    Trouble::DataCenterOff {
        refused: true,
        unlisted: false,
    },
    Trouble::DataCenterOff {
        refused: true,
        unlisted: true,
    },
    Trouble::DataCenterOff {
        refused: false,
        unlisted: false,
    },
    Trouble::DataCenterOff {
        refused: false,
        unlisted: true,
    },
];

#[test]
fn data_center_returns() {
    for trouble in DATA_CENTER_TROUBLES {
        check(trouble, Faults::default());
    }
}

#[test]
fn upstreams_restart() {
    check(Trouble::Restarts, Faults::default());
}

#[test]
fn upstreams_join() {
    check(Trouble::Joins, Faults::default());
}

#[test]
fn routers_restart_and_are_cut_off() {
    let faults = Faults {
        restarted: 1,
        cut_off: 1,
    };
    for trouble in [
        DATA_CENTER_TROUBLES[0],
        DATA_CENTER_TROUBLES[2],
        Trouble::Restarts,
        Trouble::Joins,
    ] {
        check(trouble, faults);
    }
}

/// An upstream known before traffic, at a router that knows its place in a fleet of one.
fn known_upstream() -> (ColdUpstreams, UpstreamTag, ColdPlace) {
    upstream_with(terms())
}

fn upstream_with(terms: ColdTerms) -> (ColdUpstreams, UpstreamTag, ColdPlace) {
    let mut cold = ColdUpstreams::default();
    let entry = entry(0, wall(0) - 600_000, 0);
    let unix_now = Duration::from_millis(wall(0));
    cold.observe([(&entry, terms)].into_iter(), true, at(0), unix_now);
    let own = place(0);
    cold.set_routers(own.address, vec![own]);
    let place = ColdPlace {
        fleet_size: 1,
        contact: FleetContact {
            is_settled: true,
            is_isolated: false,
        },
        bound: BOUND,
    };
    (cold, entry.id.key().into(), place)
}

/// Guards against an upstream that stays cold though it says that it is warm, and against a cold time
/// that can't be meant.
#[test]
fn statements_of_upstream() {
    let (mut cold, tag, place) = known_upstream();
    let ms = Duration::from_millis;
    assert_eq!(cold.wait(tag, place, at(0)), Ok(Duration::ZERO));
    cold.record_answer(tag, ColdStatement::For(ms(2000)), at(100));
    assert_eq!(cold.remaining(tag, at(100)), ms(2000));
    assert!(cold.take(tag, place, at(100)));
    assert_ne!(cold.wait(tag, place, at(150)), Ok(Duration::ZERO));
    cold.record_answer(tag, ColdStatement::For(Duration::ZERO), at(300));
    assert_eq!(cold.remaining(tag, at(300)), Duration::ZERO);
    for odd in [ColdStatement::Unreadable, ColdStatement::For(Duration::MAX)] {
        cold.record_answer(tag, odd, at(400));
        assert_eq!(cold.remaining(tag, at(400)), Duration::ZERO);
    }
    assert_eq!(cold.take_ignored(), 2);
    // Before the latest statement of the upstream itself.
    let late = ColdReport {
        upstream: tag,
        remaining: ms(1000),
        is_up: true,
        at: at(200),
    };
    cold.merge(late, at(500));
    assert_eq!(cold.remaining(tag, at(500)), Duration::ZERO);
    cold.data_center_reopened(&"dc-0".parse().unwrap(), at(1000));
    assert_eq!(cold.remaining(tag, at(1000)), ms(COLD_MS));
}

/// Guards against a call that was meant for a warm upstream and is written to a cold one.
#[test]
fn last_check_takes_share() {
    let (mut cold, tag, place) = known_upstream();
    assert!(!cold.take(tag, place, at(0)));
    cold.data_center_reopened(&"dc-0".parse().unwrap(), at(10));
    assert!(cold.may_write(tag, false, place, at(20)));
    assert!(!cold.may_write(tag, false, place, at(30)));
    let unsettled = ColdPlace {
        contact: FleetContact::default(),
        ..place
    };
    assert!(!cold.may_write(tag, false, unsettled, at(1000)));
}

#[test]
fn odd_terms_and_bounds() {
    for (start_s, per_s) in [
        (-1.0, 9.3),
        (3.0, f64::NAN),
        (f64::INFINITY, 1.0),
        (3.0, 1e300),
    ] {
        assert!(ColdTerms::new(start_s, per_s).is_err());
    }
    assert_eq!(ColdTerms::new(0.0, 9.3), Ok(None));
    assert_eq!(ColdBound::new(f64::NAN, -1.0), ColdBound::default());
}

/// Guards against a panic of an isolated router where the configured rate is close to 0.
#[test]
fn rate_close_to_zero() {
    let terms = ColdTerms::new(3.0, 1e-300).unwrap().unwrap();
    let (mut cold, tag, place) = upstream_with(terms);
    let isolated = ColdPlace {
        contact: FleetContact {
            is_settled: true,
            is_isolated: true,
        },
        bound: ColdBound::default(),
        ..place
    };
    assert!(cold.take(tag, isolated, at(5000)));
    assert_ne!(cold.wait(tag, isolated, at(5010)), Ok(Duration::ZERO));
}
