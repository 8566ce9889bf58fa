//! Stand-in of the configuration service: versioned values that clients read, or watch by long
//! polling.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ntex::server::Server;
use ntex::web::{self, App, HttpResponse, HttpServer};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

#[derive(Clone, Debug, Serialize)]
struct StoredValue {
    version: u64,
    value: String,
}

#[derive(Debug, Default)]
struct ConfigStore {
    values: Mutex<HashMap<String, StoredValue>>,
    changed: Notify,
    /// Number of read requests received.
    reads: Mutex<u64>,
    /// While set, every read gets status 503, open long polls included.
    down: Mutex<bool>,
}

#[derive(Deserialize)]
struct ReadQuery {
    /// Newest version that the client has; only a newer one is returned.
    #[serde(default)]
    after: u64,
    /// How long to wait for a newer version, in milliseconds.
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Serialize)]
struct RecordBody {
    reads: u64,
}

/// Starts the HTTP server. Tests publish values and take the service down through `/control/...`.
pub fn serve(listen: SocketAddr) -> anyhow::Result<Server> {
    let store = Arc::new(ConfigStore::default());
    let server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&store))
            .state(web::types::JsonConfig::default().limit(1 << 26))
            .route("/v1/values/{key}*", web::get().to(read))
            .route("/record", web::get().to(record))
            .route("/control/publish", web::post().to(publish))
            .route("/control/down", web::post().to(set_down))
    });
    Ok(server.workers(1).bind(listen)?.run())
}

async fn read(
    key: web::types::Path<String>,
    query: web::types::Query<ReadQuery>,
    store: web::types::State<Arc<ConfigStore>>,
) -> HttpResponse {
    *store.reads.lock().unwrap_or_else(PoisonError::into_inner) += 1;
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        if *store.down.lock().unwrap_or_else(PoisonError::into_inner) {
            return HttpResponse::ServiceUnavailable().finish();
        }
        let changed = store.changed.notified();
        let value = {
            let values = store.values.lock().unwrap_or_else(PoisonError::into_inner);
            values.get(key.as_str()).cloned()
        };
        if let Some(value) = value.filter(|value| value.version > query.after) {
            return HttpResponse::Ok().json(&value);
        }
        if timeout_at(deadline, changed).await.is_err() {
            return HttpResponse::NoContent().finish();
        }
    }
}

async fn publish(
    body: web::types::Json<HashMap<String, String>>,
    store: web::types::State<Arc<ConfigStore>>,
) -> HttpResponse {
    {
        let mut values = store.values.lock().unwrap_or_else(PoisonError::into_inner);
        for (key, value) in body.into_inner() {
            let version = values.get(&key).map_or(1, |current| current.version + 1);
            values.insert(key, StoredValue { version, value });
        }
    }
    store.changed.notify_waiters();
    HttpResponse::Ok().finish()
}

async fn set_down(
    body: web::types::Json<bool>,
    store: web::types::State<Arc<ConfigStore>>,
) -> HttpResponse {
    *store.down.lock().unwrap_or_else(PoisonError::into_inner) = body.into_inner();
    store.changed.notify_waiters();
    HttpResponse::Ok().finish()
}

async fn record(store: web::types::State<Arc<ConfigStore>>) -> HttpResponse {
    let reads = *store.reads.lock().unwrap_or_else(PoisonError::into_inner);
    HttpResponse::Ok().json(&RecordBody { reads })
}
