//! Cases of the second review, each of which starts the system's own processes beside stand-ins of
//! the store, the servers and the clients, and judges one rule.
//!
//! `review-cases CASE FOLDER`, from the root of the repository, writes `FOLDER/record.txt`. Exit
//! codes: 0, the rule held; 1, it was broken; 2, the case could not run. `TROUBLE=0` leaves the
//! disruption out.

mod cases;
mod client;
mod fleet;
mod record;
mod server;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::record::Record;

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a case found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = args.as_slice() else {
        eprintln!("usage: review-cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = Record::start(case, has_trouble);
    let result = match case.as_str() {
        "stalled-bodies" => cases::stalled_bodies::run(&mut record, has_trouble),
        "unread-requests" => cases::unread_requests::run(&mut record, has_trouble),
        "limit-of-zero" => cases::limit_of_zero::run(&mut record, has_trouble),
        "identity-framing" => cases::identity_framing::run(&mut record, has_trouble),
        "early-discard" => cases::early_discard::run(&mut record, has_trouble),
        "tenant-name" => cases::tenant_name::run(&mut record, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let code = match &result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    };
    record.end(&result);
    if let Err(error) = record.write(Path::new(folder)) {
        eprintln!("record.txt: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
