//! The processes of the system, started as the deploy file says, with the settings of the
//! deployment `bennani-souk`, and the store that they read.

use std::fs;
use std::io::{Error, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::server::Server;
use crate::store::Store;

pub const HOST: &str = "shop.example";
pub const KEY: &str = "key-of-ana";

/// `run` of the role in `deploy/system.toml`, from the root of the repository.
const PROGRAM: &str = "target/release/hawthorn-entry";

const FRONT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;

/// A machine of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub zone: &'static str,
    pub memory_mb: u64,
    pub max_fds: u64,
}

/// Machines of `bennani-souk`. The second one is the spare of its zone.
pub const MACHINES: [Machine; 4] = [
    Machine {
        zone: "tanger-port",
        memory_mb: 260,
        max_fds: 4100,
    },
    Machine {
        zone: "tanger-port",
        memory_mb: 260,
        max_fds: 4100,
    },
    Machine {
        zone: "meknes-ouest",
        memory_mb: 520,
        max_fds: 8200,
    },
    Machine {
        zone: "fes-medina",
        memory_mb: 390,
        max_fds: 6150,
    },
];

/// A process of the system. It is ended when this is dropped.
pub struct Router {
    pub machine: Machine,
    pub ip: Ipv4Addr,
    child: Child,
}

impl Router {
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT_PORT).into()
    }

    /// Asks what the platform asks once a second.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, READY_PORT));
        let Ok(mut socket) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            return false;
        };
        let mut answer = [0; 64];
        let _ = socket.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = socket.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        sent.is_ok()
            && socket
                .read(&mut answer)
                .is_ok_and(|count| answer[..count].starts_with(b"HTTP/1.1 200"))
    }

    /// The exit code, once the process has ended; -1 after a signal.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok()??;
        Some(status.code().unwrap_or(-1))
    }

    /// Ends the process with SIGKILL, as the platform does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The resident memory of the process in bytes.
    pub fn resident(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        kb.unwrap_or(0_u64) * 1024
    }

    /// The bytes that clients have sent and the process has not read.
    pub fn unread(&self) -> u64 {
        let [a, b, c, d] = self.ip.octets();
        let local = format!("{:08X}:{FRONT_PORT:04X}", u32::from_le_bytes([a, b, c, d]));
        let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let sockets = table.lines().map(|line| line.split_whitespace());
        sockets
            .filter_map(|mut fields| {
                let (address, _, state) = (fields.nth(1)?, fields.next()?, fields.next()?);
                let (_, unread) = fields.next()?.split_once(':')?;
                // The queue of a listener, in state 0A, counts connections.
                (address == local && state != "0A").then(|| u64::from_str_radix(unread, 16).ok())?
            })
            .sum()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A store and the addresses of one run.
pub struct Fleet {
    pub store: Store,
    net: [u8; 2],
    /// Reserves the addresses among runs at the same time.
    _reserved: TcpListener,
    dir: PathBuf,
}

impl Fleet {
    /// Starts a store with a configuration and no servers.
    pub fn start() -> std::io::Result<Self> {
        let (net, reserved) = reserve_net()?;
        let store = Store::start(Ipv4Addr::new(127, net[0], net[1], 200))?;
        let dir = std::env::temp_dir().join(format!("review-cases-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let fleet = Self {
            store,
            net,
            _reserved: reserved,
            dir,
        };
        fleet.store.put("op/config", CONFIG);
        Ok(fleet)
    }

    fn ip(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], index as u8)
    }

    /// An address for servers.
    pub fn server_ip(&self) -> Ipv4Addr {
        self.ip(201)
    }

    /// Writes the entry of a server, as the server itself does.
    pub fn register(&self, id: &str, service: &str, slots: u32, state: &str, server: &Server) {
        self.register_version(id, service, slots, state, 1, server);
    }

    /// Writes the entry of a server of a software version.
    pub fn register_version(
        &self,
        id: &str,
        service: &str,
        slots: u32,
        state: &str,
        version: u32,
        server: &Server,
    ) {
        let entry = format!(
            r#"{{"Service":"{service}","Address":"{}","Zone":"fes-medina","Version":{version},"Slots":{slots},"State":"{state}","ColdRemainingMs":0,"Sequence":1,"born":1700000000000}}"#,
            server.address
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Starts the processes of the first `count` machines and waits until they are ready.
    pub fn start_routers(&self, count: usize) -> std::io::Result<Vec<Router>> {
        let mut routers = Vec::new();
        for index in 0..count {
            routers.push(self.start_router(index)?);
        }
        self.await_ready(&routers)?;
        // They hear of each other within a second.
        std::thread::sleep(Duration::from_millis(1500));
        Ok(routers)
    }

    /// Waits until processes are ready.
    pub fn await_ready(&self, routers: &[Router]) -> std::io::Result<()> {
        let end = Instant::now() + Duration::from_secs(15);
        while !routers.iter().all(Router::is_ready) {
            if Instant::now() > end {
                return Err(Error::other("the system is not ready after 15 s"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Starts the process of a machine.
    pub fn start_router(&self, index: usize) -> std::io::Result<Router> {
        let machine = MACHINES[index];
        let ip = self.ip(index + 1);
        let seeds: Vec<String> = (1..=3)
            .map(|seed| format!("\"{}:8229\"", self.ip(seed)))
            .collect();
        let settings = self.dir.join(format!("node-{}.toml", index + 1));
        let text = SETTINGS
            .replace("@ip", &ip.to_string())
            .replace("@node", &format!("front-{}-{index}", machine.zone))
            .replace("@zone", machine.zone)
            .replace("@seeds", &seeds.join(","))
            .replace("@memory", &machine.memory_mb.to_string())
            .replace("@fds", &machine.max_fds.to_string())
            .replace("@store", &self.store.address.to_string());
        fs::write(&settings, text)?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(settings.with_extension("log"))?;
        let child = Command::new(PROGRAM)
            .env("HAWTHORNROUTER_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Router { machine, ip, child })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Ports that a process listens on. The last one is set by the deploy file.
const PORTS: [u16; 6] = [FRONT_PORT, READY_PORT, 8229, 8224, 7340, 9464];

/// Finds addresses 127.x.y.0/24 that no other run uses, on which all ports are free.
fn reserve_net() -> std::io::Result<([u8; 2], TcpListener)> {
    let process = std::process::id();
    let nets = (0..200).map(|offset| [20 + ((process + offset) % 200) as u8, 77]);
    nets.into_iter()
        .find_map(|net| {
            let ip = |index| Ipv4Addr::new(127, net[0], net[1], index);
            let mut addresses = (1..=4).flat_map(|index| PORTS.map(|port| (ip(index), port)));
            let is_free = |address| TcpListener::bind(address).is_ok();
            let lock = TcpListener::bind((ip(254), 7998)).ok()?;
            addresses.all(is_free).then_some((net, lock))
        })
        .ok_or_else(|| Error::other("no free addresses"))
}

const SETTINGS: &str = r#"Node = "@node"
Role = "entry"
MachineClass = "front"
Serves = ["front","control_plane","registry"]
Ip = "@ip"
Zone = "@zone"
Region = "maroc-nord"
InternalPorts = [7340,7355]
Seeds = [@seeds]
Bootstrap = true
CountsAsLoss = false
Discovery = "platform"
Entry = "registry"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[Zones]
fes-medina = "maroc-nord"
meknes-ouest = "maroc-nord"
tanger-port = "maroc-nord"
[Listen]
Front = "@ip:8227"
Ready = "@ip:8220"
Control = "@ip:8229"
Directory = "@ip:8224"
[Limits]
CpuShare = 0.5
Cores = 1
MemoryMb = @memory
MaxFds = @fds
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
StrictRevoke = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetrySlack = 52
RecoveryS = 12
PassMs = 120
ReuseWindowS = 10
CapFactor = 2
ttl_max_s = 5
[Platform]
Address = "@store"
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"#;

/// A configuration with the kinds of requests of `bennani-souk` and the limits of its pages.
pub const CONFIG: &str = r#"{"Version":7,"Routes":[
{"Name":"r-plan","Host":"shop.example","Prefix":"/plan/","Kind":"streaming","TimeoutMs":12000,"TargetLatencyMs":2500,"Priority":2,"Service":"conteur","MaxAttempts":2,"Public":false,"SessionAffinity":true,"StreamResume":true,"GapTargetMs":800},
{"Name":"r-order","Host":"shop.example","Prefix":"/order/","Kind":"non_idempotent","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,"Service":"comptoir","MaxAttempts":1,"Public":false,"SessionAffinity":false,"StreamResume":false},
{"Name":"r-lookup","Host":"shop.example","Prefix":"/lookup/","Kind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,"Service":"comptoir","MaxAttempts":2,"Public":false,"SessionAffinity":false,"StreamResume":false}],
"Services":[{"Name":"conteur","HealthPath":"/healthz","MaxConnections":360,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacityTokens":423087,"KvTokenBytes":18432,"LinkMbps":740000.0,"Models":[{"Name":"m"}]}},
{"Name":"comptoir","HealthPath":"/healthz","MaxConnections":96,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"ana","ApiKeys":["key-of-ana"],"Priority":1}]}"#;
