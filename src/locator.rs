//! Tells callers which entry address to use.
//!
//! A locator asks every entry VM whether it is ready and names, for each chat, the ready VM that
//! comes first in rendezvous order, so a chat returns to the router that knows it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use ntex::client::Client;
use ntex::server::Server;
use ntex::web::{self, App, HttpResponse, HttpServer};
use serde::{Deserialize, Serialize};

use crate::client::build_client;
use crate::error::{RouterError, RouterResult, StepName};
use crate::ids::{ChatId, VmId, VmKey};
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
const PROBE_BYTES: usize = 4096;

/// What callers are told.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct EntryAnswer {
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
}

#[derive(Deserialize)]
struct EntryQuery {
    chat: Option<ChatId>,
}

impl LocatorState {
    fn write(&self, vm: VmKey, ready: bool, at: MonoTime) {
        let mut probes = self
            .probes
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        probes.insert(vm, ProbeRecord { ready, at });
    }

    fn is_stale(&self) -> bool {
        let now = self.clock.now();
        let probes = self
            .probes
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let fresh = probes
            .values()
            .filter(|probe| now.since(probe.at) < PROBE_STALE);
        fresh.count() < self.settings.vms.len()
    }

    fn ready(&self) -> Vec<&LocatorTarget> {
        let probes = self
            .probes
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let is_ready = |vm: VmKey| probes.get(&vm).is_some_and(|probe| probe.ready);
        let vms = self.settings.vms.iter();
        vms.filter(|target| is_ready(target.vm.key())).collect()
    }

    fn answer(&self, chat: u64) -> Option<EntryAnswer> {
        let ready = self.ready();
        let choices: Vec<WeightedChoice<VmKey>> = ready
            .iter()
            .map(|target| WeightedChoice {
                key: target.vm.key(),
                weight: 1.0,
            })
            .collect();
        let order = rendezvous_order(chat, &choices);
        let mut targets = order
            .into_iter()
            .filter_map(|key| ready.iter().find(|target| target.vm.key() == key));
        let first = targets.next()?;
        Some(EntryAnswer {
            vm: first.vm.clone(),
            address: first.entry,
            keep_ms: self.settings.answer_life.0.as_millis() as u64,
            others: targets.map(|target| target.entry).collect(),
        })
    }
}

/// Opens the locator's listener and probes the entry VMs until it is stopped.
pub async fn serve_locator(settings: LocatorSettings) -> RouterResult<Server> {
    let listen = settings.listen;
    let state = Arc::new(LocatorState {
        settings,
        clock: ProcessClock::start(),
        probes: RwLock::new(HashMap::new()),
    });
    let client = build_client(PROBE_LIMIT, PROBE_BYTES).await?;
    ntex::rt::spawn(probe_forever(client, Arc::clone(&state)));
    let server = HttpServer::new(async move || {
        let client = build_client(PROBE_LIMIT, PROBE_BYTES)
            .await
            .expect("client options hold");
        App::new()
            .state(Arc::clone(&state))
            .state(client)
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
    client: web::types::State<Client>,
) -> HttpResponse {
    if state.is_stale() {
        probe_all(&client, &state).await;
    }
    let chat = query
        .chat
        .as_ref()
        .map_or_else(rand::random, |chat| chat.key().0);
    match state.answer(chat) {
        Some(answer) => HttpResponse::Ok().json(&answer),
        None => HttpResponse::ServiceUnavailable()
            .header("retry-after", "1")
            .body("no entry VM is ready"),
    }
}

async fn probe_forever(client: Client, state: Arc<LocatorState>) {
    loop {
        probe_all(&client, &state).await;
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn probe_all(client: &Client, state: &LocatorState) {
    let probes = state
        .settings
        .vms
        .iter()
        .map(|target| probe(client, state, target));
    futures_util::future::join_all(probes).await;
}

async fn probe(client: &Client, state: &LocatorState, target: &LocatorTarget) {
    let at = state.clock.now();
    let url = format!("http://{}/v1/ready", target.entry);
    let call = client.get(url).force_close().send();
    let answered = tokio::time::timeout(PROBE_LIMIT, call).await;
    let ready = matches!(answered, Ok(Ok(response)) if response.status().is_success());
    state.write(target.vm.key(), ready, at);
}
