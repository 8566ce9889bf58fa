//! Checks in virtual time that prompt affinity keeps the load bound although each of many routers
//! receives few load reports of each upstream. The simulations also run without one mechanism of
//! the product and must then give worse results. The bench scenario `late-loads` checks the bound
//! for the unchanged product.

use std::time::Duration;

use hawthornrouter::bench::affinity_sim::{
    AffinitySim, CopySource, PRODUCT_OPTIONS, RoutingOptions,
};
use hawthornrouter::bench::late_loads::{
    CHURN, HOT_PROMPT, LONG_CALLS, MAX_ABOVE_BOUND_SHARE, NamedWorkload, UNEVEN_HOMES,
};
use hawthornrouter::dialect::LoadReport;
use hawthornrouter::ids::UpstreamKey;
use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::latest_loads::{LatestLoads, UpstreamLoad, UpstreamTag};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Asserts that a workload keeps the bound with a mechanism and exceeds it without.
fn compare(workload: NamedWorkload, without: RoutingOptions, with: RoutingOptions) {
    for seed in SEEDS {
        let before = AffinitySim::new(seed, workload.workload, without)
            .run()
            .above_bound_share();
        let after = AffinitySim::new(seed, workload.workload, with)
            .run()
            .above_bound_share();
        println!("{} seed {seed}: {before:.4}, {after:.4}", workload.name);
        assert!(
            before > MAX_ABOVE_BOUND_SHARE,
            "seed {seed}: the bound holds without the mechanism"
        );
        assert!(after <= MAX_ABOVE_BOUND_SHARE, "seed {seed}: {after}");
    }
}

/// Without an estimate of a prompt's calls over all routers, every router sends a hot prompt to the
/// same upstream until a load report shows that it is full.
#[test]
fn hot_prompt_estimate_keeps_bound() {
    let with = RoutingOptions {
        shares_load_reports: false,
        ..PRODUCT_OPTIONS
    };
    let without = RoutingOptions {
        estimates_prompt_load: false,
        ..with
    };
    compare(HOT_PROMPT, without, with);
}

/// Without the reports that routers exchange, a router has recent load reports of few upstreams and
/// misjudges the load of the others.
#[test]
fn shared_reports_keep_bound() {
    let without = RoutingOptions {
        shares_load_reports: false,
        ..PRODUCT_OPTIONS
    };
    compare(UNEVEN_HOMES, without, PRODUCT_OPTIONS);
    compare(LONG_CALLS, without, PRODUCT_OPTIONS);
}

/// The upstream that a router itself last sent a prompt to has the prompt less often than the next
/// preferred upstream, on which all routers agree.
#[test]
fn next_preferred_upstream_has_prompt_more_often() {
    let last_sent = RoutingOptions {
        copy_source: CopySource::LastSent,
        ..PRODUCT_OPTIONS
    };
    for seed in SEEDS {
        let before = AffinitySim::new(seed, CHURN.workload, last_sent)
            .run()
            .miss_share();
        let after = AffinitySim::new(seed, CHURN.workload, PRODUCT_OPTIONS)
            .run()
            .miss_share();
        println!("seed {seed}: {before:.4}, {after:.4}");
        assert!(after < before, "seed {seed}: {after}, {before}");
    }
}

#[test]
fn latest_report_wins() {
    let report = |running, at| UpstreamLoad {
        upstream: UpstreamTag(7),
        load: LoadReport {
            running,
            ..LoadReport::default()
        },
        at: MonoTime(Duration::from_millis(at)),
    };
    let mut loads = LatestLoads::default();
    loads.merge(report(9, 500));
    // Arrives later, but is older.
    loads.merge(report(2, 300));
    assert_eq!(loads.latest(UpstreamKey(7)), Some(report(9, 500)));
    loads.merge(report(3, 600));
    assert_eq!(loads.latest(UpstreamKey(7)), Some(report(3, 600)));
    let late = MonoTime(Duration::from_millis(1700));
    assert!(loads.busiest(late).is_empty(), "old reports are passed on");
}
