//! Cases of the review: `review-case CASE FOLDER` writes `record.txt` to the folder. Exits with 1 if the
//! rule was broken, 0 if it held, 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod client;
mod dark_router;
mod engine;
mod frozen_router;
mod hidden_order;
mod http;
mod killed_routers;
mod link;
mod record;
mod router;
mod single_version;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// No case runs for longer.
const LONGEST_TIME: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: review-case CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_disrupted = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(folder);
    thread::spawn(|| {
        thread::sleep(LONGEST_TIME);
        router::kill_all();
        std::process::exit(2);
    });
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "dark-router" => dark_router::play(&folder, is_disrupted),
        "frozen-router" => frozen_router::play(&folder, is_disrupted),
        "hidden-order" => hidden_order::play(&folder, is_disrupted),
        "single-version" => single_version::play(&folder, is_disrupted),
        "killed-routers" => killed_routers::play(&folder, is_disrupted),
        _ => None,
    });
    match result {
        Ok(Some(true)) => ExitCode::from(1),
        Ok(Some(false)) => ExitCode::SUCCESS,
        Ok(None) | Err(_) => ExitCode::from(2),
    }
}
