//! HTTP client for requests to upstreams, the platform and other processes of this product.
//!
//! A caller's call is sent on a new connection: a NAT or firewall on the path may have dropped an
//! idle connection, and a call on it would hang. Redirects are never followed, since following one
//! could send a call twice.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyDataStream, BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};

use crate::forward::http_connection::HttpConnection;
use crate::policy::call_attempts::{AttemptFault, RunVerdict};

/// Timeout for opening a connection to an upstream.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of idle connections at which those that peers closed are removed: more than any process
/// has peers.
const MAX_IDLE_CONNECTIONS: usize = 4096;

/// Time and size limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Time limit from the start of the call, including the connect, to the end of the response
    /// body, or to the response head if the body is streamed.
    pub response_timeout: Duration,
    /// Maximum size of a response body that is read completely, in bytes.
    pub body_bytes: usize,
}

/// A request to a known address.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    address: SocketAddr,
    method: Method,
    target: String,
    headers: HeaderMap,
    body: Bytes,
}

impl ClientRequest {
    /// Creates a GET request for `target`, a path with its query.
    pub fn get(address: SocketAddr, target: impl Into<String>) -> Self {
        Self::new(address, Method::GET, target.into())
    }

    /// Creates a POST request to `target`, a path with its query.
    pub fn post(address: SocketAddr, target: impl Into<String>) -> Self {
        Self::new(address, Method::POST, target.into())
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn new(address: SocketAddr, method: Method, target: String) -> Self {
        Self {
            address,
            method,
            target,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a header. A value that is not valid in a header is omitted and logged.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        match HeaderValue::from_str(value) {
            Ok(value) => {
                self.headers.insert(HeaderName::from_static(name), value);
            }
            Err(error) => spdlog::warn!("header-left-out", kv: { name, error: = error }),
        }
        self
    }

    /// Adds an `Authorization` header with a bearer token.
    #[must_use]
    pub fn bearer(self, token: &str) -> Self {
        self.header("authorization", &format!("Bearer {token}"))
    }

    /// Sets a body that is JSON text already.
    #[must_use]
    pub fn json_text(self, body: impl Into<Bytes>) -> Self {
        let mut call = self.header("content-type", "application/json");
        call.body = body.into();
        call
    }

    /// Serializes a value as the JSON body.
    pub fn json<T: Serialize>(self, value: &T) -> serde_json::Result<Self> {
        serde_json::to_vec(value).map(|text| self.json_text(text))
    }

    fn request(&self, keep_alive: bool) -> http::Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.target)
            .header(header::HOST, self.address.to_string());
        if let Some(headers) = request.headers_mut() {
            headers.extend(self.headers.clone());
            if !keep_alive {
                headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
        }
        request.body(Full::new(self.body.clone()))
    }
}

/// Why a call gave no usable response.
#[derive(Debug)]
pub enum ClientError {
    /// The request can't be built: its target is not a valid path.
    Malformed(http::Error),
    /// No connection could be opened.
    Unreachable(std::io::Error),
    /// The connection failed, or the response was not valid HTTP.
    Failed(AttemptFault),
    /// The response body was truncated.
    Body(String),
    /// The response body is larger than allowed.
    TooLarge,
    /// The response did not arrive within the time limit.
    TimedOut,
    /// The response body is not the expected JSON.
    Json(serde_json::Error),
}

impl ClientError {
    /// Returns whether the server is known not to have run the call.
    pub fn not_run(&self) -> bool {
        match self {
            Self::Malformed(_) | Self::Unreachable(_) => true,
            Self::Failed(fault) => fault.verdict() == RunVerdict::NotRun,
            Self::Body(_) | Self::TooLarge | Self::TimedOut | Self::Json(_) => false,
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "request can't be built: {error}"),
            Self::Unreachable(error) => write!(f, "connect failed: {error}"),
            Self::Failed(fault) => f.write_str(fault.label()),
            Self::Body(text) => write!(f, "response body: {text}"),
            Self::TooLarge => f.write_str("response body is too large"),
            Self::TimedOut => f.write_str("no response within the time limit"),
            Self::Json(error) => write!(f, "unexpected JSON in response: {error}"),
        }
    }
}

impl std::error::Error for ClientError {}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Idle connections for reuse, at most one per address.
type IdleConnections = Arc<Mutex<HashMap<SocketAddr, HttpConnection>>>;

/// Sends HTTP calls. Clones share the idle connections.
#[derive(Clone)]
pub struct HttpClient {
    limits: ClientLimits,
    /// `None` if every call opens a new connection.
    idle: Option<IdleConnections>,
}

impl HttpClient {
    /// Creates a client that opens a new connection for every call.
    pub fn new(limits: ClientLimits) -> Self {
        Self { limits, idle: None }
    }

    /// Creates a client that reuses connections, for short requests that are repeated regularly. A
    /// connection that stopped responding delays one request by its time limit and is closed.
    pub fn with_keep_alive(limits: ClientLimits) -> Self {
        Self {
            limits,
            idle: Some(IdleConnections::default()),
        }
    }

    /// Sends a call and waits for the response head, within the client's time limit.
    pub async fn send(&self, call: ClientRequest) -> Result<ClientResponse, ClientError> {
        self.send_with_timeout(call, self.limits.response_timeout)
            .await
    }

    /// Sends a call like [`Self::send`], with `limit` in place of the client's time limit.
    pub async fn send_with_timeout(
        &self,
        call: ClientRequest,
        limit: Duration,
    ) -> Result<ClientResponse, ClientError> {
        self.send_with_timeouts(call, limit, limit).await
    }

    /// Sends a call like [`Self::send_with_timeout`], with a shorter limit for the connect.
    pub async fn send_with_timeouts(
        &self,
        call: ClientRequest,
        connect_limit: Duration,
        limit: Duration,
    ) -> Result<ClientResponse, ClientError> {
        let deadline = Instant::now() + limit;
        let connect_limit = self.limits.connect_timeout.min(connect_limit);
        let request = call
            .request(self.idle.is_some())
            .map_err(ClientError::Malformed)?;
        let mut connection = match self.take_idle(call.address) {
            Some(connection) => connection,
            None => HttpConnection::open(call.address, connect_limit)
                .await
                .map_err(ClientError::Unreachable)?,
        };
        let response = timeout_at(deadline, connection.send(request, call.body.len()))
            .await
            .map_err(|_| ClientError::TimedOut)?
            .map_err(ClientError::Failed)?;
        let return_to = self
            .idle
            .clone()
            .filter(|_| response.status().as_u16() < 500);
        Ok(ClientResponse {
            response,
            connection,
            deadline,
            body_bytes: self.limits.body_bytes,
            return_to: return_to.map(|idle| (idle, call.address)),
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<HttpConnection> {
        let mut connections = lock(self.idle.as_ref()?);
        connections.remove(&address).filter(HttpConnection::usable)
    }
}

fn lock(idle: &IdleConnections) -> MutexGuard<'_, HashMap<SocketAddr, HttpConnection>> {
    idle.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A response whose head has been received.
pub struct ClientResponse {
    response: Response<Incoming>,
    connection: HttpConnection,
    deadline: Instant,
    body_bytes: usize,
    /// Pool that the connection returns to once the body was read, and its key there; `None` if the
    /// connection is not reused.
    return_to: Option<(IdleConnections, SocketAddr)>,
}

impl ClientResponse {
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the value of a header, or `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers().get(name)?.to_str().ok()
    }

    /// Reads the complete body.
    pub async fn bytes(self) -> Result<Bytes, ClientError> {
        let mut body = Limited::new(self.response.into_body(), self.body_bytes);
        let connection = &self.connection;
        let read = async {
            let mut bytes = BytesMut::new();
            while let Some(frame) = body.frame().await {
                connection.record_body();
                if let Ok(data) = frame?.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
            Ok(bytes.freeze())
        };
        let bytes = timeout_at(self.deadline, read)
            .await
            .map_err(|_| ClientError::TimedOut)?
            .map_err(|error: BoxError| {
                if error.is::<LengthLimitError>() {
                    ClientError::TooLarge
                } else {
                    ClientError::Body(error.to_string())
                }
            })?;
        if let Some((idle, address)) = self.return_to {
            let mut connections = lock(&idle);
            if connections.len() >= MAX_IDLE_CONNECTIONS {
                connections.retain(|_, connection| connection.usable());
            }
            connections.insert(address, self.connection);
        }
        Ok(bytes)
    }

    /// Reads the complete body and parses it as JSON.
    pub async fn json<T: DeserializeOwned>(self) -> Result<T, ClientError> {
        let body = self.bytes().await?;
        serde_json::from_slice(&body).map_err(ClientError::Json)
    }

    /// Returns the body as a stream, and the connection, which must not be dropped before the
    /// stream has been read.
    pub fn into_stream(self) -> (BodyDataStream<Incoming>, HttpConnection) {
        (
            self.response.into_body().into_data_stream(),
            self.connection,
        )
    }
}
