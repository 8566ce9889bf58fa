//! Homes of prompts, the load bound, and the least loaded upstream.

use hawthornrouter::ids::UpstreamKey;
use hawthornrouter::policy::upstream_choice::{
    AffinityBound, Eligibility, SharedPart, UpstreamCandidate, choose_upstream, next_preferred,
};
use xxhash_rust::xxh3::xxh3_64;

const BOUND: AffinityBound = AffinityBound {
    multiple: 1.7,
    slack: 3.0,
};

fn options(count: u64) -> Vec<UpstreamCandidate> {
    (0..count)
        .map(|index| UpstreamCandidate {
            key: UpstreamKey(xxh3_64(&index.to_le_bytes())),
            slots: 64,
            load: 0.0,
            is_local: false,
            eligibility: Eligibility::Open,
            cache_readable: true,
        })
        .collect()
}

fn cold(prompt: u64) -> SharedPart {
    SharedPart {
        prompt,
        open_calls: 0.0,
    }
}

fn home(options: &[UpstreamCandidate], prompt: u64) -> usize {
    choose_upstream(options, Some(cold(prompt)), BOUND, 0).expect("one is open")
}

#[test]
fn homes_are_stable() {
    let nine = options(9);
    let ten = options(10);
    let moved = (0..2000).filter(|&prompt| home(&nine, prompt) != home(&ten, prompt));
    let moved: Vec<u64> = moved.collect();
    // What moves goes to the new upstream, and it is about a tenth.
    assert!(moved.iter().all(|&prompt| home(&ten, prompt) == 9));
    assert!((100..300).contains(&moved.len()), "{}", moved.len());
}

#[test]
fn homes_by_slots() {
    let mut pair = options(2);
    pair[1].slots = 192;
    let large = (0..4000).filter(|&prompt| home(&pair, prompt) == 1).count();
    assert!((2850..3150).contains(&large), "three quarters: {large}");
}

#[test]
fn bounded_load() {
    // Every call is about one thing: the home keeps within the bound, and overflow is in order.
    let mut engines = options(9);
    for _ in 0..200 {
        let index = home(&engines, 7);
        engines[index].load += 1.0;
    }
    let mean = 200.0 / 9.0;
    let highest = engines.iter().map(|engine| engine.load).fold(0.0, f64::max);
    assert!(
        highest <= BOUND.multiple * mean + BOUND.slack + 1.0,
        "{highest}"
    );
    assert!(highest <= 2.0 * mean + 3.0, "the bound of the platform");
    let used = engines.iter().filter(|engine| engine.load > 0.0).count();
    assert!(used < 9, "a hot prompt is not spread over all: {used}");
}

#[test]
fn unusable_ones() {
    let mut engines = options(4);
    let first = home(&engines, 3);
    engines[first].eligibility = Eligibility::Suspect;
    let second = home(&engines, 3);
    assert_ne!(first, second);
    for engine in &mut engines {
        engine.eligibility = Eligibility::Suspect;
    }
    assert_eq!(home(&engines, 3), first, "all in doubt: as if none were");
    engines[first].eligibility = Eligibility::LastResort;
    assert_ne!(home(&engines, 3), first);
    for engine in &mut engines {
        engine.eligibility = Eligibility::Excluded;
    }
    assert_eq!(choose_upstream(&engines, Some(cold(3)), BOUND, 0), None);
    assert_eq!(choose_upstream(&engines, None, BOUND, 0), None);
}

#[test]
fn least_loaded() {
    let mut services = options(3);
    services[0].load = 5.0;
    services[1].load = 1.0;
    services[2].load = 1.0;
    services[2].is_local = true;
    for draw in 0..20 {
        assert_eq!(choose_upstream(&services, None, BOUND, draw), Some(2));
    }
    services[2].is_local = false;
    let drawn: Vec<usize> = (0..50)
        .filter_map(|draw| choose_upstream(&services, None, BOUND, draw))
        .collect();
    assert!(drawn.contains(&1) && drawn.contains(&2) && !drawn.contains(&0));
}

#[test]
fn source_of_overflow() {
    let mut engines = options(9);
    let first = home(&engines, 7);
    assert_ne!(next_preferred(&engines, 7, first), Some(first));
    // The full home has read what its overflow lacks.
    engines[first].load = 100.0;
    let second = home(&engines, 7);
    assert_ne!(second, first);
    assert_eq!(next_preferred(&engines, 7, second), Some(first));
    // An upstream at rest may not answer.
    engines[first].cache_readable = false;
    assert_ne!(next_preferred(&engines, 7, second), Some(first));
}

#[test]
fn source_of_successor() {
    // A new upstream copies from the home that it takes over from, and the next in order from one
    // that is leaving.
    let nine = options(9);
    let ten = options(10);
    let taken: Vec<u64> = (0..400).filter(|&prompt| home(&ten, prompt) == 9).collect();
    assert!(!taken.is_empty());
    for prompt in taken {
        assert_eq!(next_preferred(&ten, prompt, 9), Some(home(&nine, prompt)));
        let mut leaving = ten.clone();
        leaving[9].eligibility = Eligibility::Excluded;
        let next = home(&leaving, prompt);
        assert_eq!(next_preferred(&leaving, prompt, next), Some(9));
    }
    assert_eq!(next_preferred(&options(1), 7, 0), None);
}
