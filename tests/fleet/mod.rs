//! A small fleet of real processes on loopback for one test.
#![allow(dead_code)]

pub mod caller;
pub mod plan;
pub mod process;

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use hawthornrouter::board::StatusSection;
use hawthornrouter::bundle::{ConfigBundle, MANIFEST_KEY};
use hawthornrouter::client::{CONNECT_TIMEOUT, ClientLimits, ClientRequest, HttpClient};
use hawthornrouter::ids::RevisionNumber;
use hawthornrouter::locator::EntryResponse;
use hawthornrouter::register::{
    AccountEntry, AssetRegister, DataCenterEntry, EngineEntry, ModelEntry, ServiceEntry, VmEntry,
    token_digest,
};
use hawthornrouter::settings::{
    AdminScope, AdminToken, LocatorSettings, LocatorTarget, PeerSeed, RouterSettings,
};
use hawthornrouter::units::TimeSpan;

pub use plan::{FleetPlan, RelayedLink};

use caller::TestCaller;
use process::{TestProcess, router_binary, standins_binary};

pub const TOKEN: &str = "caller-token";
pub const OTHER_TOKEN: &str = "other-token";
pub const ADMIN_TOKEN: &str = "admin-token";
pub const MODEL: &str = "lang-1";
pub const SERVICE: &str = "orders";

/// Only guards against a hang; no verdict depends on it.
pub const HANG_TIMEOUT: Duration = Duration::from_mins(1);

const POLL_PAUSE: Duration = Duration::from_millis(20);

/// Ports below the range that outgoing connections use.
const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 20_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// An address that nothing listens on.
pub fn free_address() -> SocketAddr {
    let start = (std::process::id() % u32::from(PORT_COUNT)) as u16;
    loop {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (start.wrapping_mul(37) % PORT_COUNT + step) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        // A trial bind could be inherited for a moment by a process that another test starts.
        if TcpStream::connect(address).is_err() {
            return address;
        }
    }
}

/// A router of the fleet.
pub struct RouterNode {
    pub settings: RouterSettings,
    pub process: Option<TestProcess>,
}

impl RouterNode {
    pub fn process(&self) -> &TestProcess {
        self.process.as_ref().expect("router runs")
    }
}

/// A stand-in of the fleet.
pub struct StandinNode {
    pub address: SocketAddr,
    pub process: Option<TestProcess>,
}

/// A running fleet; its processes end with it.
pub struct TestFleet {
    pub plan: FleetPlan,
    pub dir: PathBuf,
    pub client: HttpClient,
    pub config: StandinNode,
    pub vm_list: StandinNode,
    pub service: StandinNode,
    pub engines: Vec<StandinNode>,
    pub routers: Vec<RouterNode>,
    pub locator: StandinNode,
    /// Control address of the relay.
    pub relay: Option<SocketAddr>,
    relay_process: Option<TestProcess>,
    /// Addresses by which the register names engines.
    pub engine_addresses: Vec<SocketAddr>,
    pub revision: u64,
}

impl TestFleet {
    /// Starts every process, publishes revision 1 and waits until every router serves.
    pub async fn start(plan: FleetPlan) -> Self {
        let mut fleet = Self::start_empty(plan).await;
        fleet.publish_next(|_| {}).await;
        fleet.wait_serving().await;
        fleet
    }

    /// Starts every process without a configuration.
    pub async fn start_empty(plan: FleetPlan) -> Self {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(&plan.name);
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("work folder");
        let client = HttpClient::new(ClientLimits {
            connect_timeout: CONNECT_TIMEOUT,
            response_timeout: HANG_TIMEOUT,
            body_bytes: 1 << 24,
        });
        let standin = |role: &str, name: &str| {
            let address = free_address();
            let args = [role.to_owned(), "--listen".to_owned(), address.to_string()];
            let process = TestProcess::start(&standins_binary(), &args, &dir, name);
            StandinNode {
                address,
                process: Some(process),
            }
        };
        let config = standin("config", "config");
        let vm_list = standin("vms", "vms");
        let service = standin("service", "service");
        let engines = (0..plan.engines).map(|index| standin("engine", &format!("engine-{index}")));
        let engines: Vec<StandinNode> = engines.collect();
        let mut fleet = Self {
            engine_addresses: engines.iter().map(|engine| engine.address).collect(),
            config,
            vm_list,
            service,
            engines,
            routers: Vec::new(),
            locator: StandinNode {
                address: free_address(),
                process: None,
            },
            relay: None,
            relay_process: None,
            plan,
            dir,
            client,
            revision: 0,
        };
        fleet.start_routers();
        fleet.start_locator();
        fleet.wait_standins().await;
        fleet
    }

    fn start_routers(&mut self) {
        let mut config_service = self.config.address;
        let settings: Vec<RouterSettings> = (0..self.plan.routers)
            .map(|index| self.forward_settings(index))
            .collect();
        let mut peers: Vec<SocketAddr> = settings.iter().map(|router| router.peer).collect();
        if let Some(leg) = self.plan.relay {
            let to = match leg {
                RelayedLink::Engine => self.engines[0].address,
                RelayedLink::Config => self.config.address,
                RelayedLink::Peer => peers[0],
            };
            let listen = self.start_relay(to);
            match leg {
                RelayedLink::Engine => self.engine_addresses[0] = listen,
                RelayedLink::Config => config_service = listen,
                RelayedLink::Peer => peers[0] = listen,
            }
        }
        let names = settings.iter().zip(&peers);
        let seeds: Vec<PeerSeed> = names
            .map(|(router, &peer)| PeerSeed {
                vm: router.vm.clone(),
                peer,
            })
            .collect();
        for (index, mut settings) in settings.into_iter().enumerate() {
            settings.seeds.clone_from(&seeds);
            // Only the first router is behind the relay.
            if index == 0 {
                settings.config_service = config_service;
            } else if self.plan.only_first_reaches_config {
                settings.config_service = free_address();
            }
            self.routers.push(RouterNode {
                settings,
                process: None,
            });
            self.start_router(index);
        }
    }

    fn forward_settings(&self, index: usize) -> RouterSettings {
        RouterSettings {
            vm: format!("entry-{index}").parse().expect("name"),
            data_center: "dc-1".parse().expect("name"),
            entry: free_address(),
            peer: free_address(),
            admin: free_address(),
            traffic_threads: 1,
            config_service: self.config.address,
            vm_list: self.vm_list.address,
            seeds: Vec::new(),
            fleet_key: "test-fleet-key".to_owned(),
            admin_tokens: vec![AdminToken {
                token_digest: token_digest(ADMIN_TOKEN),
                scopes: vec![AdminScope::Read, AdminScope::Drain],
            }],
            metrics: None,
            drain_limit: TimeSpan::from_millis(60_000),
        }
    }

    /// Starts a router, or starts it anew with empty memory.
    pub fn start_router(&mut self, index: usize) {
        let node = &mut self.routers[index];
        let path = self.dir.join(format!("router-{index}.json"));
        // JSON is YAML too.
        let text = serde_json::to_string(&node.settings).expect("settings");
        std::fs::write(&path, text).expect("settings file");
        let args = [path.display().to_string()];
        let name = format!("router-{index}");
        node.process = Some(TestProcess::start(
            &router_binary("hawthorn-router"),
            &args,
            &self.dir,
            &name,
        ));
    }

    fn start_locator(&mut self) {
        let targets = self.routers.iter().map(|router| LocatorTarget {
            vm: router.settings.vm.clone(),
            entry: router.settings.entry,
        });
        let settings = LocatorSettings {
            vm: self.routers[0].settings.vm.clone(),
            listen: self.locator.address,
            vms: targets.collect(),
            answer_life: self.plan.rules.locator_answer,
        };
        let path = self.dir.join("locator.json");
        std::fs::write(&path, serde_json::to_string(&settings).expect("settings")).expect("file");
        let args = [path.display().to_string()];
        let binary = router_binary("hawthorn-locator");
        self.locator.process = Some(TestProcess::start(&binary, &args, &self.dir, "locator"));
    }

    fn start_relay(&mut self, to: SocketAddr) -> SocketAddr {
        let (listen, control) = (free_address(), free_address());
        let args = [
            "relay",
            "--listen",
            &listen.to_string(),
            "--to",
            &to.to_string(),
            "--control",
            &control.to_string(),
        ]
        .map(ToOwned::to_owned);
        self.relay_process = Some(TestProcess::start(
            &standins_binary(),
            &args,
            &self.dir,
            "relay",
        ));
        self.relay = Some(control);
        listen
    }

    async fn wait_standins(&self) {
        let mut calls = vec![
            ClientRequest::get(self.config.address, "/record"),
            ClientRequest::get(self.vm_list.address, "/v1/vms"),
            ClientRequest::get(self.service.address, "/record"),
        ];
        let engines = self.engines.iter();
        calls.extend(engines.map(|engine| ClientRequest::get(engine.address, "/record")));
        for call in calls {
            wait_for("stand-in answers", async || {
                let answer = self.client.send(call.clone()).await;
                answer.is_ok().then_some(())
            })
            .await;
        }
    }

    /// The bundle of `revision` for the fleet as it was planned.
    pub fn bundle(&self, revision: u64) -> ConfigBundle {
        let data_center: hawthornrouter::ids::DataCenterId = "dc-1".parse().expect("name");
        let model: hawthornrouter::ids::ModelId = MODEL.parse().expect("name");
        let engines = self.engine_addresses.iter().enumerate();
        let account = |name: &str, token: &str| AccountEntry {
            id: name.parse().expect("name"),
            token_digest: token_digest(token),
            weight: 1,
        };
        ConfigBundle {
            revision: RevisionNumber(revision),
            register: AssetRegister {
                data_centers: vec![DataCenterEntry {
                    id: data_center.clone(),
                    region: "region-1".to_owned(),
                }],
                vms: self
                    .routers
                    .iter()
                    .map(|router| VmEntry {
                        id: router.settings.vm.clone(),
                        data_center: data_center.clone(),
                        entry: router.settings.entry,
                        peer: self.peer_address(router),
                        locator: SocketAddr::new(
                            router.settings.entry.ip(),
                            router.settings.entry.port() + 20_000,
                        ),
                    })
                    .collect(),
                models: vec![ModelEntry { id: model.clone() }],
                engines: engines
                    .map(|(index, &address)| EngineEntry {
                        id: format!("engine-{index}").parse().expect("name"),
                        data_center: data_center.clone(),
                        address,
                        model: model.clone(),
                        slots: self.plan.slots,
                        checks_fencing: false,
                    })
                    .collect(),
                services: vec![ServiceEntry {
                    id: SERVICE.parse().expect("name"),
                    addresses: vec![self.service.address],
                    repeatable: false,
                    checks_fencing: false,
                }],
                accounts: vec![account("shop-1", TOKEN), account("shop-2", OTHER_TOKEN)],
            },
            rules: self.plan.rules.clone(),
        }
    }

    fn peer_address(&self, router: &RouterNode) -> SocketAddr {
        let seeds = self.routers[0].settings.seeds.iter();
        let seed = seeds.into_iter().find(|seed| seed.vm == router.settings.vm);
        seed.map_or(router.settings.peer, |seed| seed.peer)
    }

    /// Publishes the next revision.
    pub async fn publish_next(&mut self, change: impl FnOnce(&mut ConfigBundle)) -> u64 {
        self.revision += 1;
        let mut bundle = self.bundle(self.revision);
        change(&mut bundle);
        self.publish(&bundle).await;
        self.revision
    }

    /// Publishes a bundle as it is.
    pub async fn publish(&self, bundle: &ConfigBundle) {
        let packed = bundle.pack();
        let mut values: HashMap<String, String> = HashMap::new();
        for (digest, part) in &packed.parts {
            values.insert(digest.key(), part.clone());
        }
        let manifest = serde_json::to_string(&packed.manifest).expect("manifest");
        values.insert(MANIFEST_KEY.to_owned(), manifest);
        self.control(self.config.address, "publish", &values).await;
    }

    /// A caller that authenticates as the first account.
    pub fn caller(&self) -> TestCaller {
        TestCaller::new(self.client.clone(), TOKEN)
    }

    /// Where callers reach a router.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.routers[index].settings.entry
    }

    /// What a router tells operators; none when it can't be reached.
    pub async fn status(&self, index: usize) -> Option<StatusSection> {
        let call = ClientRequest::get(self.routers[index].settings.admin, "/v1/status");
        let answer = self.client.send(call.bearer(ADMIN_TOKEN)).await.ok()?;
        answer.json().await.ok()
    }

    /// Waits until a router's status is as wanted.
    pub async fn wait_status(
        &self,
        index: usize,
        what: &str,
        wanted: impl Fn(&StatusSection) -> bool,
    ) -> StatusSection {
        wait_for(what, async || {
            self.status(index).await.filter(|status| wanted(status))
        })
        .await
    }

    /// Waits until every router serves and sees all its peers.
    pub async fn wait_serving(&self) {
        let peers = self.plan.routers - 1;
        for index in 0..self.plan.routers {
            self.wait_status(index, "router serves", |status| {
                status.stage == hawthornrouter::board::LifeStage::Serving
                    && status.peers.iter().filter(|peer| peer.answers).count() == peers
                    && status
                        .upstreams
                        .iter()
                        .all(|engine| engine.report_age_ms.is_some())
            })
            .await;
        }
    }

    /// Posts to a stand-in's control page.
    pub async fn control<T: serde::Serialize>(&self, address: SocketAddr, path: &str, body: &T) {
        let call = ClientRequest::post(address, format!("/control/{path}"));
        let call = call.json(body).expect("json");
        let answer = self.client.send(call).await;
        assert!(answer.expect("control").status().is_success(), "{path}");
    }

    /// Waits until an engine has run something.
    pub async fn wait_runs(&self, index: usize) {
        wait_for("request runs", async || {
            (!self.engine_record(index).await.is_empty()).then_some(())
        })
        .await;
    }

    /// What the locator answers for a chat; none when it names nobody.
    pub async fn locate(&self, chat: &str) -> Option<EntryResponse> {
        let call = ClientRequest::get(self.locator.address, format!("/v1/entry?chat={chat}"));
        let answer = self.client.send(call).await.ok()?;
        answer.json().await.ok()
    }

    /// Waits until the locator names one of both routers for a chat, and gives that router.
    pub async fn wait_located(&self, chat: &str) -> usize {
        let both = async || {
            self.locate(chat)
                .await
                .filter(|answer| answer.others.len() == 1)
        };
        let named = wait_for("locator names both", both).await;
        let router = (0..2).find(|&index| self.entry(index) == named.address);
        router.expect("router")
    }

    /// Calls that reached the service.
    pub async fn service_record(&self) -> Vec<String> {
        self.read_record(self.service.address).await
    }

    /// Connections of requests that an engine ran.
    pub async fn engine_record(&self, index: usize) -> Vec<EngineRun> {
        self.read_record(self.engines[index].address).await
    }

    /// Connections of requests that all engines ran.
    pub async fn engine_records(&self) -> Vec<EngineRun> {
        let mut all = Vec::new();
        for index in 0..self.engines.len() {
            if self.engines[index].process.is_some() {
                all.extend(self.engine_record(index).await);
            }
        }
        all
    }

    async fn read_record<T: serde::de::DeserializeOwned>(&self, address: SocketAddr) -> T {
        let answer = self
            .client
            .send(ClientRequest::get(address, "/record"))
            .await;
        answer.expect("record").json().await.expect("json")
    }
}

/// A connection of a request that an engine ran.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct EngineRun {
    pub request: String,
    pub resume_from: u64,
    pub priority: String,
    pub body: String,
}

/// Polls until `probe` finds something. The limit only guards against a hang.
pub async fn wait_for<T>(what: &str, mut probe: impl AsyncFnMut() -> Option<T>) -> T {
    let wait = async {
        loop {
            if let Some(found) = probe().await {
                return found;
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
    };
    let found = tokio::time::timeout(HANG_TIMEOUT, wait).await;
    found.unwrap_or_else(|_| panic!("hang: {what}"))
}
