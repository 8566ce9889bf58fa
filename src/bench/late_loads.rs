//! Homes of prompts among many routers that hear late of loads.

use std::time::Duration;

use crate::bench::affinity_sim::{
    CopySource, HomeChoice, HomeFigures, HomeLoad, HomeSim, HomeWay, PRODUCT_WAY,
};
use crate::bench::report::ScenarioReport;

/// Calls in a hundred that may meet an upstream above the bound, as the users' rule has it.
pub const MOST_ABOVE: f64 = 0.03;

/// A load by its name.
#[derive(Clone, Copy, Debug)]
pub struct NamedLoad {
    /// Its name in figures.
    pub name: &'static str,
    /// What is asked for.
    pub load: HomeLoad,
}

/// Short calls, an eighth of them about one prompt.
pub const HOT_PROMPT: NamedLoad = NamedLoad {
    name: "hot_prompt",
    load: HomeLoad {
        gap: Duration::from_micros(1500),
        length: Duration::from_millis(450),
        prompts: 1300,
        hot_share: 0.12,
        churn: None,
    },
};

/// Long calls about few prompts, so that some upstreams are home to several.
pub const UNEVEN_HOMES: NamedLoad = NamedLoad {
    name: "uneven_homes",
    load: HomeLoad {
        gap: Duration::from_millis(4),
        length: Duration::from_millis(1500),
        prompts: 150,
        hot_share: 0.0,
        churn: None,
    },
};

/// Long calls, an eighth of them about one prompt.
pub const LONG_CALLS: NamedLoad = NamedLoad {
    name: "long_calls",
    load: HomeLoad {
        gap: Duration::from_millis(4),
        length: Duration::from_millis(1500),
        prompts: 400,
        hot_share: 0.12,
        churn: None,
    },
};

/// Long calls while upstreams are replaced.
pub const CHURN: NamedLoad = NamedLoad {
    name: "churn",
    load: HomeLoad {
        gap: Duration::from_millis(4),
        length: Duration::from_millis(1500),
        prompts: 400,
        hot_share: 0.0,
        churn: Some(Duration::from_millis(500)),
    },
};

/// Every load.
pub const LOADS: [NamedLoad; 4] = [HOT_PROMPT, UNEVEN_HOMES, LONG_CALLS, CHURN];

/// Runs the scenario.
pub fn run(seed: u64) -> ScenarioReport {
    let mut report = ScenarioReport::new("late-loads", seed);
    let own_reports = HomeWay {
        heat: false,
        told: false,
        ..PRODUCT_WAY
    };
    let plain = |choice| HomeWay {
        choice,
        ..own_reports
    };
    let baselines = [
        ("own_reports", own_reports),
        (
            "own_memory",
            HomeWay {
                source: CopySource::OwnMemory,
                ..PRODUCT_WAY
            },
        ),
        ("unbounded", plain(HomeChoice::Unbounded)),
        ("least_loaded", plain(HomeChoice::LeastLoaded)),
        ("random", plain(HomeChoice::Random)),
    ];
    for NamedLoad { name, load } in LOADS {
        let figures = HomeSim::new(seed, load, PRODUCT_WAY).run();
        report.at_most(&format!("{name}_above"), figures.above_share(), MOST_ABOVE);
        report.figure(&format!("{name}_read_anew"), figures.read_share());
        for (baseline, way) in baselines {
            let figures = HomeSim::new(seed, load, way).run();
            note(&mut report, &format!("baseline_{baseline}_{name}"), figures);
        }
    }
    report
}

fn note(report: &mut ScenarioReport, name: &str, figures: HomeFigures) {
    report.figure(&format!("{name}_above"), figures.above_share());
    report.figure(&format!("{name}_read_anew"), figures.read_share());
}
