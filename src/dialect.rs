//! The seam between forwarding and the words on the wire.
//!
//! A dialect reads heads of requests and answers into typed values and writes them back. It
//! decides nothing.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{AccountId, UpstreamId};
use crate::route::PriorityRank;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Hash of the part's identity.
    pub hash: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Parts from the start of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPrefix {
    /// Hash of all the parts.
    pub hash: u64,
    /// Their length in tokens.
    pub tokens: u32,
}

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// The caller's id of the request.
    pub request_id: Bytes,
    /// The host that the caller named.
    pub host: String,
    /// Method, passed on unchanged.
    pub method: Method,
    /// Path and query, passed on byte for byte.
    pub target: String,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub key: Option<Bytes>,
    /// Parts of the prompt in order; the last one belongs to the request or its chat alone.
    pub prompt: Vec<PromptPart>,
    /// The last event of an earlier answer that the caller has.
    pub resume_after: Option<u64>,
    /// Headers that go on to the upstream, without those of the connection and those that only
    /// the router sets.
    pub headers: HeaderMap,
}

impl CallHead {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The parts that other requests share. The last part belongs to the request or its chat, unless
    /// it is the only one.
    pub fn shared_prefix(&self) -> Option<PromptPrefix> {
        let shared = match self.prompt.len() {
            0 | 1 => self.prompt.len(),
            count => count - 1,
        };
        let start = PromptPrefix { hash: 0, tokens: 0 };
        let run = self.prompt[..shared].iter().fold(start, |run, part| {
            let hash = xxh3_64_with_seed(&part.hash.to_le_bytes(), run.hash);
            let tokens = run.tokens.saturating_add(part.tokens);
            PromptPrefix { hash, tokens }
        });
        (shared > 0).then_some(run)
    }
}

/// Why a request's head is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadFault {
    /// The status of the refusal.
    pub status: StatusCode,
    /// What is wrong.
    pub reason: &'static str,
}

/// What the router tells an upstream about a call.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCallHead<'a> {
    /// The only upstream that may run the call.
    pub upstream: &'a UpstreamId,
    /// The account of the caller.
    pub account: Option<&'a AccountId>,
    /// The time that is left for the call.
    pub time_left: Duration,
    /// Rank of the call in the upstream's queue.
    pub rank: PriorityRank,
    /// The last event that the caller has.
    pub resume_after: Option<u64>,
    /// An upstream to copy the parts of the prompt from that this one lacks.
    pub cache_source: Option<SocketAddr>,
}

/// Calls at an upstream, as it reports them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
}

/// What an upstream says in the head of an answer beside its status.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// The request that it answers.
    pub request_id: Option<Bytes>,
    /// It says that it did not run the call.
    pub not_executed: bool,
    /// It vouches for the answer.
    pub signed: bool,
    /// Its load.
    pub load: Option<LoadReport>,
}

/// A caller's question for addresses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocateRequest {
    /// The caller's data centre, if it named one.
    pub data_center: Option<String>,
}

/// Addresses for a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocateResponse {
    /// Where to connect, as `IP:PORT`.
    pub addresses: Vec<String>,
    /// How long the answer holds.
    pub life: Duration,
}

/// Reads and writes the words on the wire.
pub trait EdgeDialect: Clone + Send + 'static {
    /// Reads the head of a caller's request; `headers` are as received.
    fn read_request_head(
        &self,
        method: Method,
        target: &str,
        headers: &HeaderMap,
    ) -> Result<CallHead, HeadFault>;

    /// The id of a request, for the log; empty if it has none.
    fn request_id<'a>(&self, headers: &'a ntex::http::HeaderMap) -> &'a str;

    /// The headers of the call at an upstream, without those of the connection.
    fn upstream_call_headers(&self, call: &CallHead, order: &UpstreamCallHead<'_>) -> HeaderMap;

    /// Reads what an upstream says in the head of an answer.
    fn read_response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Whether a path asks if the router is ready.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Reads a question for addresses; none for any other path.
    fn read_locate_request(&self, target: &str) -> Option<LocateRequest>;

    /// The body of an answer with addresses, and its content type.
    fn locate_response_body(&self, answer: &LocateResponse) -> (Bytes, &'static str);
}
