//! Serves callers the entry address of the router to use.

use std::path::PathBuf;
use std::process::ExitCode;

use hawthornrouter::cmd::{exit_code, run_in_system};
use hawthornrouter::config::open_locator_settings;
use hawthornrouter::error::RouterResult;
use hawthornrouter::locator::serve_locator;
use hawthornrouter::router::wait_for_signal;

xflags::xflags! {
    /// Serves callers the entry address of the router to use.
    cmd hawthorn-locator {
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
    let args = HawthornLocator::from_env_or_exit();
    let Some(path) = hawthornrouter::cmd::settings_or_version(args.version, args.settings)? else {
        return Ok(());
    };
    let settings = open_locator_settings(&path)?;
    run_in_system("locator", async move || {
        let server = serve_locator(settings)?;
        wait_for_signal().await;
        server.stop(true).await;
        Ok(())
    })
}
