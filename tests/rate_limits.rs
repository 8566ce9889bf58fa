//! Plays fleets of routers in virtual time that share the rate limits of upstreams.

use std::net::Ipv4Addr;
use std::time::Duration;

use hawthornrouter::dialect::RateStatement;
use hawthornrouter::ids::DataCenterTag;
use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::latest_loads::UpstreamTag;
use hawthornrouter::policy::locate_choice::RouterPlace;
use hawthornrouter::policy::rate_limits::{FleetPlace, RateLimits, RateReport};
use hawthornrouter::units::RequestRate;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const UPSTREAM: UpstreamTag = UpstreamTag(7);
const STEP_MS: u64 = 10;

/// Calls per second that want the upstream at each router.
#[derive(Clone, Copy, Debug)]
enum Demand {
    Even(f64),
    OneRouter(f64),
}

fn at(ms: u64) -> MonoTime {
    MonoTime(Duration::from_millis(10_000 + ms))
}

fn rate(text: &str) -> RequestRate {
    text.parse().expect("a rate")
}

fn places(count: usize) -> Vec<RouterPlace> {
    let place = |index: usize| RouterPlace {
        address: Ipv4Addr::from_bits(0x0a00_0000 + index as u32),
        data_center: DataCenterTag(1),
    };
    (0..count).map(place).collect()
}

/// Returns the times at which the upstream gets a call from any router, over 40 s.
fn arrivals(seed: u64, count: usize, limit: &str, demand: Demand) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let routers = places(count);
    let mut limits = vec![RateLimits::default(); count];
    for router in &mut limits {
        router.record(UPSTREAM, RateStatement::Limit(rate(limit)), at(0));
    }
    let mut arrivals = Vec::new();
    for ms in (0..40_000).step_by(STEP_MS as usize) {
        for index in 0..count {
            let per_s = match demand {
                Demand::Even(per_s) => per_s / count as f64,
                Demand::OneRouter(per_s) if index == 0 => per_s,
                Demand::OneRouter(_) => 0.0,
            };
            if !rng.random_bool((per_s * STEP_MS as f64 / 1000.0).min(1.0)) {
                continue;
            }
            let place = FleetPlace {
                own: routers[index].address,
                routers: &routers,
                size: count,
            };
            if limits[index].wait(UPSTREAM, place, at(ms)) == Some(Duration::ZERO) {
                limits[index].count(UPSTREAM, place, at(ms));
                arrivals.push(ms);
            }
        }
    }
    arrivals
}

fn check_bound(count: usize, limit: &str, demand: Demand) -> f64 {
    let per_s = rate(limit).get();
    let mut total = 0;
    for seed in 0..50 {
        let arrivals = arrivals(seed, count, limit, demand);
        let allowed = 1.5 * per_s * 4.0 + 5.0;
        for (index, &first) in arrivals.iter().enumerate() {
            let in_window = arrivals[index..]
                .iter()
                .filter(|&&ms| ms < first + 4000)
                .count();
            assert!(
                in_window as f64 <= allowed,
                "seed {seed}, {count} routers, limit {limit}: {in_window} in 4 s"
            );
        }
        total += arrivals.len();
    }
    let used = total as f64 / 50.0 / 40.0 / per_s;
    println!("{count} routers, limit {limit}, {demand:?}: {used:.2} of the limit used");
    used
}

#[test]
fn limit_holds_for_fleet() {
    for count in [1, 4, 25, 77, 300] {
        for limit in ["0.2", "0.9", "1.2", "2.6", "13", "100"] {
            let used = check_bound(count, limit, Demand::Even(400.0));
            assert!(used >= 0.5, "the upstream is idle");
        }
    }
}

#[test]
fn demand_at_one_router() {
    for count in [4, 77] {
        for limit in ["0.2", "2.6", "13"] {
            check_bound(count, limit, Demand::OneRouter(200.0));
        }
    }
}

#[test]
#[ignore = "listed in KNOWN-RED.txt"]
fn one_router_uses_limit() {
    for limit in ["2.6", "13"] {
        let used = check_bound(4, limit, Demand::OneRouter(200.0));
        assert!(used >= 0.5, "the upstream is idle: {used:.2} of {limit}");
    }
}

#[test]
fn later_statement_wins() {
    let mut limits = RateLimits::default();
    let stated = |limit: &str| RateStatement::Limit(rate(limit));
    assert!(!limits.record(UPSTREAM, RateStatement::Unlimited, at(0)));
    assert!(limits.record(UPSTREAM, stated("2.5"), at(100)));
    assert!(!limits.record(UPSTREAM, RateStatement::Unreadable, at(200)));
    assert_eq!(limits.limit(UPSTREAM), Some(rate("2.5")));
    assert!(limits.record(UPSTREAM, RateStatement::Unlimited, at(300)));
    // A slow router brings an old limit back.
    let stale = RateReport {
        upstream: UPSTREAM,
        limit: Some(rate("2.5")),
        at: at(250),
    };
    assert!(!limits.merge(stale));
    assert_eq!(limits.limit(UPSTREAM), None);
    assert!(limits.record(UPSTREAM, stated("0.2"), at(400)));
    limits.retain(|upstream| upstream != UPSTREAM);
    assert_eq!(limits.limit(UPSTREAM), None);
}

#[test]
fn unreadable_rates() {
    for text in ["-1", "NaN", "inf", "", "1,5", "two"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text:?}");
    }
    assert!((rate("0.2").get() - 0.2).abs() < 1e-9);
    assert_eq!(rate("1e300").milli(), u32::MAX);
}
