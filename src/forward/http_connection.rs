//! HTTP/1 client connection, to an upstream or another server.
//!
//! The HTTP library implements the protocol. The connection counts the bytes written to its socket:
//! a call is known not to have run only if none of its bytes were written, and a connection can be
//! reused only if the call was written completely. A call is not written to a connection with
//! unread bytes: they belong to no call, and would be read as the response to this one.

use std::io;
use std::mem::MaybeUninit;
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

use crate::forward::framing_scan::FramingScan;
use crate::policy::call_attempts::AttemptFault;
use crate::policy::response_head_check::is_http_status;

/// Time without a TCP acknowledgement after which the kernel closes a connection
/// (`TCP_USER_TIMEOUT`).
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);

/// Time between TCP keep-alive probes, and idle time before the first one.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Largest read buffer of a connection, and so the largest part of a body that is read at once. The
/// library's own limit is 400 KB, of which a few hundred unread streams would hold several each.
const MAX_BUFFERED_BYTES: usize = MAX_RESPONSE_HEAD_BYTES;

/// Bytes that may be read without yielding a response head or a part of a body. The HTTP library
/// limits heads and trailers, but reads interim responses and zeros of a chunk size without end.
const MAX_UNPARSED_BYTES: usize = 1 << 20;

/// Progress of the writes to a socket and of the reads from it.
#[derive(Debug, Default)]
struct SocketProgress {
    written: AtomicUsize,
    /// Lower bound of the length of the current request, in bytes: path and body.
    expected: AtomicUsize,
    /// Whether a write failed.
    has_failed: AtomicBool,
    /// Bytes written before the current request.
    written_before: AtomicUsize,
    flushed: AtomicBool,
    /// Bytes read since the latest request, response head or part of a body.
    unparsed: AtomicUsize,
    /// Whether no byte of the response to the current request was read.
    awaits_response: AtomicBool,
    /// Whether the head of that response has both a length and a transfer encoding.
    has_two_framings: AtomicBool,
}

impl SocketProgress {
    fn reset_unparsed(&self) {
        self.unparsed.store(0, Ordering::Relaxed);
    }

    /// Counts bytes that were read; returns false if there are too many.
    fn count_read(&self, bytes: usize) -> bool {
        self.unparsed.fetch_add(bytes, Ordering::Relaxed) + bytes <= MAX_UNPARSED_BYTES
    }

    /// Marks the start of a request of more than `expected` bytes.
    fn start_request(&self, expected: usize) {
        self.expected.store(expected, Ordering::Relaxed);
        let written = self.written.load(Ordering::Relaxed);
        self.written_before.store(written, Ordering::Relaxed);
        self.awaits_response.store(true, Ordering::Relaxed);
        self.has_two_framings.store(false, Ordering::Relaxed);
        self.reset_unparsed();
    }

    /// Returns whether the current request was written completely.
    fn has_written_all(&self) -> bool {
        self.flushed.load(Ordering::Relaxed)
            && self.request_bytes() > self.expected.load(Ordering::Relaxed)
    }

    /// Returns whether the end of the peer's bytes may be the end of a body: not if the request was
    /// not written completely, or a write failed. A failed write takes the error of a reset, and the
    /// next read finds the end of the connection in its place.
    fn may_end(&self) -> bool {
        let is_idle = self.request_bytes() == 0;
        !self.has_failed.load(Ordering::Relaxed) && (is_idle || self.has_written_all())
    }

    /// Returns the number of bytes of the current request that were written.
    fn request_bytes(&self) -> usize {
        self.written.load(Ordering::Relaxed) - self.written_before.load(Ordering::Relaxed)
    }
}

/// Fails if the peer sent bytes that were not read, or closed the connection.
fn check_quiet(socket: &TcpStream) -> io::Result<()> {
    let fault = |text| Err(io::Error::new(io::ErrorKind::InvalidData, text));
    match SockRef::from(socket).peek(&mut [MaybeUninit::uninit()]) {
        Ok(0) => fault("closed before the request"),
        Ok(_) => fault("unexpected bytes before the request"),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
        Err(error) => Err(error),
    }
}

/// A socket that counts the bytes written to it and examines the response heads read from it.
struct CountingSocket {
    socket: TcpStream,
    progress: Arc<SocketProgress>,
    /// Examines the response to the current request.
    scan: FramingScan,
}

impl CountingSocket {
    fn scan_response(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.progress.awaits_response.swap(false, Ordering::Relaxed) {
            self.scan = FramingScan::default();
        }
        if self.scan.push(bytes) {
            self.progress
                .has_two_framings
                .store(true, Ordering::Relaxed);
        }
    }
}

impl AsyncRead for CountingSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.socket).poll_read(cx, buf);
        let is_end = matches!(result, Poll::Ready(Ok(())))
            && buf.remaining() > 0
            && buf.filled().len() == before;
        if is_end && (!self.progress.may_end() || self.socket.peer_addr().is_err()) {
            // The kernel has no peer for a connection that was reset.
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        self.scan_response(&buf.filled()[before..]);
        if !self.progress.count_read(buf.filled().len() - before) {
            let error = "1 MiB without a response head or a part of a body";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        result
    }
}

impl AsyncWrite for CountingSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        // The runtime may not have reported these bytes yet, so the library can't know of them.
        if self.progress.request_bytes() == 0 {
            check_quiet(&self.socket)?;
        }
        let result = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.progress.flushed.store(false, Ordering::Relaxed);
        match result {
            Poll::Ready(Ok(count)) => {
                self.progress.written.fetch_add(count, Ordering::Relaxed);
            }
            Poll::Ready(Err(_)) => self.progress.has_failed.store(true, Ordering::Relaxed),
            Poll::Pending => {}
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.socket).poll_flush(cx);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.progress.flushed.store(true, Ordering::Relaxed);
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

/// Aborts its task when it is dropped.
pub struct TaskGuard(JoinHandle<()>);

impl TaskGuard {
    /// Runs `task` on the current thread until it completes or the guard is dropped.
    pub fn spawn<F: Future<Output = ()> + 'static>(task: F) -> Self {
        Self(tokio::task::spawn_local(task))
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An HTTP/1 connection that carries one call at a time. Dropping it closes the connection.
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    progress: Arc<SocketProgress>,
    _task: TaskGuard,
}

/// Disables Nagle's algorithm and makes the kernel detect a dead peer, by keep-alive probes and a
/// limit on unacknowledged data: a NAT or firewall on the path may drop a connection without
/// notice.
pub fn set_socket_options(socket: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

impl HttpConnection {
    /// Connects to `address`; fails with `TimedOut` after `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let socket = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        if let Err(error) = set_socket_options(&socket) {
            spdlog::debug!("socket-option", kv: { peer: = address, reason: = error });
        }
        let progress = Arc::new(SocketProgress::default());
        let socket = CountingSocket {
            socket,
            progress: Arc::clone(&progress),
            scan: FramingScan::default(),
        };
        let (sender, connection) = Builder::new()
            .max_header_size(MAX_RESPONSE_HEAD_BYTES)
            .max_buf_size(MAX_BUFFERED_BYTES)
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
            progress,
            _task: task,
        })
    }

    /// Returns whether the connection is open and ready for another call.
    pub fn usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a call and waits for the response head. `body_bytes` is the length of the request
    /// body.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        body_bytes: usize,
    ) -> Result<Response<Incoming>, AttemptFault> {
        let expected = body_bytes + request.uri().path().len();
        self.progress.start_request(expected);
        let result = self.sender.try_send_request(request).await;
        self.progress.reset_unparsed();
        match result {
            Ok(response) if is_http_status(response.status().as_u16()) => Ok(response),
            Ok(_) => Err(AttemptFault::BadAnswer),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = error.into_error();
                if unsent || !self.has_written() {
                    Err(AttemptFault::Unsent)
                } else if error.is_parse() {
                    Err(AttemptFault::BadAnswer)
                } else {
                    Err(AttemptFault::Broken)
                }
            }
        }
    }

    /// Returns whether the current call is the first on this connection.
    pub fn is_first_call(&self) -> bool {
        self.progress.written_before.load(Ordering::Relaxed) == 0
    }

    /// Records that a part of the response's body arrived.
    pub fn record_body(&self) {
        self.progress.reset_unparsed();
    }

    /// Returns whether any byte of the current request was written.
    pub fn has_written(&self) -> bool {
        self.progress.request_bytes() > 0
    }

    /// Returns whether the connection may carry another call after the response to the current one:
    /// the request was written completely, and the response has one end.
    pub fn can_continue(&self) -> bool {
        self.progress.has_written_all() && !self.progress.has_two_framings.load(Ordering::Relaxed)
    }
}
