//! Sound clients.

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{read_chunk, read_head, read_sized};

pub const HOST: &str = "shop.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A configuration with one route, of streams that may be resumed.
pub fn config() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"r-plan\",\"Host\":\"{HOST}\",\"Prefix\":\"/plan/\",\
         \"Kind\":\"streaming\",\"TimeoutMs\":12000,\"TargetLatencyMs\":2500,\"Priority\":2,\
         \"Service\":\"conteur\",\"MaxAttempts\":2,\"Public\":false,\"SessionAffinity\":true,\
         \"StreamResume\":true,\"GapTargetMs\":800}}],\"Services\":[{{\"Name\":\"conteur\",\
         \"HealthPath\":\"/healthz\",\"MaxConnections\":360,\"Protocol\":\"h1\",\"Tls\":false,\
         \"Engine\":{{\"Slots\":64,\"KvCapacityTokens\":423087,\"KvTokenBytes\":18432,\
         \"LinkMbps\":740000.0,\"Moves\":true,\"Backups\":true,\"Stride\":7,\"most\":2,\
         \"PinMs\":4000.0,\"HoldMs\":2000.0,\"HandleS\":5.0,\"Models\":[{{\"Name\":\"m\"}}]}}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[\"{KEY}\"],\
         \"Priority\":1}}]}}"
    )
}

/// The software versions whose events a stream holds.
pub fn versions(events: &[(u64, String)]) -> BTreeSet<&str> {
    let words = events.iter().filter_map(|(_, data)| data.split(' ').next());
    words.collect()
}

/// What a client received of a stream.
#[derive(Clone, Debug, Default)]
pub struct StreamResponse {
    /// 0 if no head arrived.
    pub status: u16,
    /// Seconds in `Retry-After`.
    pub retry_after: Option<f64>,
    /// Id and data of each complete event.
    pub events: Vec<(u64, String)>,
    /// Whether the response arrived up to its end.
    pub complete: bool,
}

/// Sends a request for a stream with what is left of the client's time budget, and reads its events with
/// a pause of `patience` at most.
pub fn read_stream(
    front: SocketAddr,
    (path, id): (&str, &str),
    headers: &str,
    (budget, patience): (Duration, Duration),
) -> StreamResponse {
    let mut response = StreamResponse::default();
    let Ok(mut socket) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return response;
    };
    let _ = socket.set_nodelay(true);
    let _ = socket.set_read_timeout(Some(patience));
    let body = format!("the prompt of {id}");
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        budget.as_millis(),
        body.len()
    );
    if socket.write_all(request.as_bytes()).is_err() {
        return response;
    }
    let mut reader = BufReader::new(socket);
    let Ok(Some(head)) = read_head(&mut reader) else {
        return response;
    };
    response.status = head.status();
    response.retry_after = head
        .header("retry-after")
        .and_then(|text| text.parse().ok());
    if head.header("content-length").is_some() {
        // No stream: a refusal, which is read as a whole.
        let _ = read_sized(&mut reader, &head);
        return response;
    }
    let mut text = String::new();
    while let Ok(chunk) = read_chunk(&mut reader) {
        let Some(chunk) = chunk else {
            response.complete = true;
            break;
        };
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((event, rest)) = text.split_once("\n\n") {
            let field = |name| event.lines().find_map(|line| line.strip_prefix(name));
            if let (Some(id), Some(data)) = (field("id: "), field("data: ")) {
                response
                    .events
                    .push((id.parse().unwrap_or(u64::MAX), data.to_owned()));
            }
            text = rest.to_owned();
        }
    }
    response
}

/// Sends a GET request and returns the status of the answer.
pub fn get_status(mut socket: TcpStream, path: &str) -> Option<u16> {
    socket.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    socket.write_all(request.as_bytes()).ok()?;
    let head = read_head(&mut BufReader::new(socket)).ok()??;
    Some(head.status())
}
