//! The HTTP client towards upstreams, the platform and other processes of this product.
//!
//! A call of a caller goes out on a connection of its own: an idle connection may have been
//! forgotten by something between the two ends, and a call on it would hang. Redirects are never
//! followed, because a followed one could send a call twice.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyDataStream, BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};

use crate::forward::http_connection::HttpConnection;
use crate::policy::call_attempts::{AttemptFault, RunVerdict};

/// Longest time to open a connection to an upstream.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Kept connections above which those that peers closed are dropped: more than any process has
/// peers.
const IDLE_LINKS: usize = 4096;

/// What one call may take.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time from the call to the end of an answer that is read whole, and to the head of
    /// one that is streamed.
    pub response_timeout: Duration,
    /// Largest body of an answer that is read whole, in bytes.
    pub body_bytes: usize,
}

/// A call to a known address.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    address: SocketAddr,
    method: Method,
    target: String,
    headers: HeaderMap,
    body: Bytes,
}

impl ClientRequest {
    /// Reads `target`, a path with its query.
    pub fn get(address: SocketAddr, target: impl Into<String>) -> Self {
        Self::new(address, Method::GET, target.into())
    }

    /// Posts to `target`, a path with its query.
    pub fn post(address: SocketAddr, target: impl Into<String>) -> Self {
        Self::new(address, Method::POST, target.into())
    }

    /// Whom it goes to.
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

    /// Adds a header; one whose value may not stand in a head is left out with a log line.
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

    /// Adds a bearer token.
    #[must_use]
    pub fn bearer(self, token: &str) -> Self {
        self.header("authorization", &format!("Bearer {token}"))
    }

    /// Adds a body of JSON text.
    #[must_use]
    pub fn json_text(self, body: impl Into<Bytes>) -> Self {
        let mut call = self.header("content-type", "application/json");
        call.body = body.into();
        call
    }

    /// Adds a value as JSON.
    pub fn json<T: Serialize>(self, value: &T) -> serde_json::Result<Self> {
        serde_json::to_vec(value).map(|text| self.json_text(text))
    }

    fn request(&self, keep: bool) -> http::Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.target)
            .header(header::HOST, self.address.to_string());
        if let Some(headers) = request.headers_mut() {
            headers.extend(self.headers.clone());
            if !keep {
                headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
        }
        request.body(Full::new(self.body.clone()))
    }
}

/// Why a call got no answer.
#[derive(Debug)]
pub enum ClientError {
    /// The call can't be written: its target is no path.
    Malformed(http::Error),
    /// No connection was made.
    Unreachable(std::io::Error),
    /// The connection failed, or the answer was none.
    Failed(AttemptFault),
    /// The answer's body broke, or is larger than allowed.
    Body(String),
    /// The answer took too long.
    TimedOut,
    /// The answer's body is not the expected JSON.
    Json(serde_json::Error),
}

impl ClientError {
    /// Whether it is known that the call did not run.
    pub fn not_run(&self) -> bool {
        match self {
            Self::Malformed(_) | Self::Unreachable(_) => true,
            Self::Failed(fault) => fault.verdict() == RunVerdict::NotRun,
            Self::Body(_) | Self::TimedOut | Self::Json(_) => false,
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "call can't be written: {error}"),
            Self::Unreachable(error) => write!(f, "connect: {error}"),
            Self::Failed(fault) => f.write_str(fault.label()),
            Self::Body(text) => write!(f, "body: {text}"),
            Self::TimedOut => f.write_str("took too long"),
            Self::Json(error) => write!(f, "answer: {error}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// Connections that may carry another question, at most one an address.
type IdleLinks = Arc<Mutex<HashMap<SocketAddr, HttpConnection>>>;

/// Sends calls; clones share what is kept.
#[derive(Clone)]
pub struct HttpClient {
    limits: ClientLimits,
    /// None where every call has a connection of its own.
    idle: Option<IdleLinks>,
}

impl HttpClient {
    /// A client that opens a connection for every call.
    pub fn new(limits: ClientLimits) -> Self {
        Self { limits, idle: None }
    }

    /// A client for short questions that are asked again and again. It keeps its connections: one
    /// that went silent costs one question its time limit and is dropped.
    pub fn with_keep_alive(limits: ClientLimits) -> Self {
        Self {
            limits,
            idle: Some(IdleLinks::default()),
        }
    }

    /// Sends a call and waits for the head of its answer.
    pub async fn send(&self, call: ClientRequest) -> Result<ClientResponse, ClientError> {
        self.send_with_timeout(call, self.limits.response_timeout)
            .await
    }

    /// Sends a call whose answer has another time limit than those of this client.
    pub async fn send_with_timeout(
        &self,
        call: ClientRequest,
        limit: Duration,
    ) -> Result<ClientResponse, ClientError> {
        let due = Instant::now() + limit;
        let request = call
            .request(self.idle.is_some())
            .map_err(ClientError::Malformed)?;
        let mut link = match self.take(call.address) {
            Some(link) => link,
            None => HttpConnection::open(call.address, self.limits.connect_timeout.min(limit))
                .await
                .map_err(ClientError::Unreachable)?,
        };
        let response = timeout_at(due, link.send(request, call.body.len()))
            .await
            .map_err(|_| ClientError::TimedOut)?
            .map_err(ClientError::Failed)?;
        let keep = self
            .idle
            .clone()
            .filter(|_| response.status().as_u16() < 500);
        Ok(ClientResponse {
            response,
            link,
            due,
            body_bytes: self.limits.body_bytes,
            keep: keep.map(|idle| (idle, call.address)),
        })
    }

    fn take(&self, address: SocketAddr) -> Option<HttpConnection> {
        let mut idle = lock(self.idle.as_ref()?);
        idle.remove(&address).filter(HttpConnection::usable)
    }
}

fn lock(idle: &IdleLinks) -> MutexGuard<'_, HashMap<SocketAddr, HttpConnection>> {
    idle.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An answer whose head has come.
pub struct ClientResponse {
    response: Response<Incoming>,
    link: HttpConnection,
    due: Instant,
    body_bytes: usize,
    /// Where the connection goes once the body was read.
    keep: Option<(IdleLinks, SocketAddr)>,
}

impl ClientResponse {
    /// The status.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// The text of a header; none where it is absent or no text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers().get(name)?.to_str().ok()
    }

    /// Reads the body whole.
    pub async fn bytes(self) -> Result<Bytes, ClientError> {
        let body = Limited::new(self.response.into_body(), self.body_bytes).collect();
        let body = timeout_at(self.due, body)
            .await
            .map_err(|_| ClientError::TimedOut)?
            .map_err(|error| ClientError::Body(error.to_string()))?;
        if let Some((idle, address)) = self.keep {
            let mut idle = lock(&idle);
            if idle.len() >= IDLE_LINKS {
                idle.retain(|_, link| link.usable());
            }
            idle.insert(address, self.link);
        }
        Ok(body.to_bytes())
    }

    /// Reads the body whole, as JSON.
    pub async fn json<T: DeserializeOwned>(self) -> Result<T, ClientError> {
        let body = self.bytes().await?;
        serde_json::from_slice(&body).map_err(ClientError::Json)
    }

    /// The body as it comes, and the connection that must live as long as it is read.
    pub fn into_stream(self) -> (BodyDataStream<Incoming>, HttpConnection) {
        (self.response.into_body().into_data_stream(), self.link)
    }
}
