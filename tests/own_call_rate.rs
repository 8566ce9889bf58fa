//! Guards against loads of upstreams without reports that are taken from single calls: with 135
//! routers, one own call looked like 135, and calls left the upstream that had their prompt cached.

use std::time::Duration;

use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::own_call_rate::{OwnCallMean, estimate_calls};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ROUTERS: usize = 135;
const UPSTREAMS: usize = 90;

#[test]
fn estimates_of_many_routers() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Open calls at each upstream, of which each is at a random router.
        let loads: Vec<u32> = (0..UPSTREAMS).map(|_| rng.random_range(0..10)).collect();
        let own: Vec<u32> = loads
            .iter()
            .map(|&load| {
                (0..load)
                    .filter(|_| rng.random_ratio(1, ROUTERS as u32))
                    .count() as u32
            })
            .collect();
        let mean = f64::from(loads.iter().sum::<u32>()) / (UPSTREAMS * ROUTERS) as f64;
        for own_calls in own {
            let estimate = estimate_calls(own_calls, mean, ROUTERS);
            assert!(
                (1.0..12.0).contains(&estimate),
                "seed {seed}: {own_calls} own, {estimate}"
            );
        }
    }
}

#[test]
fn own_calls_count_in_small_fleets() {
    let estimate = estimate_calls(40, 8.0, 4);
    assert!((100.0..=160.0).contains(&estimate), "{estimate}");
    assert!((estimate_calls(2, 0.0, 3) - 6.0).abs() < 1e-9);
}

#[test]
fn mean_follows_calls() {
    let at = |s: u64| MonoTime(Duration::from_secs(s));
    let mut mean = OwnCallMean::default();
    assert!((mean.record(18, 9, at(0)) - 2.0).abs() < 1e-9);
    let falling = mean.record(0, 9, at(4));
    assert!((0.5..1.0).contains(&falling), "{falling}");
    assert!(mean.record(0, 9, at(60)) < 0.01);
    assert!(mean.record(5, 0, at(61)).is_finite());
}
