//! A request whose framing is not chunked and has no length: its body is another request.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use super::{ORDER_MS, plain_answer, short_stream};
use crate::Verdict;
use crate::client::{new_id, request, request_head};
use crate::fleet::Fleet;
use crate::record::Record;
use crate::server::{ServedRequest, Server};

/// Outer requests, each on a connection of its own.
const REQUESTS: usize = 20;

pub fn run(record: &mut Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let fleet = Fleet::start()?;
    let servers = super::start_servers(&fleet, &plain_answer(), 3, &short_stream())?;
    let routers = fleet.start_routers(4)?;
    let mut sent = Vec::new();
    for number in 0..REQUESTS {
        let (outer, inner) = (new_id(), new_id());
        let hidden = request("POST", "/order/hidden", &inner, ORDER_MS, b"refill");
        let framing = if has_trouble {
            "Transfer-Encoding: identity".to_owned()
        } else {
            format!("Content-Length: {}", hidden.len())
        };
        let head = request_head("POST", "/order/1", &outer, ORDER_MS);
        let mut bytes = format!("{head}{framing}\r\n\r\n").into_bytes();
        bytes.extend_from_slice(&hidden);
        let router = &routers[number % routers.len()];
        let mut socket = TcpStream::connect(router.front())?;
        socket.write_all(&bytes)?;
        socket.set_read_timeout(Some(Duration::from_millis(300)))?;
        let mut answers = Vec::new();
        // Ends with the time limit.
        let _ = socket.read_to_end(&mut answers);
        let answers = String::from_utf8_lossy(&answers);
        let statuses: Vec<&str> = answers.matches("HTTP/1.1 ").collect();
        record.line(format!(
            "sent one request {outer} with {framing}, whose body is the request {inner}: {} answers, the first one {:?}",
            statuses.len(),
            answers.lines().next().unwrap_or("none")
        ));
        sent.push((outer, inner));
    }
    thread::sleep(Duration::from_millis(500));
    let runs: Vec<ServedRequest> = servers.iter().flat_map(Server::runs).collect();
    for run in &runs {
        record.line(format!(
            "a server ran {} id {}, body of {} bytes",
            run.line,
            run.id(),
            run.body.len()
        ));
    }
    let smuggled = sent
        .iter()
        .filter(|(_, inner)| runs.iter().any(|run| run.id() == inner));
    let smuggled = smuggled.count();
    record.line(format!(
        "{} requests sent, {} run, {smuggled} of them only smuggled inside another one",
        sent.len(),
        runs.len()
    ));
    Ok(if smuggled > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
