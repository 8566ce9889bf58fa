//! A few routers read the store for all. Guards against routers that miss a change because those
//! that read are cut off, paused or killed, against a removed upstream that returns from a peer with
//! older documents, and against calls to the store that grow with the fleet. Runs the decision code
//! of whole fleets on virtual time.

mod store_codec;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use hawthornrouter::fleet::fetch_plan::{DocumentState, FetchContext, FetchPlan};
use hawthornrouter::fleet::member_table::{GOSSIP_PERIOD, MemberRecord, MemberStage, MemberTable};
use hawthornrouter::fleet::store_role::{StoreReport, StoreRole};
use hawthornrouter::fleet::store_view::{
    StoreChange, StoreItem, StoreRevision, StoreSnapshot, StoreView,
};
use hawthornrouter::ids::{DataCenterTag, IncarnationId};
use hawthornrouter::mono::MonoTime;
use hawthornrouter::route::ConfigVersion;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use store_codec::TextCodec;

/// Resolution of the simulation, and the duration of a request between two processes.
const STEP: Duration = Duration::from_millis(25);
/// Longest wait of a watch, the shortest as a share of it, and the wait after changes, as in the
/// task that follows the store.
const WATCH_WAIT: Duration = Duration::from_millis(1500);
const MIN_WAIT_SHARE: f64 = 0.6;
const CHANGES_DELAY: Duration = Duration::from_millis(450);
const STORE_TIMEOUT: Duration = Duration::from_millis(2300);
const DATA_CENTERS: usize = 5;

/// The store: every change with its revision, of which it may discard the oldest.
#[derive(Default)]
struct Store {
    log: Vec<(u64, String, Option<String>)>,
    revision: u64,
    oldest: u64,
    calls: u64,
}

impl Store {
    fn change(&mut self, key: &str, value: Option<&str>) {
        self.revision += 1;
        let value = value.map(str::to_owned);
        self.log.push((self.revision, key.to_owned(), value));
    }

    fn changes(&self, after: StoreRevision) -> Vec<StoreChange> {
        let newer = self.log.iter().filter(|(at, ..)| *at > after.0);
        newer
            .map(|(at, key, value)| match value {
                Some(value) => StoreChange::Written(item(key, value, *at)),
                None => StoreChange::Removed {
                    key: key.clone(),
                    revision: StoreRevision(*at),
                    grace: Duration::ZERO,
                },
            })
            .collect()
    }

    fn snapshot(&self) -> StoreSnapshot {
        let mut items = BTreeMap::new();
        for (at, key, value) in &self.log {
            match value {
                Some(value) => items.insert(key.clone(), item(key, value, *at)),
                None => items.remove(key),
            };
        }
        StoreSnapshot {
            revision: StoreRevision(self.revision),
            items: items.into_values().collect(),
        }
    }
}

fn item(key: &str, value: &str, revision: u64) -> StoreItem {
    StoreItem {
        key: key.to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
        revision: StoreRevision(revision),
    }
}

#[derive(Clone, Copy, Debug)]
enum Follow {
    /// Reads all documents at the next step.
    Read,
    /// A watch ends at this time if there are no changes.
    Watch(MonoTime),
    /// Waits before the next watch.
    Wait(MonoTime),
    Suspended,
}

struct Router {
    members: MemberTable,
    role: StoreRole,
    plan: FetchPlan,
    view: StoreView<TextCodec>,
    follow: Follow,
    store_active: MonoTime,
    store_failed: bool,
    noticed: StoreRevision,
    next_round: MonoTime,
    /// A request for documents that ends in the next step, and the peer.
    fetch: Option<Ipv4Addr>,
    paused: bool,
    cut_from_store: bool,
}

impl Router {
    fn documents(&self) -> DocumentState {
        DocumentState {
            version: self.view.config_version(),
            revision: self.view.revision(),
        }
    }

    fn context(&self, now: MonoTime) -> FetchContext {
        FetchContext {
            now,
            own: self.documents(),
            booting: self.view.config().is_none(),
            reading: self.role.is_reading(),
            store_failed: self.store_failed,
            store_active: self.store_active,
        }
    }

    fn merge_heartbeat(&mut self, sender: MemberRecord, news: &News, now: MonoTime) {
        self.members.merge_heartbeat(sender, now);
        for &(record, age) in &news.records {
            self.members.merge_relayed(record, age, now);
        }
        if let Some(report) = news.report {
            self.role.record_report(report, self.view.revision(), now);
        }
        let is_local = sender.data_center == self.members.own().data_center;
        let context = self.context(now);
        self.plan
            .record_peer(sender.address, is_local, news.documents, context);
    }
}

/// Content of a heartbeat, besides the sender.
struct News {
    records: Vec<(MemberRecord, Duration)>,
    report: Option<StoreReport>,
    documents: DocumentState,
}

struct Fleet {
    routers: BTreeMap<Ipv4Addr, Router>,
    store: Store,
    now: MonoTime,
    rng: ChaCha8Rng,
    apply_limit: Duration,
    fetches: u64,
}

impl Fleet {
    /// Starts `count` routers and lets them settle. Their log lines are not printed.
    fn settled(count: usize, apply_limit: Duration, seed: u64) -> Self {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let mut fleet = Self {
            routers: BTreeMap::new(),
            store: Store::default(),
            now: MonoTime(Duration::from_secs(1)),
            rng: ChaCha8Rng::seed_from_u64(seed),
            apply_limit,
            fetches: 0,
        };
        fleet.store.change("config", Some("1"));
        fleet.store.change("up/a", Some("a"));
        fleet.store.change("up/gone", Some("a"));
        for index in 0..count {
            fleet.start(index);
        }
        fleet.run(Duration::from_secs(if count > 100 { 20 } else { 10 }));
        fleet
    }

    fn start(&mut self, index: usize) {
        let address = |index: usize| {
            let data_center = (index % DATA_CENTERS) as u8;
            Ipv4Addr::new(10, data_center, (index / 250) as u8, (index % 250) as u8)
        };
        let own = MemberRecord {
            address: address(index),
            incarnation: IncarnationId(self.rng.random()),
            stage: MemberStage::Serving,
            data_center: DataCenterTag((index % DATA_CENTERS) as u16),
        };
        let router = Router {
            members: MemberTable::new(own, vec![address(0), address(1), address(2)]),
            role: StoreRole::new(self.apply_limit),
            plan: FetchPlan::default(),
            view: StoreView::new(TextCodec),
            follow: Follow::Read,
            store_active: self.now,
            store_failed: false,
            noticed: StoreRevision::default(),
            next_round: self.now + GOSSIP_PERIOD.mul_f64(self.rng.random()),
            fetch: None,
            paused: false,
            cut_from_store: false,
        };
        self.routers.insert(own.address, router);
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let addresses: Vec<Ipv4Addr> = self.routers.keys().copied().collect();
        for address in addresses {
            if self.routers[&address].paused {
                continue;
            }
            self.follow_store(address);
            self.end_fetch(address);
            self.send_heartbeats(address);
            let now = self.now;
            let router = self.routers.get_mut(&address).expect("the router runs");
            if let Some(peer) = router.plan.next_fetch(router.context(now)) {
                router.fetch = Some(peer);
                self.fetches += 1;
            }
        }
    }

    fn follow_store(&mut self, address: Ipv4Addr) {
        let now = self.now;
        let wait = WATCH_WAIT.mul_f64(self.rng.random_range(MIN_WAIT_SHARE..1.0));
        let router = self.routers.get_mut(&address).expect("the router runs");
        let reachable = !router.cut_from_store;
        let position = router.view.revision();
        match router.follow {
            Follow::Suspended => {}
            Follow::Wait(until) if now < until => {}
            Follow::Wait(_) => {
                self.store.calls += 1;
                let limit = if reachable { wait } else { STORE_TIMEOUT };
                router.follow = Follow::Watch(now + limit);
            }
            Follow::Read if reachable => {
                self.store.calls += 1;
                router.view.merge_snapshot(self.store.snapshot(), now);
                router.role.record_read(now);
                router.store_active = now;
                router.follow = Follow::Wait(now);
            }
            Follow::Read => router.store_failed = true,
            Follow::Watch(_) if reachable && position.0 < self.store.oldest => {
                router.follow = Follow::Read;
            }
            Follow::Watch(until) => {
                let news = position.0 < self.store.revision;
                if reachable && (news || now >= until) {
                    let changes = self.store.changes(position);
                    let revision = StoreRevision(self.store.revision);
                    router.view.merge_changes(changes, revision, now);
                    router.role.record_read(now);
                    router.store_active = now;
                    router.store_failed = false;
                    let delay = if news { CHANGES_DELAY } else { Duration::ZERO };
                    router.follow = Follow::Wait(now + delay);
                } else if now >= until {
                    router.store_failed = true;
                    router.follow = Follow::Wait(now + CHANGES_DELAY);
                }
            }
        }
    }

    fn end_fetch(&mut self, address: Ipv4Addr) {
        let now = self.now;
        let Some(peer) = self.routers.get_mut(&address).and_then(|r| r.fetch.take()) else {
            return;
        };
        let since = self.routers[&address].view.revision();
        let response = self
            .routers
            .get(&peer)
            .filter(|peer| !peer.paused)
            .map(|peer| {
                let full = !peer.view.has_changes_since(since);
                let since = if full {
                    StoreRevision::default()
                } else {
                    since
                };
                let mut changes = peer.view.changes_since(since, now);
                let config = peer.view.config().expect("the peer has a configuration");
                changes.push(StoreChange::Written(StoreItem {
                    key: "config".to_owned(),
                    value: config.value.clone(),
                    revision: config.revision,
                }));
                (changes, peer.view.revision(), full)
            });
        let router = self.routers.get_mut(&address).expect("the router runs");
        let Some((changes, revision, full)) = response else {
            router.plan.end_fetch(false, now);
            return;
        };
        router.plan.end_fetch(revision > since, now);
        if full {
            router.view.merge_peer_snapshot(changes, revision, now);
        } else {
            router.view.merge_peer(changes, revision, now);
        }
        if since == StoreRevision::default() {
            router.follow = Follow::Wait(now);
        }
    }

    fn send_heartbeats(&mut self, address: Ipv4Addr) {
        let now = self.now;
        let router = self.routers.get_mut(&address).expect("the router runs");
        let mut targets = Vec::new();
        let mut records = Vec::new();
        if now >= router.next_round {
            router.next_round = now + GOSSIP_PERIOD;
            router.view.tick(now);
            targets = router.members.begin_round(now, &mut self.rng);
            records = router.members.frame_records(now, &mut self.rng);
            if router.view.config().is_some() && router.role.update(&router.members, now) {
                router.follow = if router.role.is_reading() {
                    Follow::Wait(now)
                } else {
                    Follow::Suspended
                };
            }
        } else if router.view.revision() > router.noticed {
            router.noticed = router.view.revision();
            targets = router.members.notice_targets(now, &mut self.rng);
        }
        let sender = router.members.own();
        let age = router.role.age(now);
        let documents = router.documents();
        let revision = documents.revision;
        let news = News {
            records,
            report: age.map(|age| StoreReport { revision, age }),
            documents,
        };
        for target in targets {
            let lost = self.rng.random_bool(0.02);
            if let Some(router) = self.routers.get_mut(&target)
                && !lost
                && !router.paused
            {
                router.merge_heartbeat(sender, &news, now);
            }
        }
    }

    fn readers(&self) -> Vec<Ipv4Addr> {
        let reading = self.routers.iter().filter(|(_, r)| r.role.is_reading());
        reading.map(|(&address, _)| address).collect()
    }

    /// Writes a new configuration and removes an upstream, and returns the time until every router
    /// that runs has applied both.
    fn apply_change(&mut self) -> Duration {
        let began = self.now;
        self.store.change("config", Some("2"));
        self.store.change("up/gone", None);
        while !self.has_applied() {
            self.step();
            let spent = self.now.since(began);
            assert!(spent < Duration::from_mins(1), "the change never applies");
        }
        self.now.since(began)
    }

    fn has_applied(&self) -> bool {
        let running = self.routers.values().filter(|router| !router.paused);
        running.into_iter().all(applied)
    }
}

fn applied(router: &Router) -> bool {
    let gone = router
        .view
        .upstreams()
        .iter()
        .all(|e| e.id.as_str() != "gone");
    router.view.config_version() == ConfigVersion(2) && gone
}

fn apply_limit(routers: usize) -> Duration {
    match routers {
        0..=12 => Duration::from_secs(2),
        13..=40 => Duration::from_secs(3),
        _ => Duration::from_secs(4),
    }
}

/// The calls of the fleet while nothing changes, a second. Every reader may make one or two; their
/// number grows with the square root of the fleet.
#[test]
fn few_calls() {
    for (routers, readers) in [(4, 4), (27, 10), (77, 15), (420, 25)] {
        let mut fleet = Fleet::settled(routers, apply_limit(routers), 1);
        fleet.store.calls = 0;
        fleet.run(Duration::from_secs(20));
        let rate = fleet.store.calls as f64 / 20.0;
        println!(
            "{routers} routers: {} readers, {rate:.1} calls/s",
            fleet.readers().len()
        );
        assert!(fleet.readers().len() <= readers, "{routers} routers");
        assert!(rate <= 2.0 * readers as f64, "{routers} routers: {rate}");
    }
}

/// A change costs two calls a reader at most, and reaches every router in time.
#[test]
fn few_calls_a_change() {
    for routers in [4, 77, 420] {
        let limit = apply_limit(routers);
        let mut fleet = Fleet::settled(routers, limit, 2);
        fleet.store.calls = 0;
        let readers = fleet.readers().len() as u64;
        let spent = fleet.apply_change();
        println!("{routers} routers: {spent:?}, {} fetches", fleet.fetches);
        assert!(spent <= limit, "{routers} routers: {spent:?}");
        let waits = 1 + spent.as_millis() as u64 / 900;
        assert!(fleet.store.calls <= readers * (2 + waits));
    }
}

#[derive(Clone, Copy, Debug)]
enum Trouble {
    None,
    /// All readers lose their path to the store.
    ReadersCut,
    /// A third of the routers and every reader of one data centre lose it.
    ManyCut,
    ReadersPaused,
    ReadersKilled,
    HistoryLost,
}

/// A change applies in time at every router that reaches the store, whatever happens to those that
/// read it for the others.
#[test]
fn applies_in_time() {
    let troubles = [
        Trouble::None,
        Trouble::ReadersCut,
        Trouble::ManyCut,
        Trouble::ReadersPaused,
        Trouble::ReadersKilled,
        Trouble::HistoryLost,
    ];
    for (routers, seeds) in [(4, 50), (12, 50), (27, 50), (77, 50), (420, 1)] {
        for trouble in troubles {
            let mut worst = Duration::ZERO;
            for seed in 0..seeds {
                let spent = change_under(trouble, routers, seed);
                assert!(
                    spent <= apply_limit(routers),
                    "{routers} routers, {trouble:?}, seed {seed}: {spent:?}"
                );
                worst = worst.max(spent);
            }
            println!("{routers} routers, {trouble:?}: {worst:?}");
        }
    }
}

fn change_under(trouble: Trouble, routers: usize, seed: u64) -> Duration {
    let mut fleet = Fleet::settled(routers, apply_limit(routers), seed);
    let mut readers = fleet.readers();
    if routers <= 12 {
        // Every router reads; one of them is hit.
        readers.truncate(1);
    }
    let all: Vec<Ipv4Addr> = fleet.routers.keys().copied().collect();
    let hit = match trouble {
        Trouble::None | Trouble::HistoryLost => Vec::new(),
        Trouble::ManyCut => {
            let mut hit: Vec<Ipv4Addr> = all.sample(&mut fleet.rng, routers / 3).copied().collect();
            hit.extend(readers.iter().filter(|address| address.octets()[1] == 0));
            hit
        }
        _ => readers,
    };
    for address in hit {
        let router = fleet.routers.get_mut(&address).expect("the router runs");
        match trouble {
            Trouble::ReadersPaused => router.paused = true,
            Trouble::ReadersKilled => {
                fleet.routers.remove(&address);
            }
            _ => router.cut_from_store = true,
        }
    }
    if matches!(trouble, Trouble::HistoryLost) {
        fleet.store.oldest = fleet.store.revision + 1;
    }
    // The change may come at any time after the trouble began.
    let delay = Duration::from_millis(fleet.rng.random_range(0..3000));
    fleet.run(delay);
    fleet.apply_change()
}

/// A router that was paused holds older documents when it wakes. They are never taken by a router
/// that knows better, nor by one that starts anew after the change.
#[test]
fn older_documents_stay_out() {
    for seed in 0..20 {
        let mut fleet = Fleet::settled(27, apply_limit(27), seed);
        let all: Vec<Ipv4Addr> = fleet.routers.keys().copied().collect();
        let sleepers: Vec<Ipv4Addr> = all.sample(&mut fleet.rng, 9).copied().collect();
        for address in &sleepers {
            fleet.routers.get_mut(address).expect("runs").paused = true;
        }
        fleet.apply_change();
        // Long enough for the record of the removal to be discarded.
        fleet.run(Duration::from_secs(65));
        for address in &sleepers {
            let router = fleet.routers.get_mut(address).expect("runs");
            router.paused = false;
            router.role.forget();
            // The store refuses the router that wakes.
            router.cut_from_store = true;
        }
        for _ in 0..200 {
            fleet.step();
            let awake = fleet.routers.iter();
            for (address, router) in awake.filter(|(address, _)| !sleepers.contains(address)) {
                assert!(applied(router), "seed {seed}: {address} went back");
            }
        }
        assert!(
            fleet.has_applied(),
            "seed {seed}: a router that woke stays behind"
        );
    }
}

/// Every router reads the store itself when it boots, in a few calls and without requests to its
/// peers, whose links are slower.
#[test]
fn boots_from_the_store() {
    let fleet = Fleet::settled(300, apply_limit(300), 4);
    assert!(fleet.has_documents());
    assert_eq!(fleet.fetches, 0);
}

impl Fleet {
    fn has_documents(&self) -> bool {
        self.routers.values().all(|r| r.view.config().is_some())
    }
}
