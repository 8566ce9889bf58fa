//! Bytes that reach a kept connection before the next request is written belong to no request, so
//! that request must not be written.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use hawthornrouter::forward::http_connection::HttpConnection;
use hawthornrouter::policy::call_attempts::AttemptFault;
use http::Request;
use http_body_util::{BodyExt, Full};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

const BODY: &str = "{}";

const TIMEOUT: Duration = Duration::from_secs(30);

/// What the server does with the connection after its first response.
#[derive(Clone, Copy, Debug)]
enum Afterwards {
    Send(&'static [u8]),
    Close,
}

/// A server of one connection that responds to the first request and then does as told.
struct OneServer {
    address: SocketAddr,
    act: Sender<Afterwards>,
    /// Receives a message when the server has acted.
    acted: Receiver<()>,
    /// Receives the number of bytes of the second request.
    rest: Receiver<usize>,
}

impl OneServer {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let (act, acts) = channel();
        let (acted_sender, acted) = channel();
        let (rest_sender, rest) = channel();
        thread::spawn(move || {
            let (mut socket, _) = listener.accept().expect("accept");
            let mut reader = BufReader::new(socket.try_clone().expect("descriptor"));
            read_request(&mut reader);
            socket.write_all(RESPONSE).expect("write");
            match acts.recv().expect("test runs") {
                Afterwards::Send(bytes) => socket.write_all(bytes).expect("write"),
                Afterwards::Close => socket.shutdown(Shutdown::Write).expect("shutdown"),
            }
            acted_sender.send(()).expect("test runs");
            let mut second = Vec::new();
            // A reset ends the request as well.
            let _ = reader.read_to_end(&mut second);
            rest_sender.send(second.len()).expect("test runs");
        });
        Self {
            address,
            act,
            acted,
            rest,
        }
    }

    /// Makes the server act, and waits without giving the runtime a chance to notice.
    fn act(&self, act: Afterwards) {
        self.act.send(act).expect("server runs");
        self.acted.recv_timeout(TIMEOUT).expect("server acts");
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) {
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        assert!(reader.read_line(&mut line).expect("read") > 0);
    }
    let mut body = [0; BODY.len()];
    reader.read_exact(&mut body).expect("body");
}

fn request() -> Request<Full<Bytes>> {
    let request = Request::post("/orders").header("host", "x");
    request.body(Full::new(Bytes::from(BODY))).expect("valid")
}

/// Sends a call, lets the server act while nobody looks at the connection, and sends another call.
/// Returns its fault and the number of its bytes that reached the server.
async fn send_after(act: Afterwards) -> (Option<AttemptFault>, usize) {
    let server = OneServer::start();
    let mut connection = HttpConnection::open(server.address, TIMEOUT)
        .await
        .expect("connect");
    let response = connection
        .send(request(), BODY.len())
        .await
        .expect("response");
    let body = response.into_body().collect().await.expect("body");
    assert_eq!(&body.to_bytes()[..], b"ok");
    while !connection.usable() {
        tokio::task::yield_now().await;
    }
    server.act(act);
    let fault = connection.send(request(), BODY.len()).await.err();
    drop(connection);
    tokio::task::yield_now().await;
    let rest = server.rest.recv_timeout(TIMEOUT).expect("server ends");
    (fault, rest)
}

#[ntex::test]
async fn extra_bytes() {
    for bytes in [RESPONSE, b"HTTP/1.1 503", b"a"] {
        let outcome = send_after(Afterwards::Send(bytes)).await;
        assert_eq!(outcome, (Some(AttemptFault::Unsent), 0), "{bytes:?}");
    }
}

#[ntex::test]
async fn closed_by_server() {
    let outcome = send_after(Afterwards::Close).await;
    assert_eq!(outcome, (Some(AttemptFault::Unsent), 0));
}
