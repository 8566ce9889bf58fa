//! A configuration adds a tenant whose name has spaces; then all processes are killed.

use std::thread;
use std::time::Duration;

use super::{Clients, LOOKUP, ORDER, PLAN, judge_recovery, kill_all, plain_answer, short_stream};
use crate::Verdict;
use crate::fleet::{CONFIG, Fleet};
use crate::record::Record;

const BEFORE: Duration = Duration::from_secs(5);

/// Time from the ack of the configuration to the kill.
const KILL_DELAY: Duration = Duration::from_millis(200);

pub fn run(record: &mut Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let fleet = Fleet::start()?;
    super::start_servers(&fleet, &plain_answer(), 3, &short_stream())?;
    let mut routers = fleet.start_routers(4)?;
    let clients = Clients::new();
    for router in &routers {
        for ordinary in [PLAN, ORDER, LOOKUP] {
            let pause = Duration::from_millis(100);
            clients.add(router, ordinary, pause, record.start_time());
        }
    }
    thread::sleep(BEFORE);
    let name = if has_trouble {
        "Lucky Dip Fes"
    } else {
        "lucky-dip-fes"
    };
    let tenant = format!(r#"{{"Name":"{name}","ApiKeys":["key-of-fes"],"Priority":1}}]}}"#);
    let config = CONFIG.replace(r#""Version":7"#, r#""Version":9"#);
    let config = config.trim_end_matches("]}").to_owned() + "," + &tenant;
    fleet.store.put("op/config", &config);
    let fault = record.now();
    record.line(format!(
        "the store has accepted version 9, which adds the tenant {name:?} and changes nothing else"
    ));
    thread::sleep(KILL_DELAY);
    kill_all(record, &fleet, &mut routers)?;
    let back = record.now();
    Ok(judge_recovery(record, &clients, &routers, fault, back))
}
