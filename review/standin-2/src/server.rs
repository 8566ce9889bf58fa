//! Stand-in of an engine or a plain service's process: a sound HTTP/1.1 server that records what it
//! runs.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::lock;

/// Stack of a connection's thread. There are some thousands of them.
const STACK_BYTES: usize = 128 << 10;

/// A request that the server has read completely.
#[derive(Clone, Debug, Default)]
pub struct ServedRequest {
    pub line: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl ServedRequest {
    /// The value of a header, whose name is in lower case.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn id(&self) -> &str {
        self.header("x-request-id")
    }

    /// The head of an answer without its length.
    pub fn answer_head(&self, status: u16) -> String {
        format!(
            "HTTP/1.1 {status} -\r\nX-Request-Id: {}\r\nX-Server-Stamp: 1.{}\r\n",
            self.id(),
            self.id()
        )
    }

    /// A whole answer with further header lines.
    pub fn answer(&self, status: u16, more: &str, body: &str) -> Vec<u8> {
        let head = self.answer_head(status);
        format!("{head}{more}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }
}

/// What a server does with a request that it has read: it writes the answer. Returns whether the
/// connection stays open.
pub type Behaviour = dyn Fn(&ServedRequest, &mut TcpStream) -> bool + Send + Sync;

/// A running server.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<ServedRequest>>>,
}

impl Server {
    pub fn start(ip: Ipv4Addr, behaviour: Arc<Behaviour>) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let server = Self {
            address: listener.local_addr()?,
            runs: Arc::default(),
        };
        let runs = Arc::clone(&server.runs);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (runs, behaviour) = (Arc::clone(&runs), Arc::clone(&behaviour));
                let builder = thread::Builder::new().stack_size(STACK_BYTES);
                // Without a thread the connection is closed.
                let _ = builder.spawn(move || serve(socket, &runs, &*behaviour));
            }
        });
        Ok(server)
    }

    /// The requests that were run so far.
    pub fn runs(&self) -> Vec<ServedRequest> {
        lock(&self.runs).clone()
    }

    pub fn run_count(&self) -> usize {
        lock(&self.runs).len()
    }
}

fn serve(mut socket: TcpStream, runs: &Mutex<Vec<ServedRequest>>, behaviour: &Behaviour) {
    let Ok(reader) = socket.try_clone() else {
        return;
    };
    let mut reader = BufReader::with_capacity(4096, reader);
    while let Some(request) = read_request(&mut reader) {
        lock(runs).push(request.clone());
        if !behaviour(&request, &mut socket) {
            return;
        }
    }
}

/// Reads a request with a length, which is all that a router sends.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<ServedRequest> {
    let mut request = ServedRequest::default();
    reader
        .read_line(&mut request.line)
        .ok()
        .filter(|&n| n > 0)?;
    request.line.truncate(request.line.trim_end().len());
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let name = name.to_ascii_lowercase();
        request.headers.push((name, value.trim().to_owned()));
    }
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Writes a stream of numbered events with a pause before each one.
pub fn write_events(
    request: &ServedRequest,
    socket: &mut TcpStream,
    count: u32,
    pause: Duration,
) -> bool {
    let head = request.answer_head(200)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    if socket.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for id in 0..count {
        thread::sleep(pause);
        let event = format!("id: {id}\ndata: {}\n\n", request.id());
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if socket.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    socket.write_all(b"0\r\n\r\n").is_ok()
}
