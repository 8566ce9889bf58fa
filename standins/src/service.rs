//! Stand-in of a service: records the body of every call that reaches it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use ntex::server::Server;
use ntex::util::Bytes;
use ntex::web::{self, App, HttpResponse, HttpServer};
use serde::Deserialize;
use tokio::sync::Notify;

#[derive(Debug, Default, Deserialize)]
struct CallBody {
    /// Delays the response until a test calls `/control/release`.
    #[serde(default)]
    hold: bool,
    /// Redirects the caller to another path at the same address.
    #[serde(default)]
    redirect: bool,
}

#[derive(Debug, Default)]
struct ServiceState {
    /// Bodies of the calls, in order of arrival.
    calls: Mutex<Vec<String>>,
    released: Mutex<bool>,
    release: Notify,
}

/// Starts the HTTP server.
pub fn serve(listen: SocketAddr) -> anyhow::Result<Server> {
    let state = Arc::new(ServiceState::default());
    let server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&state))
            .route("/v1/services/{service}", web::post().to(call))
            .route("/record", web::get().to(record))
            .route("/control/release", web::post().to(release))
    });
    Ok(server.workers(1).bind(listen)?.run())
}

async fn call(body: Bytes, state: web::types::State<Arc<ServiceState>>) -> HttpResponse {
    let text = String::from_utf8_lossy(&body).into_owned();
    let options = serde_json::from_str::<CallBody>(&text).unwrap_or_default();
    let number = {
        let mut calls = state.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.push(text);
        calls.len()
    };
    if options.redirect {
        return HttpResponse::TemporaryRedirect()
            .header("location", "/v1/services/again")
            .finish();
    }
    if options.hold {
        state.wait_for_release().await;
    }
    HttpResponse::Ok().body(format!("{{\"paid\":{number}}}"))
}

impl ServiceState {
    async fn wait_for_release(&self) {
        loop {
            let released = self.release.notified();
            if *self.released.lock().unwrap_or_else(PoisonError::into_inner) {
                return;
            }
            released.await;
        }
    }
}

async fn record(state: web::types::State<Arc<ServiceState>>) -> HttpResponse {
    let calls = state
        .calls
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    HttpResponse::Ok().json(&calls)
}

async fn release(state: web::types::State<Arc<ServiceState>>) -> HttpResponse {
    *state
        .released
        .lock()
        .unwrap_or_else(PoisonError::into_inner) = true;
    state.release.notify_waiters();
    HttpResponse::Ok().finish()
}
