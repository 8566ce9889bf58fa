//! What the control thread tells the traffic thread of a forwarding router.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};

use crate::fleet::upstream_entry::UpstreamEntry;
use crate::forward_settings::ForwardSettings;
use crate::policy::latest_loads::LatestLoads;
use crate::route::RouteTable;

/// How far a router is in its life.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u8)]
pub enum ForwardStage {
    /// Lacks a configuration or upstreams.
    Booting,
    /// Takes callers.
    Serving,
    /// Asked to stop; still takes calls of callers that have its address.
    Leaving,
    /// Takes no new calls.
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

/// Sections that the control thread writes and the traffic thread reads.
#[derive(Debug)]
pub struct ForwardBoard {
    /// The settings in force.
    pub settings: ArcSwap<ForwardSettings>,
    /// The configuration in force.
    pub routes: ArcSwapOption<RouteTable>,
    /// The upstreams that exist.
    pub upstreams: ArcSwap<Vec<Arc<UpstreamEntry>>>,
    /// Routers that callers may use.
    pub entries: ArcSwap<Vec<Ipv4Addr>>,
    /// Upper estimate of the number of routers.
    pub fleet_size: AtomicUsize,
    /// Milliseconds of the process' clock at which the store last answered; 0 before that.
    pub store_responded_ms: AtomicU64,
    /// Calls in progress; written by the traffic thread.
    pub calls: AtomicUsize,
    news: Mutex<LatestLoads>,
    stage: AtomicU8,
}

impl ForwardBoard {
    /// A board of a router that knows only its settings.
    pub fn new(settings: ForwardSettings) -> Self {
        Self {
            settings: ArcSwap::from_pointee(settings),
            routes: ArcSwapOption::empty(),
            upstreams: ArcSwap::default(),
            entries: ArcSwap::default(),
            fleet_size: AtomicUsize::new(1),
            store_responded_ms: AtomicU64::new(0),
            calls: AtomicUsize::new(0),
            news: Mutex::default(),
            stage: AtomicU8::new(ForwardStage::Booting as u8),
        }
    }

    /// Loads of upstreams; both threads hold it only for a moment.
    pub fn load_reports(&self) -> MutexGuard<'_, LatestLoads> {
        self.news.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How far the router is in its life.
    pub fn stage(&self) -> ForwardStage {
        ForwardStage::ALL[usize::from(self.stage.load(Ordering::Relaxed))]
    }

    /// Changes the stage.
    pub fn set_stage(&self, stage: ForwardStage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
    }
}
