//! Handles one request of a caller: admission, forwarding and the response.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use ntex::http::body::ResponseBody;
use ntex::http::{ConnectionType, Version};
use ntex::io::IoRef;
use tokio::sync::mpsc::{Sender, channel};
use tokio::time::timeout;

use crate::dialect::{CallHead, EdgeDialect};
use crate::forward::body_parts::BodyParts;
use crate::forward::call_relay::{CallRelay, RelayedResponse};
use crate::forward::caller_connections::CallerBusyGuard;
use crate::forward::chunk_source::ChunkSource;
use crate::forward::connection_headers::{connection_options, is_hop_by_hop};
use crate::forward::framing_limit::await_overlong_framing;
use crate::forward::front_call::FrontCall;
use crate::forward::http_connection::TaskGuard;
use crate::forward::memory_room::{BodyRoom, MemoryRoom};
use crate::forward::relay_body::{GuardedBody, RelayBody, StreamChunk};
use crate::forward::traffic_state::TrafficState;
use crate::forward::upstream_response::{CallPlan, FullResponse, OpenStream, UpstreamResponse};
use crate::forward_board::ForwardStage;
use crate::mono::MonoTime;
use crate::policy::boot_refusal::boot_retry_after;
use crate::policy::call_attempts::CallFailure;
use crate::policy::memory_budget::ClientKey;
use crate::policy::spent_attempts::SpentAttempts;
use crate::route::{AccountGrant, RouteRule, RouteTable};

/// A response to a caller.
pub type FrontResponse = ntex::http::Response<RelayBody>;

/// Value of `retry-after` for calls that did not run, because this router or its upstreams could
/// not take them.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Value of `retry-after` for calls whose bodies have no room. Bodies that stall lose theirs in about
/// this time.
const ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Value of `retry-after` for calls that can't take up a stream since no upstream of its version takes
/// calls: new ones take about as long.
const VERSION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Value of `retry-after` for calls of accounts whose names no header can carry, until another
/// configuration renames them.
const ACCOUNT_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Number of stream chunks that are buffered for a slow caller while there is memory, and one
/// otherwise. A chunk has up to 64 KB, or one event, if the upstream sends faster than the caller reads.
const MAX_BUFFERED_CHUNKS: usize = 4;

/// A response that this router generates itself, without an upstream.
#[derive(Clone, Copy, Debug)]
struct LocalResponse {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Duration>,
    /// How often this router has sent a call in vain that another one passed on.
    sends: Option<u32>,
}

impl LocalResponse {
    fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
            sends: None,
        }
    }

    /// Creates the response to a call that did not run, with a `retry-after` header.
    fn not_run(reason: &'static str) -> Self {
        Self {
            retry_after: Some(NOT_RUN_RETRY_AFTER),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }

    /// Creates the response to a call that is open when this router ends.
    fn stopped() -> Self {
        let reason = "router stopped before the upstream answered";
        Self::new(StatusCode::BAD_GATEWAY, reason)
    }
}

impl From<CallFailure> for LocalResponse {
    fn from(failure: CallFailure) -> Self {
        match failure {
            CallFailure::NotRun => Self::not_run("no upstream ran the call"),
            CallFailure::Unknown => {
                Self::new(StatusCode::BAD_GATEWAY, "the upstream's answer was lost")
            }
            CallFailure::Held(retry_after) => Self {
                retry_after: Some(retry_after),
                ..Self::not_run("the request crashes upstreams")
            },
            CallFailure::Limited(retry_after) => Self {
                retry_after: Some(retry_after),
                ..Self::not_run("the upstreams take no more requests now")
            },
            CallFailure::UnknownVersion(retry_after) => Self {
                retry_after: Some(retry_after),
                ..Self::not_run("it is not known which software version began the stream")
            },
            CallFailure::VersionGone => Self {
                retry_after: Some(VERSION_RETRY_AFTER),
                ..Self::not_run("the software version that began the stream is gone")
            },
            CallFailure::Declined(retry_after) => Self {
                retry_after: Some(retry_after),
                ..Self::not_run("the upstreams want no requests now")
            },
            CallFailure::Late => Self::new(
                StatusCode::GATEWAY_TIMEOUT,
                "no answer within the time limit",
            ),
        }
    }
}

/// Counts a call as open on the board until it is dropped.
struct OpenCallGuard<D>(Rc<TrafficState<D>>);

impl<D> OpenCallGuard<D> {
    fn new(state: Rc<TrafficState<D>>) -> Self {
        state.board.calls.fetch_add(1, Ordering::Relaxed);
        Self(state)
    }
}

impl<D> Drop for OpenCallGuard<D> {
    fn drop(&mut self) {
        self.0.board.calls.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The connection on which a call arrived.
struct CallerConnection {
    /// `None` if the connection is gone.
    io: Option<IoRef>,
    /// Whether the caller's version of HTTP has chunks. Without them, a stream that breaks off looks
    /// complete.
    has_chunks: bool,
}

/// Measures the time of a call from its complete request to the end of its response.
struct CallTimer<D> {
    state: Rc<TrafficState<D>>,
    route: Arc<RouteRule>,
    started: MonoTime,
}

impl<D: EdgeDialect> CallTimer<D> {
    fn start(state: Rc<TrafficState<D>>, plan: &CallPlan) -> Self {
        Self {
            started: state.now(),
            route: Arc::clone(&plan.route),
            state,
        }
    }

    fn record(self) {
        let time = self.state.now().since(self.started);
        self.state.record_call_time(&self.route, time);
    }
}

/// Handles a request and returns the response, whose body may be a stream in progress.
pub async fn handle_call<D: EdgeDialect>(
    state: Rc<TrafficState<D>>,
    mut request: ntex::http::Request,
) -> ntex::http::Response<GuardedBody> {
    let open = OpenCallGuard::new(Rc::clone(&state));
    let began = state.now();
    let caller = CallerConnection {
        io: request.io().cloned(),
        has_chunks: request.version() >= Version::HTTP_11,
    };
    // The HTTP library leaves the timer of the head running, and closes the connection after the
    // response if it ends in the meantime.
    if let Some(io) = &caller.io {
        io.stop_timer();
    }
    let busy = caller
        .io
        .clone()
        .map(|io| CallerBusyGuard::new(Rc::clone(&state.callers), io));
    let result = match admit(&state, &mut request, began).await {
        Ok(plan) => serve(&state, plan, caller, open).await,
        Err(refusal) => {
            if state.may_log_refusal() {
                let routes = state.board.routes.load();
                let version = routes.as_ref().map_or(0, |table| table.version.0);
                spdlog::info!("call-refused", kv: {
                    id: = state.dialect.request_id(request.headers()),
                    status: = refusal.status.as_u16(), reason: = refusal.reason,
                    path: = request.uri().path(), config: = version,
                    belief_ms: = state.store_age_ms(), stage: = state.board.stage().label()
                });
            }
            state
                .telemetry
                .calls
                .with_label_values(&["none", "refused"])
                .inc();
            Err(refusal)
        }
    };
    let mut response = result.unwrap_or_else(|local| local_response(&state.dialect, &local));
    if state.board.stage() >= ForwardStage::Leaving {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response.map_body(|_, body| match body {
        ResponseBody::Body(body) => ResponseBody::Body(GuardedBody::new(body, busy)),
        ResponseBody::Other(body) => ResponseBody::Other(body),
    })
}

/// Reads a request, finds its route in the configuration in force and authenticates the caller.
async fn admit<D: EdgeDialect>(
    state: &Rc<TrafficState<D>>,
    request: &mut ntex::http::Request,
    began: MonoTime,
) -> Result<CallPlan, LocalResponse> {
    if state.board.stage() == ForwardStage::Closing {
        return Err(LocalResponse::not_run("router stops"));
    }
    let Some(table) = state.board.routes.load_full() else {
        // The clock starts with the process, which has had no configuration since.
        let draw = (state.draw() as f64) / (u64::MAX as f64);
        return Err(LocalResponse {
            retry_after: Some(boot_retry_after(began.since(MonoTime::default()), draw)),
            ..LocalResponse::not_run("no configuration yet")
        });
    };
    let headers = copy_request_headers(request, &table)?;
    let method = Method::from_bytes(request.method().as_str().as_bytes())
        .map_err(|_| LocalResponse::new(StatusCode::BAD_REQUEST, "method"))?;
    let target = request
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let head = state
        .dialect
        .read_request_head(method, target, &headers)
        .map_err(|fault| LocalResponse::new(fault.status, fault.reason))?;
    let route = table
        .find(&head.host, head.path())
        .cloned()
        .ok_or(LocalResponse::new(StatusCode::NOT_FOUND, "no route"))?;
    let grant = authenticate(&table, &route, &head)?;
    let limit = head.timeout.unwrap_or(route.time_limit);
    let deadline = began + limit.min(route.time_limit);
    check_stop(state, &route, deadline)?;
    let body_bytes = table.limits.body_bytes.0 as usize;
    let client = ClientKey {
        address: request.peer_addr().map(|address| address.ip()),
        account: grant.as_ref().map(|grant| grant.account.clone()),
    };
    let (body, room) = read_body(state, request, client, body_bytes, deadline).await?;
    // The body may have taken most of the time that was left.
    check_stop(state, &route, deadline)?;
    Ok(CallPlan {
        table,
        route,
        grant,
        head,
        body,
        room,
        began,
        deadline,
    })
}

/// Refuses a call that a stopping router could not answer before its end.
fn check_stop<D: EdgeDialect>(
    state: &Rc<TrafficState<D>>,
    route: &RouteRule,
    deadline: MonoTime,
) -> Result<(), LocalResponse> {
    if state.admits(route, deadline) {
        Ok(())
    } else {
        Err(LocalResponse::not_run("router stops before the end"))
    }
}

/// Copies the headers of a request. Fails if they exceed the configured size.
fn copy_request_headers(
    request: &ntex::http::Request,
    table: &RouteTable,
) -> Result<HeaderMap, LocalResponse> {
    let mut headers = HeaderMap::with_capacity(request.headers().len());
    let mut bytes = request.uri().path().len();
    for (name, value) in request.headers() {
        bytes += name.as_str().len() + value.as_bytes().len() + 4;
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (HeaderName::from_bytes(name.as_str().as_bytes()), value) {
            headers.append(name, value);
        }
    }
    if bytes as u64 > table.limits.head_bytes.0 {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(LocalResponse::new(status, "head too large"));
    }
    Ok(headers)
}

fn authenticate(
    table: &RouteTable,
    route: &RouteRule,
    head: &CallHead,
) -> Result<Option<Arc<AccountGrant>>, LocalResponse> {
    if route.public || !table.needs_keys() {
        return Ok(None);
    }
    let grant = head
        .key
        .as_ref()
        .and_then(|key| table.grant(key))
        .ok_or(LocalResponse::new(StatusCode::UNAUTHORIZED, "unknown key"))?;
    if !grant.account.is_header_text() {
        return Err(LocalResponse {
            retry_after: Some(ACCOUNT_RETRY_AFTER),
            ..LocalResponse::not_run("upstreams can't be told the account's name")
        });
    }
    Ok(Some(Arc::clone(grant)))
}

async fn read_body<D: EdgeDialect>(
    state: &Rc<TrafficState<D>>,
    request: &mut ntex::http::Request,
    client: ClientKey,
    limit: usize,
    deadline: MonoTime,
) -> Result<(Bytes, BodyRoom), LocalResponse> {
    let too_large = LocalResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
    let announced = announced_length(request);
    if announced.is_some_and(|bytes| bytes > limit) {
        return Err(too_large);
    }
    let no_room = || LocalResponse {
        retry_after: Some(ROOM_RETRY_AFTER),
        ..LocalResponse::not_run("no memory for the body now")
    };
    let room = state
        .memory
        .open_body(client, announced, limit)
        .ok_or_else(no_room)?;
    let mut payload = request.take_payload();
    let connection = request.io();
    let too_slow = LocalResponse::new(StatusCode::REQUEST_TIMEOUT, "body too slow");
    let mut body = BodyParts::default();
    loop {
        let left = deadline.since(state.now());
        if left.is_zero() {
            return Err(too_slow);
        }
        let next = timeout(left, payload.next());
        let Ok(chunk) = (tokio::select! {
            biased;
            chunk = next => chunk,
            () = await_overlong_framing(connection) => {
                return Err(LocalResponse::new(StatusCode::BAD_REQUEST, "body without chunks"));
            }
            () = room.lost() => return Err(no_room()),
            () = state.board.await_calls_end() => return Err(LocalResponse::not_run("router stops")),
        }) else {
            return Err(too_slow);
        };
        match chunk {
            None if room.complete() => return Ok((body.join(), room)),
            Some(Err(_)) => {
                return Err(LocalResponse::new(StatusCode::BAD_REQUEST, "body broken"));
            }
            Some(Ok(bytes)) if body.len() + bytes.len() > limit => return Err(too_large),
            Some(Ok(bytes)) if room.grow(bytes.len()) => body.push(&bytes),
            None | Some(Ok(_)) => return Err(no_room()),
        }
    }
}

/// Returns the length that a request announces for its body. A malformed one is left to the HTTP
/// library.
fn announced_length(request: &ntex::http::Request) -> Option<usize> {
    let length = request
        .headers()
        .get(ntex::http::header::CONTENT_LENGTH)?
        .to_str()
        .ok()?;
    length.trim().parse().ok()
}

/// Makes the attempts of a call. A caller without chunks gets a stream as a whole.
async fn forward_call<D: EdgeDialect>(
    call: &mut FrontCall<D>,
    has_chunks: bool,
) -> Result<UpstreamResponse<D>, CallFailure> {
    match call.forward().await? {
        UpstreamResponse::Stream(stream) if !has_chunks => {
            let response = call.collect_events(*stream).await?;
            Ok(UpstreamResponse::Full(response))
        }
        response => Ok(response),
    }
}

async fn serve<D: EdgeDialect>(
    state: &Rc<TrafficState<D>>,
    plan: CallPlan,
    caller: CallerConnection,
    open: OpenCallGuard<D>,
) -> Result<FrontResponse, LocalResponse> {
    let timer = CallTimer::start(Rc::clone(state), &plan);
    let plan = Rc::new(plan);
    if let Some(relay) = CallRelay::for_call(state, &plan, SpentAttempts::default()) {
        let kind = plan.route.kind.label();
        let calls = &state.telemetry.calls;
        calls.with_label_values(&[kind, "relayed"]).inc();
        return serve_relayed(state, relay, caller, open).await;
    }
    let mut call = FrontCall::new(Rc::clone(state), Rc::clone(&plan));
    let forwarded = tokio::select! {
        biased;
        forwarded = forward_call(&mut call, caller.has_chunks) => forwarded,
        () = state.board.await_calls_end() => {
            let response = LocalResponse::stopped();
            call.finish("stopped", response.status.as_u16());
            return Err(response);
        }
    };
    match forwarded {
        Ok(UpstreamResponse::Full(response)) => {
            timer.record();
            call.finish("answered", response.status.as_u16());
            Ok(full_response(state, response))
        }
        Ok(UpstreamResponse::Stream(mut stream)) => {
            let (status, headers) = (stream.status, std::mem::take(&mut stream.headers));
            let source = CallStream {
                call,
                stream: Some(*stream),
            };
            let end = move |source: CallStream<D>, outcome| source.finish(outcome, status, timer);
            let task = StreamTask { source, open, end };
            Ok(task.respond(state, status, &headers, caller.io))
        }
        Err(CallFailure::NotRun)
            if let Some(relay) = CallRelay::for_call(state, &plan, call.spent()) =>
        {
            call.finish("relayed", 0);
            drop(call);
            serve_relayed(state, relay, caller, open).await
        }
        Err(CallFailure::UnknownVersion(_) | CallFailure::VersionGone)
            if call.lacks_news()
                && let Some(relay) = CallRelay::for_take_up(state, &plan, call.spent()) =>
        {
            call.finish("relayed", 0);
            drop(call);
            serve_relayed(state, relay, caller, open).await
        }
        Err(failure) => {
            if failure == CallFailure::Late {
                timer.record();
            }
            let response = LocalResponse {
                sends: plan.head.is_relayed.then(|| call.own_sends()),
                ..LocalResponse::from(failure)
            };
            call.finish(failure_label(failure), response.status.as_u16());
            Err(response)
        }
    }
}

/// Passes a call on to another router, since this one reaches no upstream.
async fn serve_relayed<D: EdgeDialect>(
    state: &Rc<TrafficState<D>>,
    relay: CallRelay<'_, D>,
    caller: CallerConnection,
    open: OpenCallGuard<D>,
) -> Result<FrontResponse, LocalResponse> {
    let relayed = tokio::select! {
        biased;
        relayed = relay.run() => relayed?,
        () = state.board.await_calls_end() => return Err(LocalResponse::stopped()),
    };
    match relayed {
        RelayedResponse::Full(response) => Ok(full_response(state, response)),
        RelayedResponse::Stream(mut stream) if caller.has_chunks => {
            let (status, headers) = (stream.status, std::mem::take(&mut stream.headers));
            let task = StreamTask {
                source: *stream,
                open,
                end: |_, _| {},
            };
            Ok(task.respond(state, status, &headers, caller.io))
        }
        RelayedResponse::Stream(stream) => {
            let response = stream.read_to_end(&state.body_budget).await?;
            Ok(full_response(state, response))
        }
    }
}

fn failure_label(failure: CallFailure) -> &'static str {
    match failure {
        CallFailure::NotRun => "not-run",
        CallFailure::Unknown => "unknown",
        CallFailure::Late => "late",
        CallFailure::Held(_) => "held",
        CallFailure::Limited(_) => "limited",
        CallFailure::Declined(_) => "declined",
        CallFailure::UnknownVersion(_) => "version-unknown",
        CallFailure::VersionGone => "version-gone",
    }
}

fn full_response<D: EdgeDialect>(
    state: &Rc<TrafficState<D>>,
    upstream: FullResponse,
) -> FrontResponse {
    // The buffer that the body was read into may be twice as large.
    let room = state.memory.hold_response(2 * upstream.body.len());
    let body = RelayBody::Full(Some(upstream.body), Some(room));
    response_with(upstream.status, &upstream.headers, body)
}

fn response_with(status: StatusCode, headers: &HeaderMap, body: RelayBody) -> FrontResponse {
    let mut response = ntex::http::Response::with_body(status, body);
    copy_response_headers(headers, &mut response);
    response
}

/// A stream of a call that this router serves itself.
struct CallStream<D: EdgeDialect> {
    call: FrontCall<D>,
    /// `None` once the stream has ended.
    stream: Option<OpenStream<D>>,
}

impl<D: EdgeDialect> CallStream<D> {
    fn finish(mut self, outcome: &'static str, status: StatusCode, timer: CallTimer<D>) {
        if outcome == "answered" {
            timer.record();
        }
        self.call.finish(outcome, status.as_u16());
    }
}

impl<D: EdgeDialect> ChunkSource for CallStream<D> {
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, CallFailure> {
        self.call.next_events(&mut self.stream).await
    }

    fn time_left(&self) -> Duration {
        self.call.time_left()
    }
}

/// The task that passes a stream on to a caller.
struct StreamTask<S, D, F> {
    source: S,
    open: OpenCallGuard<D>,
    /// Called with the outcome at the end of the stream.
    end: F,
}

impl<S, D, F> StreamTask<S, D, F>
where
    S: ChunkSource + 'static,
    D: EdgeDialect,
    F: FnOnce(S, &'static str) + 'static,
{
    /// Spawns the task and returns the response that it feeds.
    fn respond(
        self,
        state: &Rc<TrafficState<D>>,
        status: StatusCode,
        headers: &HeaderMap,
        caller: Option<IoRef>,
    ) -> FrontResponse {
        let (sender, chunks) = channel(MAX_BUFFERED_CHUNKS);
        let board = Arc::clone(&state.board);
        let memory = Rc::clone(&state.memory);
        let unread = caller.clone();
        let Self {
            mut source,
            open,
            end,
        } = self;
        let task = TaskGuard::spawn(async move {
            let _open = open;
            let outcome = tokio::select! {
                biased;
                outcome = relay(&mut source, &sender, &memory) => outcome,
                () = board.await_calls_end() => "stopped",
            };
            end(source, outcome);
            // The HTTP library does not poll the body while the caller reads nothing.
            if outcome == "unread"
                && let Some(connection) = unread
            {
                connection.terminate();
            }
        });
        let body = RelayBody::Stream {
            chunks,
            caller,
            ended: false,
            _task: task,
        };
        response_with(status, headers, body)
    }
}

/// Relays a stream to its end, or until the deadline of the call. Returns the outcome for the log.
async fn relay<S: ChunkSource>(
    source: &mut S,
    sender: &Sender<StreamChunk>,
    memory: &Rc<MemoryRoom>,
) -> &'static str {
    loop {
        let chunk = match source.next_chunk().await {
            Ok(Some(events)) => {
                // The buffers that the events are cut from may be twice as large. Together with the
                // other chunks of the stream they are no small body.
                let bytes = 2 * events.len();
                let room = match memory.reserve_response(bytes, usize::MAX) {
                    Some(room) => room,
                    // Where memory is short, a stream holds one chunk.
                    None => match timeout(source.time_left(), await_empty(sender)).await {
                        Ok(()) => memory.hold_response(bytes),
                        Err(_) => return "unread",
                    },
                };
                StreamChunk::Events(events, room)
            }
            Ok(None) => StreamChunk::End,
            Err(failure) => return failure_label(failure),
        };
        let ended = matches!(chunk, StreamChunk::End);
        match timeout(source.time_left(), sender.send(chunk)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return "caller-left",
            Err(_) => return "unread",
        }
        if ended {
            return "answered";
        }
    }
}

/// Waits until all chunks were taken, or the receiver is gone.
async fn await_empty(sender: &Sender<StreamChunk>) {
    // Fails if the receiver is gone, which the next send finds as well.
    let _ = sender.reserve_many(MAX_BUFFERED_CHUNKS).await;
}

/// Copies an upstream's headers to the response, without hop-by-hop headers.
fn copy_response_headers(headers: &HeaderMap, response: &mut FrontResponse) {
    let named = connection_options(headers);
    for (name, value) in headers {
        if is_hop_by_hop(name) || named.iter().any(|token| token == name.as_str()) {
            continue;
        }
        let value = ntex::http::header::HeaderValue::from_bytes(value.as_bytes());
        let name = ntex::http::header::HeaderName::from_bytes(name.as_str().as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
}

fn local_response<D: EdgeDialect>(dialect: &D, local: &LocalResponse) -> FrontResponse {
    let body = RelayBody::Full(Some(Bytes::from_static(local.reason.as_bytes())), None);
    let mut response = ntex::http::Response::with_body(local.status, body);
    if let Some(sends) = local.sends {
        let name = ntex::http::header::HeaderName::from_bytes(dialect.sends_header().as_ref());
        if let Ok(name) = name {
            let value = ntex::http::header::HeaderValue::from(sends);
            response.headers_mut().insert(name, value);
        }
    }
    if let Some(after) = local.retry_after {
        let text = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = ntex::http::header::HeaderValue::from_str(&text) {
            response
                .headers_mut()
                .insert(ntex::http::header::RETRY_AFTER, value);
        }
    }
    response
}
