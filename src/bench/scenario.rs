//! The table of scenarios that `hawthorn-bench` can run.

use crate::bench::report::ScenarioReport;
use crate::bench::{doubled_order, flood, late_loads, load_bound, ranks, reuse};

/// A scenario of `hawthorn-bench`.
#[derive(Clone, Copy)]
pub struct BenchScenario {
    /// Name on the command line and in the report.
    pub name: &'static str,
    /// Description that `hawthorn-bench list` prints.
    pub about: &'static str,
    /// Runs the scenario with a seed.
    pub run: fn(u64) -> ScenarioReport,
}

/// All scenarios, in the order in which they are listed.
pub const SCENARIOS: &[BenchScenario] = &[
    BenchScenario {
        name: "doubled-order",
        about: "repeated delivery of orders while routers crash and drain",
        run: doubled_order::run,
    },
    BenchScenario {
        name: "ranks",
        about: "latency by rank at 90% and 130% of capacity",
        run: ranks::run,
    },
    BenchScenario {
        name: "flood-long",
        about: "requests of rank long at ten times the capacity",
        run: flood::run_long,
    },
    BenchScenario {
        name: "flood-quick",
        about: "requests of rank quick at ten times the capacity",
        run: flood::run_quick,
    },
    BenchScenario {
        name: "load-bound",
        about: "highest ratio of engine load to mean load at admission",
        run: load_bound::run,
    },
    BenchScenario {
        name: "reuse",
        about: "prefix reuse under churn and skew, and the control traffic for it",
        run: reuse::run,
    },
    BenchScenario {
        name: "late-loads",
        about: "placement of prompts by 27 routers that receive load reports late",
        run: late_loads::run,
    },
];

/// Returns the scenario with this name.
pub fn find(name: &str) -> Option<&'static BenchScenario> {
    SCENARIOS.iter().find(|scenario| scenario.name == name)
}
