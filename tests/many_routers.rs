//! Many routers, each of which hears little of each upstream: homes keep within their bound all
//! the same, and each mechanism is needed for that. Played on virtual time; the scenario
//! `late-loads` of the bench holds the bounds.

use std::time::Duration;

use hawthornrouter::bench::affinity_sim::{CopySource, HomeSim, HomeWay, PRODUCT_WAY};
use hawthornrouter::bench::late_loads::{
    CHURN, HOT_PROMPT, LONG_CALLS, MOST_ABOVE, NamedLoad, UNEVEN_HOMES,
};
use hawthornrouter::dialect::LoadReport;
use hawthornrouter::ids::UpstreamKey;
use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::latest_loads::{LatestLoads, UpstreamLoad, UpstreamTag};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Plays with and without a mechanism: the bound is kept only with it.
fn compare(load: NamedLoad, without: HomeWay, with: HomeWay) {
    for seed in SEEDS {
        let before = HomeSim::new(seed, load.load, without).run().above_share();
        let after = HomeSim::new(seed, load.load, with).run().above_share();
        println!("{} seed {seed}: {before:.4}, {after:.4}", load.name);
        assert!(before > MOST_ABOVE, "seed {seed}: the load is no trial");
        assert!(after <= MOST_ABOVE, "seed {seed}: {after}");
    }
}

#[test]
fn hot_prompt() {
    let with = HomeWay {
        told: false,
        ..PRODUCT_WAY
    };
    let without = HomeWay {
        heat: false,
        ..with
    };
    compare(HOT_PROMPT, without, with);
}

#[test]
fn late_reports() {
    let without = HomeWay {
        told: false,
        ..PRODUCT_WAY
    };
    compare(UNEVEN_HOMES, without, PRODUCT_WAY);
    compare(LONG_CALLS, without, PRODUCT_WAY);
}

#[test]
fn copied_prompts() {
    // A router's own memory finds fewer sources than the order that all routers agree on.
    let memory = HomeWay {
        source: CopySource::OwnMemory,
        ..PRODUCT_WAY
    };
    for seed in SEEDS {
        let before = HomeSim::new(seed, CHURN.load, memory).run().read_share();
        let after = HomeSim::new(seed, CHURN.load, PRODUCT_WAY)
            .run()
            .read_share();
        println!("seed {seed}: {before:.4}, {after:.4}");
        assert!(after < before, "seed {seed}: {after}, {before}");
    }
}

#[test]
fn latest_report() {
    let word = |running, at| UpstreamLoad {
        upstream: UpstreamTag(7),
        load: LoadReport {
            running,
            waiting: 0,
        },
        at: MonoTime(Duration::from_millis(at)),
    };
    let mut news = LatestLoads::default();
    news.merge(word(9, 500));
    // Comes later, but is older.
    news.merge(word(2, 300));
    assert_eq!(news.latest(UpstreamKey(7)), Some(word(9, 500)));
    news.merge(word(3, 600));
    assert_eq!(news.latest(UpstreamKey(7)), Some(word(3, 600)));
    let late = MonoTime(Duration::from_millis(1700));
    assert!(news.busiest(late).is_empty(), "old reports are passed on");
}
