//! Returns to callers the entry address that they should use.
//!
//! A locator probes every entry VM for readiness, and fetches from them which router is the slot
//! owner of which engine. For a chat it returns the slot owner of the chat's preferred engine: the
//! chat then always reaches the same router, which assigns the slot without a message to another
//! router. If that VM is not ready, or the query names no model, it returns the ready VM that comes
//! first in the rendezvous order of the chat.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use http::StatusCode;
use ntex::server::Server;
use ntex::web::{self, App, HttpResponse, HttpServer};
use serde::{Deserialize, Serialize};

use crate::board::{EngineOwnerEntry, EngineOwnerSection};
use crate::client::{CONNECT_TIMEOUT, ClientLimits, ClientRequest, HttpClient};
use crate::error::{RouterError, RouterResult, StepName};
use crate::ids::{ChatId, EngineKey, ModelId, VmId, VmKey};
use crate::mono::{MonoTime, ProcessClock};
use crate::policy::placement::{WeightedChoice, rendezvous_order};
use crate::settings::{LocatorSettings, LocatorTarget};

/// Delay between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit of a probe's wait for the response.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Probe results older than this, such as those from before a pause of the process, are refreshed
/// before a response is based on them.
const PROBE_MAX_AGE: Duration = Duration::from_secs(2);

/// Largest body of a response to a probe.
const PROBE_MAX_BYTES: usize = 1 << 20;

/// The body of a response to `/v1/entry`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct EntryResponse {
    /// The entry VM to use.
    pub vm: VmId,
    /// The entry address of `vm`.
    pub address: SocketAddr,
    /// How long the caller may cache this response.
    pub keep_ms: u64,
    /// Entry addresses of the other ready VMs, in the order in which to try them if `address` is
    /// unreachable.
    pub others: Vec<SocketAddr>,
}

#[derive(Clone, Copy, Debug)]
struct ProbeRecord {
    ready: bool,
    at: MonoTime,
}

/// The settings, and the last known state of the entry VMs and slot owners.
#[derive(Debug)]
struct LocatorState {
    settings: LocatorSettings,
    clock: ProcessClock,
    probes: RwLock<HashMap<VmKey, ProbeRecord>>,
    engine_owners: RwLock<EngineOwnerSection>,
}

#[derive(Deserialize)]
struct EntryQuery {
    chat: Option<ChatId>,
    model: Option<ModelId>,
}

impl LocatorState {
    fn record_probe(&self, vm: VmKey, ready: bool, at: MonoTime) {
        let mut probes = self.probes.write().unwrap_or_else(PoisonError::into_inner);
        probes.insert(vm, ProbeRecord { ready, at });
    }

    fn has_stale_probes(&self) -> bool {
        let now = self.clock.now();
        let probes = self.probes.read().unwrap_or_else(PoisonError::into_inner);
        let fresh = probes
            .values()
            .filter(|probe| now.since(probe.at) < PROBE_MAX_AGE);
        fresh.count() < self.settings.vms.len()
    }

    fn ready_targets(&self) -> Vec<&LocatorTarget> {
        let probes = self.probes.read().unwrap_or_else(PoisonError::into_inner);
        let is_ready = |vm: VmKey| probes.get(&vm).is_some_and(|probe| probe.ready);
        let vms = self.settings.vms.iter();
        vms.filter(|target| is_ready(target.vm.key())).collect()
    }

    fn engine_owners_version(&self) -> u64 {
        self.engine_owners
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .version
    }

    fn set_engine_owners(&self, section: EngineOwnerSection) {
        *self
            .engine_owners
            .write()
            .unwrap_or_else(PoisonError::into_inner) = section;
    }

    /// Returns the VM of the slot owner of a chat's preferred engine, or `None` if no engine of the
    /// model is known.
    fn preferred_vm(&self, model: &ModelId, chat: u64) -> Option<VmKey> {
        let section = self
            .engine_owners
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let of_model: Vec<&EngineOwnerEntry> = section
            .homes
            .iter()
            .filter(|entry| entry.model == model.key())
            .collect();
        let choices: Vec<WeightedChoice<EngineKey>> = of_model
            .iter()
            .map(|entry| WeightedChoice {
                key: entry.engine,
                weight: f64::from(entry.slots),
            })
            .collect();
        let first = rendezvous_order(chat, &choices).first().copied()?;
        let entry = of_model.into_iter().find(|entry| entry.engine == first)?;
        Some(entry.steward.key())
    }

    fn locate(&self, chat: u64, model: Option<&ModelId>) -> Option<EntryResponse> {
        let ready = self.ready_targets();
        let choices: Vec<WeightedChoice<VmKey>> = ready
            .iter()
            .map(|target| WeightedChoice {
                key: target.vm.key(),
                weight: 1.0,
            })
            .collect();
        let mut order = rendezvous_order(chat, &choices);
        if let Some(preferred) = model.and_then(|model| self.preferred_vm(model, chat)) {
            order.sort_by_key(|&vm| vm != preferred);
        }
        let mut targets = order
            .into_iter()
            .filter_map(|key| ready.iter().find(|target| target.vm.key() == key));
        let first = targets.next()?;
        Some(EntryResponse {
            vm: first.vm.clone(),
            address: first.entry,
            keep_ms: self.settings.answer_life.0.as_millis() as u64,
            others: targets.map(|target| target.entry).collect(),
        })
    }
}

/// Binds the locator's listener and starts probing the entry VMs.
pub fn serve_locator(settings: LocatorSettings) -> RouterResult<Server> {
    let listen = settings.listen;
    let state = Arc::new(LocatorState {
        settings,
        clock: ProcessClock::start(),
        probes: RwLock::new(HashMap::new()),
        engine_owners: RwLock::new(EngineOwnerSection::default()),
    });
    ntex::rt::spawn(run_probes(probe_client(), Arc::clone(&state)));
    let server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&state))
            .state(probe_client())
            .route("/v1/entry", web::get().to(handle_entry))
    });
    let server = server
        .workers(1)
        .disable_signals()
        .bind(listen)
        .map_err(|error| RouterError::step(StepName::Listen, listen, error))?;
    Ok(server.run())
}

async fn handle_entry(
    query: web::types::Query<EntryQuery>,
    state: web::types::State<Arc<LocatorState>>,
    client: web::types::State<HttpClient>,
) -> HttpResponse {
    if state.has_stale_probes() {
        probe_all(&client, &state).await;
    }
    let chat = query
        .chat
        .as_ref()
        .map_or_else(rand::random, |chat| chat.key().0);
    match state.locate(chat, query.model.as_ref()) {
        Some(response) => HttpResponse::Ok().json(&response),
        None => HttpResponse::ServiceUnavailable()
            .header("retry-after", "1")
            .body("no entry VM is ready"),
    }
}

async fn run_probes(client: HttpClient, state: Arc<LocatorState>) {
    loop {
        probe_all(&client, &state).await;
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn probe_all(client: &HttpClient, state: &LocatorState) {
    let probes = state
        .settings
        .vms
        .iter()
        .map(|target| probe(client, state, target));
    futures_util::future::join_all(probes).await;
}

async fn probe(client: &HttpClient, state: &LocatorState, target: &LocatorTarget) {
    let at = state.clock.now();
    let path = format!("/v1/ready?homes={}", state.engine_owners_version());
    let result = fetch_readiness(client, ClientRequest::get(target.entry, path)).await;
    state.record_probe(
        target.vm.key(),
        !matches!(result, ProbeResult::NotReady),
        at,
    );
    if let ProbeResult::EngineOwners(section) = result {
        state.set_engine_owners(section);
    }
}

/// The result of a probe of an entry VM.
enum ProbeResult {
    /// Unreachable, or not ready for callers.
    NotReady,
    /// Ready; the known slot owners are current.
    Ready,
    /// Ready, with the current slot owners.
    EngineOwners(EngineOwnerSection),
}

async fn fetch_readiness(client: &HttpClient, call: ClientRequest) -> ProbeResult {
    let response = match client.send(call).await {
        Ok(response) if response.status() == StatusCode::OK => response,
        Ok(response) if response.status().is_success() => return ProbeResult::Ready,
        Ok(_) => return ProbeResult::NotReady,
        Err(error) => {
            spdlog::debug!("probe-failed", kv: { error: = error });
            return ProbeResult::NotReady;
        }
    };
    match response.json().await {
        Ok(section) => ProbeResult::EngineOwners(section),
        Err(error) => {
            spdlog::warn!("homes-unreadable", kv: { error: = error });
            ProbeResult::Ready
        }
    }
}

fn probe_client() -> HttpClient {
    HttpClient::new(ClientLimits {
        connect_timeout: CONNECT_TIMEOUT,
        response_timeout: PROBE_TIMEOUT,
        body_bytes: PROBE_MAX_BYTES,
    })
}
