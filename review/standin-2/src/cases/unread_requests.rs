//! Clients that send a further request of legal size behind one that is at work, on as many
//! connections as a machine takes.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::{Clients, LOOKUP, PLAN_MS, plain_answer};
use crate::Verdict;
use crate::client::{TryEnd, new_id, request};
use crate::fleet::{Fleet, Router};
use crate::record::Record;
use crate::server::{Behaviour, ServedRequest, write_events};

/// Clients outside the limits, above the 1,560 connections for which the machine has room.
const CROWD: usize = 1700;

/// Body of the further request; the configuration allows 4,194,304 bytes.
const BODY_BYTES: usize = 400_000;

/// Body of the request that is at work; plans have 12,000 bytes on average and 72,000 at most.
const PLAN_BYTES: usize = 30_000;

/// Time for which a crowd plays at most.
const CROWD_TIME: Duration = Duration::from_secs(10);

/// Time after which the platform starts a process that has ended.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// The day fails if on a tenth of the machines, two at least, processes end by themselves three times;
/// memory over the limit counts.
const FAULTY_MACHINES: usize = 2;
const FAULTY_ENDS: usize = 3;

/// A connection of the crowd and what it has to send yet.
struct Member {
    socket: TcpStream,
    rest: Vec<u8>,
}

impl Member {
    fn enter(front: std::net::SocketAddr, has_trouble: bool) -> Option<Self> {
        let socket = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
        socket.set_nonblocking(true).ok()?;
        let body = vec![b'b'; BODY_BYTES];
        let plan = &body[..PLAN_BYTES];
        let mut rest = request("POST", "/plan/1", &new_id(), PLAN_MS, plan);
        if has_trouble {
            rest.extend(request("POST", "/plan/1", &new_id(), PLAN_MS, &body));
        }
        Some(Self { socket, rest })
    }

    /// Sends and reads what goes without a wait.
    fn play(&mut self) {
        if !self.rest.is_empty() {
            let end = self.rest.len().min(64 << 10);
            match self.socket.write(&self.rest[..end]) {
                Ok(count) => drop(self.rest.drain(..count)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => self.rest.clear(),
            }
        }
        let mut part = [0; 4096];
        while self.socket.read(&mut part).is_ok_and(|count| count > 0) {}
    }
}

/// Plays a crowd at one machine. Returns whether its process took more memory than the machine has,
/// for which the platform kills it, and the most that it took.
fn play_crowd(record: &mut Record, router: &mut Router, has_trouble: bool) -> (bool, u64) {
    let (limit, front) = (router.machine.memory_mb << 20, router.front());
    let mut members: Vec<Member> = Vec::new();
    let mut peak = 0;
    let (end, mut next_line) = (record.now() + CROWD_TIME, Duration::ZERO);
    while record.now() < end {
        let missing = (CROWD - members.len()).min(40);
        members.extend((0..missing).filter_map(|_| Member::enter(front, has_trouble)));
        members.iter_mut().for_each(Member::play);
        let (resident, unread) = (router.resident(), router.unread());
        peak = peak.max(resident + unread);
        if record.now() >= next_line || peak > limit {
            next_line = record.now() + Duration::from_secs(1);
            record.line(format!(
                "{} connections: resident {} MB, received and not read {} MB, together {} MB",
                members.len(),
                resident >> 20,
                unread >> 20,
                (resident + unread) >> 20
            ));
        }
        if peak > limit {
            router.kill();
            record.line("more than MemoryMb: the platform kills the process");
            return (true, peak);
        }
        thread::sleep(Duration::from_millis(20));
    }
    (false, peak)
}

pub fn run(record: &mut Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let fleet = Fleet::start()?;
    let stream: Arc<Behaviour> = Arc::new(|request: &ServedRequest, socket: &mut TcpStream| {
        write_events(request, socket, 55, Duration::from_millis(200))
    });
    super::start_servers(&fleet, &plain_answer(), 18, &stream)?;
    let mut routers = fleet.start_routers(4)?;
    let mut ends = vec![0; routers.len()];
    for index in 0..FAULTY_MACHINES {
        record.line(format!(
            "machine {} has MemoryMb {} and MaxFds {}; {CROWD} clients send a plan of {PLAN_BYTES} bytes that has 55 events{}",
            routers[index].ip,
            routers[index].machine.memory_mb,
            routers[index].machine.max_fds,
            if has_trouble {
                ", and behind it on the same connection a request of 400,000 bytes"
            } else {
                ""
            }
        ));
        let clients = Clients::new();
        for _ in 0..8 {
            let pause = Duration::from_millis(100);
            clients.add(&routers[index], LOOKUP, pause, record.start_time());
        }
        let mut peak = 0;
        for _ in 0..FAULTY_ENDS {
            let (is_killed, most) = play_crowd(record, &mut routers[index], has_trouble);
            peak = peak.max(most);
            if !is_killed {
                break;
            }
            ends[index] += 1;
            thread::sleep(RESTART_DELAY);
            routers[index] = fleet.start_router(index)?;
            fleet.await_ready(&routers[index..=index])?;
            record.line(format!(
                "the platform has started machine {} again",
                routers[index].ip
            ));
        }
        let tries = clients.tries.all();
        drop(clients);
        let answered = tries
            .iter()
            .filter(|record| record.end == TryEnd::Status(200));
        record.line(format!(
            "ordinary clients of that machine: {} tries, {} answered with 200; at the most {} MB",
            tries.len(),
            answered.count(),
            peak >> 20
        ));
    }
    record.line(format!(
        "ends of processes, by machine, with no disruption there: {ends:?}"
    ));
    let faulty = ends.iter().filter(|&&ends| ends >= FAULTY_ENDS).count();
    Ok(if faulty >= FAULTY_MACHINES {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
