//! Stand-in of a client.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{Message, read_body, read_head};

/// Time that clients allow a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest time limit of a call to the operating system, which takes no zero.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// A socket that is read until a given time.
struct TimedSocket {
    socket: TcpStream,
    end: Instant,
}

impl Read for TimedSocket {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::from(io::ErrorKind::TimedOut));
        }
        self.socket
            .set_read_timeout(Some(left.max(SHORTEST_WAIT)))?;
        self.socket.read(buffer)
    }
}

/// What a client saw of a request.
#[derive(Debug)]
pub struct Outcome {
    pub sent: Instant,
    pub took: Duration,
    /// The complete answer, or why there is none.
    pub answer: Result<Message, String>,
}

impl Outcome {
    pub fn text(&self) -> String {
        let ms = self.took.as_millis();
        match &self.answer {
            Ok(answer) => format!("{} after {ms} ms", answer.status()),
            Err(error) => format!("no answer ({error}) after {ms} ms"),
        }
    }
}

/// Writes a request as clients do.
pub fn request_text(method: &str, target: &str, id: &str, deadline_ms: u64, more: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {}\r\n{more}",
        crate::fleet::HOST,
        crate::fleet::KEY
    )
}

/// Sends a request on a new connection and waits for its complete answer, at most for `limit`.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Outcome {
    let sent = Instant::now();
    let answer = try_exchange(address, request, sent + limit).map_err(|error| error.to_string());
    Outcome {
        sent,
        took: sent.elapsed(),
        answer,
    }
}

fn try_exchange(address: SocketAddr, request: &[u8], end: Instant) -> io::Result<Message> {
    let left = end.saturating_duration_since(Instant::now());
    let mut socket = TcpStream::connect_timeout(&address, left.min(CONNECT_TIMEOUT))?;
    socket.set_nodelay(true)?;
    let left = end.saturating_duration_since(Instant::now());
    socket.set_write_timeout(Some(left.max(SHORTEST_WAIT)))?;
    socket.write_all(request)?;
    let mut reader = BufReader::new(TimedSocket { socket, end });
    let head = read_head(&mut reader)?;
    let mut answer = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    answer.body = read_body(&mut reader, &answer)?;
    Ok(answer)
}

/// Returns whether the process says that it is ready, within `limit`.
pub fn is_ready(address: SocketAddr, limit: Duration) -> bool {
    let outcome = exchange(address, b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", limit);
    outcome.answer.is_ok_and(|answer| answer.status() == 200)
}
