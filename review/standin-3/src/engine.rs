//! A sound engine: registers before it serves, checks `X-Expect-Instance`, sends streams event by event
//! and goes on after `Last-Event-Id`, drains before a planned end.

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Head, read_head, read_sized};
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Requests below this path get few events.
pub const SHORT_PREFIX: &str = "/plan/short";
/// Requests below this path get no stream.
const ORDER_PREFIX: &str = "/order/";
const SHORT_EVENTS: u64 = 3;

/// How an engine answers.
#[derive(Clone, Debug)]
pub struct Work {
    /// Events of a whole stream.
    pub events: u64,
    pub pause: Duration,
}

struct Process {
    id: String,
    service: String,
    zone: String,
    version: String,
    address: SocketAddr,
    born: u128,
    work: Work,
    store: Store,
    record: Record,
    sequence: AtomicU64,
    draining: AtomicBool,
    ended: AtomicBool,
    /// Requests in progress.
    running: AtomicU64,
    /// Parts of prompts that were read here, with their tokens.
    parts: Mutex<BTreeSet<(String, String)>>,
    /// Ids of the requests that ran here.
    requests: Mutex<Vec<String>>,
    /// Open connections, which the end of the process closes.
    sockets: Mutex<Vec<TcpStream>>,
}

/// One run of an engine.
#[derive(Clone)]
pub struct Engine(Arc<Process>);

impl Engine {
    /// Starts an engine at `address`: it registers, then it serves.
    pub fn start(
        id: &str,
        (service, zone, version): (&str, &str, &str),
        address: SocketAddr,
        work: Work,
        (store, record): (&Store, &Record),
    ) -> Self {
        let listener = TcpListener::bind(address).expect("listener of an engine");
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Self(Arc::new(Process {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            version: version.to_owned(),
            address: listener.local_addr().expect("address of an engine"),
            born: since.map_or(0, |since| since.as_millis()),
            work,
            store: store.clone(),
            record: record.clone(),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            running: AtomicU64::new(0),
            parts: Mutex::default(),
            requests: Mutex::default(),
            sockets: Mutex::default(),
        }));
        engine.check_in();
        record.note(&format!(
            "engine {id} version {version} has registered and serves"
        ));
        let server = engine.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if server.0.ended.load(Ordering::SeqCst) {
                    return;
                }
                let engine = server.clone();
                thread::spawn(move || engine.serve(socket));
            }
        });
        let writer = engine.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if writer.0.ended.load(Ordering::SeqCst) {
                    return;
                }
                writer.check_in();
            }
        });
        engine
    }

    /// The ids of the requests that ran here.
    pub fn requests(&self) -> Vec<String> {
        self.0.requests.lock().expect("requests").clone()
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Writes the engine's entry.
    fn check_in(&self) {
        let process = &self.0;
        let sequence = process.sequence.fetch_add(1, Ordering::SeqCst);
        let draining = process.draining.load(Ordering::SeqCst);
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"{}\",\
             \"Slots\":64,\"State\":\"{}\",\"ColdRemainingMs\":0,\"Stage\":\"both\",\
             \"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\
             \"Sequence\":{sequence},\"born\":{}}}",
            process.service,
            process.address,
            process.zone,
            process.version,
            if draining { "draining" } else { "ready" },
            process.born,
        );
        process
            .store
            .put(&format!("servers/{}", process.id), &entry);
    }

    /// Reports that the engine drains. The store has accepted the report when this returns.
    pub fn drain(&self) {
        self.0.draining.store(true, Ordering::SeqCst);
        self.check_in();
        self.0.record.note(&format!(
            "the store has accepted: engine {} is draining",
            self.0.id
        ));
    }

    /// Ends the process: its entry is removed and its connections are closed.
    pub fn end(&self) {
        let process = &self.0;
        process.ended.store(true, Ordering::SeqCst);
        process.store.remove(&format!("servers/{}", process.id));
        // Wakes the listener.
        drop(TcpStream::connect(process.address));
        for socket in process.sockets.lock().expect("sockets").drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        process.record.note(&format!(
            "engine {} version {} has ended",
            process.id, process.version
        ));
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let (Ok(mut writer), Ok(kept)) = (socket.try_clone(), socket.try_clone()) else {
            return;
        };
        self.0.sockets.lock().expect("sockets").push(kept);
        let mut reader = BufReader::new(socket);
        while let Ok(Some(head)) = read_head(&mut reader) {
            if read_sized(&mut reader, &head).is_err() {
                return;
            }
            self.0.running.fetch_add(1, Ordering::SeqCst);
            let answered = self.answer(&head, &mut writer);
            self.0.running.fetch_sub(1, Ordering::SeqCst);
            if answered.is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, writer: &mut TcpStream) -> std::io::Result<()> {
        let process = &self.0;
        let id = head.header("x-request-id").unwrap_or_default();
        let path = head.word(1);
        let leaving = if process.draining.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        let running = process.running.load(Ordering::SeqCst);
        let common = format!("X-Request-Id: {id}\r\nX-Server-Load: {running},0,64\r\n{leaving}");
        let expected = head.header("x-expect-instance").unwrap_or(&process.id);
        let about = format!(
            "{path} id {id} at engine {} version {}",
            process.id, process.version
        );
        if expected != process.id {
            process.record.note(&format!("421 for {about}"));
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\n{common}X-Instance-Id: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                process.id
            );
            return writer.write_all(text.as_bytes());
        }
        if path == "/kv-list" {
            process
                .record
                .note(&format!("kv-list at engine {}", process.id));
            return writer.write_all(self.cached_parts().as_bytes());
        }
        let parts = head.header("x-prompt-prefix").unwrap_or_default();
        let parts = parts.split(',').filter_map(|part| part.split_once(':'));
        let parts = parts.map(|(part, tokens)| (part.to_owned(), tokens.to_owned()));
        process.parts.lock().expect("parts").extend(parts);
        let after = head
            .header("last-event-id")
            .and_then(|text| text.parse::<u64>().ok());
        process
            .record
            .note(&format!("runs {about} after event {after:?}"));
        process
            .requests
            .lock()
            .expect("requests")
            .push(id.to_owned());
        let stamp = format!("X-Server-Stamp: {}.{id}\r\n", process.id);
        if path.starts_with(ORDER_PREFIX) {
            thread::sleep(process.work.pause);
            let body = format!("{{\"paid\":\"{id}\"}}");
            let length = body.len();
            let text =
                format!("HTTP/1.1 200 OK\r\n{common}{stamp}Content-Length: {length}\r\n\r\n{body}");
            return writer.write_all(text.as_bytes());
        }
        let text = format!(
            "HTTP/1.1 200 OK\r\n{common}{stamp}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(text.as_bytes())?;
        let events = if path.starts_with(SHORT_PREFIX) {
            SHORT_EVENTS
        } else {
            process.work.events
        };
        for event in after.map_or(0, |after| after + 1)..events {
            thread::sleep(process.work.pause);
            let data = format!("id: {event}\ndata: {} {}\n\n", process.version, process.id);
            write!(writer, "{:x}\r\n{data}\r\n", data.len())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }

    /// The response to `GET /kv-list`.
    fn cached_parts(&self) -> String {
        let parts = self.0.parts.lock().expect("parts");
        let held: Vec<String> = parts
            .iter()
            .map(|(part, tokens)| format!("[\"\",\"{part}\",{tokens},\"m\"]"))
            .collect();
        let held = held.join(",");
        let born = self.0.born;
        let body = format!("{{\"epoch\":{born},\"Next\":1,\"held\":[{held}]}}");
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
    }
}
