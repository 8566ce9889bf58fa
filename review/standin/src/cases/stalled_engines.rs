//! Sound engines whose batches pause for 700 ms now and then, less than the 800 ms that the sheet
//! allows between two events. Two of four processes get SIGHUP again and again, after a small change
//! of their settings files.

use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use std::{io, net::SocketAddr};

use crate::Setup;
use crate::client::{Outcome, exchange, request_text};
use crate::engine::{Engine, Next, success_head};
use crate::fleet::{CONFIG, address, start_fleet, zone};
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

const ENGINES: u8 = 18;

/// The engines of a zone pause together.
const ZONES: u8 = 3;

/// Each engine pauses once in this time, for `PAUSE`.
const CYCLE: Duration = Duration::from_millis(1400);
const PAUSE: Duration = Duration::from_millis(700);

/// Length of the traffic, and the time between two signals in it.
const LENGTH: Duration = Duration::from_secs(25);
const SIGNAL_GAP: Duration = Duration::from_millis(2000);

/// Number of processes that get the signals: a share of 0.5.
const SIGNALLED: usize = 2;

/// Requests sent up to `ConfigApplyMs` after a SIGHUP count, if they are cut after it.
const APPLY: Duration = Duration::from_millis(2000);

/// A kind of request of the sheet.
#[derive(Clone, Copy)]
struct Kind {
    name: &'static str,
    per_s: f64,
    events: u32,
    gap: Duration,
    budget: Duration,
}

/// Rates and numbers of events as on the sheet. `label` has a route of its own.
const KINDS: [Kind; 3] = [
    Kind {
        name: "plan",
        per_s: 21.4,
        events: 55,
        gap: Duration::from_millis(60),
        budget: Duration::from_secs(12),
    },
    Kind {
        name: "note",
        per_s: 38.2,
        events: 42,
        gap: Duration::from_millis(20),
        budget: Duration::from_secs(10),
    },
    Kind {
        name: "label",
        per_s: 32.8,
        events: 3,
        gap: Duration::from_millis(20),
        budget: Duration::from_secs(3),
    },
];

const LABEL_ROUTE: &str = concat!(
    "{\"Name\":\"r-label\",\"Host\":\"ficu95.example\",\"Prefix\":\"/label/\",",
    "\"Kind\":\"streaming\",\"TimeoutMs\":3000,\"TargetLatencyMs\":800,\"Priority\":1,",
    "\"Service\":\"conteur\",\"MaxAttempts\":2,\"Public\":false,\"SessionAffinity\":true,",
    "\"StreamResume\":true,\"GapTargetMs\":800},"
);

/// The pauses of one engine.
#[derive(Clone, Copy)]
struct Pauses {
    start: Instant,
    phase: Duration,
    is_on: bool,
}

impl Pauses {
    /// Waits while the engine pauses.
    fn wait(self) {
        let into = (self.start.elapsed() + self.phase).as_millis() % CYCLE.as_millis();
        let left = PAUSE.as_millis().saturating_sub(into);
        if self.is_on && left > 0 {
            thread::sleep(Duration::from_millis(left as u64));
        }
    }
}

/// Sends the events after the one that the client has.
fn answer(request: &Message, socket: &mut TcpStream, pauses: Pauses) -> io::Result<()> {
    let kind = KINDS
        .iter()
        .find(|kind| request.id().starts_with(kind.name));
    let kind = kind.expect("a kind of request");
    let last = request.header("Last-Event-Id");
    let first = last
        .and_then(|last| last.parse().ok())
        .map_or(0, |last: u32| last + 1);
    pauses.wait();
    let head = success_head(request);
    let head =
        format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    socket.write_all(head.as_bytes())?;
    for number in first..kind.events {
        thread::sleep(kind.gap);
        pauses.wait();
        let event = format!("id: {number}\ndata: {number:064}\n\n");
        socket.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    socket.write_all(b"0\r\n\r\n")
}

/// When the requests of a kind are sent, from the start of the traffic.
fn due_times(kind: Kind) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut due = Duration::ZERO;
    while due < LENGTH {
        times.push(due);
        due += Duration::from_secs_f64(1.0 / kind.per_s);
    }
    times
}

fn send_requests(
    kind: Kind,
    fronts: &[SocketAddr],
    record: &Record,
) -> JoinHandle<Vec<(String, usize, Outcome)>> {
    let (fronts, record) = (fronts.to_vec(), record.clone());
    thread::spawn(move || {
        let start = Instant::now();
        let send = |(number, due): (usize, Duration)| {
            thread::sleep(due.saturating_sub(start.elapsed()));
            let id = format!("{}-{number:04}", kind.name);
            let target = format!("/{}/1", kind.name);
            let headers = "X-Model: m\r\nContent-Length: 2\r\n\r\nhi";
            let budget_ms = kind.budget.as_millis() as u64;
            let text = request_text("POST", &target, &id, budget_ms, headers);
            let place = number % fronts.len();
            let (log, front) = (record.clone(), fronts[place]);
            thread::spawn(move || {
                let outcome = exchange(front, text.as_bytes(), kind.budget);
                log.line_at(outcome.sent, &format!("client sends {id} to front-{place}"));
                log.line(&format!("client gets {id}: {}", outcome.text()));
                (id, place, outcome)
            })
        };
        let clients: Vec<_> = due_times(kind).into_iter().enumerate().map(send).collect();
        let outcomes = clients
            .into_iter()
            .map(|client| client.join().expect("client"));
        outcomes.collect()
    })
}

pub fn run(setup: &Setup) -> bool {
    let record = &setup.record;
    let store = Store::start(address(1));
    let start = Instant::now();
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|number| {
            let id = format!("i-model-{number}");
            let (name, log) = (id.clone(), record.clone());
            let pauses = Pauses {
                start,
                phase: CYCLE * u32::from(number % ZONES) / u32::from(ZONES),
                is_on: setup.trouble,
            };
            Engine::start(&id, address(40 + number), move |request, socket| {
                let last = request.header("Last-Event-Id").unwrap_or("none");
                log.line(&format!("{name} runs {} after event {last}", request.id()));
                let result = answer(request, socket, pauses);
                if result.is_err() {
                    log.line(&format!("{name}: connection of {} is closed", request.id()));
                }
                result.map(|()| Next::KeepConnection)
            })
        })
        .collect();
    store.write(
        "op/config",
        &CONFIG.replacen("\"Routes\":[", &format!("\"Routes\":[{LABEL_ROUTE}"), 1),
    );
    for (number, engine) in engines.iter().enumerate() {
        store.write(
            &engine.key(),
            &engine.entry("conteur", zone(number), 64, "ready"),
        );
    }
    let entries = start_fleet(&setup.program, &setup.folder, store.address, 4);
    record.line("all processes are ready");
    thread::sleep(Duration::from_millis(3500));
    let fronts: Vec<SocketAddr> = entries.iter().map(|entry| entry.front).collect();
    let begin = Instant::now();
    let clients = KINDS.map(|kind| send_requests(kind, &fronts, record));
    let mut signals = Vec::new();
    for number in 1.. {
        let at = SIGNAL_GAP * number;
        if at >= LENGTH {
            break;
        }
        thread::sleep(at.saturating_sub(begin.elapsed()));
        for entry in &entries[..SIGNALLED] {
            entry.change_settings(4 + number % 2);
            let status = Command::new("kill")
                .args(["-HUP", &entry.pid().to_string()])
                .status();
            assert!(status.is_ok_and(|status| status.success()), "kill");
        }
        signals.push(Instant::now());
        record.line("front-0 and front-1 got SIGHUP");
    }
    let mut cut = 0;
    let mut counted = 0;
    for client in clients {
        let outcomes = client.join().expect("the clients end");
        let total = outcomes.len();
        let mut lost = 0;
        let mut failed = 0;
        for (id, place, outcome) in outcomes {
            let ended = outcome.sent + outcome.took;
            match outcome.answer {
                Ok(answer) => failed += u32::from(answer.status() != 200),
                Err(error) => {
                    lost += 1;
                    let near = |at: &Instant| outcome.sent <= *at + APPLY && ended > *at;
                    let is_counted = place < SIGNALLED && signals.iter().any(near);
                    counted += u32::from(is_counted);
                    record.line(&format!(
                        "{id} at front-{place} was cut ({error}); around a SIGHUP: {is_counted}"
                    ));
                }
            }
        }
        cut += lost;
        record.line(&format!(
            "{total} requests, {lost} cut, {failed} not answered with 200"
        ));
    }
    drop(entries);
    record.summary(&format!(
        "{cut} streams of sound engines ended without a complete answer, {counted} of them sent up \
         to ConfigApplyMs after a SIGHUP and cut after it"
    ));
    counted > 0
}
