//! Runs experiments with the decision code in simulated time.

use std::process::ExitCode;

use hawthornrouter::bench::scenario::{SCENARIOS, find};
use hawthornrouter::cmd::exit_code;
use hawthornrouter::error::{RouterError, RouterResult};

xflags::xflags! {
    /// Runs experiments with the decision code in simulated time.
    cmd hawthorn-bench {
        /// Print the version.
        optional --version
        /// Measure the costs of the decision code and print the capacity table.
        cmd capacity {}
        /// List the scenarios of `run`.
        cmd list {}
        /// Run a scenario; prints one line of JSON and exits with 0 only if all bounds hold.
        cmd run {
            /// Name of the scenario.
            required name: String
            /// Seed of the random numbers (default 1).
            optional --seed seed: u64
        }
    }
}

fn main() -> ExitCode {
    exit_code(run())
}

fn run() -> RouterResult<()> {
    let flags = HawthornBench::from_env_or_exit();
    match flags.subcommand {
        HawthornBenchCmd::List(_) => {
            for scenario in SCENARIOS {
                println!("{:<14} {}", scenario.name, scenario.about);
            }
            Ok(())
        }
        HawthornBenchCmd::Capacity(_) => {
            hawthornrouter::cmd::capacity::run();
            Ok(())
        }
        HawthornBenchCmd::Run(args) => run_scenario(&args.name, args.seed.unwrap_or(1)),
    }
}

fn run_scenario(name: &str, seed: u64) -> RouterResult<()> {
    let unknown = || RouterError::Usage(format!("unknown scenario {name}; see list"));
    let scenario = find(name).ok_or_else(unknown)?;
    let report = (scenario.run)(seed);
    println!("{}", serde_json::to_string(&report).unwrap_or_default());
    if report.holds() {
        return Ok(());
    }
    let violated = report.bounds.iter().filter(|bound| !bound.holds);
    let names: Vec<&str> = violated.map(|bound| bound.figure.as_str()).collect();
    Err(RouterError::Failed(format!(
        "bounds violated: {}",
        names.join(", ")
    )))
}
