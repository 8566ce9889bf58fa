//! The store cuts the watches that wait, once. Then the entry of a sound engine is removed without a
//! report that it drains. The engine goes on serving for `DrainMs` and a little
//! longer, then it ends.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::client::{exchange, request_text};
use crate::engine::{Engine, Next, success};
use crate::fleet::{CONFIG, address, start_fleet, zone};
use crate::store::Store;

const DRAIN: Duration = Duration::from_millis(2000);

/// How much longer than `DrainMs` the engine serves.
const LONGER: Duration = Duration::from_millis(120);

/// Time for which the clients go on after the end of the engine.
const REST: Duration = Duration::from_millis(1500);

/// Time from the readiness of all processes to the cut, longer than `ContactMs`.
const CUT_AFTER: Duration = Duration::from_secs(5);

/// Time from the cut to the removal of the entry. The processes watch again by then.
const REMOVAL_AFTER: Duration = Duration::from_millis(400);

const WORK: Duration = Duration::from_millis(60);
const PROCESSES: u8 = 4;
const CLIENTS: u32 = 16;

/// Time between the first requests of two clients.
const CLIENT_GAP: Duration = Duration::from_micros(5700);

pub fn run(setup: &Setup) -> bool {
    let record = &setup.record;
    let store = Store::start(address(1));
    let arrivals: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let engines: Vec<Engine> = (0..3)
        .map(|number| {
            let id = format!("i-orders-{number}");
            let (name, log, arrivals) = (id.clone(), record.clone(), Arc::clone(&arrivals));
            Engine::start(&id, address(2 + number), move |request, socket| {
                let now = Instant::now();
                log.line_at(now, &format!("{name} runs {}", request.id()));
                if number == 2 {
                    let mut arrivals = arrivals.lock().expect("arrivals");
                    arrivals.push((now, request.id().to_owned()));
                }
                thread::sleep(WORK);
                socket.write_all(success(request, "done").as_bytes())?;
                Ok(Next::KeepConnection)
            })
        })
        .collect();
    store.write("op/config", CONFIG);
    for (number, engine) in engines.iter().enumerate() {
        store.write(
            &engine.key(),
            &engine.entry("comptoir", zone(number), 6, "ready"),
        );
    }
    let entries = start_fleet(&setup.program, &setup.folder, store.address, PROCESSES);
    record.line("all processes are ready");
    let ready = Instant::now();
    let end = ready + CUT_AFTER + REMOVAL_AFTER + DRAIN + LONGER + REST;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let log = record.clone();
            let front = entries[client as usize % entries.len()].front;
            thread::spawn(move || {
                let mut failed = 0;
                let mut number = 0;
                // The requests of the clients are spread evenly.
                thread::sleep(CLIENT_GAP * client);
                while Instant::now() < end {
                    let id = format!("order-{client}-{number}");
                    let body = "Content-Length: 2\r\n\r\nhi";
                    let text = request_text("POST", "/order/1", &id, 1500, body);
                    let outcome = exchange(front, text.as_bytes(), Duration::from_millis(1500));
                    log.line_at(outcome.sent, &format!("client sends {id}"));
                    log.line(&format!("client gets {id}: {}", outcome.text()));
                    failed += u32::from(!outcome.answer.is_ok_and(|answer| answer.status() == 200));
                    number += 1;
                    thread::sleep(Duration::from_millis(30));
                }
                (number, failed)
            })
        })
        .collect();
    thread::sleep(CUT_AFTER);
    if setup.trouble {
        let cut = store.cut_watches();
        record.line(&format!("the store cuts {cut} waiting watches"));
    }
    thread::sleep(REMOVAL_AFTER);
    let removed = store.remove(&engines[2].key());
    record.line_at(removed, "the store has removed the entry of i-orders-2");
    thread::sleep(DRAIN + LONGER);
    engines[2].end();
    record.line("i-orders-2 has ended");
    let (mut sent, mut failed) = (0, 0);
    for client in clients {
        let (requests, failures) = client.join().expect("the client ends");
        sent += requests;
        failed += failures;
    }
    let arrivals = arrivals.lock().expect("arrivals");
    let after = |limit: Duration| {
        let late = arrivals.iter().filter(|(at, _)| *at > removed + limit);
        late.count()
    };
    let last = arrivals.iter().map(|(at, _)| *at).max().unwrap_or(removed);
    let late = after(DRAIN);
    record.summary(&format!(
        "{sent} orders sent, {failed} not answered with 200; i-orders-2 ran {} after the removal, \
         {late} of them later than DrainMs, the last one after {} ms",
        after(Duration::ZERO),
        last.saturating_duration_since(removed).as_millis()
    ));
    late > 0
}
