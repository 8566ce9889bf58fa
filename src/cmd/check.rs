//! `hawthornctl check FILE…`: checks settings, registers and rules without starting anything.

use std::path::{Path, PathBuf};

use crate::config;
use crate::error::{RouterError, RouterResult};

/// Keys that tell what a document is.
const REGISTER_KEY: &str = "data_centers:";
const RULES_KEY: &str = "load_multiple:";
const LOCATOR_KEY: &str = "listen:";

/// Checks every file and reports every fault.
pub fn run(files: &[PathBuf]) -> RouterResult<()> {
    check_each(files, check_file)
}

/// Checks every file with `check`, which tells what it is, and reports every fault.
pub fn check_each<F>(files: &[PathBuf], check: F) -> RouterResult<()>
where
    F: Fn(&Path) -> RouterResult<&'static str>,
{
    if files.is_empty() {
        return Err(RouterError::Usage("name at least one file".to_owned()));
    }
    let mut faults = 0;
    for file in files {
        match check(file) {
            Ok(kind) => println!("{}: {kind} ok", file.display()),
            Err(error) => {
                faults += 1;
                eprintln!("{error}");
            }
        }
    }
    if faults == 0 {
        return Ok(());
    }
    Err(RouterError::Failed(format!(
        "{faults} of {} files have faults",
        files.len()
    )))
}

fn check_file(file: &Path) -> RouterResult<&'static str> {
    let text = config::read_text(file)?;
    let has = |key: &str| text.lines().any(|line| line.starts_with(key));
    if has(REGISTER_KEY) {
        config::open_register(file).map(|_| "register")
    } else if has(RULES_KEY) {
        config::open_rules(file).map(|_| "rules")
    } else if has(LOCATOR_KEY) {
        config::open_locator_settings(file).map(|_| "locator settings")
    } else {
        config::open_router_settings(file).map(|_| "router settings")
    }
}
