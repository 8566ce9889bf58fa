//! Stand-in of the platform's VM list, which tests replace through `/control/vms`.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use ntex::server::Server;
use ntex::web::{self, App, HttpResponse, HttpServer};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Deserialize, Serialize)]
struct ListedVm {
    address: SocketAddr,
    leaving: bool,
}

#[derive(Clone, Debug, Serialize)]
struct ListBody {
    version: u64,
    vms: Vec<ListedVm>,
}

type ListState = Arc<Mutex<ListBody>>;

#[derive(Deserialize)]
struct ListQuery {
    /// Version that the client has; the list is returned only if its version differs.
    #[serde(default)]
    after: u64,
}

/// Starts the HTTP server with an empty list of version 1.
pub fn serve(listen: SocketAddr) -> anyhow::Result<Server> {
    let list: ListState = Arc::new(Mutex::new(ListBody {
        version: 1,
        vms: Vec::new(),
    }));
    let server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&list))
            .route("/v1/vms", web::get().to(read))
            .route("/control/vms", web::post().to(replace))
    });
    Ok(server.workers(1).bind(listen)?.run())
}

async fn read(
    query: web::types::Query<ListQuery>,
    list: web::types::State<ListState>,
) -> HttpResponse {
    let list = list.lock().unwrap_or_else(PoisonError::into_inner).clone();
    if list.version == query.after {
        return HttpResponse::NoContent().finish();
    }
    HttpResponse::Ok().json(&list)
}

async fn replace(
    body: web::types::Json<Vec<ListedVm>>,
    list: web::types::State<ListState>,
) -> HttpResponse {
    let mut list = list.lock().unwrap_or_else(PoisonError::into_inner);
    list.version += 1;
    list.vms = body.into_inner();
    HttpResponse::Ok().finish()
}
