//! Requests with bodies as large as the configuration allows, at the rate of one kind of request on
//! the sheet, with a burst. The stand-in of the platform kills a process that exceeds `MemoryMb`.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::client::{exchange, request_text};
use crate::engine::{Engine, Next, stream_events};
use crate::fleet::{CONFIG, address, start_fleet, zone};
use crate::store::Store;

/// `MaxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;

/// `MemoryMb` of the smallest machine of the sheet.
const MEMORY_LIMIT: u64 = 260_000_000;

/// Requests of the kind `restock-plan` a second in the zone of that machine.
const RATE: f64 = 6.6;

/// The largest burst of that kind in the days of the site, and its length.
const BURST_RATE: f64 = 2.5 * RATE;
const BURST: Duration = Duration::from_millis(6500);

/// Time of usual traffic before and after the burst.
const CALM: Duration = Duration::from_secs(6);

/// Time that an engine needs to read the prompt, and the events of its answer. The first event is
/// within the target of 2,500 ms.
const PROMPT_TIME: Duration = Duration::from_millis(700);
const EVENTS: u32 = 55;
const EVENT_PAUSE: Duration = Duration::from_millis(25);

pub fn run(setup: &Setup) -> bool {
    let record = &setup.record;
    let store = Store::start(address(1));
    let engines: Vec<Engine> = (0..3)
        .map(|number| {
            let id = format!("i-model-{number}");
            let (name, log) = (id.clone(), record.clone());
            Engine::start(&id, address(2 + number), move |request, socket| {
                let bytes = request.body.len();
                log.line(&format!("{name} runs {} of {bytes} bytes", request.id()));
                thread::sleep(PROMPT_TIME);
                stream_events(request, socket, EVENTS, EVENT_PAUSE)?;
                Ok(Next::KeepConnection)
            })
        })
        .collect();
    store.write("op/config", CONFIG);
    for (number, engine) in engines.iter().enumerate() {
        store.write(
            &engine.key(),
            &engine.entry("conteur", zone(number), 64, "ready"),
        );
    }
    let mut entries = start_fleet(&setup.program, &setup.folder, store.address, 1);
    record.line("the process is ready");
    let front = entries[0].front;
    let peak = Arc::new(AtomicU64::new(0));

    let (log, trouble) = (record.clone(), setup.trouble);
    let clients = thread::spawn(move || {
        let start = Instant::now();
        let end = CALM + BURST + CALM;
        let mut due = Duration::ZERO;
        let mut clients = Vec::new();
        while due < end {
            thread::sleep(due.saturating_sub(start.elapsed()));
            let id = format!("plan-{:04}", clients.len());
            let log = log.clone();
            clients.push(thread::spawn(move || {
                let headers = format!(
                    "X-Model: m\r\nX-Token-Usage: 11812,385\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
                );
                let mut text = request_text("POST", "/plan/1", &id, 12_000, &headers).into_bytes();
                text.resize(text.len() + BODY_BYTES, b'x');
                let outcome = exchange(front, &text, Duration::from_secs(12));
                log.line_at(outcome.sent, &format!("client sends {id}"));
                log.line(&format!("client gets {id}: {}", outcome.text()));
                outcome.answer.is_ok_and(|answer| answer.status() == 200)
            }));
            let is_burst = trouble && due >= CALM && due < CALM + BURST;
            due += Duration::from_secs_f64(1.0 / if is_burst { BURST_RATE } else { RATE });
        }
        let answers: Vec<bool> = clients
            .into_iter()
            .map(|client| client.join().expect("client"))
            .collect();
        answers
    });
    let mut killed = false;
    let mut last = Instant::now();
    while !clients.is_finished() {
        let memory = entries[0].memory();
        peak.fetch_max(memory, Ordering::Relaxed);
        if last.elapsed() > Duration::from_secs(1) {
            last = Instant::now();
            record.line(&format!("resident memory: {} MB", memory / 1_000_000));
        }
        if memory > MEMORY_LIMIT && !killed {
            record.line(&format!(
                "the platform kills the process: {} MB",
                memory / 1_000_000
            ));
            entries[0].kill();
            killed = true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    let answers = clients.join().expect("the clients end");
    let answered = answers.iter().filter(|is_answered| **is_answered).count();
    record.summary(&format!(
        "{} requests of {BODY_BYTES} bytes, {answered} answered; largest resident memory {} MB of \
         {} MB; process killed: {killed}",
        answers.len(),
        peak.load(Ordering::Relaxed) / 1_000_000,
        MEMORY_LIMIT / 1_000_000,
    ));
    killed
}
