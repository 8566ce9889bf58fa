//! Guards against an answer of a server or a peer that is taken as whole, or as proof that a call
//! did not run, although it broke off.

use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::Duration;

use hawthornrouter::client::{ClientError, ClientLimits, ClientRequest, HttpClient};
use hawthornrouter::gossip::fetch_documents;
use hawthornrouter::gossip::frames::{DocumentRequest, DocumentResponse};
use prost::Message;
use socket2::SockRef;

const INTERIMS: [&str; 2] = [
    "",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
];

const ANSWERS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nhello, world",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nbusy",
];

/// A break of an answer.
struct BrokenAnswer {
    sent: Vec<u8>,
    end_by_reset: bool,
}

/// Starts a server that sends one broken answer, in the order in which they are sent to it, on each
/// connection after it has read a request.
fn start_server() -> (SocketAddr, Sender<BrokenAnswer>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let (sender, answers) = channel::<BrokenAnswer>();
    thread::spawn(move || {
        for answer in answers {
            let (mut socket, _) = listener.accept().expect("accept");
            assert!(socket.read(&mut [0; 4096]).expect("read") > 0);
            socket.write_all(&answer.sent).expect("write");
            if answer.end_by_reset {
                let linger = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
                linger.expect("an open socket");
            }
        }
    });
    (address, sender)
}

async fn read_answer(client: &HttpClient, address: SocketAddr) -> Result<usize, ClientError> {
    let request = ClientRequest::post(address, "/orders").json_text("{}");
    let response = client.send(request).await?;
    response.bytes().await.map(|body| body.len())
}

#[ntex::test]
async fn cut_answers_are_no_answers() {
    let (address, answers) = start_server();
    let client = HttpClient::new(ClientLimits {
        connect_timeout: Duration::from_secs(5),
        response_timeout: Duration::from_secs(30),
        body_bytes: 1024,
    });
    for interim in INTERIMS {
        for answer in ANSWERS {
            let whole = format!("{interim}{answer}");
            for cut in 0..whole.len() {
                for end_by_reset in [false, true] {
                    let sent = whole.as_bytes()[..cut].to_vec();
                    let broken = BrokenAnswer { sent, end_by_reset };
                    answers.send(broken).expect("the server runs");
                    let error = read_answer(&client, address).await;
                    let error = error.expect_err(&whole[..cut]);
                    assert!(!error.not_run(), "{:?}: {error}", &whole[..cut]);
                }
            }
        }
    }
}

#[ntex::test]
async fn odd_statuses_are_no_answers() {
    let (address, answers) = start_server();
    let client = HttpClient::new(ClientLimits {
        connect_timeout: Duration::from_secs(5),
        response_timeout: Duration::from_secs(30),
        body_bytes: 1024,
    });
    for status in ["000", "099", "600", "999", "20", "2000", "+20", ""] {
        let sent = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 4\r\n\r\nodd!").into_bytes();
        let end_by_reset = false;
        let odd = BrokenAnswer { sent, end_by_reset };
        answers.send(odd).expect("the server runs");
        let error = read_answer(&client, address).await.expect_err(status);
        assert!(!error.not_run(), "{status:?}: {error}");
    }
}

#[ntex::test]
async fn cut_documents_are_no_documents() {
    let (SocketAddr::V4(peer), answers) = start_server() else {
        panic!("the loopback address is IPv4");
    };
    let response = DocumentResponse {
        store_revision: 70_000,
        full: true,
        ..DocumentResponse::default()
    };
    let body = response.encode_to_vec();
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(&body);
    for end_by_reset in [false, true] {
        for cut in 0..frame.len() {
            let sent = frame[..cut].to_vec();
            let broken = BrokenAnswer { sent, end_by_reset };
            answers.send(broken).expect("the server runs");
            assert!(fetch_from(peer).await.is_none(), "{cut} of {}", frame.len());
        }
    }
    let sound = BrokenAnswer {
        sent: frame,
        end_by_reset: false,
    };
    answers.send(sound).expect("the server runs");
    assert_eq!(fetch_from(peer).await, Some(response));
}

async fn fetch_from(peer: SocketAddrV4) -> Option<DocumentResponse> {
    let request = DocumentRequest {
        config_version: 1,
        ..DocumentRequest::default()
    };
    fetch_documents(peer, request).await.ok()
}
