//! The listeners of a forwarding router: one for calls, and those for readiness, router addresses
//! and metrics.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig, KeepAlive, Request, Response};
use ntex::io::{Id, IoRef};
use ntex::service::{Pipeline, ServiceFactory, fn_service};
use ntex::time::Seconds;
use socket2::{Domain, Socket, Type};
use tokio::net::TcpListener;

use crate::dialect::{EdgeDialect, LocateRequest, LocateResponse, PromptPrefix};
use crate::error::{RouterError, RouterResult, StepName};
use crate::forward::choice_explanation::{CHOICE_PATH, ChoiceQuestion};
use crate::forward::front_handler::{FrontResponse, handle_call};
use crate::forward::http_connection::set_socket_options;
use crate::forward::relay_body::RelayBody;
use crate::forward::traffic_state::TrafficState;
use crate::forward_board::ForwardStage;
use crate::ids::DataCenterTag;
use crate::policy::locate_choice::choose_routers;
use crate::route::EdgeLimits;

/// Length of the accept queue of a listener.
const BACKLOG: i32 = 1024;

/// Longest time to live of the router addresses in a locate response. Callers keep them for about
/// three times as long. A stopping router accepts calls for this time to live and a margin.
const MAX_LOCATE_TTL: Duration = Duration::from_secs(2);

/// Interval at which a waiting listener checks the router's stage. Also the pause after a failed
/// accept.
const STAGE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a closing router checks whether all responses were sent.
const SENT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which a router that reaches no upstream tries to connect to one.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Number of open connections of a listener for queries, each of which is answered at once. Above it,
/// the oldest one is closed, since callers without a query could take all descriptors.
const MAX_QUERY_CONNECTIONS: usize = 128;

/// Interval at which idle callers' connections are closed.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Opens a TCP listener with `SO_REUSEADDR`.
pub fn listen(address: SocketAddrV4) -> RouterResult<TcpListener> {
    let fault = |error: std::io::Error| RouterError::step(StepName::Listen, address, error);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).map_err(fault)?;
    socket.set_reuse_address(true).map_err(fault)?;
    socket.set_nonblocking(true).map_err(fault)?;
    socket.bind(&address.into()).map_err(fault)?;
    socket.listen(BACKLOG).map_err(fault)?;
    TcpListener::from_std(socket.into()).map_err(fault)
}

/// Accepts callers' connections until the router is in stage `Closing`, then closes the listener.
pub async fn serve_callers<D: EdgeDialect>(listener: TcpListener, state: Rc<TrafficState<D>>) {
    let mut limits: Option<EdgeLimits> = None;
    let mut service = None;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_closing(&state) => return,
        };
        let socket = match accepted {
            Ok((socket, _)) => socket,
            Err(error) => {
                spdlog::warn!("accept-failed", kv: { reason: = error });
                tokio::time::sleep(STAGE_POLL_INTERVAL).await;
                continue;
            }
        };
        let current = state.board.limits();
        if service.is_none() || limits.as_ref() != Some(&current) {
            let config = SharedCfg::new("front")
                .add(connection_config(&current).set_keepalive(KeepAlive::Os))
                .build();
            let handler_state = Rc::clone(&state);
            let factory = HttpService::h1(fn_service(async move |request: Request| {
                Ok::<_, HandlerError>(handle_call(Rc::clone(&handler_state), request).await)
            }));
            match factory.create(config.clone()).await {
                Ok(created) => service = Some((Pipeline::new(created), config)),
                Err(()) => continue,
            }
            limits = Some(current);
        }
        let Some((pipeline, config)) = &service else {
            continue;
        };
        if let Err(error) = set_socket_options(&socket) {
            spdlog::debug!("socket-option", kv: { reason: = error });
        }
        let io = socket
            .into_std()
            .and_then(|socket| ntex::rt::from_tcp_stream(socket, config.clone()));
        match io {
            Ok(io) => {
                // Dropping the connection closes it.
                if !state.callers.make_room() {
                    continue;
                }
                let caller = CallerGuard::new(Rc::clone(&state), io.get_ref());
                let connection = pipeline.call_static(io);
                tokio::task::spawn_local(async move {
                    let _caller = caller;
                    // An error means that the caller's connection broke. Each call logs its own
                    // outcome.
                    let _ = connection.await;
                });
            }
            Err(error) => spdlog::warn!("accept-failed", kv: { reason: = error }),
        }
    }
}

/// A caller's connection, listed as open until the guard is dropped.
struct CallerGuard<D> {
    state: Rc<TrafficState<D>>,
    id: Id,
}

impl<D> CallerGuard<D> {
    fn new(state: Rc<TrafficState<D>>, io: IoRef) -> Self {
        let id = state.callers.insert(io);
        Self { state, id }
    }
}

impl<D> Drop for CallerGuard<D> {
    fn drop(&mut self) {
        self.state.callers.remove(self.id);
    }
}

/// Tells the control thread of a closing router whether all responses were sent.
pub async fn watch_responses<D: EdgeDialect>(state: Rc<TrafficState<D>>) {
    wait_until_closing(&state).await;
    let mut was_sent = false;
    loop {
        let calls = state.board.calls.load(Ordering::Relaxed);
        let is_sent = calls == 0 && !state.callers.has_unsent();
        // The end of a stream is written a moment after its call has ended.
        let sent = is_sent && was_sent;
        state.board.responses_sent.store(sent, Ordering::Relaxed);
        was_sent = is_sent;
        tokio::time::sleep(SENT_POLL_INTERVAL).await;
    }
}

/// Converts limits to connection settings. The HTTP library takes whole seconds, so times are
/// rounded up; then one second is added.
fn connection_config(limits: &EdgeLimits) -> HttpServiceConfig {
    let seconds = |span: Duration| {
        let seconds = span.as_millis().div_ceil(1000);
        Seconds(u16::try_from(seconds).unwrap_or(u16::MAX))
    };
    HttpServiceConfig::new()
        .set_keepalive_timeout(seconds(limits.idle_timeout) + Seconds::ONE)
        .set_client_timeout(seconds(limits.head_timeout) + Seconds::ONE)
        .set_max_buf_size((limits.head_bytes.0 as usize).saturating_mul(2))
}

async fn wait_until_closing<D: EdgeDialect>(state: &Rc<TrafficState<D>>) {
    while state.board.stage() < ForwardStage::Closing {
        tokio::time::sleep(STAGE_POLL_INTERVAL).await;
    }
}

/// The error type that the HTTP library requires of a handler. It is never constructed, since
/// handlers report failures as responses.
#[derive(Debug, thiserror::Error)]
#[error("request handlers do not fail")]
struct HandlerError;

impl ntex::http::ResponseError for HandlerError {}

impl From<Infallible> for HandlerError {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Serves readiness probes of the platform, locate requests of callers and metrics for operators.
pub async fn serve_queries<D: EdgeDialect>(listener: TcpListener, state: Rc<TrafficState<D>>) {
    let config = SharedCfg::new("questions")
        .add(connection_config(&EdgeLimits::default()))
        .build();
    let handler_state = Rc::clone(&state);
    let factory = HttpService::h1(fn_service(async move |request: Request| {
        Ok::<_, HandlerError>(handle_query(&handler_state, &request))
    }));
    let Ok(created) = factory.create(config.clone()).await else {
        return;
    };
    let pipeline = Pipeline::new(created);
    let mut open: VecDeque<IoRef> = VecDeque::new();
    loop {
        let io = match listener.accept().await {
            Ok((socket, _)) => {
                if let Err(error) = set_socket_options(&socket) {
                    spdlog::debug!("socket-option", kv: { reason: = error });
                }
                socket
                    .into_std()
                    .and_then(|socket| ntex::rt::from_tcp_stream(socket, config.clone()))
            }
            Err(error) => Err(error),
        };
        match io {
            Ok(io) => {
                if open.len() >= MAX_QUERY_CONNECTIONS {
                    open.retain(|io| !io.is_closed());
                }
                if open.len() >= MAX_QUERY_CONNECTIONS
                    && let Some(oldest) = open.pop_front()
                {
                    oldest.terminate();
                }
                open.push_back(io.get_ref());
                let connection = pipeline.call_static(io);
                tokio::task::spawn_local(async move {
                    let _ = connection.await;
                });
            }
            Err(error) => {
                spdlog::warn!("accept-failed", kv: { reason: = error });
                tokio::time::sleep(STAGE_POLL_INTERVAL).await;
            }
        }
    }
}

fn handle_query<D: EdgeDialect>(state: &Rc<TrafficState<D>>, request: &Request) -> FrontResponse {
    let target = request.uri().path_and_query().map_or("/", |t| t.as_str());
    let path = request.uri().path();
    if state.dialect.is_readiness_path(path) {
        let ready = state.board.stage() == ForwardStage::Serving;
        return short_response(
            if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            },
            Bytes::new(),
            "text/plain",
        );
    }
    if let Some(request) = state.dialect.read_locate_request(target) {
        return locate_response(state, &request);
    }
    if path == "/metrics" {
        return match state.telemetry.text() {
            Ok(text) => short_response(StatusCode::OK, Bytes::from(text), "text/plain"),
            Err(error) => {
                spdlog::warn!("metrics-failed", kv: { reason: = error });
                short_response(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    Bytes::new(),
                    "text/plain",
                )
            }
        };
    }
    if path == CHOICE_PATH {
        return choice_response(state, request.uri().query().unwrap_or_default());
    }
    short_response(StatusCode::NOT_FOUND, Bytes::new(), "text/plain")
}

/// Explains where a call would go now.
fn choice_response<D: EdgeDialect>(state: &Rc<TrafficState<D>>, query: &str) -> FrontResponse {
    let failure = |status, reason: &'static str| {
        short_response(status, Bytes::from_static(reason.as_bytes()), "text/plain")
    };
    let Some(table) = state.board.routes.load_full() else {
        return failure(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
    };
    let Some(question) = ChoiceQuestion::read(query) else {
        return failure(StatusCode::BAD_REQUEST, "no service");
    };
    let prompt = match question.prompt.as_str() {
        "" => Some(Vec::new()),
        text => state.dialect.read_prompt_parts(text),
    };
    let Some(prompt) = prompt else {
        return failure(StatusCode::BAD_REQUEST, "no parts of a prompt");
    };
    if table.service(&question.service).is_none() {
        return failure(StatusCode::NOT_FOUND, "unknown service");
    }
    let prompt = PromptPrefix::shared(&prompt);
    let report = state.explain_choice(&table, &question.service, prompt);
    match serde_json::to_vec(&report) {
        Ok(body) => short_response(StatusCode::OK, Bytes::from(body), "application/json"),
        Err(_) => failure(StatusCode::INTERNAL_SERVER_ERROR, "unexplained"),
    }
}

/// Returns the addresses of routers that the caller may use.
fn locate_response<D: EdgeDialect>(
    state: &Rc<TrafficState<D>>,
    request: &LocateRequest,
) -> FrontResponse {
    let settings = state.board.settings.load();
    let port = settings.front.port();
    let routers = state.board.serving_routers.load();
    let data_center = request.data_center.as_ref().map(DataCenterTag::from);
    let addresses: Vec<String> = choose_routers(&routers, data_center)
        .into_iter()
        .map(|address| SocketAddrV4::new(address, port).to_string())
        .collect();
    if addresses.is_empty() {
        return short_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new(), "text/plain");
    }
    let response = LocateResponse {
        addresses,
        ttl: MAX_LOCATE_TTL.min(settings.locate_ttl),
    };
    let (body, content_type) = state.dialect.locate_response_body(&response);
    short_response(StatusCode::OK, body, content_type)
}

fn short_response(status: StatusCode, body: Bytes, content_type: &'static str) -> FrontResponse {
    let mut response = Response::with_body(status, RelayBody::Full(Some(body), None));
    response.headers_mut().insert(
        ntex::http::header::CONTENT_TYPE,
        ntex::http::header::HeaderValue::from_static(content_type),
    );
    response
}

/// Removes outdated state and updates the metrics every `period`.
pub async fn sweep_state<D: EdgeDialect>(state: Rc<TrafficState<D>>, period: Duration) {
    loop {
        tokio::time::sleep(period).await;
        state.sweep();
    }
}

/// Looks for an upstream in reach while none is.
pub async fn probe_uplink<D: EdgeDialect>(state: Rc<TrafficState<D>>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        state.probe_uplink().await;
    }
}

/// Closes callers' connections that were idle for too long. The HTTP library would apply the timeout
/// that was in force when they were opened.
pub async fn close_idle_callers<D: EdgeDialect>(state: Rc<TrafficState<D>>) {
    loop {
        // What had arrived by this time is read during the pause, also if the thread was held up.
        let time = state.now();
        tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        state.callers.close_idle(time);
    }
}
