//! Command line for operators.

use std::process::ExitCode;

use hawthornrouter::cmd::{self, exit_code};
use hawthornrouter::error::RouterResult;

fn main() -> ExitCode {
    exit_code(run())
}

fn run() -> RouterResult<()> {
    cmd::ctl::dispatch()
}
