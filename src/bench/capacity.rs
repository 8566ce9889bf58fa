//! What a daemon costs at a given size, from slopes measured on this machine.
//!
//! The decision code is run at growing sizes and a straight line is laid through the costs; the
//! bytes of messages are those of their encodings. Time is wall-clock time of one thread, so it
//! differs from run to run and is no verdict of CI; counts and bytes do not.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use prost::Message;

use crate::bench::fleet_policy::RouterIndex;
use crate::bench::setup::{SIM_MODEL, engine_key};
use crate::board::ConfigSection;
use crate::bundle::{ConfigBundle, TARGET_PART_BYTES};
use crate::ids::{AccountKey, ChatKey, EngineKey, RequestKey, RevisionNumber, VmKey};
use crate::mono::MonoTime;
use crate::policy::request_scheduler::{PoolEngine, RequestScheduler, SchedulerStep};
use crate::policy::work_item::WorkItem;
use crate::register::{AccountEntry, AssetRegister, token_digest};
use crate::rules::{WorkRank, default_rules};
use crate::wire::{
    FleetDigest, LoadEntry, LoadTotal, PeerBody, PeerFrame, SlotRelease, SlotRequest,
};

/// Bytes of a frame besides its message: length, seal, and the headers of TCP and IP.
pub const FRAME_BYTES: f64 = 4.0 + 16.0 + 40.0;

/// Bytes of opening and closing a connection: seven packets of forty bytes.
const CONNECTION_BYTES: f64 = 7.0 * 40.0;

/// Bytes of a short HTTP question and its answer on a kept connection, with four packets' headers
/// of TCP and IP.
const QUESTION_BYTES: f64 = 100.0 + 150.0 + 4.0 * 40.0;

/// The same on a connection of its own.
const SHORT_CALL_BYTES: f64 = CONNECTION_BYTES + QUESTION_BYTES;

/// Digests of a router to each peer, a second.
const DIGESTS_PER_SECOND: f64 = 1.0;

/// Reads of each engine's load, a second.
const PROBES_PER_SECOND: f64 = 1.0;

/// Reads of the list of VMs, a second.
const LIST_READS_PER_SECOND: f64 = 1.0;

/// Watches of the manifest, a second.
const WATCHES_PER_SECOND: f64 = 1.0 / 4.0;

/// Part of the requests that are taken to need a slot of another steward.
const FOREIGN_PART: f64 = 0.2;

/// Announcements of a router's total, a second.
const ANNOUNCEMENTS_PER_SECOND: f64 = 2.0;

/// Iterations that one measured figure is the mean of.
const ITERATIONS: u32 = 400;

/// A fleet to work out.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Daemons.
    pub daemons: f64,
    /// Engines.
    pub engines: f64,
    /// Requests a second at the peak.
    pub requests: f64,
    /// Tokens a second at the peak.
    pub tokens: f64,
    /// Client accounts.
    pub accounts: f64,
    /// Configuration changes a day.
    pub configuration: f64,
    /// Routers that share one set of engines.
    pub cell: f64,
}

/// Today's larger deployment.
pub const TODAY: FleetSize = FleetSize {
    daemons: 4.0,
    engines: 20.0,
    requests: 40.0,
    tokens: 11_600.0,
    accounts: 10.0,
    configuration: 20.0,
    cell: 4.0,
};

/// The size in two years, without cells.
pub const FUTURE: FleetSize = FleetSize {
    daemons: 420.0,
    engines: 2200.0,
    requests: 3800.0,
    tokens: 1_100_000.0,
    accounts: 27_000.0,
    configuration: 7400.0,
    cell: 420.0,
};

/// The size in two years, in cells of four routers.
pub const FUTURE_CELLS: FleetSize = FleetSize {
    cell: 4.0,
    ..FUTURE
};

/// What one daemon spends on control.
#[derive(Clone, Copy, Debug)]
pub struct DaemonCost {
    /// Bytes a second, sent and received, by mechanism.
    pub bytes: ControlBytes,
    /// Messages a second, sent and received.
    pub messages: f64,
    /// Share of one core, in per cent.
    pub core_percent: f64,
    /// Memory, in MiB.
    pub memory_mib: f64,
    /// Reads of the configuration service by the whole fleet, a second.
    pub config_reads: f64,
}

/// Bytes a second of one daemon by mechanism.
#[derive(Clone, Copy, Debug)]
pub struct ControlBytes {
    /// Digests and their answers.
    pub digests: f64,
    /// Announced totals.
    pub totals: f64,
    /// Asks for slots, replies and releases.
    pub slots: f64,
    /// Reads of engines' loads.
    pub probes: f64,
    /// The list of VMs.
    pub vm_list: f64,
    /// Watches of the manifest.
    pub watches: f64,
    /// Parts of new configurations.
    pub configuration: f64,
}

impl ControlBytes {
    /// All of them.
    pub fn total(&self) -> f64 {
        let peers = self.digests + self.totals + self.slots;
        peers + self.probes + self.vm_list + self.watches + self.configuration
    }
}

/// Slopes measured on this machine.
#[derive(Clone, Copy, Debug)]
pub struct MeasuredSlopes {
    /// Nanoseconds of an offer, its dispatch and its end, for each engine of the pool.
    pub request_ns_per_engine: f64,
    /// The same without engines.
    pub request_ns_base: f64,
    /// Nanoseconds of taking one digest, for each engine that it names.
    pub digest_ns_per_engine: f64,
    /// Bytes of a digest for each engine that it names.
    pub digest_bytes_per_engine: f64,
    /// Bytes of a digest without engines.
    pub digest_bytes_base: f64,
    /// Bytes of a packed account.
    pub account_bytes: f64,
    /// Bytes of memory of an account in force: packed, parsed and indexed.
    pub account_memory: f64,
}

/// Measures the slopes between `low` and `high` engines.
pub fn measure(low: usize, high: usize) -> MeasuredSlopes {
    let (small, large) = (time_requests(low), time_requests(high));
    let slope = (large - small) / (high - low) as f64;
    let (few, many) = (digest_bytes(low), digest_bytes(high));
    let digest_slope = (many - few) / (high - low) as f64;
    MeasuredSlopes {
        request_ns_per_engine: slope.max(0.0),
        request_ns_base: (small - slope * low as f64).max(0.0),
        digest_ns_per_engine: time_digest(high) / high as f64,
        digest_bytes_per_engine: digest_slope,
        digest_bytes_base: few - digest_slope * low as f64,
        account_bytes: packed_account_bytes(),
        account_memory: account_memory(),
    }
}

/// Accounts between which the slopes of the register are measured.
const FEW_ACCOUNTS: usize = 1000;
const MANY_ACCOUNTS: usize = 27_000;

fn bundle(accounts: usize) -> ConfigBundle {
    let accounts = (0..accounts).map(|number| AccountEntry {
        id: format!("account-{number:06}")
            .parse()
            .expect("digits form an id"),
        token_digest: token_digest(&number.to_string()),
        weight: 1,
    });
    ConfigBundle {
        revision: RevisionNumber(1),
        register: AssetRegister {
            data_centers: Vec::new(),
            vms: Vec::new(),
            models: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            accounts: accounts.collect(),
        },
        rules: default_rules(),
    }
}

fn packed_account_bytes() -> f64 {
    let packed = |accounts| packed_bytes(&bundle(accounts)) as f64;
    let span = (MANY_ACCOUNTS - FEW_ACCOUNTS) as f64;
    (packed(MANY_ACCOUNTS) - packed(FEW_ACCOUNTS)) / span
}

/// Bytes of resident memory that one account of a configuration in force takes.
fn account_memory() -> f64 {
    let before = resident_bytes();
    let bundle = Arc::new(bundle(MANY_ACCOUNTS));
    let packed = bundle.pack();
    let section = ConfigSection::new(Arc::clone(&bundle));
    let after = resident_bytes();
    black_box((packed.parts.len(), section.accounts.len()));
    (after - before).max(0.0) / MANY_ACCOUNTS as f64
}

/// Resident memory of this process, as the kernel tells it; zero where it does not.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}

/// Works out what one daemon spends at a size.
pub fn estimate_cost(size: &FleetSize, slopes: &MeasuredSlopes) -> DaemonCost {
    let cells = size.daemons / size.cell;
    let engines = size.engines / cells;
    let peers = size.cell - 1.0;
    let requests = size.requests / size.daemons;
    let digest = slopes.digest_bytes_base + slopes.digest_bytes_per_engine * engines + FRAME_BYTES;
    let pong = FRAME_BYTES + 6.0;
    let slot_messages = requests * FOREIGN_PART * 3.0 * 2.0;
    let probes = engines / size.cell * PROBES_PER_SECOND;
    let bytes = ControlBytes {
        digests: peers * DIGESTS_PER_SECOND * (digest + pong) * 2.0,
        totals: peers * ANNOUNCEMENTS_PER_SECOND * total_bytes() * 2.0,
        slots: slot_messages * slot_bytes(),
        probes: probes * QUESTION_BYTES,
        vm_list: LIST_READS_PER_SECOND * QUESTION_BYTES,
        watches: WATCHES_PER_SECOND * SHORT_CALL_BYTES,
        configuration: size.configuration / 86_400.0
            * (TARGET_PART_BYTES as f64 + manifest_bytes(size, slopes)),
    };
    let digests = peers * DIGESTS_PER_SECOND;
    let messages = digests * 4.0 + peers * ANNOUNCEMENTS_PER_SECOND * 2.0 + slot_messages;
    let request_ns = slopes.request_ns_base + slopes.request_ns_per_engine * engines;
    let digest_ns = digests * slopes.digest_ns_per_engine * engines;
    let core_ns = requests * request_ns + digest_ns;
    DaemonCost {
        bytes,
        messages,
        core_percent: core_ns / 1e9 * 100.0,
        memory_mib: BASE_MEMORY_MIB + size.accounts * slopes.account_memory / f64::from(1 << 20),
        config_reads: size.daemons * WATCHES_PER_SECOND
            + size.configuration / 86_400.0 * size.daemons,
    }
}

/// Resident memory of an idle router with two traffic threads, in MiB; see docs/CAPACITY.md.
const BASE_MEMORY_MIB: f64 = 9.4;

/// Bytes a second of a daemon besides its messages to peers: probes, the list and watches.
pub fn standing_bytes(engines: f64, daemons: f64) -> f64 {
    let probes = engines / daemons * PROBES_PER_SECOND * QUESTION_BYTES;
    let vm_list = LIST_READS_PER_SECOND * QUESTION_BYTES;
    probes + vm_list + WATCHES_PER_SECOND * SHORT_CALL_BYTES
}

fn manifest_bytes(size: &FleetSize, slopes: &MeasuredSlopes) -> f64 {
    let register = size.accounts * slopes.account_bytes;
    let parts = register / (TARGET_PART_BYTES as f64 * 0.75);
    (parts + 6.0) * 67.0
}

fn frame_bytes(body: PeerBody) -> f64 {
    PeerFrame::from(body).encoded_len() as f64 + FRAME_BYTES
}

fn slot_bytes() -> f64 {
    let ask = PeerBody::SlotRequest(SlotRequest {
        request: u64::MAX,
        engine: u64::MAX,
        rank: 1,
        wait: false,
        total: 100,
    });
    let release = PeerBody::SlotRelease(SlotRelease {
        engine: u64::MAX,
        headroom: false,
        total: 100,
    });
    (frame_bytes(ask) * 2.0 + frame_bytes(release)) / 3.0
}

fn total_bytes() -> f64 {
    frame_bytes(PeerBody::LoadTotal(LoadTotal {
        model: u64::MAX,
        running: 100,
        waiting: 0,
    }))
}

fn digest(engines: usize) -> FleetDigest {
    let loads = (0..engines).map(|index| LoadEntry {
        engine: engine_key(index).0,
        running: 4,
        headroom: 1,
    });
    FleetDigest {
        sequence: 100_000,
        draining: false,
        revision: 100_000,
        loads: loads.collect(),
        reports: Vec::new(),
        waiting: 0,
    }
}

fn digest_bytes(engines: usize) -> f64 {
    PeerFrame::from(PeerBody::Digest(digest(engines))).encoded_len() as f64
}

fn scheduler(engines: usize) -> RequestScheduler {
    let mut scheduler = RequestScheduler::new(RouterIndex(0).vm(), Arc::new(default_rules()));
    let pool: Vec<PoolEngine> = (0..engines)
        .map(|index| PoolEngine {
            key: engine_key(index),
            model: SIM_MODEL,
            slots: 16,
            open: true,
        })
        .collect();
    scheduler.set_engines(&pool);
    scheduler
}

/// Nanoseconds of an offer, its dispatch and its end with so many engines.
fn time_requests(engines: usize) -> f64 {
    let mut scheduler = scheduler(engines);
    let start = Instant::now();
    for number in 1..=u64::from(ITERATIONS) {
        let now = MonoTime(Duration::from_millis(number));
        let item = WorkItem {
            request: RequestKey(number),
            account: AccountKey(number % 10),
            weight: 1,
            rank: WorkRank::Quick,
            model: SIM_MODEL,
            chat: ChatKey(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            cost: 300,
            accepted: now,
            avoid: None,
            pinned: None,
            preemptions: 0,
            served: Duration::ZERO,
        };
        // A queue with free slots takes every request.
        let _ = scheduler.offer(item);
        for step in scheduler.poll(now) {
            if let SchedulerStep::Run { item, .. } = black_box(step) {
                scheduler.finish(now, item.request);
            }
        }
    }
    start.elapsed().as_nanos() as f64 / f64::from(ITERATIONS)
}

/// Nanoseconds of taking a digest that names so many engines.
fn time_digest(engines: usize) -> f64 {
    let mut scheduler = scheduler(engines);
    let loads: Vec<_> = digest(engines).loads.into_iter().map(Into::into).collect();
    let start = Instant::now();
    for number in 0..u64::from(ITERATIONS / 4) {
        let now = MonoTime(Duration::from_secs(number * 10));
        scheduler.apply_load_report(now, VmKey(77), black_box(&loads));
    }
    black_box(scheduler.load(EngineKey(1)));
    start.elapsed().as_nanos() as f64 / f64::from(ITERATIONS / 4)
}

/// Bytes of all parts of a bundle.
pub fn packed_bytes(bundle: &ConfigBundle) -> usize {
    bundle.pack().parts.values().map(String::len).sum()
}

/// Budget of one daemon for control.
pub struct DaemonBudget {
    /// Bytes a second.
    pub bytes: f64,
    /// Share of one core, in per cent.
    pub core_percent: f64,
    /// Memory, in MiB.
    pub memory_mib: f64,
    /// Reads of the configuration service by the whole fleet, a second.
    pub config_reads: f64,
}

/// What the users allow.
pub const BUDGET: DaemonBudget = DaemonBudget {
    bytes: 5000.0,
    core_percent: 1.4,
    memory_mib: 32.0,
    config_reads: 2000.0,
};
