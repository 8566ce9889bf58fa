//! Passes calls on to other routers: all while this one reaches no upstream, those that take streams up
//! while it does not read the store.
//!
//! The other router handles the call like any other of its callers: it checks the key and chooses the
//! upstream. It goes on with the attempts that this router has left. A mark in the request keeps it
//! from passing the call on again; a caller that sends the mark only forgoes this.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::dialect::EdgeDialect;
use crate::forward::body_budget::BodyBudget;
use crate::forward::chunk_source::ChunkSource;
use crate::forward::http_connection::HttpConnection;
use crate::forward::traffic_state::{RelaySlot, TrafficState};
use crate::forward::upstream_response::{CallPlan, FullResponse};
use crate::mono::{MonoTime, ProcessClock};
use crate::policy::call_attempts::{AttemptFault, CallFailure, RunVerdict};
use crate::policy::spent_attempts::SpentAttempts;

/// Timeout of a connection to another router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of routers that one call is offered to.
const MAX_OFFERS: usize = 5;

/// The same for a call that takes a stream up: any router that reads the store is as good.
const MAX_TAKE_UP_OFFERS: usize = 2;

/// Statuses by which a router says that it did not run a call and will not.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// The response of another router.
pub enum RelayedResponse {
    /// A response with its complete body.
    Full(FullResponse),
    /// An event stream in progress.
    Stream(Box<RelayedStream>),
}

/// An event stream from another router.
pub struct RelayedStream {
    pub status: StatusCode,
    pub headers: HeaderMap,
    body: Incoming,
    connection: HttpConnection,
    deadline: MonoTime,
    clock: ProcessClock,
    /// Counts the call until its stream has ended.
    _slot: RelaySlot,
}

impl RelayedStream {
    /// Reads the whole body, if it fits into the memory for such bodies.
    pub async fn read_to_end(mut self, budget: &BodyBudget) -> Result<FullResponse, CallFailure> {
        let next = async || self.next_chunk().await;
        let body = budget.read_body(next, CallFailure::Unknown).await?;
        Ok(FullResponse {
            status: self.status,
            headers: self.headers,
            body,
        })
    }

    async fn next_frame(&mut self) -> Result<Option<Bytes>, CallFailure> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| CallFailure::Unknown)?;
            self.connection.record_body();
            // Trailers are not part of the body.
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
        Ok(None)
    }
}

impl ChunkSource for RelayedStream {
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, CallFailure> {
        let next = timeout(self.time_left(), self.next_frame()).await;
        next.unwrap_or(Err(CallFailure::Late))
    }

    fn time_left(&self) -> Duration {
        self.deadline.since(self.clock.now())
    }
}

/// Why a call is passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayReason {
    /// This router reaches no upstream.
    Stranded,
    /// The call takes a stream up, and this router does not read the store.
    TakeUp,
}

impl RelayReason {
    fn label(self) -> &'static str {
        match self {
            Self::Stranded => "stranded",
            Self::TakeUp => "take-up",
        }
    }
}

/// A call that is offered to other routers.
pub struct CallRelay<'a, D: EdgeDialect> {
    state: &'a Rc<TrafficState<D>>,
    plan: &'a CallPlan,
    reason: RelayReason,
    /// What the attempts of this router have used up.
    spent: SpentAttempts,
    /// The routers to offer it to.
    peers: Vec<Ipv4Addr>,
}

impl<'a, D: EdgeDialect> CallRelay<'a, D> {
    /// Returns `None` if the call must not be passed on, or need not.
    pub fn for_call(
        state: &'a Rc<TrafficState<D>>,
        plan: &'a CallPlan,
        spent: SpentAttempts,
    ) -> Option<Self> {
        (!plan.head.is_relayed && state.is_stranded()).then(|| Self {
            state,
            plan,
            reason: RelayReason::Stranded,
            spent,
            peers: state.relay_peers(),
        })
    }

    /// Passes a call on that takes a stream up, since this router does not read the store. Returns `None`
    /// if the call must not be passed on, or if no router is known that may go on with it.
    pub fn for_take_up(
        state: &'a Rc<TrafficState<D>>,
        plan: &'a CallPlan,
        spent: SpentAttempts,
    ) -> Option<Self> {
        let mut peers = state.relay_peers();
        let now = state.now();
        let streams = state.board.stream_versions();
        peers.retain(|&peer| streams.may_take_up(peer, now));
        peers.truncate(MAX_TAKE_UP_OFFERS);
        (!plan.head.is_relayed && !peers.is_empty()).then_some(Self {
            state,
            plan,
            reason: RelayReason::TakeUp,
            spent,
            peers,
        })
    }

    /// Offers the call to other routers until one takes it. Fails with [`CallFailure::NotRun`] if none
    /// does.
    pub async fn run(&self) -> Result<RelayedResponse, CallFailure> {
        let mut refusal = None;
        for &peer in self.peers.iter().take(MAX_OFFERS) {
            let left = self.plan.deadline.since(self.state.now());
            let slot = self.state.open_relay().ok_or(CallFailure::NotRun)?;
            let offer = timeout(left, self.offer(peer, slot)).await;
            match offer {
                Err(_) => return Err(CallFailure::Late),
                Ok(Ok((RelayedResponse::Full(response), sends))) if is_not_run(&response) => {
                    let outcome = if sends > 0 { "not-run" } else { "refused" };
                    self.log(peer, outcome, response.status);
                    refusal = Some(response);
                    // Its way to the upstreams is not lost.
                    if sends > 0 {
                        break;
                    }
                }
                Ok(Ok((response, _))) => {
                    let status = match &response {
                        RelayedResponse::Full(response) => response.status,
                        RelayedResponse::Stream(stream) => stream.status,
                    };
                    self.log(peer, "taken", status);
                    return Ok(response);
                }
                Ok(Err(fault)) => {
                    self.log(peer, fault.label(), StatusCode::BAD_GATEWAY);
                    self.state.avoid_relay_peer(peer);
                    if fault.verdict() != RunVerdict::NotRun {
                        return Err(CallFailure::Unknown);
                    }
                }
            }
        }
        refusal.map_or(Err(CallFailure::NotRun), |response| {
            Ok(RelayedResponse::Full(response))
        })
    }

    /// Returns the response of a router, and how often it has sent the call in vain.
    async fn offer(
        &self,
        peer: Ipv4Addr,
        slot: RelaySlot,
    ) -> Result<(RelayedResponse, u32), AttemptFault> {
        let port = self.state.board.settings.load().front.port();
        let address = SocketAddrV4::new(peer, port);
        let mut connection = HttpConnection::open(address.into(), CONNECT_TIMEOUT)
            .await
            .map_err(|_| AttemptFault::Unreachable)?;
        let left = self.plan.deadline.since(self.state.now());
        let spent = self.state.seal_spent(self.plan, &self.spent);
        let dialect = &self.state.dialect;
        let headers = dialect.relayed_call_headers(&self.plan.head, left, &spent);
        let request = self.plan.request(headers).ok_or(AttemptFault::Unsent)?;
        let response = connection.send(request, self.plan.body.len()).await?;
        let (mut parts, body) = response.into_parts();
        // Callers don't see it.
        let sends = parts.headers.remove(dialect.sends_header());
        let sends = sends.as_ref().and_then(|sends| sends.to_str().ok());
        let sends = sends.and_then(|sends| sends.parse().ok()).unwrap_or(0);
        let stream = RelayedStream {
            status: parts.status,
            headers: parts.headers,
            body,
            connection,
            deadline: self.plan.deadline,
            clock: self.state.clock,
            _slot: slot,
        };
        if stream.status.is_success() && self.plan.route.kind.streams() {
            return Ok((RelayedResponse::Stream(Box::new(stream)), sends));
        }
        let response = stream.read_to_end(&self.state.body_budget).await;
        response
            .map(|response| (RelayedResponse::Full(response), sends))
            .map_err(|_| AttemptFault::Broken)
    }

    fn log(&self, peer: Ipv4Addr, outcome: &str, status: StatusCode) {
        let telemetry = &self.state.telemetry;
        let labels = [self.reason.label(), outcome];
        telemetry.relayed.with_label_values(&labels).inc();
        if outcome == "taken" && !self.state.may_log_call() {
            return;
        }
        spdlog::info!("call-relayed", kv: {
            id: = String::from_utf8_lossy(&self.plan.head.request_id), peer: = peer,
            reason: = self.reason.label(), outcome: = outcome, sends: = self.spent.sends,
            status: = status.as_u16(),
            ms: = self.state.now().since(self.plan.began).as_millis()
        });
    }
}

/// Whether a router, and not an upstream, says that the call did not run.
fn is_not_run(response: &FullResponse) -> bool {
    NOT_RUN_STATUSES.contains(&response.status)
}
