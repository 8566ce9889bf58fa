//! Interface between forwarding and the headers and paths of a platform.
//!
//! A dialect parses the heads of requests and responses into typed values and writes them back. It
//! contains no routing decisions.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, StatusCode};

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::ids::{AccountId, CallTag, DataCenterId, PartTag, StreamTag, UpstreamId};
use crate::route::PriorityRank;
use crate::units::{RequestRate, RetryDelay, WorkPace};

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Hash of the id of the part.
    pub hash: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// A prefix of a prompt, made of one or more parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPrefix {
    /// Hash over all parts of the prefix.
    pub hash: u64,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

impl PromptPrefix {
    /// The prefix of a prompt that other requests may share. It excludes the last part, unless that is
    /// the only one.
    pub fn shared(prompt: &[PromptPart]) -> Option<Self> {
        let shared = match prompt.len() {
            0 | 1 => prompt.len(),
            count => count - 1,
        };
        let empty = Self { hash: 0, tokens: 0 };
        let prefix = prompt[..shared].iter().fold(empty, |prefix, part| {
            let hash = xxh3_64_with_seed(&part.hash.to_le_bytes(), prefix.hash);
            let tokens = prefix.tokens.saturating_add(part.tokens);
            Self { hash, tokens }
        });
        (shared > 0).then_some(prefix)
    }
}

/// The tokens of a call, as its caller counts them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Maximum number of tokens of the response.
    pub max_output: u32,
}

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Id that the caller gave the request.
    pub request_id: Bytes,
    /// Value of the host header.
    pub host: String,
    /// Method, forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded byte for byte.
    pub target: String,
    /// How long the caller waits for the call; `None` if it named no deadline.
    pub timeout: Option<Duration>,
    /// API key of the caller.
    pub key: Option<Bytes>,
    /// Parts of the prompt in order. If there are several, the last one belongs to this request or
    /// its chat only.
    pub prompt: Vec<PromptPart>,
    /// The tokens of the call; `None` if the caller stated none that can be read.
    pub usage: Option<TokenUsage>,
    /// Tokens that the caller expects in the response; `None` if it stated no number. Accurate at the
    /// median, and often far off.
    pub length_hint: Option<u32>,
    /// Last event that the caller received of an interrupted response; `None` for a new call.
    pub resume_after: Option<u64>,
    /// Id of the request that brought the first event of the interrupted response.
    pub resumes: Option<Bytes>,
    /// Whether another router passed the call on.
    pub is_relayed: bool,
    /// What the attempts of that router have used up, as it wrote it; `None` if it wrote nothing, empty
    /// if there are several accounts.
    pub spent: Option<Bytes>,
    /// Headers to forward to the upstream, without connection headers and those that only the
    /// router may set.
    pub headers: HeaderMap,
}

impl CallHead {
    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The parts of the prompt that other requests may share: all but the last.
    pub fn shared_parts(&self) -> impl Iterator<Item = PartTag> {
        let shared = self.prompt.len().saturating_sub(1);
        self.prompt[..shared].iter().map(|part| PartTag(part.hash))
    }

    /// The tag of the whole work of this call of `account`, whose complete body is `body`.
    ///
    /// It covers the method, host, path and query, the client account and the body. It leaves out
    /// what differs when the same work is sent again: the request id, the deadline, the key (an
    /// account may have several), the last event that the caller received and all other headers.
    pub fn work_tag(&self, account: Option<&AccountId>, body: &[u8]) -> CallTag {
        CallTag(hash_fields(&[
            self.method.as_str().as_bytes(),
            self.host.as_bytes(),
            self.target.as_bytes(),
            account.map_or(&b""[..], |account| account.as_str().as_bytes()),
            body,
        ]))
    }

    /// The tag of the stream of `account` whose first event the request `first_id` brought. Requests
    /// of other accounts or to other paths are other streams, whatever they name.
    pub fn stream_tag(&self, account: Option<&AccountId>, first_id: &[u8]) -> StreamTag {
        StreamTag::of_stream(hash_fields(&[
            self.host.as_bytes(),
            self.path().as_bytes(),
            account.map_or(&b""[..], |account| account.as_str().as_bytes()),
            first_id,
        ]))
    }

    /// The prefix of the prompt that other requests may share. It excludes the last part, which
    /// belongs to the request or its chat, unless that is the only part.
    pub fn shared_prefix(&self) -> Option<PromptPrefix> {
        PromptPrefix::shared(&self.prompt)
    }
}

fn hash_fields(fields: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for field in fields {
        // The length keeps the end of one field and the start of the next apart.
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.digest()
}

/// Why the head of a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadFault {
    /// Status of the response to the caller.
    pub status: StatusCode,
    /// Description of the fault for the caller.
    pub reason: &'static str,
}

/// What the router adds to a call that it forwards to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCallHead<'a> {
    /// The only upstream that may run the call.
    pub upstream: &'a UpstreamId,
    /// Client account of the caller.
    pub account: Option<&'a AccountId>,
    /// Time until the deadline of the call.
    pub time_left: Duration,
    /// Rank of the call in the upstream's queue.
    pub rank: PriorityRank,
    /// Last event that the caller received; the upstream resumes after it.
    pub resume_after: Option<u64>,
    /// Upstream from which this one may copy cached parts of the prompt.
    pub cache_source: Option<SocketAddr>,
}

/// Load of an upstream, as the upstream reports it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of running calls.
    pub running: u32,
    /// Number of queued calls.
    pub waiting: u32,
    /// Number of calls that the upstream runs at a time; `None` if the report does not say, or was
    /// passed on by another router.
    pub slots: Option<u32>,
    /// How long work takes there now; `None` if the report does not say, or was passed on by another
    /// router.
    pub pace: Option<WorkPace>,
}

impl LoadReport {
    /// Returns the number of running and queued calls.
    pub fn calls(self) -> u64 {
        u64::from(self.running) + u64::from(self.waiting)
    }
}

/// What an upstream's response says about a limit on the requests that it takes per second from all
/// routers together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateStatement {
    /// The upstream sets no limit, or no longer.
    #[default]
    Unlimited,
    Limit(RequestRate),
    /// The statement can't be read, so that what the upstream said before holds on.
    Unreadable,
}

/// What an upstream's response says about how long the upstream is cold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ColdStatement {
    /// It says nothing.
    #[default]
    Silent,
    /// The upstream is cold for this time; zero if it is not.
    For(Duration),
    /// The statement can't be read.
    Unreadable,
}

/// What the headers of an upstream's response contain.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// Id of the request that the response belongs to.
    pub request_id: Option<Bytes>,
    /// Whether the upstream states that it did not run the call.
    pub not_executed: bool,
    /// Whether the response has the upstream's stamp, which shows that the upstream itself made it.
    pub stamped: bool,
    /// Load of the upstream at the response.
    pub load: Option<LoadReport>,
    pub rate: RateStatement,
    /// Whether the upstream states that it leaves.
    pub leaving: bool,
    /// How long the upstream wants no requests from this router, if it turned this one away with
    /// status 503.
    pub retry_after: Option<RetryDelay>,
    pub cold: ColdStatement,
}

/// A caller's request for router addresses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocateRequest {
    /// Data centre of the caller; `None` if it named none, or one with an invalid name.
    pub data_center: Option<DataCenterId>,
}

/// The response to a [`LocateRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocateResponse {
    /// Addresses of routers, as `IP:PORT`.
    pub addresses: Vec<String>,
    /// How long the caller may cache the addresses.
    pub ttl: Duration,
}

/// Parses and writes the headers and paths of a platform.
pub trait EdgeDialect: Clone + Send + 'static {
    /// Parses the head of a caller's request; `headers` are as received.
    fn read_request_head(
        &self,
        method: Method,
        target: &str,
        headers: &HeaderMap,
    ) -> Result<CallHead, HeadFault>;

    /// Parses the parts of a prompt as callers send them; `None` if the text is not such a list.
    fn read_prompt_parts(&self, text: &str) -> Option<Vec<PromptPart>>;

    /// Returns the id of a request for the log, or an empty text if it has none.
    fn request_id<'a>(&self, headers: &'a ntex::http::HeaderMap) -> &'a str;

    /// Builds the headers of a call to an upstream, without connection headers.
    fn upstream_call_headers(
        &self,
        call: &CallHead,
        upstream_head: &UpstreamCallHead<'_>,
    ) -> HeaderMap;

    /// Builds the headers of a call that is passed on to another router, whose caller waits for
    /// `time_left`; `spent` is what the attempts of this router have used up.
    fn relayed_call_headers(&self, call: &CallHead, time_left: Duration, spent: &str) -> HeaderMap;

    /// The header in which a router that refuses a call tells the router that passed it on how often
    /// it has sent it.
    fn sends_header(&self) -> HeaderName;

    /// Parses the head of an upstream's response.
    fn read_response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Whether `path` is that of the readiness check.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Parses a request for router addresses. Returns `None` for any other path.
    fn read_locate_request(&self, target: &str) -> Option<LocateRequest>;

    /// Returns the body and the content type of a response with router addresses.
    fn locate_response_body(&self, response: &LocateResponse) -> (Bytes, &'static str);
}
