//! A fleet of router, locator and stand-in processes on the loopback interface, started per test.
#![allow(dead_code)]

pub mod caller;
pub mod plan;
pub mod process;

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use hawthornrouter::board::StatusSection;
use hawthornrouter::bundle::{ConfigBundle, MANIFEST_KEY};
use hawthornrouter::client::{
    CONNECT_TIMEOUT, ClientError, ClientLimits, ClientRequest, HttpClient,
};
use hawthornrouter::ids::RevisionNumber;
use hawthornrouter::locator::EntryResponse;
use hawthornrouter::register::{
    AccountEntry, AssetRegister, DataCenterEntry, EngineEntry, ModelEntry, ServiceEntry, VmEntry,
    token_digest,
};
use hawthornrouter::settings::{
    AdminScope, AdminToken, LocatorSettings, LocatorTarget, PeerSeed, RouterSettings,
};

pub use plan::{FleetPlan, RelayedLink};

use caller::TestCaller;
use process::{TestProcess, router_binary, standins_binary};

pub const TOKEN: &str = "caller-token";
pub const OTHER_TOKEN: &str = "other-token";
pub const ADMIN_TOKEN: &str = "admin-token";
pub const MODEL: &str = "lang-1";
pub const SERVICE: &str = "orders";

/// Longest wait for a response or a condition. It turns a hang into a failure; no assertion depends
/// on it.
pub const HANG_TIMEOUT: Duration = Duration::from_mins(1);

/// Time limit of one of the requests of [`TestFleet::wait_status`], so that a request which hangs
/// leaves time for others.
const STATUS_LIMIT: Duration = Duration::from_secs(5);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The range lies below the ephemeral ports, which outgoing connections use.
const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 20_000;

/// Ports that one test process may use.
const BLOCK_PORTS: u16 = 500;

/// Ports of this test process. Other test processes use other blocks while it runs, because it
/// listens on the first port of its own.
struct PortBlock {
    first: u16,
    next: AtomicU16,
    _lock: TcpListener,
}

impl PortBlock {
    fn reserve() -> Self {
        let count = PORT_COUNT / BLOCK_PORTS;
        let start = (std::process::id() % u32::from(count)) as u16;
        let blocks = (0..count).map(|offset| (start + offset) % count);
        blocks
            .map(|block| FIRST_PORT + block * BLOCK_PORTS)
            .find_map(|first| {
                let lock = TcpListener::bind((Ipv4Addr::LOCALHOST, first)).ok()?;
                Some(Self {
                    first,
                    next: AtomicU16::new(1),
                    _lock: lock,
                })
            })
            .expect("a free block of ports")
    }
}

/// Returns a loopback address that no process listens on, and never the same one twice.
pub fn free_address() -> SocketAddr {
    static BLOCK: LazyLock<PortBlock> = LazyLock::new(PortBlock::reserve);
    loop {
        let step = BLOCK.next.fetch_add(1, Ordering::Relaxed);
        assert!(step < BLOCK_PORTS, "the test process used all its ports");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, BLOCK.first + step));
        // A process that a killed test left behind may still listen. Checked by connecting, because
        // a process that another test spawns at this moment could inherit the socket of a trial
        // bind.
        if TcpStream::connect(address).is_err() {
            return address;
        }
    }
}

/// Settings and process of a router; `process` is `None` while it is not running.
pub struct RouterNode {
    pub settings: RouterSettings,
    pub process: Option<TestProcess>,
}

impl RouterNode {
    pub fn process(&self) -> &TestProcess {
        self.process.as_ref().expect("router is running")
    }
}

/// Address and process of a stand-in or the locator; `process` is `None` while it is not running.
pub struct StandinNode {
    pub address: SocketAddr,
    pub process: Option<TestProcess>,
}

/// A running fleet, whose processes are killed when it is dropped.
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
    /// Control address of the relay; `None` when the plan has no relay.
    pub relay: Option<SocketAddr>,
    relay_process: Option<TestProcess>,
    /// Engine addresses for the register. The first may be the address of the relay.
    pub engine_addresses: Vec<SocketAddr>,
    /// Revision published last; 0 before the first one.
    pub revision: u64,
}

impl TestFleet {
    /// Starts all processes, publishes revision 1 and waits until every router serves requests.
    pub async fn start(plan: FleetPlan) -> Self {
        let mut fleet = Self::start_unconfigured(plan).await;
        fleet.publish_next(|_| {}).await;
        fleet.wait_serving().await;
        fleet
    }

    /// Starts all processes and publishes no configuration.
    pub async fn start_unconfigured(plan: FleetPlan) -> Self {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(&plan.name);
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("work directory");
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
            .map(|index| self.router_settings(index))
            .collect();
        let mut peers: Vec<SocketAddr> = settings.iter().map(|router| router.peer).collect();
        if let Some(link) = self.plan.relay {
            let target = match link {
                RelayedLink::Engine => self.engines[0].address,
                RelayedLink::Config => self.config.address,
                RelayedLink::Peer => peers[0],
            };
            let listen = self.start_relay(target);
            match link {
                RelayedLink::Engine => self.engine_addresses[0] = listen,
                RelayedLink::Config => config_service = listen,
                RelayedLink::Peer => peers[0] = listen,
            }
        }
        let peers_by_router = settings.iter().zip(&peers);
        let seeds: Vec<PeerSeed> = peers_by_router
            .map(|(router, &peer)| PeerSeed {
                vm: router.vm.clone(),
                peer,
            })
            .collect();
        for (index, mut settings) in settings.into_iter().enumerate() {
            settings.seeds.clone_from(&seeds);
            // Only the first router reads its configuration through the relay.
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

    fn router_settings(&self, index: usize) -> RouterSettings {
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
            drain_limit: self.plan.drain_limit,
        }
    }

    /// Starts a router, or restarts it without any state of the previous process.
    pub fn start_router(&mut self, index: usize) {
        let node = &mut self.routers[index];
        let path = self.dir.join(format!("router-{index}.json"));
        // The router reads YAML, of which JSON is a subset.
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

    fn start_relay(&mut self, target: SocketAddr) -> SocketAddr {
        let (listen, control) = (free_address(), free_address());
        let args = [
            "relay",
            "--listen",
            &listen.to_string(),
            "--to",
            &target.to_string(),
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
        let mut requests = vec![
            ClientRequest::get(self.config.address, "/record"),
            ClientRequest::get(self.vm_list.address, "/v1/vms"),
            ClientRequest::get(self.service.address, "/record"),
        ];
        let engines = self.engines.iter();
        requests.extend(engines.map(|engine| ClientRequest::get(engine.address, "/record")));
        for request in requests {
            wait_for("stand-in responds", async || {
                self.processes().for_each(TestProcess::assert_running);
                let response = self.client.send(request.clone()).await;
                response.is_ok().then_some(())
            })
            .await;
        }
    }

    /// Returns the bundle that describes the fleet's plan, as the given revision.
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

    /// Returns the address at which other routers reach `router`, which may be the relay's.
    fn peer_address(&self, router: &RouterNode) -> SocketAddr {
        let seeds = self.routers[0].settings.seeds.iter();
        let seed = seeds.into_iter().find(|seed| seed.vm == router.settings.vm);
        seed.map_or(router.settings.peer, |seed| seed.peer)
    }

    /// Publishes the plan's bundle, modified by `change`, as the next revision, and returns the
    /// revision.
    pub async fn publish_next(&mut self, change: impl FnOnce(&mut ConfigBundle)) -> u64 {
        self.revision += 1;
        let mut bundle = self.bundle(self.revision);
        change(&mut bundle);
        self.publish(&bundle).await;
        self.revision
    }

    /// Publishes a bundle unchanged. [`TestFleet::revision`] stays as it is.
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

    /// Returns a caller that authenticates as the first account.
    pub fn caller(&self) -> TestCaller {
        TestCaller::new(self.client.clone(), TOKEN)
    }

    /// Returns the address at which callers reach a router.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.routers[index].settings.entry
    }

    /// Returns the status page of a router, or `None` when it is unreachable.
    pub async fn status(&self, index: usize) -> Option<StatusSection> {
        self.request_status(index, HANG_TIMEOUT).await.ok()
    }

    async fn request_status(
        &self,
        index: usize,
        limit: Duration,
    ) -> Result<StatusSection, ClientError> {
        let request = ClientRequest::get(self.routers[index].settings.admin, "/v1/status");
        let request = request.bearer(ADMIN_TOKEN);
        let response = self.client.send_with_timeout(request, limit).await?;
        response.json().await
    }

    /// Waits until a router's status satisfies `predicate`, and returns that status. Fails at once
    /// if the router's process has exited.
    pub async fn wait_status(
        &self,
        index: usize,
        condition: &str,
        predicate: impl Fn(&StatusSection) -> bool,
    ) -> StatusSection {
        let mut requests = 0;
        let mut last = None;
        let wait = async {
            loop {
                if let Some(process) = &self.routers[index].process {
                    process.assert_running();
                }
                requests += 1;
                match self.request_status(index, STATUS_LIMIT).await {
                    Ok(status) if predicate(&status) => return status,
                    result => last = Some(result),
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let found = tokio::time::timeout(HANG_TIMEOUT, wait).await;
        found.unwrap_or_else(|_| {
            let reports: Vec<String> = self.processes().map(TestProcess::report).collect();
            panic!(
                "timed out waiting until: {condition}; router {index}, {requests} requests, \
                 last response: {last:?}\n{}",
                reports.join("\n")
            )
        })
    }

    /// Processes of the fleet that were started and not taken from it.
    fn processes(&self) -> impl Iterator<Item = &TestProcess> {
        let standins = [&self.config, &self.vm_list, &self.service, &self.locator];
        let standins = standins.into_iter().chain(&self.engines);
        let processes = standins.map(|node| &node.process);
        let processes = processes.chain(self.routers.iter().map(|router| &router.process));
        processes.chain([&self.relay_process]).flatten()
    }

    /// Waits until every router serves requests, reaches all its peers and has a load report of
    /// every upstream.
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

    /// Posts `body` to `/control/{path}` of a stand-in or the relay.
    pub async fn control<T: serde::Serialize>(&self, address: SocketAddr, path: &str, body: &T) {
        let request = ClientRequest::post(address, format!("/control/{path}"));
        let request = request.json(body).expect("json");
        let response = self.client.send(request).await;
        assert!(
            response.expect("control response").status().is_success(),
            "{path}"
        );
    }

    /// Waits until an engine has begun to run a request.
    pub async fn wait_runs(&self, index: usize) {
        wait_for("engine runs a request", async || {
            (!self.engine_record(index).await.is_empty()).then_some(())
        })
        .await;
    }

    /// Returns the locator's response for a chat, or `None` when it fails or names no router.
    pub async fn locate(&self, chat: &str) -> Option<EntryResponse> {
        let request = ClientRequest::get(self.locator.address, format!("/v1/entry?chat={chat}"));
        let response = self.client.send(request).await.ok()?;
        response.json().await.ok()
    }

    /// Waits until the locator returns both routers for a chat, and returns the index of the
    /// preferred one.
    pub async fn wait_located(&self, chat: &str) -> usize {
        let locate_both = async || {
            self.locate(chat)
                .await
                .filter(|response| response.others.len() == 1)
        };
        let located = wait_for("locator returns both routers", locate_both).await;
        let router = (0..2).find(|&index| self.entry(index) == located.address);
        router.expect("router of the fleet")
    }

    /// Returns the bodies of all requests that the service received.
    pub async fn service_record(&self) -> Vec<String> {
        self.read_record(self.service.address).await
    }

    /// Returns the attempts that an engine has run.
    pub async fn engine_record(&self, index: usize) -> Vec<EngineRun> {
        self.read_record(self.engines[index].address).await
    }

    /// Returns the attempts that all engines with a process have run.
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
        let response = self
            .client
            .send(ClientRequest::get(address, "/record"))
            .await;
        response.expect("record").json().await.expect("json")
    }
}

/// One attempt of a request that an engine ran. A request that is resumed or retried has several.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct EngineRun {
    pub request: String,
    pub resume_from: u64,
    pub priority: String,
    pub body: String,
}

/// Polls until `probe` returns a value. Panics with `condition` after [`HANG_TIMEOUT`].
pub async fn wait_for<T>(condition: &str, mut probe: impl AsyncFnMut() -> Option<T>) -> T {
    let mut probes = 0;
    let wait = async {
        loop {
            probes += 1;
            if let Some(found) = probe().await {
                return found;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let found = tokio::time::timeout(HANG_TIMEOUT, wait).await;
    found.unwrap_or_else(|_| panic!("timed out waiting until: {condition}; {probes} probes"))
}
