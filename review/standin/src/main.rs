//! Runs one case of the review: `review-standin CASE ROOT RECORD`.
//!
//! The exit status is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment, the case runs without its disruption.

mod cases;
mod client;
mod engine;
mod fleet;
mod http;
mod record;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use std::{env, fs, panic, process, thread};

use crate::record::Record;

/// Time after which a run is given up.
const LONGEST_RUN: Duration = Duration::from_secs(110);

/// What a case gets from the command line.
pub struct Setup {
    /// The program under test.
    pub program: PathBuf,
    /// Folder for settings files and logs.
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let [case, root, record] = args.as_slice() else {
        eprintln!("usage: review-standin CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let program = fleet::program(Path::new(root));
    let folder = env::temp_dir().join(format!("review-{}", std::process::id()));
    if !program.exists() || fs::create_dir_all(&folder).is_err() {
        eprintln!("{} or a temporary folder is missing", program.display());
        return ExitCode::from(2);
    }
    let setup = Setup {
        program,
        folder: folder.clone(),
        record: Record::create(Path::new(record)),
        trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let run = match case.as_str() {
        "cut-watch" => cases::cut_watch::run,
        "large-bodies" => cases::large_bodies::run,
        "stalled-engines" => cases::stalled_engines::run,
        "endless-events" => cases::endless_events::run,
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(LONGEST_RUN);
        eprintln!("the run takes too long");
        fleet::kill_all();
        process::exit(2);
    });
    let result = panic::catch_unwind(panic::AssertUnwindSafe(|| run(&setup)));
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&folder);
    } else {
        println!("{}", folder.display());
    }
    match result {
        Ok(true) => {
            setup.record.summary("rule broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            setup.record.summary("rule held");
            ExitCode::SUCCESS
        }
        Err(_) => ExitCode::from(2),
    }
}
