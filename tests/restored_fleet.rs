//! The store is restored from an older copy under a whole fleet, of which a few routers read it.
//! Guards against routers that keep what the store lost, that go back with it, that follow a peer of
//! an earlier era, and against fleets that all read at once. Runs on virtual time.

mod store_codec;
mod store_fleet;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use hawthornrouter::fleet::renewal_outage::StoreFailure;
use hawthornrouter::fleet::upstream_entry::ServingState;
use hawthornrouter::route::ConfigVersion;
use rand::RngExt;
use rand::seq::IndexedRandom;
use store_fleet::{Fleet, Follow, Router, apply_limit};

#[derive(Clone, Copy, Debug)]
enum Trouble {
    None,
    /// A third of the routers is paused through the loss.
    Paused,
    /// Half of the readers lose their path to the store before the loss, and so all that the copy
    /// lacks, and regain it afterwards.
    ReadersCut,
    /// A third of the routers is started again after the loss.
    Restarted,
    /// All routers are started again while the store is away.
    AllRestarted,
    /// The store is restored a second time, from the same copy.
    Twice,
    /// The restored store has no history.
    HistoryLost,
    /// The store writes on before any router reaches it again, so no watch gets an error.
    WritesOn,
}

const TROUBLES: [Trouble; 8] = [
    Trouble::None,
    Trouble::Paused,
    Trouble::ReadersCut,
    Trouble::Restarted,
    Trouble::AllRestarted,
    Trouble::Twice,
    Trouble::HistoryLost,
    Trouble::WritesOn,
];

/// What a router believed when it was last looked at.
#[derive(Clone, Debug, Default)]
struct Belief {
    version: ConfigVersion,
    knows_gone: bool,
    knows_draining: bool,
    has_late: bool,
}

/// A play of one loss, with what the routers that were not started again must not forget.
struct Loss {
    fleet: Fleet,
    label: String,
    beliefs: BTreeMap<Ipv4Addr, Belief>,
    /// Revision of the copy.
    copy: u64,
    /// Routers that are paused or cut off.
    hit: Vec<Ipv4Addr>,
}

fn state(router: &Router, id: &str) -> Option<ServingState> {
    let upstreams = router.view.upstreams();
    let entry = upstreams.iter().find(|entry| entry.id.as_str() == id);
    entry.map(|entry| entry.state)
}

impl Loss {
    /// Runs for a time and checks after each step that no router goes back.
    fn run(&mut self, span: Duration) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.fleet.step();
        for (address, router) in self.fleet.routers.iter().filter(|(_, r)| !r.paused) {
            let belief = self.beliefs.entry(*address).or_default();
            let place = format!("{}, {address} at {:?}", self.label, self.fleet.now);
            let version = router.view.config_version();
            assert!(version >= belief.version, "{place}: older configuration");
            belief.version = version;
            let gone = state(router, "gone");
            assert!(
                !belief.knows_gone || gone.is_none(),
                "{place}: left upstream"
            );
            belief.knows_gone |= version.0 > 0 && gone.is_none();
            let drains = state(router, "drains");
            assert!(
                !belief.knows_draining || drains != Some(ServingState::Ready),
                "{place}: draining upstream"
            );
            belief.knows_draining |= drains == Some(ServingState::Draining);
            let late = state(router, "late").is_some();
            assert!(late || !belief.has_late, "{place}: live upstream");
            belief.has_late |= late;
            assert!(
                version.0 == 0 || state(router, "a").is_some(),
                "{place}: first upstream"
            );
        }
    }

    fn restart(&mut self, indexes: impl Iterator<Item = usize>) {
        for index in indexes {
            let address = self.fleet.start(index);
            self.beliefs.remove(&address);
        }
    }

    /// Runs for a random time.
    fn pause(&mut self, max_millis: u64) {
        let millis = self.fleet.rng.random_range(0..max_millis);
        self.run(Duration::from_millis(millis));
    }

    /// Writes a version and returns the time until every running router has it.
    fn apply_version(&mut self, version: u64) -> Duration {
        let began = self.fleet.now;
        self.fleet
            .store
            .change("config", Some(&version.to_string()));
        let has = |router: &Router| router.paused || router.view.config_version().0 >= version;
        while !self.fleet.routers.values().all(has) {
            self.step();
            let spent = self.fleet.now.since(began);
            assert!(spent < Duration::from_mins(1), "{}: never", self.label);
        }
        self.fleet.now.since(began)
    }
}

/// Cost of a loss, until the version after it applies.
#[derive(Debug, Default)]
struct LossCost {
    spent: Duration,
    /// Whole reads of the store.
    reads: u64,
    /// Whole reads of one router.
    most_reads: Option<u64>,
    calls: u64,
    documents: u64,
}

impl Loss {
    /// Settles a fleet and makes the changes that the copy lacks.
    fn prepare(routers: usize, trouble: Trouble, seed: u64) -> Self {
        let limit = apply_limit(routers);
        let mut fleet = Fleet::settled(routers, limit, seed);
        fleet.store.restore(fleet.store.revision);
        fleet.store.change("up/drains", Some("ready"));
        let mut loss = Self {
            fleet,
            label: format!("{routers} routers, {trouble:?}, seed {seed}"),
            beliefs: BTreeMap::new(),
            copy: 0,
            hit: Vec::new(),
        };
        loss.run(Duration::from_secs(3));
        loss.copy = loss.fleet.store.revision;
        if matches!(trouble, Trouble::ReadersCut) {
            let readers = loss.fleet.readers();
            loss.hit = some_of(&mut loss.fleet, &readers, readers.len() / 2);
            for address in &loss.hit {
                router(&mut loss.fleet, *address).cut_from_store = true;
            }
        }
        for (key, value) in [
            ("config", Some("2")),
            ("up/gone", None),
            ("up/drains", Some("draining")),
            ("up/late", Some("ready")),
        ] {
            loss.fleet.store.change(key, value);
            loss.pause(2000);
        }
        loss.pause(1500);
        loss.run(limit);
        if matches!(trouble, Trouble::Paused) {
            let all: Vec<Ipv4Addr> = loss.fleet.routers.keys().copied().collect();
            loss.hit = some_of(&mut loss.fleet, &all, routers / 3);
            for address in &loss.hit {
                router(&mut loss.fleet, *address).paused = true;
            }
        }
        loss
    }

    /// Takes the store away for two seconds and restores it.
    fn lose(&mut self, routers: usize, trouble: Trouble) {
        self.fleet.store.down = true;
        if matches!(trouble, Trouble::AllRestarted) {
            self.restart(0..routers);
        }
        self.run(Duration::from_secs(2));
        let lost_count = self.fleet.store.revision - self.copy;
        self.fleet.store.restore(self.copy);
        if matches!(trouble, Trouble::HistoryLost) {
            self.fleet.store.oldest = self.copy;
        }
        if matches!(trouble, Trouble::WritesOn) {
            for number in 0..=lost_count {
                self.fleet.store.change("up/b", Some(&number.to_string()));
            }
        }
        self.fleet.store.down = false;
        for router in self.fleet.routers.values_mut() {
            router.reads = 0;
        }
        self.fleet.store.calls = 0;
        self.fleet.sent_documents = 0;
        if matches!(trouble, Trouble::ReadersCut) {
            for address in &self.hit {
                router(&mut self.fleet, *address).cut_from_store = false;
            }
        }
        if matches!(trouble, Trouble::Restarted) {
            self.restart((0..routers).filter(|index| index % 3 == 0));
        }
    }

    /// The upstreams that live say again what was lost.
    fn register_again(&mut self) {
        self.pause(1200);
        self.fleet.store.change("up/drains", Some("draining"));
        self.fleet.store.change("up/late", Some("ready"));
    }

    /// Wakes the routers that were paused.
    fn wake(&mut self) {
        let now = self.fleet.now;
        for address in &self.hit {
            let router = router(&mut self.fleet, *address);
            router.paused = false;
            router.role.forget();
            router.view.store_failed(StoreFailure::ProcessPaused, now);
            router.follow = Follow::Read(now);
        }
    }
}

fn some_of(fleet: &mut Fleet, all: &[Ipv4Addr], count: usize) -> Vec<Ipv4Addr> {
    all.sample(&mut fleet.rng, count).copied().collect()
}

fn play(routers: usize, trouble: Trouble, seed: u64) -> LossCost {
    let mut loss = Loss::prepare(routers, trouble, seed);
    loss.lose(routers, trouble);
    let return_at = loss.fleet.now;
    loss.register_again();
    if matches!(trouble, Trouble::Twice) {
        loss.pause(2500);
        loss.fleet.store.down = true;
        loss.run(Duration::from_millis(500));
        loss.fleet.store.restore(loss.copy);
        loss.fleet.store.down = false;
        loss.register_again();
    }
    loss.pause(1000);
    let cost = LossCost {
        spent: loss.apply_version(3),
        reads: loss.fleet.routers.values().map(|r| r.reads).sum(),
        most_reads: loss.fleet.routers.values().map(|r| r.reads).max(),
        calls: loss.fleet.store.calls,
        documents: loss.fleet.sent_documents,
    };
    // The upstream that left misses three check-ins.
    let expiry = Duration::from_millis(3600);
    loss.run(expiry.saturating_sub(loss.fleet.now.since(return_at)));
    loss.fleet.store.change("up/gone", None);
    if matches!(trouble, Trouble::Paused) {
        loss.wake();
    }
    loss.run(apply_limit(routers));
    loss.check_all();
    cost
}

fn router(fleet: &mut Fleet, address: Ipv4Addr) -> &mut Router {
    fleet.routers.get_mut(&address).expect("the router runs")
}

impl Loss {
    /// Every router has what the store has.
    fn check_all(&self) {
        for (address, router) in &self.fleet.routers {
            let place = format!("{}, {address}", self.label);
            assert_eq!(router.view.config_version(), ConfigVersion(3), "{place}");
            assert_eq!(router.view.stamp(), self.fleet.store.stamp(), "{place}");
            assert_eq!(state(router, "gone"), None, "{place}");
            assert_eq!(state(router, "late"), Some(ServingState::Ready), "{place}");
            assert_eq!(
                state(router, "drains"),
                Some(ServingState::Draining),
                "{place}"
            );
        }
    }
}

fn play_seeds(sizes: &[usize], seeds: u64) {
    for &routers in sizes {
        for trouble in TROUBLES {
            let mut worst = LossCost::default();
            for seed in 0..seeds {
                let cost = play(routers, trouble, seed);
                let place = format!("{routers} routers, {trouble:?}, seed {seed}: {cost:?}");
                assert!(cost.spent <= apply_limit(routers), "{place}");
                worst.spent = worst.spent.max(cost.spent);
                worst.reads = worst.reads.max(cost.reads);
                worst.most_reads = worst.most_reads.max(cost.most_reads);
                worst.calls = worst.calls.max(cost.calls);
                worst.documents = worst.documents.max(cost.documents);
            }
            println!("{routers} routers, {trouble:?}: {worst:?}");
        }
    }
}

#[test]
fn nothing_goes_back() {
    play_seeds(&[4, 27], 3);
    play_seeds(&[77], 1);
}

#[test]
#[ignore = "minutes; run by hand"]
fn nothing_goes_back_on_many_seeds() {
    play_seeds(&[4, 27, 77, 300], 50);
}

/// No router reads the whole store twice for one loss.
#[test]
fn one_read_a_router() {
    for routers in [4, 27, 77, 300] {
        let cost = play(routers, Trouble::None, 1);
        println!("{routers} routers: {cost:?}");
        assert_eq!(cost.most_reads, Some(1), "{routers} routers: {cost:?}");
    }
}
