//! The project's processes, with settings files like those of a small deployment.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::is_ready;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Kinds of requests of the site bennani-souk, with its timeouts, targets and attempts.
pub const CONFIG: &str = concat!(
    "{\"Version\":7,\"Routes\":[",
    "{\"Name\":\"r-plan\",\"Host\":\"ficu95.example\",\"Prefix\":\"/plan/\",",
    "\"Kind\":\"streaming\",\"TimeoutMs\":12000,\"TargetLatencyMs\":2500,\"Priority\":2,",
    "\"Service\":\"conteur\",\"MaxAttempts\":2,\"Public\":false,\"SessionAffinity\":true,",
    "\"StreamResume\":true,\"GapTargetMs\":800},",
    "{\"Name\":\"r-note\",\"Host\":\"ficu95.example\",\"Prefix\":\"/note/\",",
    "\"Kind\":\"streaming\",\"TimeoutMs\":10000,\"TargetLatencyMs\":500,\"Priority\":0,",
    "\"Service\":\"conteur\",\"MaxAttempts\":1,\"Public\":false,\"SessionAffinity\":true,",
    "\"StreamResume\":false,\"GapTargetMs\":800},",
    "{\"Name\":\"r-order\",\"Host\":\"ficu95.example\",\"Prefix\":\"/order/\",",
    "\"Kind\":\"non_idempotent\",\"TimeoutMs\":800,\"TargetLatencyMs\":300,\"Priority\":2,",
    "\"Service\":\"comptoir\",\"MaxAttempts\":1,\"Public\":false},",
    "{\"Name\":\"r-stock\",\"Host\":\"ficu95.example\",\"Prefix\":\"/stock/\",",
    "\"Kind\":\"idempotent\",\"TimeoutMs\":800,\"TargetLatencyMs\":300,\"Priority\":2,",
    "\"Service\":\"comptoir\",\"MaxAttempts\":2,\"Public\":false}],",
    "\"Services\":[{\"Name\":\"conteur\",\"HealthPath\":\"/healthz\",\"MaxConnections\":360,",
    "\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":64,\"KvCapacityTokens\":423087,",
    "\"KvTokenBytes\":18432,\"LinkMbps\":740000.0,\"Moves\":true,\"Backups\":true,\"Stride\":7,",
    "\"most\":2,\"PinMs\":4000.0,\"HoldMs\":2000.0,\"HandleS\":5.0,",
    "\"Models\":[{\"Name\":\"m\"}]}},",
    "{\"Name\":\"comptoir\",\"HealthPath\":\"/healthz\",\"MaxConnections\":96,",
    "\"Protocol\":\"h1\",\"Tls\":false}],",
    "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,",
    "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"hule930\",",
    "\"ApiKeys\":[\"n2ctnfzs989anu6wsjnb\"],\"Priority\":1}]}"
);

const START_GAP: Duration = Duration::from_millis(70);

const ZONES: [&str; 3] = ["fes-medina", "meknes-ouest", "tanger-port"];

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes, for a run that takes too long.
pub fn kill_all() {
    for id in RUNNING.lock().expect("ids").drain(..) {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

/// A running `hawthorn-entry`, which is killed on drop.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Child,
}

impl Entry {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Changes `ttl_max_s` in the settings file.
    pub fn change_settings(&self, ttl_max_s: u32) {
        let text = fs::read_to_string(&self.settings).expect("settings");
        let start = text.find("ttl_max_s").expect("the field");
        let end = start + text[start..].find('\n').expect("its end");
        let text = format!("{}ttl_max_s = {ttl_max_s}{}", &text[..start], &text[end..]);
        fs::write(&self.settings, text).expect("settings are written");
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Resident memory of the process, in bytes; 0 once it has ended.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kib.and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * 1024
    }

    /// Ends the process at once, as the platform does.
    pub fn kill(&mut self) {
        let id = self.pid();
        RUNNING
            .lock()
            .expect("ids")
            .retain(|&running| running != id);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A loopback network of its own for one run, so that several runs don't meet.
pub fn network() -> (u8, u8) {
    let id = std::process::id();
    let low = id.to_le_bytes();
    (low[1] % 100 + 100, low[0] % 250 + 2)
}

pub fn address(host: u8) -> Ipv4Addr {
    let (high, low) = network();
    Ipv4Addr::new(127, high, low, host)
}

/// A port that is free on all of `ips`, for TCP and UDP.
fn free_port(ips: &[Ipv4Addr]) -> u16 {
    loop {
        let listener = TcpListener::bind((ips[0], 0)).expect("a free port");
        let port = listener.local_addr().expect("address").port();
        drop(listener);
        let is_free = ips.iter().all(|&ip| {
            TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok()
        });
        if is_free {
            return port;
        }
    }
}

/// Starts `count` processes and waits until all are ready.
pub fn start_fleet(program: &Path, folder: &Path, store: SocketAddrV4, count: u8) -> Vec<Entry> {
    let ips: Vec<Ipv4Addr> = (0..count).map(|number| address(10 + number)).collect();
    let mut ports = Vec::new();
    while ports.len() < 5 {
        let port = free_port(&ips);
        if !ports.contains(&port) {
            ports.push(port);
        }
    }
    let entries: Vec<Entry> = ips
        .iter()
        .enumerate()
        .map(|(number, &ip)| {
            let settings = settings_text(number, ip, &ips, &ports, store);
            let name = format!("front-{number}");
            let path = folder.join(format!("{name}.toml"));
            fs::write(&path, settings).expect("settings are written");
            // Machines start within 0.3 s of each other.
            thread::sleep(START_GAP);
            start_entry(program, folder, &name, &path, ip, &ports)
        })
        .collect();
    let end = Instant::now() + Duration::from_secs(15);
    for entry in &entries {
        while !is_ready(entry.ready, Duration::from_secs(1)) {
            assert!(Instant::now() < end, "{} is not ready", entry.name);
            thread::sleep(Duration::from_millis(50));
        }
    }
    entries
}

fn start_entry(
    program: &Path,
    folder: &Path,
    name: &str,
    settings: &Path,
    ip: Ipv4Addr,
    ports: &[u16],
) -> Entry {
    let log = fs::File::create(folder.join(format!("{name}.log"))).expect("log file");
    let errors = log.try_clone().expect("log file");
    let child = Command::new(program)
        .env_clear()
        .env("HAWTHORNROUTER_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the program starts");
    RUNNING.lock().expect("ids").push(child.id());
    Entry {
        name: name.to_owned(),
        front: SocketAddr::from((ip, ports[0])),
        ready: SocketAddr::from((ip, ports[1])),
        settings: settings.to_owned(),
        child,
    }
}

/// Settings with the fields and bounds that `fleetbench wire` prints for bennani-souk.
fn settings_text(
    number: usize,
    ip: Ipv4Addr,
    ips: &[Ipv4Addr],
    ports: &[u16],
    store: SocketAddrV4,
) -> String {
    let seeds: Vec<String> = ips
        .iter()
        .take(3)
        .map(|seed| format!("\"{seed}:{}\"", ports[2]))
        .collect();
    format!(
        "Node = \"front-{number}\"\nRole = \"entry\"\nMachineClass = \"front\"\n\
         Serves = [\"front\",\"control_plane\",\"registry\"]\nIp = \"{ip}\"\nZone = \"{zone}\"\n\
         Region = \"maroc-nord\"\nInternalPorts = [{gossip},{gossip}]\nSeeds = [{seeds}]\n\
         Bootstrap = true\nCountsAsLoss = false\nDiscovery = \"platform\"\nEntry = \"registry\"\n\
         HeartbeatMs = 1200\n[Zones]\nfes-medina = \"maroc-nord\"\n\
         meknes-ouest = \"maroc-nord\"\ntanger-port = \"maroc-nord\"\n\
         [Listen]\nFront = \"{ip}:{front}\"\nReady = \"{ip}:{ready}\"\n\
         Control = \"{ip}:{control}\"\nDirectory = \"{ip}:{directory}\"\n\
         [Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\n\
         LinkMbps = 1000.0\nDiskMb = 0\n\
         [FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n\
         [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\n\
         DrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\n\
         RollbackSlackMs = 250\nMaxStretchMs = 5000\nStrictRevoke = false\nRevokeMs = 5000\n\
         RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = 52\nRecoveryS = 12\n\
         PassMs = 120\nReuseWindowS = 10\nCapFactor = 2\nttl_max_s = 5\n\
         [Platform]\nAddress = \"{store}\"\nform = \"read\"\nWritesPerS = 400\n\
         ReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n",
        zone = ZONES[number % ZONES.len()],
        seeds = seeds.join(","),
        front = ports[0],
        ready = ports[1],
        control = ports[2],
        directory = ports[3],
        gossip = ports[4],
    )
}

/// The program that `deploy/system.toml` builds.
pub fn program(root: &Path) -> PathBuf {
    root.join("target/release/hawthorn-entry")
}

pub fn zone(number: usize) -> &'static str {
    ZONES[number % ZONES.len()]
}
