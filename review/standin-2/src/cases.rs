//! The cases, one file each.

pub mod early_discard;
pub mod identity_framing;
pub mod limit_of_zero;
pub mod stalled_bodies;
pub mod tenant_name;
pub mod unread_requests;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Tries, TryEnd, TryRecord, new_id, request, send_once};
use crate::fleet::{Fleet, Router};
use crate::record::Record;
use crate::server::{Behaviour, ServedRequest, Server, write_events};

/// Time budgets of the clients, by the sheet of the deployment.
const PLAN_MS: u64 = 12_000;
const ORDER_MS: u64 = 1_500;

/// A kind of request that ordinary clients send.
#[derive(Clone, Copy, Debug)]
struct Ordinary {
    method: &'static str,
    path: &'static str,
    time_ms: u64,
}

const PLAN: Ordinary = Ordinary {
    method: "POST",
    path: "/plan/1",
    time_ms: PLAN_MS,
};

const ORDER: Ordinary = Ordinary {
    method: "POST",
    path: "/order/1",
    time_ms: ORDER_MS,
};

const LOOKUP: Ordinary = Ordinary {
    method: "GET",
    path: "/lookup/1",
    time_ms: ORDER_MS,
};

/// Clients that send one request after another, each on a new connection, until they are dropped.
struct Clients {
    tries: Arc<Tries>,
    ends: Arc<AtomicBool>,
}

impl Clients {
    fn new() -> Self {
        Self {
            tries: Arc::default(),
            ends: Arc::default(),
        }
    }

    /// Adds a client of a machine.
    fn add(&self, router: &Router, ordinary: Ordinary, pause: Duration, start: Instant) {
        let (tries, ends, front) = (
            Arc::clone(&self.tries),
            Arc::clone(&self.ends),
            router.front(),
        );
        thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                let at = start.elapsed();
                let body: &[u8] = if ordinary.method == "GET" {
                    b""
                } else {
                    b"one"
                };
                let id = new_id();
                let bytes = request(ordinary.method, ordinary.path, &id, ordinary.time_ms, body);
                let end = send_once(front, &bytes, Duration::from_millis(ordinary.time_ms));
                tries.push(TryRecord { at, end });
                thread::sleep(pause);
            }
        });
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
    }
}

/// `RecoveryS` of the deployment, and the time after it that is judged.
const RECOVERY: Duration = Duration::from_secs(12);
const JUDGED: Duration = Duration::from_secs(15);

/// The share that is to be served again after a final fault.
const SERVED_SHARE: f64 = 0.25;

/// Time for which processes that are killed are down.
const DOWN: Duration = Duration::from_secs(1);

/// The answer of a sound plain server.
fn plain_answer() -> Arc<Behaviour> {
    Arc::new(|request: &ServedRequest, socket: &mut TcpStream| {
        socket.write_all(&request.answer(200, "", "done")).is_ok()
    })
}

/// The stream of a sound engine.
fn short_stream() -> Arc<Behaviour> {
    Arc::new(|request: &ServedRequest, socket: &mut TcpStream| {
        write_events(request, socket, 3, Duration::from_millis(20))
    })
}

/// Starts three servers and `engines` engines, and registers them.
fn start_servers(
    fleet: &Fleet,
    answer: &Arc<Behaviour>,
    engines: usize,
    stream: &Arc<Behaviour>,
) -> std::io::Result<Vec<Server>> {
    let mut servers = Vec::new();
    for number in 1..=3 {
        let server = Server::start(fleet.server_ip(), Arc::clone(answer))?;
        fleet.register(&format!("i-shop-{number}"), "comptoir", 6, "ready", &server);
        servers.push(server);
    }
    for number in 1..=engines {
        let engine = Server::start(fleet.server_ip(), Arc::clone(stream))?;
        fleet.register(&format!("i-llm-{number}"), "conteur", 64, "ready", &engine);
        servers.push(engine);
    }
    Ok(servers)
}

/// Kills all processes and starts them again.
fn kill_all(record: &mut Record, fleet: &Fleet, routers: &mut [Router]) -> std::io::Result<()> {
    routers.iter_mut().for_each(Router::kill);
    record.line("all processes are killed");
    thread::sleep(DOWN);
    for (index, router) in routers.iter_mut().enumerate() {
        *router = fleet.start_router(index)?;
    }
    record.line("all processes are started again");
    Ok(())
}

/// Judges RECOVER: the requests sent before `fault` and those sent later than `RecoveryS` after
/// `back`, when the processes were started again. Returns after the time that is judged.
fn judge_recovery(
    record: &mut Record,
    clients: &Clients,
    routers: &[Router],
    fault: Duration,
    back: Duration,
) -> Verdict {
    let (due, end) = (back + RECOVERY, back + RECOVERY + JUDGED);
    while record.now() < end {
        thread::sleep(Duration::from_secs(3));
        let ready: Vec<bool> = routers.iter().map(Router::is_ready).collect();
        record.line(format!("machines that say they are ready: {ready:?}"));
    }
    let tries = clients.tries.all();
    let served = |from: Duration, until: Duration| {
        let sent = tries
            .iter()
            .filter(|record| record.at >= from && record.at < until);
        let sent: Vec<TryEnd> = sent.map(|record| record.end).collect();
        let served = sent
            .iter()
            .filter(|&&end| end == TryEnd::Status(200))
            .count();
        (served, sent.len(), served as f64 / sent.len().max(1) as f64)
    };
    let (before, after) = (served(Duration::ZERO, fault), served(due, end));
    record.line(format!(
        "before the fault {} of {} requests were served; later than 12 s after the start {} of {}",
        before.0, before.1, after.0, after.1
    ));
    if before.2 >= SERVED_SHARE && after.2 < SERVED_SHARE {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
