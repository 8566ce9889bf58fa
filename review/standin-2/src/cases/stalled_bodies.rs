//! Clients that send a body in small chunks, stop short of the last one and stay, more than a machine
//! takes connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::{Clients, LOOKUP, PLAN_MS, plain_answer, short_stream};
use crate::Verdict;
use crate::client::{TryEnd, new_id, request_head};
use crate::fleet::Fleet;
use crate::record::Record;

/// Clients outside the limits, above the 1,560 connections for which the machine has room.
const CROWD: usize = 1700;

/// Ordinary clients that try all the time; the rule asks for seven or more.
const ORDINARY: usize = 8;

/// Chunks of a body before the last one, and their size.
const CHUNKS: usize = 100;
const CHUNK_BYTES: usize = 10;

const LAST_CHUNK: &str = "0\r\n\r\n";

/// `ContactMs` of the deployment.
const CONTACT: Duration = Duration::from_secs(3);

const BEFORE: Duration = Duration::from_secs(3);
const ATTACK: Duration = Duration::from_secs(25);

/// Plays some members of the crowd: each connects, sends its request, and comes again when the
/// machine has closed its connection.
fn play_crowd(front: SocketAddr, size: usize, has_trouble: bool, ends: &AtomicBool) {
    let mut members: Vec<Option<TcpStream>> = (0..size).map(|_| None).collect();
    let mut part = [0; 4096];
    while !ends.load(Ordering::Relaxed) {
        for member in &mut members {
            let is_open = member.as_mut().is_some_and(|socket| {
                loop {
                    match socket.read(&mut part) {
                        Ok(0) => break false,
                        Ok(_) => {}
                        Err(error) => break error.kind() == ErrorKind::WouldBlock,
                    }
                }
            });
            if !is_open {
                *member = enter(front, has_trouble);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn enter(front: SocketAddr, has_trouble: bool) -> Option<TcpStream> {
    let mut socket = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    let head = request_head("POST", "/plan/1", &new_id(), PLAN_MS);
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "b".repeat(CHUNK_BYTES));
    let chunks = chunk.repeat(CHUNKS);
    let last = if has_trouble { "" } else { LAST_CHUNK };
    let text = format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}{last}");
    socket.write_all(text.as_bytes()).ok()?;
    socket.set_nonblocking(true).ok()?;
    Some(socket)
}

pub fn run(record: &mut Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let fleet = Fleet::start()?;
    super::start_servers(&fleet, &plain_answer(), 18, &short_stream())?;
    let mut routers = fleet.start_routers(4)?;
    let router = &routers[0];
    let clients = Clients::new();
    for _ in 0..ORDINARY {
        clients.add(
            router,
            LOOKUP,
            Duration::from_millis(100),
            record.start_time(),
        );
    }
    record.line(format!(
        "machine {} has MemoryMb {} and MaxFds {}; {ORDINARY} ordinary clients try all the time, each try on a new connection",
        router.ip, router.machine.memory_mb, router.machine.max_fds
    ));
    thread::sleep(BEFORE);
    let crowd = Arc::new(AtomicBool::new(false));
    for _ in 0..10 {
        let (ends, front) = (Arc::clone(&crowd), router.front());
        thread::spawn(move || play_crowd(front, CROWD / 10, has_trouble, &ends));
    }
    let last = if has_trouble { "without" } else { "with" };
    record.line(format!(
        "{CROWD} clients connect, each sends a POST in {CHUNKS} chunks of {CHUNK_BYTES} bytes {last} the last one, and stays"
    ));
    let began = record.now();
    let mut unready = Vec::new();
    while record.now() < began + ATTACK {
        if !router.is_ready() {
            unready.push(record.now());
        }
        thread::sleep(Duration::from_millis(250));
    }
    let resident = router.resident();
    crowd.store(true, Ordering::Relaxed);
    let end = record.now();
    let tries = clients.tries.all();
    drop(clients);
    let mut longest = (Duration::ZERO, Duration::ZERO);
    let mut last = Duration::ZERO;
    let taken = tries.iter().filter(|record| record.end != TryEnd::NotTaken);
    for at in taken.map(|record| record.at).chain([end]) {
        if at.saturating_sub(last) > longest.1 {
            longest = (last, at.saturating_sub(last));
        }
        last = at;
    }
    for second in 0..end.as_secs() {
        let of_second = tries.iter().filter(|record| record.at.as_secs() == second);
        let ends: Vec<TryEnd> = of_second.map(|record| record.end).collect();
        let not = ends.iter().filter(|&&end| end == TryEnd::NotTaken).count();
        record.line(format!(
            "second {second}: {} tries of ordinary clients taken, {not} closed unread or refused",
            ends.len() - not
        ));
    }
    let is_ready = !unready
        .iter()
        .any(|&at| at >= longest.0 && at <= longest.0 + longest.1);
    record.line(format!(
        "resident memory {} MB; readiness was denied {} times; processes ended: {:?}",
        resident >> 20,
        unready.len(),
        routers
            .iter_mut()
            .map(|router| router.exit_code())
            .collect::<Vec<_>>()
    ));
    record.line(format!(
        "longest time without a connection taken: {:.1} s, from {:.1} s on; said to be ready meanwhile: {is_ready}",
        longest.1.as_secs_f64(),
        longest.0.as_secs_f64()
    ));
    Ok(if longest.1 > CONTACT && is_ready {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
