//! One connection to an upstream.
//!
//! The HTTP library speaks the protocol. The link counts what reached the socket, since only a
//! call of which no byte was written is known not to have run, and only a call that was written
//! whole leaves a connection that may be used again.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::policy::call_attempts::AttemptFault;

/// Time without an acknowledgement after which the kernel gives a connection up.
pub const SILENT_LIMIT: Duration = Duration::from_secs(4);

/// Time between keep-alive probes, and before the first one.
const PROBE_PERIOD: Duration = Duration::from_secs(2);

/// Largest head of an answer.
const ANSWER_HEAD_BYTES: usize = 64 * 1024;

/// What reached the socket.
#[derive(Debug, Default)]
struct SocketMeter {
    written: AtomicUsize,
    flushed: AtomicBool,
}

impl SocketMeter {
    fn written(&self) -> usize {
        self.written.load(Ordering::Relaxed)
    }
}

/// A socket that counts what is written to it.
struct MeteredSocket {
    socket: TcpStream,
    meter: Arc<SocketMeter>,
}

impl AsyncRead for MeteredSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for MeteredSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.meter.flushed.store(false, Ordering::Relaxed);
        if let Poll::Ready(Ok(count)) = result {
            self.meter.written.fetch_add(count, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.socket).poll_flush(cx);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.meter.flushed.store(true, Ordering::Relaxed);
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

/// A task that ends when its owner does.
pub struct TaskGuard(JoinHandle<()>);

impl TaskGuard {
    /// Runs `task` on this thread until it ends or the guard is dropped.
    pub fn spawn<F: Future<Output = ()> + 'static>(task: F) -> Self {
        Self(tokio::task::spawn_local(task))
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to an upstream; it is closed when it is dropped.
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    meter: Arc<SocketMeter>,
    /// Bytes that the call in progress must have written at least.
    due: usize,
    start: usize,
    _task: TaskGuard,
}

/// Turns on what shows that the other end is gone: the system in between may forget a connection
/// without a word.
pub fn set_socket_options(socket: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(SILENT_LIMIT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

impl HttpConnection {
    /// Connects to `address` within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let socket = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        if let Err(error) = set_socket_options(&socket) {
            spdlog::debug!("socket-option", kv: { peer: = address, reason: = error });
        }
        let meter = Arc::new(SocketMeter::default());
        let socket = MeteredSocket {
            socket,
            meter: Arc::clone(&meter),
        };
        let (sender, connection) = Builder::new()
            .max_header_size(ANSWER_HEAD_BYTES)
            .handshake::<_, Full<Bytes>>(TokioIo::new(socket))
            .await
            .map_err(io::Error::other)?;
        let task = TaskGuard::spawn(async move {
            if let Err(error) = connection.await {
                spdlog::debug!("link-ended", kv: { peer: = address, reason: = error });
            }
        });
        Ok(Self {
            sender,
            meter,
            due: 0,
            start: 0,
            _task: task,
        })
    }

    /// Whether the connection is still open and idle.
    pub fn usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a call and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        body_bytes: usize,
    ) -> Result<Response<Incoming>, AttemptFault> {
        self.start = self.meter.written();
        self.due = body_bytes + request.uri().path().len();
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = error.into_error();
                if unsent || self.meter.written() == self.start {
                    Err(AttemptFault::Unsent)
                } else if error.is_parse() {
                    Err(AttemptFault::BadAnswer)
                } else {
                    Err(AttemptFault::Broken)
                }
            }
        }
    }

    /// Whether a byte of the call in progress was written.
    pub fn has_written(&self) -> bool {
        self.meter.written() > self.start
    }

    /// Whether the call in progress was written whole.
    pub fn has_written_all(&self) -> bool {
        self.meter.flushed.load(Ordering::Relaxed) && self.meter.written() - self.start > self.due
    }
}
