//! Clients: requests as the pages describe them, and the answers to them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::{HOST, KEY};
use crate::lock;

/// Time for which clients wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request id that was not used before.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// The head of a request, without its framing and the empty line.
pub fn request_head(method: &str, path: &str, id: &str, time_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline-Ms: {time_ms}\r\nAuthorization: Bearer {KEY}\r\n"
    )
}

/// A request with a length.
pub fn request(method: &str, path: &str, id: &str, time_ms: u64, body: &[u8]) -> Vec<u8> {
    let head = request_head(method, path, id, time_ms);
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// How one try of a client ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TryEnd {
    /// The status of the answer, whose body was read to its end.
    Status(u16),
    /// The connection was refused, or closed without a byte of an answer.
    NotTaken,
    /// The answer broke off or did not come in time.
    Broken,
}

/// Sends one request on a new connection and reads the answer.
pub fn send_once(address: SocketAddr, request: &[u8], limit: Duration) -> TryEnd {
    let end = Instant::now() + limit;
    let Ok(mut socket) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else {
        return TryEnd::NotTaken;
    };
    // A failed write shows in the read.
    let _ = socket.write_all(request);
    let mut answer = Vec::new();
    let mut part = [0; 4096];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return TryEnd::Broken;
        }
        let _ = socket.set_read_timeout(Some(left));
        match socket.read(&mut part) {
            Ok(count) if count > 0 => answer.extend_from_slice(&part[..count]),
            _ if answer.is_empty() => {
                let is_late = Instant::now() >= end;
                return if is_late {
                    TryEnd::Broken
                } else {
                    TryEnd::NotTaken
                };
            }
            _ => return TryEnd::Broken,
        }
        if let Some(status) = whole_status(&answer) {
            return TryEnd::Status(status);
        }
    }
}

/// The status of an answer, once its body is complete.
fn whole_status(answer: &[u8]) -> Option<u16> {
    let text = String::from_utf8_lossy(answer);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.get(9..12)?.parse().ok()?;
    let lower = head.to_ascii_lowercase();
    let length = lower
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let is_whole = match length {
        Some(length) => body.len() >= length.trim().parse().ok()?,
        None => body.ends_with("0\r\n\r\n"),
    };
    is_whole.then_some(status)
}

/// One try: when it began after the start of the run, and its end.
#[derive(Clone, Copy, Debug)]
pub struct TryRecord {
    pub at: Duration,
    pub end: TryEnd,
}

/// The tries of all clients.
#[derive(Default)]
pub struct Tries(Mutex<Vec<TryRecord>>);

impl Tries {
    pub fn push(&self, record: TryRecord) {
        lock(&self.0).push(record);
    }

    pub fn all(&self) -> Vec<TryRecord> {
        let mut tries = lock(&self.0).clone();
        tries.sort_by_key(|record| record.at);
        tries
    }
}
