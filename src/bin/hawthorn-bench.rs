//! Runs experiments over the decision code on virtual time.

use std::process::ExitCode;

use hawthornrouter::bench::scenario::{SCENARIOS, find};
use hawthornrouter::cmd::exit_code;
use hawthornrouter::error::{RouterError, RouterResult};

xflags::xflags! {
    /// Runs experiments over the decision code on virtual time.
    cmd hawthorn-bench {
        /// Print the version.
        optional --version
        /// Work out what a daemon costs from slopes measured now.
        cmd capacity {}
        /// List the scenarios.
        cmd list {}
        /// Run a scenario; prints one line of JSON and exits 0 only where all bounds hold.
        cmd run {
            /// Name of the scenario.
            required name: String
            /// Seed that draws the run.
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
    let unknown = || RouterError::Usage(format!("no scenario is called {name}; see list"));
    let scenario = find(name).ok_or_else(unknown)?;
    let report = (scenario.run)(seed);
    println!("{}", serde_json::to_string(&report).unwrap_or_default());
    if report.holds() {
        return Ok(());
    }
    let broken = report.bounds.iter().filter(|bound| !bound.holds);
    let names: Vec<&str> = broken.map(|bound| bound.figure.as_str()).collect();
    Err(RouterError::Failed(format!(
        "bounds do not hold: {}",
        names.join(", ")
    )))
}
