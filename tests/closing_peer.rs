//! A peer that answers and closes at once: its answer counts.

use std::future::{Future as _, poll_fn};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::thread;
use std::time::Duration;

use hawthornrouter::client::{ClientLimits, ClientRequest, HttpClient};

/// Calls that are made one after the other.
const CALLS: usize = 200;

/// Answers each connection once and closes it.
fn start_closing_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("accept");
            let mut call = [0; 4096];
            assert!(stream.read(&mut call).expect("read") > 0);
            let answer = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(answer).expect("write");
        }
    });
    address
}

#[ntex::test]
async fn answer_before_close() {
    let address = start_closing_peer();
    let client = HttpClient::new(ClientLimits {
        connect_timeout: Duration::from_secs(5),
        response_timeout: Duration::from_secs(30),
        body_bytes: 1024,
    });
    for number in 0..CALLS {
        let call = ClientRequest::post(address, "/orders").json_text("{}");
        let mut send = pin!(client.send(call));
        // Stops the thread after each step, so that answer and close wait in the socket together.
        let answer = poll_fn(|context| {
            let step = send.as_mut().poll(context);
            thread::sleep(Duration::from_millis(1));
            step
        })
        .await;
        let answer = answer.unwrap_or_else(|error| panic!("call {number}: {error}"));
        let body = answer.bytes().await;
        let body = body.unwrap_or_else(|error| panic!("call {number}: {error}"));
        assert_eq!(&body[..], b"ok");
    }
}
