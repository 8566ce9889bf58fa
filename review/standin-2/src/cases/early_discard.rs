//! The last engine of a software version leaves, the store discards its history early, and all
//! processes are killed while clients have streams of that version.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{PLAN_MS, kill_all, plain_answer};
use crate::client::{new_id, request_head};
use crate::fleet::Fleet;
use crate::record::Record;
use crate::server::{Behaviour, ServedRequest, Server};
use crate::{Verdict, lock};

const STREAMS: usize = 24;

/// Events of a plan, and the time between two of them.
const EVENTS: u32 = 55;
const EVENT_PAUSE: Duration = Duration::from_millis(120);

/// More streams with events of two versions than this break the rule.
const JOINED_ALLOWED: usize = 2;

/// Time that the engine that leaves goes on to serve after the removal of its entry.
const DRAIN: Duration = Duration::from_millis(2200);

/// An engine of a software version: it continues a stream after `Last-Event-Id`, and lists the parts
/// of the prompts that it has read.
fn engine(version: u32) -> Arc<Behaviour> {
    let parts: Mutex<Vec<String>> = Mutex::default();
    Arc::new(move |request: &ServedRequest, socket: &mut TcpStream| {
        if request.line.contains("/kv-list") {
            let held: Vec<String> = lock(&parts)
                .iter()
                .map(|part| format!(r#"["","{part}",250,"m"]"#))
                .collect();
            let body = format!(r#"{{"epoch":1,"Next":1,"held":[{}]}}"#, held.join(","));
            return socket.write_all(&request.answer(200, "", &body)).is_ok();
        }
        let prompt = request.header("x-prompt-prefix").split(',');
        let ids = prompt.filter_map(|part| Some(part.split_once(':')?.0.to_owned()));
        lock(&parts).extend(ids);
        let first = request
            .header("last-event-id")
            .parse()
            .map_or(0, |last: u32| last + 1);
        let head = request.answer_head(200)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if socket.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for id in first..EVENTS {
            let event = format!("id: {id}\ndata: version-{version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if socket.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            thread::sleep(EVENT_PAUSE);
        }
        socket.write_all(b"0\r\n\r\n").is_ok()
    })
}

/// What a client has of its stream, over all its tries.
#[derive(Clone, Debug, Default)]
struct StreamState {
    events: Vec<(u32, String)>,
    /// Statuses of the tries.
    statuses: Vec<u16>,
    is_complete: bool,
}

impl StreamState {
    fn versions(&self) -> Vec<&str> {
        let mut versions: Vec<&str> = self.events.iter().map(|(_, data)| data.as_str()).collect();
        versions.dedup();
        versions
    }
}

/// One try of a client: sends the request and reads events until the answer ends.
fn try_stream(front: SocketAddr, request: &str, state: &mut StreamState) -> std::io::Result<()> {
    let mut socket = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    socket.set_read_timeout(Some(Duration::from_secs(10)))?;
    socket.write_all(request.as_bytes())?;
    let mut lines = BufReader::new(socket).lines();
    let status = lines.next().transpose()?.unwrap_or_default();
    let status = status.get(9..12).and_then(|status| status.parse().ok());
    state.statuses.push(status.unwrap_or(0));
    if status != Some(200) {
        return Ok(());
    }
    let mut id = None;
    for line in lines {
        let line = line?;
        if let Some(text) = line.strip_prefix("id: ") {
            id = text.parse().ok();
        } else if let (Some(data), Some(number)) = (line.strip_prefix("data: "), id) {
            state.events.push((number, data.to_owned()));
        } else if line == "0" {
            state.is_complete = true;
            return Ok(());
        }
    }
    Ok(())
}

/// A client with one stream, which takes it up again when it breaks off.
fn play_client(number: usize, fronts: &[SocketAddr]) -> StreamState {
    let end = Instant::now() + Duration::from_millis(PLAN_MS);
    let first_id = new_id();
    let mut state = StreamState::default();
    for round in 0.. {
        let left = end.saturating_duration_since(Instant::now()).as_millis() as u64;
        if state.is_complete || left < 200 {
            break;
        }
        let id = if round == 0 {
            first_id.clone()
        } else {
            new_id()
        };
        let mut request = request_head("POST", &format!("/plan/{number}"), &id, left);
        request += "X-Model: m\r\nX-Token-Usage: 1050,400\r\n";
        let (shared, own) = (0x5c1e + number, 0xabc0 + number);
        request += &format!("X-Prompt-Prefix: {shared:x}:800,{own:x}:250\r\n");
        if let Some((last, _)) = state.events.last() {
            request += &format!("Last-Event-Id: {last}\r\nResumes: {first_id}\r\n");
        }
        request += "Content-Length: 0\r\n\r\n";
        let front = fronts[(number + round) % fronts.len()];
        // A try that fails is followed by another one.
        let _ = try_stream(front, &request, &mut state);
        thread::sleep(Duration::from_millis(300));
    }
    state
}

pub fn run(record: &mut Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let fleet = Fleet::start()?;
    let server = Server::start(fleet.server_ip(), plain_answer())?;
    fleet.register("i-shop-1", "comptoir", 6, "ready", &server);
    let old = Server::start(fleet.server_ip(), engine(1))?;
    let new = Server::start(fleet.server_ip(), engine(2))?;
    fleet.register_version("i-llm-1", "conteur", 64, "ready", 1, &old);
    fleet.register_version("i-llm-2", "conteur", 64, "ready", 2, &new);
    let mut routers = fleet.start_routers(4)?;
    let fronts: Vec<SocketAddr> = routers.iter().map(|router| router.front()).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let fronts = fronts.clone();
            thread::spawn(move || play_client(number, &fronts))
        })
        .collect();
    record.line(format!(
        "{STREAMS} clients begin a stream each; i-llm-1 has version 1, i-llm-2 version 2"
    ));
    thread::sleep(Duration::from_millis(1200));
    fleet.store.remove("servers/i-llm-1");
    let removed = Instant::now();
    record.line("i-llm-1 leaves: its entry is removed, and it serves on for 2.2 s");
    thread::sleep(Duration::from_millis(600));
    if has_trouble {
        fleet.store.discard();
        record.line("the store discards its history");
    }
    thread::sleep(Duration::from_millis(200));
    kill_all(record, &fleet, &mut routers)?;
    thread::sleep(DRAIN.saturating_sub(removed.elapsed()));
    let mut joined = 0;
    for (number, client) in clients.into_iter().enumerate() {
        let state = client.join().unwrap_or_default();
        let versions = state.versions();
        joined += usize::from(versions.len() > 1);
        record.line(format!(
            "stream {number}: {} events of {versions:?}, complete: {}, statuses of its tries {:?}",
            state.events.len(),
            state.is_complete,
            state.statuses
        ));
    }
    record.line(format!(
        "runs: {} at i-llm-1, {} at i-llm-2; {joined} streams hold events of two versions, {JOINED_ALLOWED} are allowed",
        old.run_count(),
        new.run_count()
    ));
    Ok(if joined > JOINED_ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
