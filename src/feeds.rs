//! What the platform publishes: the configuration service, the list of VMs, engines' reports.
//!
//! All of it is read, never written.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

use crate::bundle::{ConfigManifest, MANIFEST_KEY, PartDigest, PartStore};
use crate::client::{CONNECT_TIMEOUT, ClientError, ClientLimits, ClientRequest, HttpClient};
use crate::control::{
    ControlEvent, ControlHandle, EngineProbe, FetchedManifest, FetchedParts, ListedVm, ProbeTarget,
    VmListUpdate,
};
use crate::error::{RouterError, RouterResult, StepName};
use crate::fleet::config_state::ManifestVerdict;
use crate::fleet::upstream_view::EngineReport;
use crate::mono::ProcessClock;

/// How long one watch of the manifest waits for a change. Each counts as one read of the service.
const WATCH_WAIT: Duration = Duration::from_secs(4);

/// How much longer than its wait a watch may take before its connection counts as silent.
const WATCH_MARGIN: Duration = Duration::from_secs(1);

/// Pause after the configuration service failed.
const CONFIG_PAUSE: Duration = Duration::from_millis(500);

/// Time between two reads of the list of VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two reads of an engine's load.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest answer to a short question.
const SHORT_LIMIT: Duration = Duration::from_secs(1);

/// Largest value that the configuration service holds, in bytes, with room for its envelope.
const MAX_VALUE_BYTES: usize = 2 << 20;

/// A value of the configuration service.
#[derive(Debug, Deserialize)]
struct ServiceValue {
    /// Number that rises with every change of this key.
    version: u64,
    value: String,
}

/// The platform's list of VMs.
#[derive(Debug, Deserialize)]
struct VmListBody {
    version: u64,
    vms: Vec<ListedVm>,
}

/// An engine's own report.
#[derive(Debug, Deserialize)]
struct LoadBody {
    leaving: bool,
    running: u32,
}

/// Where the platform answers.
#[derive(Clone, Copy, Debug)]
pub struct FeedAddresses {
    /// The configuration service.
    pub config_service: SocketAddr,
    /// The list of VMs.
    pub vm_list: SocketAddr,
}

/// Watches everything that the platform publishes, for as long as the process lives.
pub fn watch_feeds(addresses: FeedAddresses, control: ControlHandle, clock: ProcessClock) {
    let limits = |response_timeout| ClientLimits {
        connect_timeout: CONNECT_TIMEOUT,
        response_timeout,
        body_bytes: MAX_VALUE_BYTES,
    };
    let short = HttpClient::with_keep_alive(limits(SHORT_LIMIT));
    let config = ConfigWatch {
        client: HttpClient::new(limits(WATCH_WAIT + WATCH_MARGIN)),
        address: addresses.config_service,
        control: control.clone(),
        clock,
    };
    ntex::rt::spawn(config.run());
    ntex::rt::spawn(watch_list(
        short.clone(),
        addresses.vm_list,
        control.clone(),
        clock,
    ));
    ntex::rt::spawn(probe_engines(short, control, clock));
}

struct ConfigWatch {
    client: HttpClient,
    address: SocketAddr,
    control: ControlHandle,
    clock: ProcessClock,
}

impl ConfigWatch {
    async fn run(self) {
        let mut version = 0;
        loop {
            let requested_at = self.clock.now();
            match self.read(MANIFEST_KEY, version, WATCH_WAIT).await {
                Ok(Some(value)) => {
                    if self.offer(&value, requested_at).await.is_some() {
                        version = value.version;
                    } else {
                        tokio::time::sleep(CONFIG_PAUSE).await;
                    }
                }
                Ok(None) => self.quiet(requested_at, true),
                Err(error) => {
                    spdlog::debug!("config-service-failed", kv: { error: = error });
                    self.quiet(requested_at, false);
                    // A service that comes back may have started its versions anew.
                    version = 0;
                    tokio::time::sleep(CONFIG_PAUSE).await;
                }
            }
        }
    }

    fn quiet(&self, requested_at: crate::mono::MonoTime, answered: bool) {
        self.control.send(ControlEvent::ConfigUnchanged {
            requested_at,
            answered,
        });
    }

    /// Offers a manifest and fetches its parts; none when a part could not be had.
    async fn offer(&self, value: &ServiceValue, requested_at: crate::mono::MonoTime) -> Option<()> {
        let Ok(manifest) = serde_json::from_str::<ConfigManifest>(&value.value) else {
            spdlog::warn!("config-manifest-unreadable", kv: { version = value.version });
            self.quiet(requested_at, true);
            return Some(());
        };
        let (reply, verdict) = oneshot::channel();
        let offer = FetchedManifest {
            manifest: manifest.clone(),
            requested_at,
            reply,
        };
        self.control.send(ControlEvent::Manifest(offer));
        let ManifestVerdict::Fetch(missing) = verdict.await.ok()? else {
            return Some(());
        };
        let parts = self.fetch(missing).await?;
        self.control
            .send(ControlEvent::Parts(FetchedParts { manifest, parts }));
        Some(())
    }

    async fn fetch(&self, missing: Vec<PartDigest>) -> Option<PartStore> {
        let mut parts = PartStore::new();
        for digest in missing {
            match self.read(&digest.key(), 0, Duration::ZERO).await {
                Ok(Some(value)) => parts.insert(digest, value.value),
                Ok(None) => return None,
                Err(error) => {
                    spdlog::warn!("config-part-failed", kv: { error: = error });
                    return None;
                }
            };
        }
        Some(parts)
    }

    /// Reads a key once its version is above `after`, waiting at most `wait` for that.
    async fn read(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> RouterResult<Option<ServiceValue>> {
        let target = format!(
            "/v1/values/{key}?after={after}&wait_ms={}",
            wait.as_millis()
        );
        let call = ClientRequest::get(self.address, target);
        get_json(&self.client, call, StepName::ConfigRead).await
    }
}

async fn watch_list(
    client: HttpClient,
    address: SocketAddr,
    control: ControlHandle,
    clock: ProcessClock,
) {
    let mut version = 0;
    loop {
        let requested_at = clock.now();
        let call = ClientRequest::get(address, format!("/v1/vms?after={version}"));
        match get_json::<VmListBody>(&client, call, StepName::VmList).await {
            Ok(body) => {
                let vms = body.map(|body| {
                    version = body.version;
                    body.vms
                });
                control.send(ControlEvent::VmList(VmListUpdate { vms, requested_at }));
            }
            Err(error) => {
                version = 0;
                spdlog::debug!("vm-list-failed", kv: { error: = error });
            }
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

async fn probe_engines(client: HttpClient, control: ControlHandle, clock: ProcessClock) {
    loop {
        let targets = control
            .request(ControlEvent::ProbeTargets)
            .await
            .unwrap_or_default();
        for target in targets {
            ntex::rt::spawn(probe_engine(client.clone(), target, control.clone(), clock));
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn probe_engine(
    client: HttpClient,
    target: ProbeTarget,
    control: ControlHandle,
    clock: ProcessClock,
) {
    let reported_at = clock.now();
    let call = ClientRequest::get(target.address, "/v1/load");
    let read = get_json::<LoadBody>(&client, call, StepName::LoadReport).await;
    let report = match read {
        Ok(body) => body.map(|body| EngineReport {
            reported_at,
            leaving: body.leaving,
            running: body.running,
        }),
        Err(error) => {
            spdlog::debug!("engine-probe-failed", kv: { error: = error });
            None
        }
    };
    let engine = target.engine;
    control.send(ControlEvent::EngineProbed(EngineProbe { engine, report }));
}

/// Reads a JSON answer; none for an answer without content.
async fn get_json<T: DeserializeOwned>(
    client: &HttpClient,
    call: ClientRequest,
    step: StepName,
) -> RouterResult<Option<T>> {
    let peer = call.address();
    let fault = |fault: ClientError| RouterError::step(step, peer, fault);
    let answer = client.send(call).await.map_err(fault)?;
    match answer.status().as_u16() {
        200 => answer.json().await.map(Some).map_err(fault),
        204 | 304 => {
            // Read to its end, so that the connection can be kept.
            answer.bytes().await.map_err(fault)?;
            Ok(None)
        }
        status => {
            let text = format!("status {status}");
            Err(RouterError::step_text(step, peer, &text))
        }
    }
}
