//! All processes are killed, and the servers, pressed by the clients that come back, name a limit of no
//! requests for two seconds.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::{Clients, LOOKUP, ORDER, PLAN, judge_recovery, kill_all};
use crate::Verdict;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::server::{Behaviour, ServedRequest, Server};

const BEFORE: Duration = Duration::from_secs(5);

/// How long the servers are in need, from the start of the processes on.
const NEED: Duration = Duration::from_secs(2);

const EVENT: &str = "id: 0\ndata: done\n\n";

pub fn run(record: &mut Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let fleet = Fleet::start()?;
    let in_need = Arc::new(AtomicBool::new(false));
    let answer = |body: &'static str| -> Arc<Behaviour> {
        let in_need = Arc::clone(&in_need);
        Arc::new(move |request: &ServedRequest, socket: &mut TcpStream| {
            let more = if in_need.load(Ordering::Relaxed) {
                "Server-Limit: 0\r\n"
            } else {
                ""
            };
            socket.write_all(&request.answer(200, more, body)).is_ok()
        })
    };
    let servers = super::start_servers(&fleet, &answer("done"), 6, &answer(EVENT))?;
    let mut routers = fleet.start_routers(4)?;
    let clients = Clients::new();
    for router in &routers {
        for ordinary in [PLAN, ORDER, LOOKUP] {
            let pause = Duration::from_millis(100);
            clients.add(router, ordinary, pause, record.start_time());
        }
    }
    thread::sleep(BEFORE);
    let runs = || servers.iter().map(Server::run_count).collect::<Vec<_>>();
    record.line(format!(
        "runs of the three servers and the six engines: {:?}",
        runs()
    ));
    let fault = record.now();
    if has_trouble {
        in_need.store(true, Ordering::Relaxed);
    }
    kill_all(record, &fleet, &mut routers)?;
    let back = record.now();
    if has_trouble {
        record.line("the servers and engines say Server-Limit: 0 in all their answers");
    }
    thread::sleep(NEED);
    in_need.store(false, Ordering::Relaxed);
    record.line(format!(
        "runs {:?}; they say nothing of a limit any more",
        runs()
    ));
    let verdict = judge_recovery(record, &clients, &routers, fault, back);
    record.line(format!("runs {:?}", runs()));
    Ok(verdict)
}
