//! Tells callers which entry address to use.
//!
//! A locator asks every entry VM whether it is ready, and learns which router grants the slots of
//! which engine. For a chat it names the steward of the chat's home engine, so that the chat
//! returns to the router that knows it and its slot costs no message. When that VM is not ready,
//! or the model is not told, it names the ready VM that comes first in rendezvous order.

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

/// Time between two probes of an entry VM.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest answer to a probe.
const PROBE_LIMIT: Duration = Duration::from_millis(800);

/// A probe older than this tells nothing; it is made anew before an answer rests on it.
const PROBE_STALE: Duration = Duration::from_secs(2);

/// Largest answer to a probe, in bytes.
const PROBE_BYTES: usize = 1 << 20;

/// What callers are told.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct EntryResponse {
    /// The VM.
    pub vm: VmId,
    /// Where to connect.
    pub address: SocketAddr,
    /// How long to keep this answer, in milliseconds.
    pub keep_ms: u64,
    /// Where to try next if this one can't be reached.
    pub others: Vec<SocketAddr>,
}

#[derive(Clone, Copy, Debug)]
struct ProbeRecord {
    ready: bool,
    at: MonoTime,
}

/// What the locator knows of the entry VMs.
#[derive(Debug)]
struct LocatorState {
    settings: LocatorSettings,
    clock: ProcessClock,
    probes: RwLock<HashMap<VmKey, ProbeRecord>>,
    homes: RwLock<EngineOwnerSection>,
}

#[derive(Deserialize)]
struct EntryQuery {
    chat: Option<ChatId>,
    model: Option<ModelId>,
}

impl LocatorState {
    fn write(&self, vm: VmKey, ready: bool, at: MonoTime) {
        let mut probes = self.probes.write().unwrap_or_else(PoisonError::into_inner);
        probes.insert(vm, ProbeRecord { ready, at });
    }

    fn is_stale(&self) -> bool {
        let now = self.clock.now();
        let probes = self.probes.read().unwrap_or_else(PoisonError::into_inner);
        let fresh = probes
            .values()
            .filter(|probe| now.since(probe.at) < PROBE_STALE);
        fresh.count() < self.settings.vms.len()
    }

    fn ready(&self) -> Vec<&LocatorTarget> {
        let probes = self.probes.read().unwrap_or_else(PoisonError::into_inner);
        let is_ready = |vm: VmKey| probes.get(&vm).is_some_and(|probe| probe.ready);
        let vms = self.settings.vms.iter();
        vms.filter(|target| is_ready(target.vm.key())).collect()
    }

    fn homes_version(&self) -> u64 {
        self.homes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .version
    }

    fn set_homes(&self, section: EngineOwnerSection) {
        *self.homes.write().unwrap_or_else(PoisonError::into_inner) = section;
    }

    /// The VM of the steward of a chat's home engine.
    fn home_of(&self, model: &ModelId, chat: u64) -> Option<VmKey> {
        let section = self.homes.read().unwrap_or_else(PoisonError::into_inner);
        let of_model: Vec<&EngineOwnerEntry> = section
            .homes
            .iter()
            .filter(|home| home.model == model.key())
            .collect();
        let choices: Vec<WeightedChoice<EngineKey>> = of_model
            .iter()
            .map(|home| WeightedChoice {
                key: home.engine,
                weight: f64::from(home.slots),
            })
            .collect();
        let first = rendezvous_order(chat, &choices).first().copied()?;
        let home = of_model.into_iter().find(|home| home.engine == first)?;
        Some(home.steward.key())
    }

    fn answer(&self, chat: u64, model: Option<&ModelId>) -> Option<EntryResponse> {
        let ready = self.ready();
        let choices: Vec<WeightedChoice<VmKey>> = ready
            .iter()
            .map(|target| WeightedChoice {
                key: target.vm.key(),
                weight: 1.0,
            })
            .collect();
        let mut order = rendezvous_order(chat, &choices);
        if let Some(home) = model.and_then(|model| self.home_of(model, chat)) {
            order.sort_by_key(|&vm| vm != home);
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

/// Opens the locator's listener and probes the entry VMs until it is stopped.
pub fn serve_locator(settings: LocatorSettings) -> RouterResult<Server> {
    let listen = settings.listen;
    let state = Arc::new(LocatorState {
        settings,
        clock: ProcessClock::start(),
        probes: RwLock::new(HashMap::new()),
        homes: RwLock::new(EngineOwnerSection::default()),
    });
    ntex::rt::spawn(probe_forever(probe_client(), Arc::clone(&state)));
    let server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&state))
            .state(probe_client())
            .route("/v1/entry", web::get().to(entry))
    });
    let server = server
        .workers(1)
        .disable_signals()
        .bind(listen)
        .map_err(|error| RouterError::step(StepName::Listen, listen, error))?;
    Ok(server.run())
}

async fn entry(
    query: web::types::Query<EntryQuery>,
    state: web::types::State<Arc<LocatorState>>,
    client: web::types::State<HttpClient>,
) -> HttpResponse {
    if state.is_stale() {
        probe_all(&client, &state).await;
    }
    let chat = query
        .chat
        .as_ref()
        .map_or_else(rand::random, |chat| chat.key().0);
    match state.answer(chat, query.model.as_ref()) {
        Some(answer) => HttpResponse::Ok().json(&answer),
        None => HttpResponse::ServiceUnavailable()
            .header("retry-after", "1")
            .body("no entry VM is ready"),
    }
}

async fn probe_forever(client: HttpClient, state: Arc<LocatorState>) {
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
    let path = format!("/v1/ready?homes={}", state.homes_version());
    let answer = read_ready(client, ClientRequest::get(target.entry, path)).await;
    state.write(
        target.vm.key(),
        !matches!(answer, ReadyAnswer::NotReady),
        at,
    );
    if let ReadyAnswer::Homes(section) = answer {
        state.set_homes(section);
    }
}

/// What a router answers to a probe.
enum ReadyAnswer {
    NotReady,
    Ready,
    Homes(EngineOwnerSection),
}

async fn read_ready(client: &HttpClient, call: ClientRequest) -> ReadyAnswer {
    let answer = match client.send(call).await {
        Ok(answer) if answer.status() == StatusCode::OK => answer,
        Ok(answer) if answer.status().is_success() => return ReadyAnswer::Ready,
        Ok(_) => return ReadyAnswer::NotReady,
        Err(fault) => {
            spdlog::debug!("probe-failed", kv: { error: = fault });
            return ReadyAnswer::NotReady;
        }
    };
    match answer.json().await {
        Ok(section) => ReadyAnswer::Homes(section),
        Err(fault) => {
            spdlog::warn!("homes-unreadable", kv: { error: = fault });
            ReadyAnswer::Ready
        }
    }
}

fn probe_client() -> HttpClient {
    HttpClient::new(ClientLimits {
        connect_timeout: CONNECT_TIMEOUT,
        response_timeout: PROBE_LIMIT,
        body_bytes: PROBE_BYTES,
    })
}
