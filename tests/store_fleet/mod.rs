//! The decision code of a whole fleet of routers and of a store, on virtual time.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use hawthornrouter::fleet::fetch_plan::{DocumentState, FetchContext, FetchPlan};
use hawthornrouter::fleet::member_table::{GOSSIP_PERIOD, MemberRecord, MemberStage, MemberTable};
use hawthornrouter::fleet::renewal_outage::StoreFailure;
use hawthornrouter::fleet::store_role::{StoreReport, StoreRole};
use hawthornrouter::fleet::store_stamp::{StoreEra, StoreStamp};
use hawthornrouter::fleet::store_view::{StoreChange, StoreItem, StoreSnapshot, StoreView};
use hawthornrouter::ids::{DataCenterTag, IncarnationId};
use hawthornrouter::mono::MonoTime;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::store_codec::TextCodec;

/// Resolution of the simulation, and the duration of a request between two processes.
const STEP: Duration = Duration::from_millis(25);
/// Longest wait of a watch, the shortest as a share of it, and the wait after changes, as in the
/// task that follows the store.
const WATCH_WAIT: Duration = Duration::from_millis(1500);
const MIN_WAIT_SHARE: f64 = 0.6;
const CHANGES_DELAY: Duration = Duration::from_millis(450);
const STORE_TIMEOUT: Duration = Duration::from_millis(2300);
const DATA_CENTERS: usize = 5;
/// Longest wait after a failed request, and the longest before all documents are read again.
const MAX_BACKOFF: Duration = Duration::from_millis(600);
const REREAD_DELAY: Duration = Duration::from_millis(150);

/// The store: every change with its revision, of which it may discard the oldest.
#[derive(Default)]
pub struct Store {
    log: Vec<(u64, String, Option<String>)>,
    pub era: u64,
    pub revision: u64,
    pub oldest: u64,
    pub calls: u64,
    /// Whether it answers nobody.
    pub down: bool,
}

impl Store {
    pub fn change(&mut self, key: &str, value: Option<&str>) {
        self.revision += 1;
        let value = value.map(str::to_owned);
        self.log.push((self.revision, key.to_owned(), value));
    }

    /// Loses all changes after a revision and begins the next era.
    pub fn restore(&mut self, revision: u64) {
        self.log.retain(|(at, ..)| *at <= revision);
        self.revision = revision;
        self.era += 1;
    }

    pub fn stamp(&self) -> StoreStamp {
        StoreStamp::new(self.era, self.revision)
    }

    fn item(&self, key: &str, value: &str, revision: u64) -> StoreItem {
        StoreItem {
            key: key.to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
            stamp: StoreStamp::new(self.era, revision),
        }
    }

    fn has_history(&self, after: StoreStamp) -> bool {
        (self.oldest..=self.revision).contains(&after.revision.0)
    }

    fn changes(&self, after: StoreStamp) -> Vec<StoreChange> {
        let newer = self.log.iter().filter(|(at, ..)| *at > after.revision.0);
        newer
            .map(|(at, key, value)| match value {
                Some(value) => StoreChange::Written(self.item(key, value, *at)),
                None => StoreChange::Removed {
                    key: key.clone(),
                    stamp: StoreStamp::new(self.era, *at),
                    grace: Duration::ZERO,
                },
            })
            .collect()
    }

    fn snapshot(&self) -> StoreSnapshot {
        let mut items = BTreeMap::new();
        for (at, key, value) in &self.log {
            match value {
                Some(value) => items.insert(key.clone(), self.item(key, value, *at)),
                None => items.remove(key),
            };
        }
        StoreSnapshot {
            stamp: self.stamp(),
            items: items.into_values().collect(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub enum Follow {
    /// Reads all documents at this time.
    Read(MonoTime),
    /// A watch ends at this time if there are no changes.
    Watch(MonoTime),
    /// Waits before the next watch.
    Wait(MonoTime),
    Suspended,
}

pub struct Router {
    pub members: MemberTable,
    pub role: StoreRole,
    plan: FetchPlan,
    pub view: StoreView<TextCodec>,
    pub follow: Follow,
    /// Last era that the store or a command named to the task that follows the store.
    era: StoreEra,
    store_active: MonoTime,
    store_failed: bool,
    noticed: StoreStamp,
    next_round: MonoTime,
    /// A request for documents that ends in the next step, and the peer.
    fetch: Option<Ipv4Addr>,
    pub paused: bool,
    pub cut_from_store: bool,
    /// Number of its whole reads of the store.
    pub reads: u64,
}

impl Router {
    fn documents(&self) -> DocumentState {
        DocumentState {
            version: self.view.config_version(),
            stamp: self.view.stamp(),
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
            self.role.record_report(report, self.view.stamp(), now);
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

pub struct Fleet {
    pub routers: BTreeMap<Ipv4Addr, Router>,
    pub store: Store,
    pub now: MonoTime,
    pub rng: ChaCha8Rng,
    apply_limit: Duration,
    pub fetches: u64,
    /// Number of documents that peers sent.
    pub sent_documents: u64,
}

impl Fleet {
    /// Starts `count` routers and lets them settle. Their log lines are not printed.
    pub fn settled(count: usize, apply_limit: Duration, seed: u64) -> Self {
        let mut fleet = Self::new(apply_limit, seed);
        for index in 0..count {
            fleet.start(index);
        }
        fleet.run(Duration::from_secs(if count > 100 { 20 } else { 10 }));
        fleet
    }

    /// Creates a store with documents and no routers.
    pub fn new(apply_limit: Duration, seed: u64) -> Self {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let mut fleet = Self {
            routers: BTreeMap::new(),
            store: Store::default(),
            now: MonoTime(Duration::from_secs(1)),
            rng: ChaCha8Rng::seed_from_u64(seed),
            apply_limit,
            fetches: 0,
            sent_documents: 0,
        };
        fleet.store.change("config", Some("1"));
        fleet.store.change("up/a", Some("a"));
        fleet.store.change("up/gone", Some("a"));
        fleet
    }

    /// Starts a router, or starts one again that runs.
    pub fn start(&mut self, index: usize) -> Ipv4Addr {
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
            follow: Follow::Read(self.now),
            era: StoreEra::default(),
            store_active: self.now,
            store_failed: false,
            noticed: StoreStamp::default(),
            next_round: self.now + GOSSIP_PERIOD.mul_f64(self.rng.random()),
            fetch: None,
            paused: false,
            cut_from_store: false,
            reads: 0,
        };
        self.routers.insert(own.address, router);
        own.address
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
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
        let backoff = MAX_BACKOFF.mul_f64(self.rng.random_range(0.5..1.0));
        let reread = REREAD_DELAY.mul_f64(self.rng.random_range(0.33..1.0));
        let router = self.routers.get_mut(&address).expect("the router runs");
        let reachable = !router.cut_from_store && !self.store.down;
        let position = router.view.stamp();
        match router.follow {
            Follow::Suspended => {}
            Follow::Wait(until) | Follow::Read(until) if now < until => {}
            // The store is gone: its connections break.
            Follow::Wait(_) | Follow::Watch(_) | Follow::Read(_) if self.store.down => {
                router.store_failed = true;
                router.view.store_failed(StoreFailure::Unavailable, now);
                let reads = matches!(router.follow, Follow::Read(_));
                let until = now + backoff;
                router.follow = if reads {
                    Follow::Read(until)
                } else {
                    Follow::Wait(until)
                };
            }
            Follow::Wait(_) => {
                self.store.calls += 1;
                let limit = if reachable { wait } else { STORE_TIMEOUT };
                router.follow = Follow::Watch(now + limit);
            }
            Follow::Read(_) if reachable => {
                self.store.calls += 1;
                router.reads += 1;
                router.era = StoreEra(self.store.era);
                router.view.store_responded(now);
                router.view.merge_snapshot(self.store.snapshot(), now);
                router.role.record_read(now);
                router.store_active = now;
                router.store_failed = false;
                router.follow = Follow::Wait(now);
            }
            Follow::Read(_) => router.store_failed = true,
            Follow::Watch(_) if reachable && !self.store.has_history(position) => {
                router.follow = Follow::Read(now + reread);
            }
            Follow::Watch(until) => {
                let news = position.revision.0 < self.store.revision;
                if reachable && (news || now >= until) && router.era.0 < self.store.era {
                    router.era = StoreEra(self.store.era);
                    router.follow = Follow::Read(now + reread);
                } else if reachable && (news || now >= until) {
                    router.view.store_responded(now);
                    let changes = self.store.changes(position);
                    router.view.merge_changes(changes, self.store.stamp(), now);
                    router.role.record_read(now);
                    router.store_active = now;
                    router.store_failed = false;
                    let delay = if news { CHANGES_DELAY } else { Duration::ZERO };
                    router.follow = Follow::Wait(now + delay);
                } else if now >= until {
                    router.store_failed = true;
                    router.view.store_failed(StoreFailure::Unavailable, now);
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
        let since = self.routers[&address].view.stamp();
        let response = self
            .routers
            .get(&peer)
            .filter(|peer| !peer.paused)
            .map(|peer| {
                let full = !peer.view.has_changes_since(since);
                let since = if full { StoreStamp::default() } else { since };
                let mut changes = peer.view.changes_since(since, now);
                let config = peer.view.config().expect("the peer has a configuration");
                changes.push(StoreChange::Written(StoreItem {
                    key: "config".to_owned(),
                    value: config.value.clone(),
                    stamp: config.stamp,
                }));
                let stamp = peer.view.stamp();
                let base = StoreStamp {
                    era: stamp.era,
                    revision: peer.view.base_revision(),
                };
                (changes, stamp, base, full)
            });
        let router = self.routers.get_mut(&address).expect("the router runs");
        let Some((changes, stamp, base, full)) = response else {
            router.plan.end_fetch(false, now);
            return;
        };
        self.sent_documents += changes.len() as u64;
        let before = router.documents();
        if full {
            router.view.merge_peer_snapshot(changes, stamp, base, now);
        } else {
            router.view.merge_peer(changes, stamp, now);
        }
        let advanced = router.documents().is_ahead_of(before);
        router.plan.end_fetch(advanced, now);
        if since == StoreStamp::default() {
            router.follow = Follow::Wait(now);
            router.era = router.era.max(stamp.era);
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
                    router.era = router.era.max(router.view.stamp().era);
                    Follow::Wait(now)
                } else {
                    Follow::Suspended
                };
            }
        } else if router.view.stamp() > router.noticed {
            router.noticed = router.view.stamp();
            targets = router.members.notice_targets(now, &mut self.rng);
        }
        let sender = router.members.own();
        let age = router.role.age(now);
        let documents = router.documents();
        let stamp = documents.stamp;
        let news = News {
            records,
            report: age.map(|age| StoreReport { stamp, age }),
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

    pub fn readers(&self) -> Vec<Ipv4Addr> {
        let reading = self.routers.iter().filter(|(_, r)| r.role.is_reading());
        reading.map(|(&address, _)| address).collect()
    }
}

/// Time within which a change must apply.
pub fn apply_limit(routers: usize) -> Duration {
    match routers {
        0..=12 => Duration::from_secs(2),
        13..=40 => Duration::from_secs(3),
        _ => Duration::from_secs(4),
    }
}
