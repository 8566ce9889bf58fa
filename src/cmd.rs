//! What the binaries share: the log, the runtime, exit codes.

mod admin_call;
pub mod capacity;
pub mod check;
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

/// Exit code after a panic.
const EXIT_PANIC: i32 = 1;

/// Prints an error and turns the result into an exit code: 0, 1 (failed) or 2 (usage).
pub fn exit_code(result: RouterResult<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs a service in an ntex system of its own, with logs on standard error.
pub fn run_in_system<F>(name: &str, body: F) -> RouterResult<()>
where
    F: AsyncFnOnce() -> RouterResult<()> + 'static,
{
    log::init(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Info));
    exit_on_panic();
    System::new(name, DefaultRuntime).block_on(body())
}

/// Ends the process when any of its threads panics: a router without its control thread would take
/// requests and never answer.
pub fn exit_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        spdlog::critical!("panic", kv: { place: = info });
        std::process::exit(EXIT_PANIC);
    }));
}

/// The settings file of a service, or none after its version was printed.
pub fn settings_or_version(
    version: bool,
    settings: Option<PathBuf>,
) -> RouterResult<Option<PathBuf>> {
    if version {
        println!("{}", env!("CARGO_PKG_VERSION"));
        return Ok(None);
    }
    let missing = || RouterError::Usage("name a settings file; see --help".to_owned());
    settings.map(Some).ok_or_else(missing)
}
