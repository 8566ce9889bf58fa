//! Demonstration: runs a fleet on the threads of one process, sends it a chat request, and sends
//! one order through two routers to show that the service runs it once.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use anyhow::{Context, bail};
use hawthornrouter::bundle::{ConfigBundle, MANIFEST_KEY};
use hawthornrouter::client::{
    CONNECT_TIMEOUT, ClientLimits, ClientRequest, ClientResponse, HttpClient,
};
use hawthornrouter::ids::RevisionNumber;
use hawthornrouter::locator::{EntryResponse, serve_locator};
use hawthornrouter::register::{
    AccountEntry, AssetRegister, DataCenterEntry, EngineEntry, ModelEntry, ServiceEntry, VmEntry,
    token_digest,
};
use hawthornrouter::router::start_router;
use hawthornrouter::rules::default_rules;
use hawthornrouter::settings::{LocatorSettings, LocatorTarget, PeerSeed, RouterSettings};
use hawthornrouter::units::TimeSpan;
use ntex::rt::{DefaultRuntime, System};
use ntex::server::Server;
use serde::Deserialize;

use crate::{config_service, engine, service, vm_list};

const TOKEN: &str = "demo-token";
const ROUTERS: usize = 2;
const ENGINES: usize = 3;
const MAX_READY_ATTEMPTS: u32 = 100;
const READY_RETRY_INTERVAL: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_RESPONSE_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
struct TicketBody {
    ticket: String,
}

/// Starts the fleet, sends the demonstration requests and prints the responses.
pub fn run() -> anyhow::Result<()> {
    let fleet = DemoFleet::new()?;
    fleet.start()?;
    System::new("caller", DefaultRuntime).block_on(async move { fleet.send_requests().await })
}

/// Addresses and settings of the servers that the demonstration starts.
struct DemoFleet {
    config: SocketAddr,
    list: SocketAddr,
    service: SocketAddr,
    engines: Vec<SocketAddr>,
    locator: SocketAddr,
    routers: Vec<RouterSettings>,
}

impl DemoFleet {
    fn new() -> anyhow::Result<Self> {
        let config = free_address()?;
        let list = free_address()?;
        let mut routers = Vec::new();
        for number in 1..=ROUTERS {
            routers.push(RouterSettings {
                vm: format!("entry-{number}").parse()?,
                data_center: "dc-1".parse()?,
                entry: free_address()?,
                peer: free_address()?,
                admin: free_address()?,
                traffic_threads: 1,
                config_service: config,
                vm_list: list,
                seeds: Vec::new(),
                fleet_key: "demo-fleet-key".to_owned(),
                admin_tokens: Vec::new(),
                metrics: None,
                drain_limit: TimeSpan::from_millis(5000),
            });
        }
        let seeds: Vec<PeerSeed> = routers
            .iter()
            .map(|router| PeerSeed {
                vm: router.vm.clone(),
                peer: router.peer,
            })
            .collect();
        for router in &mut routers {
            router.seeds.clone_from(&seeds);
        }
        let engines = (0..ENGINES)
            .map(|_| free_address())
            .collect::<Result<_, _>>()?;
        Ok(Self {
            config,
            list,
            service: free_address()?,
            engines,
            locator: free_address()?,
            routers,
        })
    }

    fn start(&self) -> anyhow::Result<()> {
        let (config, list, service) = (self.config, self.list, self.service);
        spawn_server("config-service", move || config_service::serve(config))?;
        spawn_server("vm-list", move || vm_list::serve(list))?;
        spawn_server("service", move || service::serve(service))?;
        for &address in &self.engines {
            spawn_server("engine", move || engine::serve(address, 2))?;
        }
        for settings in self.routers.clone() {
            spawn_system("router", async move || {
                let _router = start_router(&settings)?;
                std::future::pending().await
            })?;
        }
        let settings = self.locator_settings();
        spawn_system("locator", async move || {
            serve_locator(settings)?.await?;
            Ok(())
        })
    }

    fn locator_settings(&self) -> LocatorSettings {
        let targets = self.routers.iter().map(|router| LocatorTarget {
            vm: router.vm.clone(),
            entry: router.entry,
        });
        LocatorSettings {
            vm: self.routers[0].vm.clone(),
            listen: self.locator,
            vms: targets.collect(),
            answer_life: TimeSpan::from_millis(5000),
        }
    }

    fn bundle(&self) -> anyhow::Result<ConfigBundle> {
        let data_center: hawthornrouter::ids::DataCenterId = "dc-1".parse()?;
        let model: hawthornrouter::ids::ModelId = "lang-1".parse()?;
        let mut engines = Vec::new();
        for (index, &address) in self.engines.iter().enumerate() {
            engines.push(EngineEntry {
                id: format!("engine-{}", index + 1).parse()?,
                data_center: data_center.clone(),
                address,
                model: model.clone(),
                slots: 8,
                checks_fencing: false,
            });
        }
        let vms = self.routers.iter().map(|router| VmEntry {
            id: router.vm.clone(),
            data_center: data_center.clone(),
            entry: router.entry,
            peer: router.peer,
            locator: SocketAddr::new(router.entry.ip(), 0),
        });
        let mut vms: Vec<VmEntry> = vms.collect();
        for (index, vm) in vms.iter_mut().enumerate() {
            vm.locator
                .set_port(self.locator.port().wrapping_add(index as u16));
        }
        let register = AssetRegister {
            data_centers: vec![DataCenterEntry {
                id: data_center.clone(),
                region: "region-1".to_owned(),
            }],
            vms,
            models: vec![ModelEntry { id: model }],
            engines,
            services: vec![ServiceEntry {
                id: "orders".parse()?,
                addresses: vec![self.service],
                repeatable: false,
                checks_fencing: false,
            }],
            accounts: vec![AccountEntry {
                id: "shop-1".parse()?,
                token_digest: token_digest(TOKEN),
                weight: 1,
            }],
        };
        Ok(ConfigBundle {
            revision: RevisionNumber(1),
            register,
            rules: default_rules(),
        })
    }

    async fn send_requests(&self) -> anyhow::Result<()> {
        let client = HttpClient::new(ClientLimits {
            connect_timeout: CONNECT_TIMEOUT,
            response_timeout: CALL_TIMEOUT,
            body_bytes: MAX_RESPONSE_BYTES,
        });
        self.publish(&client).await?;
        let entry = self.locate(&client).await?;
        println!(
            "locator: use {} at {} for {} ms",
            entry.vm, entry.address, entry.keep_ms
        );
        let text = response_text(self.send_chat(&client, entry.address).await?).await?;
        println!("chat response:\n{text}");
        if !text.contains("event: end") {
            bail!("the response has no end marker");
        }
        self.send_order(&client).await
    }

    async fn publish(&self, client: &HttpClient) -> anyhow::Result<()> {
        let packed = self.bundle()?.pack();
        let mut values = HashMap::new();
        for (digest, part) in &packed.parts {
            values.insert(digest.key(), part.clone());
        }
        values.insert(
            MANIFEST_KEY.to_owned(),
            serde_json::to_string(&packed.manifest)?,
        );
        let request = ClientRequest::post(self.config, "/control/publish").json(&values)?;
        for _ in 0..MAX_READY_ATTEMPTS {
            if client.send(request.clone()).await.is_ok() {
                return Ok(());
            }
            tokio::time::sleep(READY_RETRY_INTERVAL).await;
        }
        bail!("the configuration service did not start")
    }

    async fn locate(&self, client: &HttpClient) -> anyhow::Result<EntryResponse> {
        let request = ClientRequest::get(self.locator, "/v1/entry?chat=chat-1");
        for _ in 0..MAX_READY_ATTEMPTS {
            if let Ok(response) = client.send(request.clone()).await
                && response.status().is_success()
            {
                return Ok(response.json().await?);
            }
            tokio::time::sleep(READY_RETRY_INTERVAL).await;
        }
        bail!("no entry VM became ready")
    }

    async fn send_chat(
        &self,
        client: &HttpClient,
        entry: SocketAddr,
    ) -> anyhow::Result<ClientResponse> {
        let request = ClientRequest::post(entry, "/v1/chat/completions")
            .bearer(TOKEN)
            .header("x-chat-id", "chat-1")
            .header("x-rank", "quick")
            .json_text(r#"{"model":"lang-1","max_tokens":3}"#);
        client.send(request).await.context("chat")
    }

    /// Sends one order through both routers with the same ticket, and fails unless the service
    /// received it exactly once.
    async fn send_order(&self, client: &HttpClient) -> anyhow::Result<()> {
        let first = self.routers[0].entry;
        let request = ClientRequest::post(first, "/v1/services/orders/tickets").bearer(TOKEN);
        let response = client.send(request).await.context("ticket")?;
        let ticket: TicketBody = response.json().await?;
        for router in &self.routers {
            let request = ClientRequest::post(router.entry, "/v1/services/orders")
                .bearer(TOKEN)
                .header("x-ticket", &ticket.ticket)
                .json_text(r#"{"item":"lucky bag refill"}"#);
            let response = client.send(request).await.context("order")?;
            let outcome = response.header("x-outcome").unwrap_or("none").to_owned();
            let body = response_text(response).await?;
            println!("order through {}: outcome={outcome} {body}", router.vm);
        }
        let record = client
            .send(ClientRequest::get(self.service, "/record"))
            .await;
        let calls: Vec<String> = record.context("record")?.json().await?;
        println!("the service ran {} order(s)", calls.len());
        if calls.len() != 1 {
            bail!("the order ran {} times", calls.len());
        }
        Ok(())
    }
}

async fn response_text(response: ClientResponse) -> anyhow::Result<String> {
    let body = response.bytes().await?;
    String::from_utf8(body.to_vec()).context("body is not text")
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn spawn_server(
    name: &str,
    serve: impl FnOnce() -> anyhow::Result<Server> + Send + 'static,
) -> anyhow::Result<()> {
    spawn_system(name, async move || {
        serve()?.await?;
        Ok(())
    })
}

/// Runs `body` on an ntex system in a thread of its own; an error ends the process.
fn spawn_system<F>(name: &str, body: F) -> anyhow::Result<()>
where
    F: AsyncFnOnce() -> anyhow::Result<()> + Send + 'static,
{
    let role = name.to_owned();
    thread::Builder::new().name(role.clone()).spawn(move || {
        if let Err(error) = System::new(&role, DefaultRuntime).block_on(body()) {
            eprintln!("error: {role}: {error:#}");
            std::process::exit(1);
        }
    })?;
    Ok(())
}
