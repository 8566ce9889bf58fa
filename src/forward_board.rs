//! State that the control thread and the traffic thread of a forwarding router share.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::{Notify, watch};

use crate::fleet::evacuation_table::EvacuationSet;
use crate::fleet::upstream_entry::UpstreamEntry;
use crate::fleet::version_history::VersionHistory;
use crate::forward_settings::ForwardSettings;
use crate::ids::IncarnationId;
use crate::policy::cold_upstreams::ColdUpstreams;
use crate::policy::known_routers::FleetContact;
use crate::policy::latest_loads::LatestLoads;
use crate::policy::leaving_upstreams::LeavingUpstreams;
use crate::policy::locate_choice::RouterPlace;
use crate::policy::part_lists::PartLists;
use crate::policy::rate_limits::RateLimits;
use crate::policy::stop_admission::StopPlan;
use crate::policy::store_checks::StoreChecks;
use crate::policy::stream_versions::StreamVersions;
use crate::policy::suspect_work::SuspectWork;
use crate::route::{EdgeLimits, RouteTable};

/// Stage in the life cycle of a forwarding router.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u8)]
pub enum ForwardStage {
    /// Has no configuration or no upstreams yet.
    Booting,
    /// Accepts calls; its address is returned to callers.
    Serving,
    /// Is stopping; still accepts calls that can be answered before its end, because callers may
    /// have cached its address.
    Leaving,
    /// Accepts no new calls and finishes those in progress.
    Closing,
}

impl ForwardStage {
    const ALL: [Self; 4] = [Self::Booting, Self::Serving, Self::Leaving, Self::Closing];

    /// The name of the stage in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Booting => "booting",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Closing => "closing",
        }
    }
}

/// Values that the control thread writes and the traffic thread reads, unless noted otherwise.
#[derive(Debug)]
pub struct ForwardBoard {
    pub settings: ArcSwap<ForwardSettings>,
    /// The configuration in force; `None` before the first one.
    pub routes: ArcSwapOption<RouteTable>,
    /// All registered upstreams, draining ones included.
    pub upstreams: ArcSwap<Vec<Arc<UpstreamEntry>>>,
    /// The evacuated data centres, and when others were taken back into use.
    pub evacuations: ArcSwap<EvacuationSet>,
    /// The software versions that were in use lately.
    pub versions: ArcSwap<VersionHistory>,
    /// The routers that serve callers.
    pub serving_routers: ArcSwap<Vec<RouterPlace>>,
    /// The runs of this router and of the others that are up.
    pub incarnations: ArcSwap<BTreeMap<Ipv4Addr, IncarnationId>>,
    /// Fields of the [`FleetContact`] of this router.
    is_settled: AtomicBool,
    is_isolated: AtomicBool,
    /// Upper estimate of the number of routers.
    pub fleet_size: AtomicUsize,
    /// Time up to which this router has all changes of the store, in milliseconds of the process's
    /// clock; 0 before the first read.
    pub store_known_ms: AtomicU64,
    /// How late the news of another router were lately, in milliseconds.
    pub lag_ms: AtomicU64,
    /// The stop that was requested, if one was.
    pub stop_plan: ArcSwapOption<StopPlan>,
    /// Whether the calls in progress are to end, because the stop grace is nearly used up.
    pub calls_end: watch::Sender<bool>,
    /// Calls in progress; written by the traffic thread.
    pub calls: AtomicUsize,
    /// Whether no call is in progress and all responses were sent; written by the traffic thread once
    /// the router is in stage `Closing`.
    pub responses_sent: AtomicBool,
    /// Tells the control thread of records and questions for other routers, and of checks of the
    /// store.
    pub streams_changed: Notify,
    /// Number of messages with versions of streams that were merged, and of checks that have ended.
    pub streams_merged: watch::Sender<u64>,
    load_reports: Mutex<LatestLoads>,
    stream_versions: Mutex<StreamVersions>,
    part_lists: Mutex<PartLists>,
    store_checks: Mutex<StoreChecks>,
    suspects: Mutex<SuspectWork>,
    rate_limits: Mutex<RateLimits>,
    cold_upstreams: Mutex<ColdUpstreams>,
    leaving_upstreams: Mutex<LeavingUpstreams>,
    stage: AtomicU8,
}

impl ForwardBoard {
    /// Creates the state of a router in the booting stage, without configuration and upstreams.
    pub fn new(settings: ForwardSettings) -> Self {
        Self {
            settings: ArcSwap::from_pointee(settings),
            routes: ArcSwapOption::empty(),
            upstreams: ArcSwap::default(),
            evacuations: ArcSwap::default(),
            versions: ArcSwap::default(),
            serving_routers: ArcSwap::default(),
            incarnations: ArcSwap::default(),
            fleet_size: AtomicUsize::new(1),
            store_known_ms: AtomicU64::new(0),
            lag_ms: AtomicU64::new(0),
            stop_plan: ArcSwapOption::empty(),
            calls_end: watch::Sender::new(false),
            calls: AtomicUsize::new(0),
            responses_sent: AtomicBool::new(false),
            streams_changed: Notify::new(),
            streams_merged: watch::Sender::new(0),
            load_reports: Mutex::default(),
            stream_versions: Mutex::default(),
            part_lists: Mutex::default(),
            store_checks: Mutex::default(),
            suspects: Mutex::default(),
            rate_limits: Mutex::default(),
            cold_upstreams: Mutex::default(),
            is_settled: AtomicBool::new(false),
            is_isolated: AtomicBool::new(false),
            leaving_upstreams: Mutex::default(),
            stage: AtomicU8::new(ForwardStage::Booting as u8),
        }
    }

    /// Returns an upper estimate of the number of routers.
    pub fn fleet_size(&self) -> usize {
        self.fleet_size.load(Ordering::Relaxed)
    }

    /// Returns how late a router may have heard of changes of the store.
    pub fn longest_lag(&self) -> Duration {
        let lag = Duration::from_millis(self.lag_ms.load(Ordering::Relaxed));
        self.settings.load().apply_limit + lag
    }

    /// Locks the load reports of upstreams. Both threads keep the lock only briefly.
    pub fn load_reports(&self) -> MutexGuard<'_, LatestLoads> {
        self.load_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the versions of streams. Both threads keep the lock only briefly.
    pub fn stream_versions(&self) -> MutexGuard<'_, StreamVersions> {
        self.stream_versions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the lists of cached parts. Both threads keep the lock only briefly.
    pub fn part_lists(&self) -> MutexGuard<'_, PartLists> {
        self.part_lists
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the checks of the store. Both threads keep the lock only briefly.
    pub fn store_checks(&self) -> MutexGuard<'_, StoreChecks> {
        self.store_checks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the prompt parts that may crash upstreams. Both threads keep the lock only briefly.
    pub fn suspects(&self) -> MutexGuard<'_, SuspectWork> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the rate limits of upstreams. Both threads keep the lock only briefly.
    pub fn rate_limits(&self) -> MutexGuard<'_, RateLimits> {
        self.rate_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the cold times of upstreams. Both threads keep the lock only briefly.
    pub fn cold_upstreams(&self) -> MutexGuard<'_, ColdUpstreams> {
        self.cold_upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what this router can tell about its place in the fleet.
    pub fn contact(&self) -> FleetContact {
        FleetContact {
            is_settled: self.is_settled.load(Ordering::Relaxed),
            is_isolated: self.is_isolated.load(Ordering::Relaxed),
        }
    }

    pub fn set_contact(&self, contact: FleetContact) {
        self.is_settled.store(contact.is_settled, Ordering::Relaxed);
        self.is_isolated
            .store(contact.is_isolated, Ordering::Relaxed);
    }

    /// Locks the upstreams that have said that they leave. Both threads keep the lock only briefly.
    pub fn leaving_upstreams(&self) -> MutexGuard<'_, LeavingUpstreams> {
        self.leaving_upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the limits in force on callers' requests and connections.
    pub fn limits(&self) -> EdgeLimits {
        let routes = self.routes.load();
        routes
            .as_ref()
            .map_or_else(EdgeLimits::default, |table| table.limits.clone())
    }

    /// Waits until the calls in progress are to end.
    pub async fn await_calls_end(&self) {
        // Fails only if the sender is gone, which `self` holds.
        let _ = self.calls_end.subscribe().wait_for(|&ends| ends).await;
    }

    pub fn stage(&self) -> ForwardStage {
        ForwardStage::ALL[usize::from(self.stage.load(Ordering::Relaxed))]
    }

    pub fn set_stage(&self, stage: ForwardStage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
    }
}
