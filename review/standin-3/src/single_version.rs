//! All routers are killed at the same moment. The service of the streams has had one software version all
//! the time, and its streams have no prompts. Clients take their streams up when the routers are back.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{StreamResponse, config, read_stream};
use crate::engine::{Engine, Work};
use crate::record::Record;
use crate::router::{Router, free_net};
use crate::store::Store;

const ROUTERS: u8 = 3;
const ENGINES: usize = 6;
const ZONES: [&str; 3] = ["fes-medina", "meknes-ouest", "tanger-port"];
const STREAMS: usize = 48;
const PATH: &str = "/progress/2f";

/// For how long the routers have run when the streams begin: longer than the store keeps its changes.
const FLEET_AGE: Duration = Duration::from_secs(25);

/// Time after the kill at which the platform starts the routers again, and between two starts.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const START_GAP: Duration = Duration::from_millis(100);

/// `ContactMs`: a machine that was started within this time is not in touch.
const CONTACT: Duration = Duration::from_secs(3);

const WORK: Work = Work {
    events: 36,
    pause: Duration::from_millis(250),
};

/// The time budget of a request, and the gap after which a client gives a stream up.
const BUDGET: Duration = Duration::from_secs(12);
const PATIENCE: Duration = Duration::from_secs(10);
const TRIES: usize = 6;
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Adds a service of an application and its route, whose streams have no prompts.
fn config_with_progress() -> String {
    let route = "{\"Name\":\"r-progress\",\"Host\":\"shop.example\",\"Prefix\":\"/progress/\",\
                 \"Kind\":\"streaming\",\"TimeoutMs\":12000,\"TargetLatencyMs\":2500,\"Priority\":2,\
                 \"Service\":\"comptoir\",\"MaxAttempts\":2,\"Public\":false,\"SessionAffinity\":false,\
                 \"StreamResume\":true,\"GapTargetMs\":800},";
    let service = "{\"Name\":\"comptoir\",\"HealthPath\":\"/healthz\",\"MaxConnections\":96,\
                   \"Protocol\":\"h1\",\"Tls\":false},";
    config()
        .replacen("\"Routes\":[", &format!("\"Routes\":[{route}"), 1)
        .replacen("\"Services\":[", &format!("\"Services\":[{service}"), 1)
}

#[derive(Default)]
struct Stream {
    begun: bool,
    /// Whether it was taken up at a machine in touch, and whether it went on anywhere.
    is_taken_up: bool,
    goes_on: bool,
}

fn note(record: &Record, id: &str, front: SocketAddr, touch: bool, response: &StreamResponse) {
    record.note(&format!(
        "client: {id} at {front} in touch {touch}: status {} complete {}: {} events",
        response.status,
        response.complete,
        response.events.len()
    ));
}

/// Reads a stream; where it breaks off, takes it up at the next machine. `back` is when all machines were
/// back after the kill.
fn read_to_end(
    fronts: &[SocketAddr],
    number: usize,
    back: &Mutex<Option<Instant>>,
    record: &Record,
) -> Stream {
    let start = Instant::now();
    let mut stream = Stream::default();
    let mut last = None;
    let first_id = format!("b{number:06x}00");
    for attempt in 0..TRIES {
        let id = format!("b{number:06x}{attempt:02x}");
        let mut headers = String::new();
        if let Some(last) = last {
            headers = format!("Last-Event-Id: {last}\r\nResumes: {first_id}\r\n");
        }
        let front = fronts[(number + attempt) % fronts.len()];
        let touch = match *back.lock().expect("times") {
            Some(back) => back.elapsed() > CONTACT,
            None => attempt == 0,
        };
        let left = BUDGET.saturating_sub(start.elapsed());
        let response = read_stream(front, (PATH, &id), &headers, (left, PATIENCE));
        note(record, &id, front, touch, &response);
        let has_events = !response.events.is_empty();
        if attempt == 0 {
            stream.begun = has_events;
        } else {
            stream.is_taken_up |= touch;
            stream.goes_on |= has_events;
        }
        last = response.events.last().map(|(id, _)| *id).or(last);
        let left = BUDGET.saturating_sub(start.elapsed());
        if response.complete || left.is_zero() || last.is_none() {
            break;
        }
        let wait = response.retry_after.map(Duration::from_secs_f64);
        thread::sleep(wait.unwrap_or(RETRY_PAUSE).min(left / 3));
    }
    stream
}

pub fn play(folder: &Path, is_disrupted: bool) -> Option<bool> {
    let record = Record::create(folder);
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).ok()?;
    let store = Store::default();
    let store_address = store.listen();
    store.put("op/config", &config_with_progress());
    let any = "127.0.0.1:0".parse().ok()?;
    let _engines: Vec<Engine> = (0..ENGINES)
        .map(|number| {
            let place = ("comptoir", ZONES[number % 3], "v1");
            let id = format!("i-{number}");
            Engine::start(&id, place, any, WORK, (&store, &record))
        })
        .collect();
    let net = free_net();
    let start = |host| Router::start(net, host, store_address, &temporary);
    let mut routers: Vec<Router> = (1..=ROUTERS).map(start).collect();
    if !routers.iter().all(Router::await_ready) {
        record.note("a router does not become ready");
        return None;
    }
    thread::sleep(FLEET_AGE);
    let fronts: Vec<SocketAddr> = routers.iter().map(Router::front).collect();
    let back = Arc::new(Mutex::new(None));
    let read = |numbers: std::ops::Range<usize>| -> Vec<_> {
        numbers
            .map(|number| {
                let (fronts, record, back) = (fronts.clone(), record.clone(), Arc::clone(&back));
                thread::spawn(move || read_to_end(&fronts, number, &back, &record))
            })
            .collect()
    };
    let clients = read(0..STREAMS);
    thread::sleep(Duration::from_secs(1));
    if is_disrupted {
        routers.clear();
        record.note("all routers were killed");
        thread::sleep(RESTART_DELAY);
        for host in 1..=ROUTERS {
            routers.push(start(host));
            thread::sleep(START_GAP);
        }
        *back.lock().ok()? = Some(Instant::now());
        record.note("all routers were started again");
    }
    thread::sleep(CONTACT + Duration::from_millis(200));
    let new_clients = read(STREAMS..2 * STREAMS);
    let join = |clients: Vec<thread::JoinHandle<Stream>>| -> Vec<Stream> {
        let clients = clients.into_iter();
        clients
            .map(|client| client.join().unwrap_or_default())
            .collect()
    };
    let streams = join(clients);
    let new_streams = join(new_clients);
    let runs = routers.iter_mut().all(Router::runs);
    let count = |streams: &[Stream], has: fn(&Stream) -> bool| {
        streams.iter().filter(|stream| has(stream)).count()
    };
    let begun = count(&streams, |stream| stream.begun);
    let taken_up = count(&streams, |stream| stream.is_taken_up);
    let go_on = count(&streams, |stream| stream.is_taken_up && stream.goes_on);
    let anywhere = count(&streams, |stream| stream.goes_on);
    let new_begun = count(&new_streams, |stream| stream.begun);
    record.note(&format!(
        "{begun} of {STREAMS} streams began, {taken_up} were taken up at machines in touch, {go_on} of \
         these went on, {anywhere} of all went on; {new_begun} of {STREAMS} new streams began at machines \
         in touch; all routers run: {runs}"
    ));
    drop(routers);
    let _ = std::fs::remove_dir_all(&temporary);
    let is_lost = taken_up >= 12 && 2 * go_on * STREAMS < new_begun * taken_up;
    (begun == STREAMS && new_begun > 0).then_some(is_lost)
}
