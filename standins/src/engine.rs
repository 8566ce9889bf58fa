//! Stand-in of a model engine: streams numbered events, reports its load, and injects the faults
//! that a request asks for.
//!
//! The body of a request gives the number of events (`max_tokens`) and the faults (`fault`), so
//! that a test controls each request independently of the others.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::stream;
use ntex::http::StatusCode;
use ntex::server::Server;
use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Number of events in a response when the request has no `max_tokens`.
const DEFAULT_EVENTS: u64 = 16;

/// Faults that a request asks for. Unless `always` is set, they apply only to an attempt that
/// starts at the first event, not to one that resumes the stream.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct FaultPlan {
    always: bool,
    /// Closes the connection before the event of this number.
    cut_at: Option<u64>,
    /// Sends nothing more from the event of this number on, and keeps the connection open.
    stall_at: Option<u64>,
    /// Waits before the event of this number until a test calls `/control/release`.
    hold_at: Option<u64>,
    /// Waits before the response head until a test calls `/control/release`.
    hold_head: bool,
    /// Sends every event twice.
    repeat: bool,
    /// Sends an event of another request before each event of this one.
    cross: bool,
    /// Omits the event of this number.
    skip: Option<u64>,
    /// Returns status 503 without running the request.
    refuse: bool,
    /// Padding added to every event, in bytes.
    pad: usize,
}

#[derive(Debug, Deserialize)]
struct ChatBody {
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    fault: FaultPlan,
}

/// One attempt of a request that the engine ran.
#[derive(Clone, Debug, Serialize)]
struct RunRecord {
    request: String,
    resume_from: u64,
    priority: String,
    body: String,
}

#[derive(Debug, Default)]
struct EngineState {
    runs: Mutex<Vec<RunRecord>>,
    running: Mutex<u32>,
    /// Highest value of `running` so far.
    peak: Mutex<u32>,
    /// Whether the load report announces that the engine is leaving.
    leaving: Mutex<bool>,
    released: Mutex<bool>,
    release: Notify,
    event_interval: Duration,
    name: String,
}

impl EngineState {
    async fn wait_for_release(&self) {
        loop {
            let released = self.release.notified();
            if *lock(&self.released) {
                return;
            }
            released.await;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Serialize)]
struct LoadBody {
    leaving: bool,
    running: u32,
    peak: u32,
}

/// Starts the HTTP server; `event_ms` is the pause before each event, in milliseconds.
pub fn serve(listen: SocketAddr, event_ms: u64) -> anyhow::Result<Server> {
    let state = Arc::new(EngineState {
        event_interval: Duration::from_millis(event_ms),
        name: listen.to_string(),
        ..EngineState::default()
    });
    let server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&state))
            .route("/v1/chat/completions", web::post().to(chat))
            .route("/v1/load", web::get().to(load))
            .route("/record", web::get().to(record))
            .route("/control/leaving", web::post().to(set_leaving))
            .route("/control/release", web::post().to(release))
    });
    Ok(server.workers(1).bind(listen)?.run())
}

async fn load(state: web::types::State<Arc<EngineState>>) -> HttpResponse {
    HttpResponse::Ok().json(&LoadBody {
        leaving: *lock(&state.leaving),
        running: *lock(&state.running),
        peak: *lock(&state.peak),
    })
}

async fn record(state: web::types::State<Arc<EngineState>>) -> HttpResponse {
    HttpResponse::Ok().json(&*lock(&state.runs))
}

async fn set_leaving(state: web::types::State<Arc<EngineState>>) -> HttpResponse {
    *lock(&state.leaving) = true;
    HttpResponse::Ok().finish()
}

async fn release(state: web::types::State<Arc<EngineState>>) -> HttpResponse {
    *lock(&state.released) = true;
    state.release.notify_waiters();
    HttpResponse::Ok().finish()
}

async fn chat(
    request: HttpRequest,
    body: Bytes,
    state: web::types::State<Arc<EngineState>>,
) -> HttpResponse {
    let header = |name: &str| {
        let value = request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let Ok(chat) = serde_json::from_slice::<ChatBody>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let resume_from = header("x-resume-from").parse().unwrap_or(0);
    let fault = if resume_from == 0 || chat.fault.always {
        chat.fault
    } else {
        FaultPlan::default()
    };
    if fault.refuse {
        return HttpResponse::build(StatusCode::SERVICE_UNAVAILABLE).finish();
    }
    lock(&state.runs).push(RunRecord {
        request: header("x-request-id"),
        resume_from,
        priority: header("x-priority"),
        body: String::from_utf8_lossy(&body).into_owned(),
    });
    if fault.hold_head {
        state.wait_for_release().await;
    }
    let response = StreamState {
        request: header("x-request-id"),
        next_event: resume_from,
        events: chat.max_tokens.unwrap_or(DEFAULT_EVENTS),
        fault,
        _running: RunningGuard::new(&state),
        engine: Arc::clone(&state),
    };
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(Box::pin(stream::unfold(
            Some(response),
            StreamState::next_chunk,
        )))
}

/// Counts a request in [`EngineState::running`] until its stream is dropped.
struct RunningGuard(Arc<EngineState>);

impl RunningGuard {
    fn new(state: &Arc<EngineState>) -> Self {
        let mut running = lock(&state.running);
        *running += 1;
        let mut peak = lock(&state.peak);
        *peak = (*peak).max(*running);
        Self(Arc::clone(state))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        *lock(&self.0.running) -= 1;
    }
}

struct StreamState {
    request: String,
    next_event: u64,
    events: u64,
    fault: FaultPlan,
    engine: Arc<EngineState>,
    _running: RunningGuard,
}

/// The next bytes of the response and the state after them; `None` ends the body.
type StreamStep = Option<(Result<Bytes, Infallible>, Option<StreamState>)>;

impl StreamState {
    async fn next_chunk(this: Option<Self>) -> StreamStep {
        let mut this = this?;
        let number = this.next_event;
        if this.fault.cut_at == Some(number) {
            return None;
        }
        if this.fault.stall_at == Some(number) {
            std::future::pending::<()>().await;
        }
        if this.fault.hold_at == Some(number) {
            this.engine.wait_for_release().await;
        }
        tokio::time::sleep(this.engine.event_interval).await;
        if number >= this.events {
            let end = format!(
                "id: {}/end\nevent: end\ndata: {{\"events\":{}}}\n\n",
                this.request, this.events
            );
            return Some((Ok(Bytes::from(end)), None));
        }
        let mut text = String::new();
        if this.fault.cross {
            text.push_str("id: somebody-else/0\ndata: foreign\n\n");
        }
        if this.fault.skip != Some(number) {
            let event = this.event_text(number);
            text.push_str(&event);
            if this.fault.repeat {
                text.push_str(&event);
            }
        }
        this.next_event += 1;
        Some((Ok(Bytes::from(text)), Some(this)))
    }

    fn event_text(&self, number: u64) -> String {
        format!(
            "id: {request}/{number}\ndata: {{\"request\":\"{request}\",\"token\":{number},\"engine\":\"{engine}\",\"pad\":\"{pad}\"}}\n\n",
            request = self.request,
            engine = self.engine.name,
            pad = "x".repeat(self.fault.pad),
        )
    }
}
