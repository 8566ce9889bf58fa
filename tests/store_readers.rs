//! A few routers read the store for all. Guards against routers that miss a change because those
//! that read are cut off, paused or killed, against a removed upstream that returns from a peer with
//! older documents, and against calls to the store that grow with the fleet. Runs the decision code
//! of whole fleets on virtual time.

mod store_codec;
mod store_fleet;

use std::net::Ipv4Addr;
use std::time::Duration;

use hawthornrouter::route::ConfigVersion;
use rand::RngExt;
use rand::seq::IndexedRandom;
use store_fleet::{Fleet, Router, apply_limit};

impl Fleet {
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
