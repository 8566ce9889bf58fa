//! Reads what the platform publishes: the configuration service, the list of VMs and the load
//! reports of the engines.
//!
//! All access is read-only.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

use crate::bundle::{ConfigManifest, MANIFEST_KEY, PartDigest, PartsByDigest};
use crate::client::{CONNECT_TIMEOUT, ClientError, ClientLimits, ClientRequest, HttpClient};
use crate::control::{
    ControlEvent, ControlHandle, EngineProbe, FetchedManifest, FetchedParts, ListedVm, ProbeTarget,
    VmListUpdate,
};
use crate::error::{RouterError, RouterResult, StepName};
use crate::fleet::config_state::ManifestVerdict;
use crate::fleet::upstream_view::EngineReport;
use crate::mono::ProcessClock;

/// Time that one long poll of the manifest waits for a change. Each poll is one read of the
/// configuration service, so that a longer wait means fewer reads.
const LONG_POLL_WAIT: Duration = Duration::from_secs(4);

/// Time that a long poll may take on top of its wait before it times out.
const LONG_POLL_MARGIN: Duration = Duration::from_secs(1);

/// Delay before the next poll after a failed read of the configuration service.
const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Delay between two reads of the list of VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Delay between two rounds of probes of the engines.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit of a read that does not wait for a change.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest response body, in bytes: the largest value that the configuration service stores, and
/// the JSON around it.
const MAX_VALUE_BYTES: usize = 2 << 20;

/// A value of the configuration service.
#[derive(Debug, Deserialize)]
struct ServiceValue {
    /// Number that increases with every change of the key.
    version: u64,
    value: String,
}

/// The platform's list of VMs.
#[derive(Debug, Deserialize)]
struct VmListBody {
    version: u64,
    vms: Vec<ListedVm>,
}

/// Load report of an engine, as the engine sends it.
#[derive(Debug, Deserialize)]
struct LoadBody {
    leaving: bool,
    running: u32,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug)]
pub struct FeedAddresses {
    /// The configuration service.
    pub config_service: SocketAddr,
    /// The list of VMs.
    pub vm_list: SocketAddr,
}

/// Starts the tasks that read the configuration, the list of VMs and the load reports and send them
/// to the control thread until the process ends.
pub fn watch_feeds(addresses: FeedAddresses, control: ControlHandle, clock: ProcessClock) {
    let limits = |response_timeout| ClientLimits {
        connect_timeout: CONNECT_TIMEOUT,
        response_timeout,
        body_bytes: MAX_VALUE_BYTES,
    };
    let read_client = HttpClient::with_keep_alive(limits(READ_TIMEOUT));
    let config = ConfigWatch {
        client: HttpClient::new(limits(LONG_POLL_WAIT + LONG_POLL_MARGIN)),
        address: addresses.config_service,
        control: control.clone(),
        clock,
    };
    ntex::rt::spawn(config.run());
    ntex::rt::spawn(watch_vm_list(
        read_client.clone(),
        addresses.vm_list,
        control.clone(),
        clock,
    ));
    ntex::rt::spawn(probe_engines(read_client, control, clock));
}

/// The task that polls the configuration service.
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
            match self.read(MANIFEST_KEY, version, LONG_POLL_WAIT).await {
                Ok(Some(value)) => {
                    if self.handle_manifest(&value, requested_at).await.is_some() {
                        version = value.version;
                    } else {
                        tokio::time::sleep(CONFIG_RETRY_DELAY).await;
                    }
                }
                Ok(None) => self.report_no_manifest(requested_at, true),
                Err(error) => {
                    spdlog::debug!("config-service-failed", kv: { error: = error });
                    self.report_no_manifest(requested_at, false);
                    // A restarted service may count its versions from the start again.
                    version = 0;
                    tokio::time::sleep(CONFIG_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reports a poll without a usable manifest. `answered` is whether the service responded.
    fn report_no_manifest(&self, requested_at: crate::mono::MonoTime, answered: bool) {
        self.control.send(ControlEvent::ConfigUnchanged {
            requested_at,
            answered,
        });
    }

    /// Sends a manifest to the control thread and fetches the parts that it lacks. Returns `None`
    /// if a part could not be fetched; the same version must then be read again.
    async fn handle_manifest(
        &self,
        value: &ServiceValue,
        requested_at: crate::mono::MonoTime,
    ) -> Option<()> {
        let Ok(manifest) = serde_json::from_str::<ConfigManifest>(&value.value) else {
            spdlog::warn!("config-manifest-unreadable", kv: { version = value.version });
            self.report_no_manifest(requested_at, true);
            return Some(());
        };
        let (reply, verdict) = oneshot::channel();
        let fetched = FetchedManifest {
            manifest: manifest.clone(),
            requested_at,
            reply,
        };
        self.control.send(ControlEvent::Manifest(fetched));
        let ManifestVerdict::Fetch(missing) = verdict.await.ok()? else {
            return Some(());
        };
        let parts = self.fetch_parts(missing).await?;
        self.control.send(ControlEvent::Parts(FetchedParts {
            manifest,
            requested_at,
            parts,
        }));
        Some(())
    }

    async fn fetch_parts(&self, missing: Vec<PartDigest>) -> Option<PartsByDigest> {
        let mut parts = PartsByDigest::new();
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

    /// Reads a key. Returns `None` if its version does not exceed `after` within `wait`.
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

async fn watch_vm_list(
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
        tokio::time::sleep(VM_LIST_INTERVAL).await;
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
    let result = get_json::<LoadBody>(&client, call, StepName::LoadReport).await;
    let report = match result {
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

/// Sends `call` and parses the JSON response. Returns `None` for a response with status 204 or 304.
async fn get_json<T: DeserializeOwned>(
    client: &HttpClient,
    call: ClientRequest,
    step: StepName,
) -> RouterResult<Option<T>> {
    let peer = call.address();
    let fault = |fault: ClientError| RouterError::step(step, peer, fault);
    let response = client.send(call).await.map_err(fault)?;
    match response.status().as_u16() {
        200 => response.json().await.map(Some).map_err(fault),
        204 | 304 => {
            // A connection is reused only if its response was read to the end.
            response.bytes().await.map_err(fault)?;
            Ok(None)
        }
        status => {
            let text = format!("status {status}");
            Err(RouterError::step_text(step, peer, &text))
        }
    }
}
