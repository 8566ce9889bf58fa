//! The listeners of a forwarding router: callers, readiness, addresses, metrics.

use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig, Request, Response};
use ntex::service::{Pipeline, ServiceFactory, fn_service};
use ntex::time::Seconds;
use socket2::{Domain, Socket, Type};
use tokio::net::TcpListener;

use crate::dialect::{EdgeDialect, LocateResponse};
use crate::error::{RouterError, RouterResult, StepName};
use crate::forward::front_handler::{FrontResponse, handle_call};
use crate::forward::http_connection::set_socket_options;
use crate::forward::relay_body::RelayBody;
use crate::forward::traffic_state::TrafficState;
use crate::forward_board::ForwardStage;
use crate::route::EdgeLimits;
use crate::units::ByteSize;

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Life of an answer with addresses: callers hold some three times as long, and a router that
/// stops takes calls for this long.
const LOCATE_LIFE: Duration = Duration::from_secs(2);

/// Time between two looks at the stage while a listener waits.
const STAGE_PERIOD: Duration = Duration::from_millis(100);

/// Limits of connections while no configuration is in force.
fn first_limits() -> EdgeLimits {
    EdgeLimits {
        head_bytes: ByteSize(16 << 10),
        body_bytes: ByteSize(4 << 20),
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    }
}

/// Opens a listener.
pub fn listen(address: SocketAddrV4) -> RouterResult<TcpListener> {
    let fault = |error: std::io::Error| RouterError::step(StepName::Listen, address, error);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).map_err(fault)?;
    socket.set_reuse_address(true).map_err(fault)?;
    socket.set_nonblocking(true).map_err(fault)?;
    socket.bind(&address.into()).map_err(fault)?;
    socket.listen(BACKLOG).map_err(fault)?;
    TcpListener::from_std(socket.into()).map_err(fault)
}

/// Accepts callers until the router takes no more, then closes the listener.
pub async fn serve_callers<D: EdgeDialect>(listener: TcpListener, state: Rc<TrafficState<D>>) {
    let mut limits: Option<EdgeLimits> = None;
    let mut service = None;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing(&state) => return,
        };
        let socket = match accepted {
            Ok((socket, _)) => socket,
            Err(error) => {
                spdlog::warn!("accept-failed", kv: { reason: = error });
                tokio::time::sleep(STAGE_PERIOD).await;
                continue;
            }
        };
        let wanted = state
            .board
            .routes
            .load()
            .as_ref()
            .map_or_else(first_limits, |table| table.limits.clone());
        if service.is_none() || limits.as_ref() != Some(&wanted) {
            let config = SharedCfg::new("front")
                .add(connection_config(&wanted))
                .build();
            let calls = Rc::clone(&state);
            let factory = HttpService::h1(fn_service(async move |request: Request| {
                Ok::<_, ServeFault>(handle_call(Rc::clone(&calls), request).await)
            }));
            match factory.create(config.clone()).await {
                Ok(created) => service = Some((Pipeline::new(created), config)),
                Err(()) => continue,
            }
            limits = Some(wanted);
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
                let call = pipeline.call_static(io);
                tokio::task::spawn_local(async move {
                    // The caller's connection broke; each call has its own line.
                    let _ = call.await;
                });
            }
            Err(error) => spdlog::warn!("accept-failed", kv: { reason: = error }),
        }
    }
}

/// The connection settings that the limits ask for, in the whole seconds that the library takes.
fn connection_config(limits: &EdgeLimits) -> HttpServiceConfig {
    let seconds = |span: Duration| Seconds(span.as_millis().div_ceil(1000) as u16);
    HttpServiceConfig::new()
        .set_keepalive_timeout(seconds(limits.idle_timeout) + Seconds::ONE)
        .set_client_timeout(seconds(limits.head_timeout) + Seconds::ONE)
        .set_max_buf_size(2 * limits.head_bytes.0 as usize)
}

async fn closing<D: EdgeDialect>(state: &Rc<TrafficState<D>>) {
    while state.board.stage() < ForwardStage::Closing {
        tokio::time::sleep(STAGE_PERIOD).await;
    }
}

/// Handlers answer with a status; they have no way to fail.
#[derive(Debug, thiserror::Error)]
#[error("no handler fails")]
struct ServeFault;

impl ntex::http::ResponseError for ServeFault {}

impl From<Infallible> for ServeFault {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Answers short questions of the platform, of callers and of operators.
pub async fn serve_queries<D: EdgeDialect>(listener: TcpListener, state: Rc<TrafficState<D>>) {
    let config = SharedCfg::new("questions")
        .add(connection_config(&first_limits()))
        .build();
    let answers = Rc::clone(&state);
    let factory = HttpService::h1(fn_service(async move |request: Request| {
        Ok::<_, ServeFault>(answer_question(&answers, &request))
    }));
    let Ok(created) = factory.create(config.clone()).await else {
        return;
    };
    let pipeline = Pipeline::new(created);
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
                let call = pipeline.call_static(io);
                tokio::task::spawn_local(async move {
                    let _ = call.await;
                });
            }
            Err(error) => {
                spdlog::warn!("accept-failed", kv: { reason: = error });
                tokio::time::sleep(STAGE_PERIOD).await;
            }
        }
    }
}

fn answer_question<D: EdgeDialect>(
    state: &Rc<TrafficState<D>>,
    request: &Request,
) -> FrontResponse {
    let target = request.uri().path_and_query().map_or("/", |t| t.as_str());
    let path = request.uri().path();
    if state.dialect.is_readiness_path(path) {
        let ready = state.board.stage() == ForwardStage::Serving;
        return short_answer(
            if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            },
            Bytes::new(),
            "text/plain",
        );
    }
    if state.dialect.read_locate_request(target).is_some() {
        return locate(state);
    }
    if path == "/metrics" {
        return match state.telemetry.text() {
            Ok(text) => short_answer(StatusCode::OK, Bytes::from(text), "text/plain"),
            Err(error) => {
                spdlog::warn!("metrics-failed", kv: { reason: = error });
                short_answer(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    Bytes::new(),
                    "text/plain",
                )
            }
        };
    }
    short_answer(StatusCode::NOT_FOUND, Bytes::new(), "text/plain")
}

/// Names the routers that callers may use.
fn locate<D: EdgeDialect>(state: &Rc<TrafficState<D>>) -> FrontResponse {
    let settings = state.board.settings.load();
    let port = settings.front.port();
    let entries = state.board.entries.load();
    let addresses: Vec<String> = entries
        .iter()
        .map(|entry| SocketAddrV4::new(*entry, port).to_string())
        .collect();
    if addresses.is_empty() {
        return short_answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new(), "text/plain");
    }
    let answer = LocateResponse {
        addresses,
        life: LOCATE_LIFE.min(settings.locate_ttl),
    };
    let (body, content_type) = state.dialect.locate_response_body(&answer);
    short_answer(StatusCode::OK, body, content_type)
}

fn short_answer(status: StatusCode, body: Bytes, content_type: &'static str) -> FrontResponse {
    let mut response = Response::with_body(status, RelayBody::Full(Some(body)));
    response.headers_mut().insert(
        ntex::http::header::CONTENT_TYPE,
        ntex::http::header::HeaderValue::from_static(content_type),
    );
    response
}

/// Keeps the state small and the metrics true.
pub async fn sweep_state<D: EdgeDialect>(state: Rc<TrafficState<D>>, period: Duration) {
    loop {
        tokio::time::sleep(period).await;
        state.sweep();
    }
}
