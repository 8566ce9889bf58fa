//! Code that the binaries share (log, runtime, exit codes), and the commands of `hawthornctl` and
//! `hawthorn-bench`.

mod admin_call;
pub mod capacity;
pub mod check;
mod choice;
pub mod ctl;
mod diff;
mod drain;
mod explain;
mod pack;
pub mod status;
pub mod trace;

use std::path::PathBuf;
use std::process::ExitCode;

use ntex::rt::{DefaultRuntime, System};

use crate::error::{RouterError, RouterResult};
use crate::log;

const PANIC_EXIT_CODE: i32 = 1;

/// Prints the error, if any, and returns the exit code: 0 for success, 1 for a failure or 2 for
/// wrong usage.
pub fn exit_code(result: RouterResult<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs `body` to its end in a new ntex system called `name`. Logs go to standard error, and a panic
/// of any thread ends the process.
pub fn run_in_system<F>(name: &str, body: F) -> RouterResult<()>
where
    F: AsyncFnOnce() -> RouterResult<()> + 'static,
{
    log::init(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Info));
    exit_on_panic();
    System::new(name, DefaultRuntime).block_on(body())
}

/// Installs a panic hook that exits the process when any thread panics. A router whose control
/// thread is gone would accept requests and never respond.
pub fn exit_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        spdlog::critical!("panic", kv: { place: = info });
        std::process::exit(PANIC_EXIT_CODE);
    }));
}

/// Returns the path of the settings file, or prints the version and returns `None` if `version` is
/// set.
pub fn settings_or_version(
    version: bool,
    settings: Option<PathBuf>,
) -> RouterResult<Option<PathBuf>> {
    if version {
        println!("{}", env!("CARGO_PKG_VERSION"));
        return Ok(None);
    }
    let missing = || RouterError::Usage("missing settings file; see --help".to_owned());
    settings.map(Some).ok_or_else(missing)
}
