//! Carries callers' requests to engines and services.

use std::path::PathBuf;
use std::process::ExitCode;

use hawthornrouter::cmd::{exit_code, run_in_system};
use hawthornrouter::config::open_router_settings;
use hawthornrouter::error::RouterResult;
use hawthornrouter::router::run_router;

xflags::xflags! {
    /// Carries callers' requests to engines and services.
    cmd hawthorn-router {
        /// Settings file (YAML).
        optional settings: PathBuf
        /// Print the version.
        optional --version
    }
}

fn main() -> ExitCode {
    exit_code(run())
}

fn run() -> RouterResult<()> {
    let args = HawthornRouter::from_env_or_exit();
    let Some(path) = hawthornrouter::cmd::settings_or_version(args.version, args.settings)? else {
        return Ok(());
    };
    let settings = open_router_settings(&path)?;
    run_in_system("router", async move || run_router(settings).await)
}
