//! Guards against streams of two software versions in a whole fleet, on virtual time: releases, kills
//! of one, some and all routers, stops, cuts between routers, a store that is down or forgets.

mod store_codec;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthornrouter::fleet::store_stamp::StoreStamp;
use hawthornrouter::fleet::store_view::{StoreChange, StoreItem, StoreSnapshot, StoreView};
use hawthornrouter::fleet::upstream_entry::{ServingState, UpstreamEntry};
use hawthornrouter::fleet::version_history::history_time;
use hawthornrouter::ids::{DataCenterTag, ServiceId, StreamTag, VersionTag};
use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::stream_versions::{
    ASKED_HOLDERS, HOLDERS, RecordHolder, StreamReport, StreamVersions, choose_holders, stream_life,
};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use spdlog::LevelFilter;
use store_codec::TextCodec;

const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_mins(1);
const TIME_LIMIT: Duration = Duration::from_secs(12);
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Time after which a router that is gone no longer counts as live.
const DOWN_AFTER: Duration = Duration::from_millis(1300);
/// Longest time between two reads of the store by one router.
const READ_PERIOD: Duration = Duration::from_millis(450);

/// The store: the changes of each revision.
#[derive(Default)]
struct Store {
    changes: Vec<StoreChange>,
    entries: HashMap<String, StoreItem>,
    is_down: bool,
    /// Revision up to which changes are discarded.
    discarded: u64,
}

impl Store {
    fn stamp(&self) -> StoreStamp {
        StoreStamp::new(0, self.changes.len() as u64)
    }

    fn put(&mut self, key: &str, text: &str) {
        let stamp = StoreStamp::new(0, self.changes.len() as u64 + 1);
        let item = StoreItem {
            key: key.to_owned(),
            value: Bytes::from(text.to_owned()),
            stamp,
        };
        self.entries.insert(key.to_owned(), item.clone());
        self.changes.push(StoreChange::Written(item));
    }

    fn remove(&mut self, key: &str) {
        let stamp = StoreStamp::new(0, self.changes.len() as u64 + 1);
        self.entries.remove(key);
        self.changes.push(StoreChange::Removed {
            key: key.to_owned(),
            stamp,
            grace: Duration::ZERO,
        });
    }
}

fn index_of(address: Ipv4Addr) -> usize {
    (address.to_bits() - 0x0a00_0001) as usize
}

struct Router {
    place: RecordHolder,
    view: StoreView<TextCodec>,
    streams: StreamVersions,
    started: MonoTime,
    /// When the process is up again; `None` while it runs.
    up_at: Option<MonoTime>,
    killed_at: MonoTime,
    next_read: MonoTime,
    last_read: MonoTime,
    is_cut: bool,
}

impl Router {
    fn runs(&self) -> bool {
        self.up_at.is_none()
    }

    /// The time of the router's own clock.
    fn time(&self, now: MonoTime) -> MonoTime {
        MonoTime(now.since(self.started))
    }

    fn upstreams(&self) -> Vec<Arc<UpstreamEntry>> {
        let ready = self.view.upstreams().into_iter();
        ready
            .filter(|entry| entry.state == ServingState::Ready)
            .collect()
    }
}

/// A stream of a caller.
struct Stream {
    tag: StreamTag,
    version: VersionTag,
    router: usize,
    began: MonoTime,
    ends: MonoTime,
    /// When the caller takes the stream up, if it broke.
    returns: Option<MonoTime>,
    is_over: bool,
}

#[derive(Debug, Default)]
struct Tally {
    take_ups: usize,
    gone_on: usize,
    joined: usize,
    /// Take-ups of streams whose version has upstreams left, and those of them that went on, in a time
    /// in which no kill took all routers.
    expected: usize,
    kept: usize,
}

struct Fleet {
    now: MonoTime,
    rng: SmallRng,
    store: Store,
    routers: Vec<Router>,
    streams: Vec<Stream>,
    service: ServiceId,
    next_stream: u64,
    next_upstream: u64,
    last_full_kill: Option<MonoTime>,
    tally: Tally,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let router = |index: usize| Router {
            place: RecordHolder {
                address: Ipv4Addr::from_bits(0x0a00_0001 + index as u32),
                data_center: DataCenterTag(index as u16 % 3),
                is_leaving: false,
            },
            view: StoreView::new(TextCodec),
            streams: StreamVersions::default(),
            started: MonoTime::default(),
            up_at: Some(MonoTime::default()),
            killed_at: MonoTime::default(),
            next_read: MonoTime::default(),
            last_read: MonoTime::default(),
            is_cut: false,
        };
        let mut fleet = Self {
            now: MonoTime(Duration::from_secs(100)),
            rng: SmallRng::seed_from_u64(seed),
            store: Store::default(),
            routers: (0..size).map(router).collect(),
            streams: Vec::new(),
            service: "app".parse().expect("a service"),
            next_stream: 0,
            next_upstream: 0,
            last_full_kill: None,
            tally: Tally::default(),
        };
        for _ in 0..6 {
            fleet.add_upstream("v1");
        }
        fleet
    }

    fn add_upstream(&mut self, version: &str) {
        self.next_upstream += 1;
        let key = format!("up/{}", self.next_upstream);
        self.store.put(&key, &format!("ready#{version}"));
    }

    /// The routers that `from` takes for live.
    fn live(&self, from: usize) -> Vec<RecordHolder> {
        let others = self.routers.iter().enumerate();
        others
            .filter(|&(index, router)| {
                let seen = router.runs() || self.now.since(router.killed_at) < DOWN_AFTER;
                index != from && seen
            })
            .map(|(_, router)| router.place)
            .collect()
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.routers[to].runs() && !self.routers[from].is_cut && !self.routers[to].is_cut
    }

    fn kill(&mut self, index: usize, down: Duration) {
        let now = self.now;
        let router = &mut self.routers[index];
        router.up_at = Some(now + down);
        router.killed_at = now;
        for stream in &mut self.streams {
            if stream.router == index && !stream.is_over && stream.returns.is_none() {
                let wait = Duration::from_millis(self.rng.random_range(20..2500));
                stream.returns = Some(now + wait);
            }
        }
    }

    /// Sends what a router has to tell to the holders of its records.
    fn spread(&mut self, index: usize) {
        let records = self.routers[index].streams.take_unsent();
        let holders = self.live(index);
        let sent_at = self.routers[index].time(self.now);
        for record in records {
            for address in choose_holders(record.stream, &holders, HOLDERS) {
                let to = index_of(address);
                if !self.reaches(index, to) {
                    continue;
                }
                let left = record.until.since(sent_at);
                let until = self.routers[to].time(self.now) + left;
                let report = StreamReport { until, ..record };
                self.routers[to].streams.merge(report);
            }
        }
    }

    fn step_router(&mut self, index: usize) {
        let now = self.now;
        if self.routers[index].up_at.is_some_and(|at| at <= now) {
            let router = &mut self.routers[index];
            router.up_at = None;
            router.started = now;
            router.view = StoreView::new(TextCodec);
            router.streams = StreamVersions::default();
            router.next_read = now;
            router.last_read = now;
        }
        if !self.routers[index].runs() {
            return;
        }
        if self.routers[index].next_read <= now && !self.store.is_down {
            let delay = self.rng.random_range(Duration::ZERO..READ_PERIOD);
            let router = &mut self.routers[index];
            let time = router.time(now);
            router.next_read = now + delay;
            router.last_read = now;
            let known = router.view.stamp();
            if known == StoreStamp::default() || known.revision.0 < self.store.discarded {
                let items = self.store.entries.values().cloned().collect();
                let stamp = self.store.stamp();
                router
                    .view
                    .merge_snapshot(StoreSnapshot { stamp, items }, time);
            } else {
                let new = self.store.changes[known.revision.0 as usize..].to_vec();
                router.view.merge_changes(new, self.store.stamp(), time);
            }
        }
        let tick = now.0.as_millis().is_multiple_of(250);
        if tick {
            self.tell_history(index);
        }
        let router = &mut self.routers[index];
        let time = router.time(now);
        if tick {
            router.view.tick(time);
        }
        let since = history_time(time).saturating_sub(stream_life(TIME_LIMIT) + APPLY_LIMIT);
        let history = router.view.history();
        let covered = history.covered_since().is_some_and(|at| at <= since);
        let is_mixed = !covered || history.is_mixed(since);
        router.streams.remove_expired(time);
        router.streams.set_mixed(is_mixed);
        // Records are sent within two steps.
        if now.0.as_millis().is_multiple_of(20) {
            self.spread(index);
        }
    }

    /// Tells a random peer which versions were in use.
    fn tell_history(&mut self, index: usize) {
        let to = self.rng.random_range(0..self.routers.len());
        if to == index || !self.reaches(index, to) {
            return;
        }
        let (from, to) = (&self.routers[index], to);
        let mut report = from
            .view
            .history()
            .report(history_time(from.time(from.last_read)));
        let own = history_time(from.time(self.now));
        let peer = history_time(self.routers[to].time(self.now));
        let convert = |at: MonoTime| peer.saturating_sub(own.since(at));
        report.covered_since = report.covered_since.map(convert);
        report.covered_until = convert(report.covered_until);
        for entry in &mut report.uses {
            entry.last_used = convert(entry.last_used);
        }
        self.routers[to].view.merge_history(&report);
    }

    fn begin_stream(&mut self) {
        let up = (0..self.routers.len()).filter(|&index| self.routers[index].runs());
        let Some(index) = up.choose(&mut self.rng) else {
            return;
        };
        let upstreams = self.routers[index].upstreams();
        let Some(upstream) = upstreams.choose(&mut self.rng) else {
            return;
        };
        self.next_stream += 1;
        let tag = StreamTag::of_stream(self.next_stream.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let version = upstream.version_tag();
        let router = &mut self.routers[index];
        let until = router.time(self.now) + stream_life(TIME_LIMIT);
        router.streams.record(tag, version, until);
        let length = Duration::from_millis(self.rng.random_range(300..3000));
        self.streams.push(Stream {
            tag,
            version,
            router: index,
            began: self.now,
            ends: self.now + length,
            returns: None,
            is_over: false,
        });
    }

    /// The version at which router `index` lets a stream go on.
    fn find_version(&self, index: usize, stream: &Stream) -> Option<VersionTag> {
        let router = &self.routers[index];
        let time = router.time(self.now);
        if let Some(version) = router.streams.version(stream.tag, time) {
            return Some(version);
        }
        let left = TIME_LIMIT.saturating_sub(self.now.since(stream.began));
        let span = stream_life(TIME_LIMIT).saturating_sub(left) + APPLY_LIMIT;
        let since = history_time(time).saturating_sub(span);
        let heard = self.live(index).len();
        let is_fresh = self.now.since(router.last_read) <= APPLY_LIMIT
            || (!router.is_cut && 2 * heard >= self.routers.len() - 1);
        let history = router.view.history();
        let sole = history.sole_version(self.service.key(), since);
        if let Some(version) = sole.filter(|_| is_fresh) {
            return Some(version);
        }
        let asked = choose_holders(stream.tag, &self.live(index), ASKED_HOLDERS);
        let mut reached = asked.into_iter().map(index_of);
        reached.find_map(|peer| {
            let peer = Some(peer).filter(|&peer| self.reaches(index, peer))?;
            let peer = &self.routers[peer];
            peer.streams.version(stream.tag, peer.time(self.now))
        })
    }

    fn take_up(&mut self, at: usize) {
        let up = (0..self.routers.len()).filter(|&index| self.routers[index].runs());
        let Some(index) = up.choose(&mut self.rng) else {
            self.streams[at].returns = Some(self.now + Duration::from_millis(200));
            return;
        };
        self.tally.take_ups += 1;
        let stream = &self.streams[at];
        let version = self.find_version(index, stream);
        let upstreams = self.routers[index].upstreams();
        let is_served = |version| upstreams.iter().any(|entry| entry.version_tag() == version);
        let goes_on = version.is_some_and(is_served);
        let all_killed = self.last_full_kill.is_some_and(|at| at >= stream.began);
        if is_served(stream.version) && !all_killed {
            self.tally.expected += 1;
            self.tally.kept += usize::from(goes_on);
        }
        if goes_on {
            self.tally.gone_on += 1;
            self.tally.joined += usize::from(version != Some(stream.version));
        }
        self.streams[at].is_over = true;
    }

    /// One of the troubles of the day, each of which may overlap with others.
    fn trouble(&mut self) {
        let size = self.routers.len();
        let some = self.rng.random_range(0..size);
        let down = Duration::from_millis(self.rng.random_range(300..2500));
        match self.rng.random_range(0..9) {
            0 => self.kill(some, down),
            1 => (0..size)
                .step_by(2)
                .for_each(|index| self.kill(index, down)),
            2 => {
                (0..size).for_each(|index| self.kill(index, down));
                self.last_full_kill = Some(self.now);
            }
            3 => {
                // A stop hands its records over.
                self.routers[some].streams.spread_all();
                self.spread(some);
                self.kill(some, down);
            }
            4 => self.routers[some].is_cut ^= true,
            5 => self.store.is_down ^= true,
            6 => self.store.discarded = self.store.stamp().revision.0,
            7 => {
                let version = ["v1", "v2", "v3"][self.rng.random_range(0..3)];
                for _ in 0..3 {
                    self.add_upstream(version);
                }
            }
            _ => self.retire_version(),
        }
    }

    /// Drains the upstreams of the oldest entry's version, unless it is the only one.
    fn retire_version(&mut self) {
        let mut entries: Vec<(String, String)> = self
            .store
            .entries
            .values()
            .map(|item| {
                let text = String::from_utf8_lossy(&item.value).into_owned();
                (item.key.clone(), text)
            })
            .collect();
        entries.sort();
        let version = |text: &str| text.split_once('#').map(|(_, version)| version.to_owned());
        let Some(old) = entries.first().and_then(|(_, text)| version(text)) else {
            return;
        };
        let is_old = |text: &str| version(text).as_ref() == Some(&old);
        if entries.iter().all(|(_, text)| is_old(text)) {
            return;
        }
        for (key, text) in entries.iter().filter(|(_, text)| is_old(text)) {
            if text.starts_with("draining") {
                self.store.remove(key);
            } else {
                self.store.put(key, &format!("draining#{old}"));
            }
        }
    }

    fn run(mut self) -> Tally {
        let end = self.now + LENGTH;
        let mut next_trouble = self.now + Duration::from_secs(3);
        while self.now < end {
            (0..self.routers.len()).for_each(|index| self.step_router(index));
            if next_trouble <= self.now {
                self.trouble();
                next_trouble = self.now + Duration::from_millis(self.rng.random_range(100..2500));
            }
            self.begin_stream();
            for at in 0..self.streams.len() {
                let stream = &mut self.streams[at];
                if stream.returns.is_none() && stream.ends <= self.now {
                    stream.is_over = true;
                }
                let is_due = stream.returns.is_some_and(|returns| returns <= self.now);
                if is_due && !stream.is_over {
                    self.take_up(at);
                }
            }
            self.streams.retain(|stream| !stream.is_over);
            self.now = self.now + STEP;
        }
        self.tally
    }
}

fn play(size: usize, seeds: std::ops::Range<u64>) {
    spdlog::default_logger().set_level_filter(LevelFilter::Off);
    let mut total = Tally::default();
    for seed in seeds {
        let tally = Fleet::new(size, seed).run();
        assert_eq!(tally.joined, 0, "seed {seed}: {tally:?}");
        total.take_ups += tally.take_ups;
        total.gone_on += tally.gone_on;
        total.expected += tally.expected;
        total.kept += tally.kept;
    }
    println!("{size} routers: {total:?}");
    assert!(total.expected > 0);
    // New streams always begin here; half as many take-ups must go on.
    assert!(2 * total.kept >= total.expected, "{total:?}");
}

#[test]
fn four_routers() {
    play(4, 0..8);
}

#[test]
fn twenty_seven_routers() {
    play(27, 0..4);
}

#[test]
fn seventy_seven_routers() {
    play(77, 0..2);
}

/// `VERSIONS_FIRST` and `VERSIONS_COUNT` choose the seeds.
#[test]
#[ignore = "long; run by hand"]
fn by_hand() {
    let number = |name: &str, default: u64| {
        let text = std::env::var(name).ok();
        text.map_or(default, |text| text.parse().expect("a number"))
    };
    let first = number("VERSIONS_FIRST", 1000);
    let seeds = first..first + number("VERSIONS_COUNT", 50);
    for size in [4, 27, 77] {
        play(size, seeds.clone());
    }
}
