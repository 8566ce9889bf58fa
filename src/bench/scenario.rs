//! The scenarios by name.

use crate::bench::report::ScenarioReport;
use crate::bench::{doubled_order, flood, late_loads, load_bound, ranks, reuse};

/// A scenario that can be run.
#[derive(Clone, Copy)]
pub struct BenchScenario {
    /// Its name.
    pub name: &'static str,
    /// What it shows.
    pub about: &'static str,
    /// Runs it with a seed.
    pub run: fn(u64) -> ScenarioReport,
}

/// Every scenario.
pub const SCENARIOS: &[BenchScenario] = &[
    BenchScenario {
        name: "doubled-order",
        about: "copies of orders while routers crash and drain",
        run: doubled_order::run,
    },
    BenchScenario {
        name: "ranks",
        about: "service by rank at 90% and 130% of capacity",
        run: ranks::run,
    },
    BenchScenario {
        name: "flood-long",
        about: "long work at ten times capacity",
        run: flood::run_long,
    },
    BenchScenario {
        name: "flood-quick",
        about: "quick questions at ten times capacity",
        run: flood::run_quick,
    },
    BenchScenario {
        name: "load-bound",
        about: "highest load over the mean at admission",
        run: load_bound::run,
    },
    BenchScenario {
        name: "reuse",
        about: "prefix reuse through churn and skew, and the control traffic it costs",
        run: reuse::run,
    },
    BenchScenario {
        name: "late-loads",
        about: "homes of prompts among 27 routers that hear late of loads",
        run: late_loads::run,
    },
];

/// The scenario called `name`.
pub fn find(name: &str) -> Option<&'static BenchScenario> {
    SCENARIOS.iter().find(|scenario| scenario.name == name)
}
