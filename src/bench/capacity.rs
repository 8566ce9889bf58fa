//! Estimates what control costs a daemon in a fleet of a given size.
//!
//! The decision code runs at two sizes and its cost is taken as linear in the size; message sizes
//! are those of the encodings. Times are wall-clock times of one thread, so they differ from run to
//! run and CI does not check them; counts and message sizes do not differ.

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

/// Bytes of a frame besides its message: length prefix, authentication tag, and the headers of TCP
/// and IP.
pub const FRAME_OVERHEAD_BYTES: f64 = 4.0 + 16.0 + 40.0;

/// Bytes to open and close a connection: seven packets of forty bytes.
const CONNECTION_BYTES: f64 = 7.0 * 40.0;

/// Bytes of a short HTTP request and its response on a reused connection, including the headers of
/// four TCP/IP packets.
const EXCHANGE_BYTES: f64 = 100.0 + 150.0 + 4.0 * 40.0;

/// Bytes of a short HTTP request and its response on a connection opened for it and then closed.
const NEW_CONNECTION_EXCHANGE_BYTES: f64 = CONNECTION_BYTES + EXCHANGE_BYTES;

/// Digests per second that a router sends to each peer.
const DIGESTS_PER_SECOND: f64 = 1.0;

/// Reads per second of the load of each engine.
const PROBES_PER_SECOND: f64 = 1.0;

/// Reads per second of the list of VMs by a daemon.
const VM_LIST_READS_PER_SECOND: f64 = 1.0;

/// Watches per second of the configuration manifest by a daemon.
const WATCHES_PER_SECOND: f64 = 1.0 / 4.0;

/// Assumed share of the requests that need a slot whose owner is another router.
const REMOTE_SLOT_SHARE: f64 = 0.2;

/// Announcements per second of a router's total load to each peer.
const ANNOUNCEMENTS_PER_SECOND: f64 = 2.0;

/// Iterations over which a measured time is averaged.
const ITERATIONS: u32 = 400;

/// Size and load of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub daemons: f64,
    pub engines: f64,
    /// Requests a second at peak load, over the whole fleet.
    pub requests_per_second: f64,
    /// Tokens a second at peak load, over the whole fleet.
    pub tokens_per_second: f64,
    pub accounts: f64,
    pub config_changes_per_day: f64,
    /// Routers that share one set of engines.
    pub routers_per_cell: f64,
}

/// The larger of today's deployments.
pub const TODAY: FleetSize = FleetSize {
    daemons: 4.0,
    engines: 20.0,
    requests_per_second: 40.0,
    tokens_per_second: 11_600.0,
    accounts: 10.0,
    config_changes_per_day: 20.0,
    routers_per_cell: 4.0,
};

/// The expected size in two years, with one cell for all routers.
pub const FUTURE: FleetSize = FleetSize {
    daemons: 420.0,
    engines: 2200.0,
    requests_per_second: 3800.0,
    tokens_per_second: 1_100_000.0,
    accounts: 27_000.0,
    config_changes_per_day: 7400.0,
    routers_per_cell: 420.0,
};

/// The expected size in two years, in cells of four routers.
pub const FUTURE_CELLS: FleetSize = FleetSize {
    routers_per_cell: 4.0,
    ..FUTURE
};

/// The cost of control for one daemon.
#[derive(Clone, Copy, Debug)]
pub struct DaemonCost {
    pub bytes: ControlBytes,
    /// Messages a second, sent and received.
    pub messages: f64,
    /// Share of one core, in per cent.
    pub core_percent: f64,
    /// Resident memory, in MiB.
    pub memory_mib: f64,
    /// Reads per second of the configuration service by the whole fleet.
    pub config_reads: f64,
}

/// Bytes a second that one daemon sends and receives, by mechanism.
#[derive(Clone, Copy, Debug)]
pub struct ControlBytes {
    /// Digests and the replies to them.
    pub digests: f64,
    /// Announcements of total loads.
    pub totals: f64,
    /// Slot requests, replies and releases.
    pub slots: f64,
    /// Reads of the loads of engines.
    pub probes: f64,
    /// Reads of the list of VMs.
    pub vm_list: f64,
    /// Watches of the configuration manifest.
    pub watches: f64,
    /// Manifest and changed part of each new configuration.
    pub configuration: f64,
}

impl ControlBytes {
    /// Returns the sum over all mechanisms.
    pub fn total(&self) -> f64 {
        let peers = self.digests + self.totals + self.slots;
        peers + self.probes + self.vm_list + self.watches + self.configuration
    }
}

/// Costs and their growth with the number of engines or accounts, as [`measure`] finds them.
#[derive(Clone, Copy, Debug)]
pub struct MeasuredSlopes {
    /// Nanoseconds to offer, dispatch and finish a request, for each engine of the pool.
    pub request_ns_per_engine: f64,
    /// Nanoseconds to offer, dispatch and finish a request, extrapolated to a pool without engines.
    pub request_ns_base: f64,
    /// Nanoseconds to apply the loads of one digest, for each engine that it names.
    pub digest_ns_per_engine: f64,
    /// Bytes of a digest for each engine that it names.
    pub digest_bytes_per_engine: f64,
    /// Bytes of a digest without engines.
    pub digest_bytes_base: f64,
    /// Bytes of one account in the packed configuration.
    pub account_bytes: f64,
    /// Resident bytes of one account of the active configuration: packed, parsed and indexed.
    pub account_memory: f64,
}

/// Measures the slopes between `low` and `high` engines. The time of a digest is measured at `high`
/// only.
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

/// Sizes of the register between which the packed bytes of an account are measured.
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

/// Returns the resident memory that one account of the active configuration takes, in bytes.
fn account_memory() -> f64 {
    let before = resident_bytes();
    let bundle = Arc::new(bundle(MANY_ACCOUNTS));
    let packed = bundle.pack();
    let section = ConfigSection::new(Arc::clone(&bundle));
    let after = resident_bytes();
    black_box((packed.parts.len(), section.accounts.len()));
    (after - before).max(0.0) / MANY_ACCOUNTS as f64
}

/// Returns the resident memory of this process in bytes, or 0 where the kernel does not report it.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}

/// Estimates the cost of control for one daemon in a fleet of this size.
pub fn estimate_cost(size: &FleetSize, slopes: &MeasuredSlopes) -> DaemonCost {
    let cells = size.daemons / size.routers_per_cell;
    let engines = size.engines / cells;
    let peers = size.routers_per_cell - 1.0;
    let requests = size.requests_per_second / size.daemons;
    let digest =
        slopes.digest_bytes_base + slopes.digest_bytes_per_engine * engines + FRAME_OVERHEAD_BYTES;
    let digest_reply = FRAME_OVERHEAD_BYTES + 6.0;
    let slot_messages = requests * REMOTE_SLOT_SHARE * 3.0 * 2.0;
    let probes = engines / size.routers_per_cell * PROBES_PER_SECOND;
    let bytes = ControlBytes {
        digests: peers * DIGESTS_PER_SECOND * (digest + digest_reply) * 2.0,
        totals: peers * ANNOUNCEMENTS_PER_SECOND * load_total_bytes() * 2.0,
        slots: slot_messages * mean_slot_message_bytes(),
        probes: probes * EXCHANGE_BYTES,
        vm_list: VM_LIST_READS_PER_SECOND * EXCHANGE_BYTES,
        watches: WATCHES_PER_SECOND * NEW_CONNECTION_EXCHANGE_BYTES,
        configuration: size.config_changes_per_day / 86_400.0
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
            + size.config_changes_per_day / 86_400.0 * size.daemons,
    }
}

/// Resident memory of an idle router with two traffic threads, in MiB; see docs/CAPACITY.md.
const BASE_MEMORY_MIB: f64 = 9.4;

/// Returns the bytes a second of a daemon's probes, VM list reads and watches, which don't go to
/// peers.
pub fn non_peer_bytes(engines: f64, daemons: f64) -> f64 {
    let probes = engines / daemons * PROBES_PER_SECOND * EXCHANGE_BYTES;
    let list_reads = VM_LIST_READS_PER_SECOND * EXCHANGE_BYTES;
    probes + list_reads + WATCHES_PER_SECOND * NEW_CONNECTION_EXCHANGE_BYTES
}

fn manifest_bytes(size: &FleetSize, slopes: &MeasuredSlopes) -> f64 {
    let register = size.accounts * slopes.account_bytes;
    let parts = register / (TARGET_PART_BYTES as f64 * 0.75);
    (parts + 6.0) * 67.0
}

fn frame_bytes(body: PeerBody) -> f64 {
    PeerFrame::from(body).encoded_len() as f64 + FRAME_OVERHEAD_BYTES
}

fn mean_slot_message_bytes() -> f64 {
    let request = PeerBody::SlotRequest(SlotRequest {
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
    (frame_bytes(request) * 2.0 + frame_bytes(release)) / 3.0
}

fn load_total_bytes() -> f64 {
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

/// Returns the mean time to offer, dispatch and finish a request with this many engines, in
/// nanoseconds.
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
        // A request is never refused while slots are free.
        let _ = scheduler.offer(item);
        for step in scheduler.poll(now) {
            if let SchedulerStep::Run { item, .. } = black_box(step) {
                scheduler.finish(now, item.request);
            }
        }
    }
    start.elapsed().as_nanos() as f64 / f64::from(ITERATIONS)
}

/// Returns the mean time to apply the loads of a digest that names this many engines, in
/// nanoseconds.
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

/// Returns the total size of the packed parts of a bundle, in bytes.
pub fn packed_bytes(bundle: &ConfigBundle) -> usize {
    bundle.pack().parts.values().map(String::len).sum()
}

/// The limits on the cost of control for one daemon.
pub struct DaemonBudget {
    /// Bytes a second, sent and received.
    pub bytes: f64,
    /// Share of one core, in per cent.
    pub core_percent: f64,
    /// Resident memory, in MiB.
    pub memory_mib: f64,
    /// Reads per second of the configuration service by the whole fleet.
    pub config_reads: f64,
}

/// The limits that a daemon must keep.
pub const BUDGET: DaemonBudget = DaemonBudget {
    bytes: 5000.0,
    core_percent: 1.4,
    memory_mib: 32.0,
    config_reads: 2000.0,
};
