//! Measures prompt affinity with many routers whose knowledge of upstream loads is out of date.

use std::time::Duration;

use crate::bench::affinity_sim::{
    AffinityFigures, AffinitySim, AffinityWorkload, CopySource, PRODUCT_OPTIONS, RoutingOptions,
    Selection,
};
use crate::bench::report::ScenarioReport;

/// Maximum share of the calls that may be sent to an upstream above the required bound.
/// The limit is a requirement on the product.
pub const MAX_ABOVE_BOUND_SHARE: f64 = 0.03;

/// A workload and its name.
#[derive(Clone, Copy, Debug)]
pub struct NamedWorkload {
    /// Name of the workload in the names of figures.
    pub name: &'static str,
    /// The calls that are generated.
    pub workload: AffinityWorkload,
}

/// Short calls, about an eighth of which use one prompt.
pub const HOT_PROMPT: NamedWorkload = NamedWorkload {
    name: "hot_prompt",
    workload: AffinityWorkload {
        mean_gap: Duration::from_micros(1500),
        mean_length: Duration::from_millis(450),
        prompt_count: 1300,
        hot_share: 0.12,
        churn_interval: None,
    },
};

/// Long calls with few prompts, so that some upstreams are preferred by several of them.
pub const UNEVEN_HOMES: NamedWorkload = NamedWorkload {
    name: "uneven_homes",
    workload: AffinityWorkload {
        mean_gap: Duration::from_millis(4),
        mean_length: Duration::from_millis(1500),
        prompt_count: 150,
        hot_share: 0.0,
        churn_interval: None,
    },
};

/// Long calls, about an eighth of which use one prompt.
pub const LONG_CALLS: NamedWorkload = NamedWorkload {
    name: "long_calls",
    workload: AffinityWorkload {
        mean_gap: Duration::from_millis(4),
        mean_length: Duration::from_millis(1500),
        prompt_count: 400,
        hot_share: 0.12,
        churn_interval: None,
    },
};

/// Long calls while upstreams are replaced.
pub const CHURN: NamedWorkload = NamedWorkload {
    name: "churn",
    workload: AffinityWorkload {
        mean_gap: Duration::from_millis(4),
        mean_length: Duration::from_millis(1500),
        prompt_count: 400,
        hot_share: 0.0,
        churn_interval: Some(Duration::from_millis(500)),
    },
};

/// All workloads of the scenario.
pub const WORKLOADS: [NamedWorkload; 4] = [HOT_PROMPT, UNEVEN_HOMES, LONG_CALLS, CHURN];

/// Runs the scenario.
pub fn run(seed: u64) -> ScenarioReport {
    let mut report = ScenarioReport::new("late-loads", seed);
    let own_reports = RoutingOptions {
        estimates_prompt_load: false,
        shares_load_reports: false,
        ..PRODUCT_OPTIONS
    };
    let own_reports_with = |selection| RoutingOptions {
        selection,
        ..own_reports
    };
    let baselines = [
        ("own_reports", own_reports),
        (
            "own_memory",
            RoutingOptions {
                copy_source: CopySource::LastSent,
                ..PRODUCT_OPTIONS
            },
        ),
        ("unbounded", own_reports_with(Selection::Unbounded)),
        ("least_loaded", own_reports_with(Selection::LeastLoaded)),
        ("random", own_reports_with(Selection::Random)),
    ];
    for NamedWorkload { name, workload } in WORKLOADS {
        let figures = AffinitySim::new(seed, workload, PRODUCT_OPTIONS).run();
        report.at_most(
            &format!("{name}_above"),
            figures.above_bound_share(),
            MAX_ABOVE_BOUND_SHARE,
        );
        report.figure(&format!("{name}_read_anew"), figures.miss_share());
        for (baseline, options) in baselines {
            let figures = AffinitySim::new(seed, workload, options).run();
            record_figures(&mut report, &format!("baseline_{baseline}_{name}"), figures);
        }
    }
    report
}

fn record_figures(report: &mut ScenarioReport, name: &str, figures: AffinityFigures) {
    report.figure(&format!("{name}_above"), figures.above_bound_share());
    report.figure(&format!("{name}_read_anew"), figures.miss_share());
}
