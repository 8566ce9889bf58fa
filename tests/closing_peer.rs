//! A response must be read also when the peer closes the connection right after it, so that
//! response and close reach the client in the same poll. A client that handles the close first
//! loses the response.

use std::future::{Future as _, poll_fn};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::thread;
use std::time::Duration;

use hawthornrouter::client::{ClientLimits, ClientRequest, HttpClient};

/// Sequential calls: response and close coincide only on some of them.
const CALLS: usize = 200;

/// Starts a server that sends one response on each connection and closes it.
fn start_closing_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("accept");
            let mut request = [0; 4096];
            assert!(stream.read(&mut request).expect("read") > 0);
            let response = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(response).expect("write");
        }
    });
    address
}

#[ntex::test]
async fn response_before_close_is_read() {
    let address = start_closing_peer();
    let client = HttpClient::new(ClientLimits {
        connect_timeout: Duration::from_secs(5),
        response_timeout: Duration::from_secs(30),
        body_bytes: 1024,
    });
    for number in 0..CALLS {
        let request = ClientRequest::post(address, "/orders").json_text("{}");
        let mut send = pin!(client.send(request));
        // The sleep after each poll lets response and close arrive before the next poll.
        let response = poll_fn(|context| {
            let poll = send.as_mut().poll(context);
            thread::sleep(Duration::from_millis(1));
            poll
        })
        .await;
        let response = response.unwrap_or_else(|error| panic!("call {number}: {error}"));
        let body = response.bytes().await;
        let body = body.unwrap_or_else(|error| panic!("call {number}: {error}"));
        assert_eq!(&body[..], b"ok");
    }
}
