//! Three of five engines are in trouble: they answer one in 34 streams with a sound head and a body
//! of line feeds without end, until their caller closes the connection.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::Setup;
use crate::client::{Outcome, exchange, request_text};
use crate::engine::{Engine, Next, stream_events, success, success_head};
use crate::fleet::{CONFIG, address, start_fleet, zone};
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// `TimeoutMs` of the streams. The operator has lowered it from the time budget of 12,000 ms.
const STREAM_TIMEOUT: Duration = Duration::from_millis(4000);

/// Time for which clients wait for a stream without an event: four times the target of 2,500 ms.
const STREAM_PATIENCE: Duration = Duration::from_secs(10);

/// `TimeoutMs` and time budget of orders.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
const ORDER_BUDGET: Duration = Duration::from_millis(1500);

/// Time after `TimeoutMs` within which an answer is due.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

const STREAMS: u32 = 1000;
const STREAM_GAP: Duration = Duration::from_millis(20);
const ORDERS: u32 = 450;
const ORDER_GAP: Duration = Duration::from_millis(50);

const ENGINES: u8 = 5;

/// Engines in trouble: a share of 0.6.
const TROUBLED: u8 = 3;

/// Of so many streams, an engine in trouble spoils one: a share of 0.03.
const SPOILED_OF: u32 = 34;

/// Events of a sound stream and the pause between them.
const EVENTS: u32 = 55;
const EVENT_PAUSE: Duration = Duration::from_millis(8);

/// Sends line feeds until the router closes the connection.
fn send_endlessly(request: &Message, socket: &mut TcpStream) -> io::Result<Next> {
    let head = success_head(request);
    let head = format!("{head}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    socket.write_all(head.as_bytes())?;
    let bytes = vec![b'\n'; 64 << 10];
    loop {
        socket.write_all(&bytes)?;
    }
}

fn model_engine(number: u8, record: &Record, trouble: bool) -> Engine {
    let id = format!("i-model-{number}");
    let (name, log) = (id.clone(), record.clone());
    let is_in_trouble = trouble && number < TROUBLED;
    let answers = AtomicU32::new(0);
    Engine::start(&id, address(2 + number), move |request, socket| {
        log.line(&format!("{name} runs {}", request.id()));
        let answer = answers.fetch_add(1, Ordering::Relaxed);
        if is_in_trouble && answer % SPOILED_OF == SPOILED_OF - 1 {
            log.line(&format!("{name} sends line feeds to {}", request.id()));
            let result = send_endlessly(request, socket);
            log.line(&format!("{name}: connection of {} is closed", request.id()));
            return result;
        }
        stream_events(request, socket, EVENTS, EVENT_PAUSE)?;
        Ok(Next::KeepConnection)
    })
}

/// A request of a client.
struct Plan {
    name: &'static str,
    target: &'static str,
    deadline_ms: u64,
    headers: &'static str,
    count: u32,
    gap: Duration,
    patience: Duration,
}

/// Sends requests at a steady rate, each on a connection of its own.
fn send_requests(
    plan: Plan,
    fronts: Vec<std::net::SocketAddr>,
    record: &Record,
) -> JoinHandle<Vec<Outcome>> {
    let record = record.clone();
    thread::spawn(move || {
        let start = Instant::now();
        let send = |number: u32| {
            let due = start + plan.gap * number;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let id = format!("{}-{number:04}", plan.name);
            let body = format!("{}Content-Length: 2\r\n\r\nhi", plan.headers);
            let text = request_text("POST", plan.target, &id, plan.deadline_ms, &body);
            let front = fronts[number as usize % fronts.len()];
            let (log, patience) = (record.clone(), plan.patience);
            thread::spawn(move || {
                let outcome = exchange(front, text.as_bytes(), patience);
                log.line_at(outcome.sent, &format!("client sends {id}"));
                log.line(&format!("client gets {id}: {}", outcome.text()));
                outcome
            })
        };
        let clients: Vec<_> = (0..plan.count).map(send).collect();
        let outcomes = clients
            .into_iter()
            .map(|client| client.join().expect("client"));
        outcomes.collect()
    })
}

fn slower_than(outcomes: &[Outcome], limit: Duration) -> usize {
    let slow = outcomes.iter().filter(|outcome| outcome.took > limit);
    slow.count()
}

pub fn run(setup: &Setup) -> bool {
    let record = &setup.record;
    let store = Store::start(address(1));
    let models: Vec<Engine> = (0..ENGINES)
        .map(|number| model_engine(number, record, setup.trouble))
        .collect();
    let log = record.clone();
    let orders = Engine::start("i-orders", address(8), move |request, socket| {
        log.line(&format!("i-orders runs {}", request.id()));
        thread::sleep(Duration::from_millis(60));
        socket.write_all(success(request, "done").as_bytes())?;
        Ok(Next::KeepConnection)
    });
    let timeout = format!("\"TimeoutMs\":{}", STREAM_TIMEOUT.as_millis());
    store.write(
        "op/config",
        &CONFIG.replacen("\"TimeoutMs\":12000", &timeout, 1),
    );
    for (number, model) in models.iter().enumerate() {
        store.write(
            &model.key(),
            &model.entry("conteur", zone(number), 64, "ready"),
        );
    }
    store.write(
        &orders.key(),
        &orders.entry("comptoir", zone(0), 64, "ready"),
    );
    let mut entries = start_fleet(&setup.program, &setup.folder, store.address, 4);
    record.line("all processes are ready");
    // The processes are in touch `ContactMs` after their start.
    thread::sleep(Duration::from_millis(3500));
    let fronts: Vec<_> = entries.iter().map(|entry| entry.front).collect();
    let streams = Plan {
        name: "plan",
        target: "/plan/1",
        deadline_ms: 12_000,
        headers: "X-Model: m\r\nX-Token-Usage: 11812,385\r\n",
        count: STREAMS,
        gap: STREAM_GAP,
        patience: STREAM_PATIENCE,
    };
    let streams = send_requests(streams, fronts.clone(), record);
    let orders = Plan {
        name: "order",
        target: "/order/1",
        deadline_ms: 1500,
        headers: "",
        count: ORDERS,
        gap: ORDER_GAP,
        patience: ORDER_BUDGET,
    };
    let orders = send_requests(orders, fronts, record);
    let streams = streams.join().expect("the clients end");
    let orders = orders.join().expect("the clients end");
    let runs = entries
        .iter_mut()
        .filter_map(|entry| entry.runs().then_some(()))
        .count();
    drop(entries);

    let at_timeout = slower_than(&streams, STREAM_TIMEOUT);
    let later = slower_than(&streams, STREAM_TIMEOUT + ANSWER_SLACK);
    let lost = streams
        .iter()
        .filter(|outcome| outcome.answer.is_err())
        .count();
    record.summary(&format!(
        "{STREAMS} streams: {at_timeout} without a final answer at TimeoutMs, {later} of them also \
         0.5 s later; {lost} never got one"
    ));
    let mut times: Vec<u128> = orders.iter().map(|order| order.took.as_millis()).collect();
    times.sort_unstable();
    record.summary(&format!(
        "{ORDERS} orders to a sound engine: median {} ms, slowest {} ms, {} unanswered at \
         TimeoutMs; processes that run: {runs}",
        times[times.len() / 2],
        times[times.len() - 1],
        slower_than(&orders, ORDER_TIMEOUT),
    ));
    later >= 8 && 2 * later > at_timeout
}
