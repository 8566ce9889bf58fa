//! A router freezes for four seconds. Meanwhile half of the engines of a service are replaced as planned:
//! each drains, ends and starts again under its id with the next software version.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::client::{StreamResponse, config, read_stream, versions};
use crate::engine::{Engine, Work};
use crate::record::Record;
use crate::router::{Router, free_net};
use crate::store::Store;

const STREAMS: usize = 30;
const ENGINES: usize = 6;
const RELEASED: usize = 3;
const ZONES: [&str; 3] = ["fes-medina", "meknes-ouest", "tanger-port"];

/// `DrainMs`, and a little longer.
const DRAIN_TIME: Duration = Duration::from_millis(2050);

/// Time between the ends of an engine and its next start.
const START_TIME: Duration = Duration::from_millis(100);

/// Time between two engines of the release, as in the site file.
const RELEASE_GAP: Duration = Duration::from_millis(810);

/// The longest freeze that the site file names.
const FREEZE_TIME: Duration = Duration::from_millis(4000);

/// The time budget of a request.
const BUDGET: Duration = Duration::from_secs(12);

/// Four times the latency objective, the longest gap that a client accepts.
const PATIENCE: Duration = Duration::from_secs(10);

const WORK: Work = Work {
    events: 16,
    pause: Duration::from_millis(600),
};

fn restart(engine: &Engine, index: usize, store: &Store, record: &Record) -> Engine {
    thread::sleep(RELEASE_GAP * index as u32);
    engine.drain();
    thread::sleep(DRAIN_TIME);
    engine.end();
    thread::sleep(START_TIME);
    let place = ("conteur", ZONES[index % 3], "v2");
    Engine::start(
        &format!("i-{index}"),
        place,
        engine.address(),
        WORK,
        (store, record),
    )
}

pub fn play(folder: &Path, is_disrupted: bool) -> Option<bool> {
    let record = Record::create(folder);
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).ok()?;
    let store = Store::default();
    let store_address = store.listen();
    store.put("op/config", &config());
    let any = "127.0.0.1:0".parse().ok()?;
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|index| {
            let place = ("conteur", ZONES[index % 3], "v1");
            Engine::start(&format!("i-{index}"), place, any, WORK, (&store, &record))
        })
        .collect();
    let net = free_net();
    let mut routers: Vec<Router> = (1..=3)
        .map(|host| Router::start(net, host, store_address, &temporary))
        .collect();
    if !routers.iter().all(Router::await_ready) {
        record.note("a router does not become ready");
        return None;
    }
    // The routers hear of each other and read what the store still has.
    thread::sleep(Duration::from_secs(5));
    let front = routers[0].front();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("{:016x}", 0x9c41_d07b_0000 + number);
                let headers = format!(
                    "X-Model: m\r\nX-Token-Usage: 1460,80\r\n\
                     X-Prompt-Prefix: 5c1e{number:04x}:800,e440{number:04x}:250\r\n"
                );
                let response = read_stream(front, ("/plan/2f", &id), &headers, (BUDGET, PATIENCE));
                let pieces: Vec<String> = response
                    .events
                    .iter()
                    .map(|(event, data)| format!("{event} {data}"))
                    .collect();
                record.note(&format!(
                    "client: stream {id} status {} complete {}: {}",
                    response.status,
                    response.complete,
                    pieces.join(", ")
                ));
                response
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if is_disrupted {
        routers[0].signal("STOP");
        record.note("router 1 is frozen");
    }
    let released: Vec<_> = engines
        .iter()
        .take(RELEASED)
        .enumerate()
        .map(|(index, engine)| {
            let (engine, store, record) = (engine.clone(), store.clone(), record.clone());
            thread::spawn(move || restart(&engine, index, &store, &record))
        })
        .collect();
    thread::sleep(FREEZE_TIME);
    if is_disrupted {
        routers[0].signal("CONT");
        record.note("router 1 goes on");
    }
    let responses: Vec<StreamResponse> = clients
        .into_iter()
        .map(|client| client.join().unwrap_or_default())
        .collect();
    let _new: Vec<_> = released.into_iter().map(thread::JoinHandle::join).collect();
    let runs = routers.iter_mut().all(Router::runs);
    let begun = responses
        .iter()
        .filter(|response| !response.events.is_empty())
        .count();
    let whole = responses
        .iter()
        .filter(|response| response.complete)
        .count();
    let joined = responses
        .iter()
        .filter(|response| versions(&response.events).len() > 1)
        .count();
    record.note(&format!(
        "{begun} of {STREAMS} streams began, {whole} are complete, {joined} hold events of two versions \
         (ORDER allows two); all routers run: {runs}"
    ));
    drop(routers);
    let _ = std::fs::remove_dir_all(&temporary);
    (begun == STREAMS).then_some(joined > 2)
}
