//! A client that is not ours hides an order in the body of another request, whose only framing is
//! `Transfer-Encoding: identity`.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::client::{HOST, KEY, config};
use crate::engine::{Engine, Work};
use crate::http::{read_head, read_sized};
use crate::record::Record;
use crate::router::{Router, free_net};
use crate::store::Store;

const ZONES: [&str; 3] = ["fes-medina", "meknes-ouest", "tanger-port"];
const REQUESTS: usize = 20;

const WORK: Work = Work {
    events: 1,
    pause: Duration::from_millis(60),
};

/// Adds a service of orders and its route.
fn config_with_orders() -> String {
    let route = "{\"Name\":\"r-order\",\"Host\":\"shop.example\",\"Prefix\":\"/order/\",\
                 \"Kind\":\"non_idempotent\",\"TimeoutMs\":1500,\"TargetLatencyMs\":300,\"Priority\":2,\
                 \"Service\":\"comptoir\",\"MaxAttempts\":2,\"Public\":false,\"SessionAffinity\":false,\
                 \"StreamResume\":false},";
    let service = "{\"Name\":\"comptoir\",\"HealthPath\":\"/healthz\",\"MaxConnections\":96,\
                   \"Protocol\":\"h1\",\"Tls\":false},";
    config()
        .replacen("\"Routes\":[", &format!("\"Routes\":[{route}"), 1)
        .replacen("\"Services\":[", &format!("\"Services\":[{service}"), 1)
}

fn order(id: &str, framing: &str, body: &str) -> String {
    format!(
        "POST /order/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline-Ms: 1500\r\nAuthorization: Bearer {KEY}\r\n{framing}\r\n{body}"
    )
}

/// Sends an order whose body is another order, and reads the answers until the connection is quiet.
fn send(front: SocketAddr, number: usize, is_disrupted: bool, record: &Record) -> Option<()> {
    let hidden = order(&format!("hidden{number:02}"), "Content-Length: 0\r\n", "");
    let framing = if is_disrupted {
        "Transfer-Encoding: identity\r\n".to_owned()
    } else {
        format!("Content-Length: {}\r\n", hidden.len())
    };
    let outer = format!("outer{number:02}");
    let mut socket = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    let timeout = Some(Duration::from_millis(1600));
    socket.set_read_timeout(timeout).ok()?;
    let request = order(&outer, &framing, &hidden);
    record.note(&format!("client: one request, {outer}: {request:?}"));
    socket.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(socket);
    while let Ok(Some(head)) = read_head(&mut reader) {
        let body = read_sized(&mut reader, &head).unwrap_or_default();
        record.note(&format!(
            "client: on the connection of {outer}: {} {:?} {:?}",
            head.start,
            head.header("x-request-id"),
            String::from_utf8_lossy(&body)
        ));
    }
    Some(())
}

pub fn play(folder: &Path, is_disrupted: bool) -> Option<bool> {
    let record = Record::create(folder);
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).ok()?;
    let store = Store::default();
    let store_address = store.listen();
    store.put("op/config", &config_with_orders());
    let any = "127.0.0.1:0".parse().ok()?;
    let engines: Vec<Engine> = (0..3)
        .map(|number| {
            let place = ("comptoir", ZONES[number], "v1");
            let id = format!("i-{number}");
            Engine::start(&id, place, any, WORK, (&store, &record))
        })
        .collect();
    let net = free_net();
    let start = |host| Router::start(net, host, store_address, &temporary);
    let mut routers: Vec<Router> = (1..=3).map(start).collect();
    if !routers.iter().all(Router::await_ready) {
        record.note("a router does not become ready");
        return None;
    }
    thread::sleep(Duration::from_secs(2));
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (front, record) = (routers[number % 3].front(), record.clone());
            thread::spawn(move || send(front, number, is_disrupted, &record))
        })
        .collect();
    let sent = clients
        .into_iter()
        .filter_map(|client| client.join().ok().flatten())
        .count();
    let runs = routers.iter_mut().all(Router::runs);
    let run: Vec<String> = engines.iter().flat_map(Engine::requests).collect();
    let hidden = run.iter().filter(|id| id.starts_with("hidden")).count();
    let outer = run.iter().filter(|id| id.starts_with("outer")).count();
    record.note(&format!(
        "{sent} requests were sent; engines ran {outer} of them and {hidden} that were hidden in them; all \
         routers run: {runs}"
    ));
    drop(routers);
    let _ = std::fs::remove_dir_all(&temporary);
    (sent == REQUESTS && run.len() == outer + hidden).then_some(hidden > 0)
}
