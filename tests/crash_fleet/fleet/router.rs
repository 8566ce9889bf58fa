//! What a router knows, and the steps of its traffic thread on it (`src/forward/traffic_state.rs`).

use std::net::Ipv4Addr;
use std::time::Duration;

use hawthornrouter::dialect::LoadReport;
use hawthornrouter::ids::{DataCenterTag, UpstreamKey, UpstreamStart};
use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::call_attempts::AttemptFault;
use hawthornrouter::policy::gone_starts::GoneStarts;
use hawthornrouter::policy::locate_choice::RouterPlace;
use hawthornrouter::policy::retry_window::RetryWindow;
use hawthornrouter::policy::uplink_state::UplinkState;
use hawthornrouter::policy::upstream_choice::{
    AffinityBound, Eligibility, SharedPart, UpstreamCandidate, choose_upstream,
};
use hawthornrouter::policy::upstream_stats::UpstreamStats;

const BOUND: AffinityBound = AffinityBound {
    multiple: 2.0,
    slack: 3.0,
};
const SLOTS: u32 = 8;
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// An entry of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    pub key: UpstreamKey,
    pub start: UpstreamStart,
    pub address: usize,
    pub data_center: DataCenterTag,
}

/// An entry that a router knows, with its own experience.
struct Known {
    entry: Entry,
    stats: UpstreamStats,
    /// Times since which connections are idle.
    idle: Vec<MonoTime>,
}

pub struct Router {
    pub place: RouterPlace,
    pub window: RetryWindow,
    pub gone: GoneStarts,
    pub uplink: UplinkState,
    /// Number of connections that were opened.
    pub reached: u64,
    /// Calls that other routers have for this one.
    pub open_relays: usize,
    known: Vec<Known>,
}

impl Router {
    pub fn new(address: Ipv4Addr, data_center: DataCenterTag) -> Self {
        Self {
            place: RouterPlace {
                address,
                data_center,
            },
            window: RetryWindow::default(),
            gone: GoneStarts::default(),
            uplink: UplinkState::default(),
            reached: 0,
            open_relays: 0,
            known: Vec::new(),
        }
    }

    /// Of several entries with one address, the store's view keeps the latest start.
    pub fn add(&mut self, entry: Entry) {
        self.known
            .retain(|known| known.entry.address != entry.address);
        self.known.push(Known {
            entry,
            stats: UpstreamStats::default(),
            idle: Vec::new(),
        });
    }

    pub fn remove(&mut self, start: UpstreamStart) {
        self.known.retain(|known| known.entry.start != start);
    }

    pub fn upstreams(&self) -> usize {
        self.known.len()
    }

    pub fn entries(&self) -> impl Iterator<Item = Entry> {
        self.known.iter().map(|known| known.entry)
    }

    pub fn is_stranded(&self, now: MonoTime) -> bool {
        self.uplink.is_stranded(now)
    }

    pub fn record_reached(&mut self, now: MonoTime) {
        self.uplink.record_reached(now);
        self.reached += 1;
    }

    pub fn record_unreached(&mut self, upstream: UpstreamKey, now: MonoTime) {
        self.uplink.record_unreachable(upstream, now);
    }

    pub fn record_failed_trials(&mut self, tried: &[UpstreamKey], now: MonoTime) {
        let was_stranded = self.is_stranded(now);
        for &key in tried {
            let upstreams = self.known.len();
            self.uplink.record_failed_trial(key, upstreams, now);
        }
        if self.is_stranded(now) && !was_stranded {
            self.close_all();
        }
    }

    pub fn close_all(&mut self) {
        self.known.iter_mut().for_each(|known| known.idle.clear());
    }

    /// Chooses an upstream, to which the call then counts until it is released.
    pub fn pick(
        &mut self,
        excluded: &[UpstreamKey],
        suspect: &[UpstreamKey],
        prompt: Option<SharedPart>,
        routers: usize,
        now: MonoTime,
        draw: u64,
    ) -> Option<Entry> {
        let shares = self.known.iter();
        let shares = shares.map(|known| known.stats.health.failure_share(now));
        let mean_share = shares.sum::<f64>() / self.known.len().max(1) as f64;
        let candidate = |known: &Known| {
            let Known { entry, stats, .. } = known;
            let eligibility =
                if excluded.contains(&entry.key) || self.gone.contains(entry.start, now) {
                    Eligibility::Excluded
                } else if suspect.contains(&entry.key) {
                    Eligibility::LastResort
                } else if stats.health.in_backoff(now) || stats.health.is_suspect(mean_share, now) {
                    Eligibility::Suspect
                } else {
                    Eligibility::Open
                };
            UpstreamCandidate {
                key: entry.key,
                slots: SLOTS,
                load: stats.load(routers, now),
                own_calls: stats.own_calls,
                is_reported: stats.is_reported(now),
                is_local: entry.data_center == self.place.data_center,
                eligibility,
                cache_readable: false,
            }
        };
        let candidates: Vec<UpstreamCandidate> = self.known.iter().map(candidate).collect();
        let index = choose_upstream(&candidates, prompt, BOUND, draw)?;
        let known = &mut self.known[index];
        known.stats.own_calls += 1;
        Some(known.entry)
    }

    /// Takes an idle connection. `is_usable` tells whether it is still open.
    pub fn take_idle(&mut self, entry: Entry, is_usable: bool, now: MonoTime) -> bool {
        let Some(known) = self.find(entry.key) else {
            return false;
        };
        let is_fresh = |idle: &MonoTime| is_usable && now.since(*idle) <= MAX_IDLE_TIME;
        known.idle.retain(is_fresh);
        known.idle.pop().is_some()
    }

    pub fn release(&mut self, entry: Entry) {
        if let Some(known) = self.find(entry.key) {
            known.stats.own_calls = known.stats.own_calls.saturating_sub(1);
        }
    }

    /// Records a response of the upstream itself, also one that refuses the call.
    pub fn record_response_head(&mut self, entry: Entry, open: usize, now: MonoTime) {
        self.gone.record_answer(entry.start);
        if let Some(known) = self.find(entry.key) {
            known.stats.health.record_activity(now);
            let open = open as u32;
            let running = open.min(SLOTS);
            let waiting = open - running;
            let report = LoadReport {
                running,
                waiting,
                ..LoadReport::default()
            };
            known.stats.record_report(report, now);
        }
    }

    pub fn record_success(&mut self, entry: Entry, now: MonoTime) {
        if let Some(known) = self.find(entry.key) {
            known.stats.health.record_success(now);
            known.idle.push(now);
        }
    }

    pub fn record_failure(&mut self, entry: Entry, fault: AttemptFault, now: MonoTime) {
        if let Some(known) = self.find(entry.key) {
            known.stats.health.record_fault(fault, false, now);
            if matches!(fault, AttemptFault::Unreachable | AttemptFault::Refused) {
                known.idle.clear();
            }
        }
    }

    pub fn record_wrong_instance(&mut self, entry: Entry, now: MonoTime) {
        if self.gone.record(entry.start, now)
            && let Some(known) = self.find(entry.key)
        {
            known.idle.clear();
        }
    }

    fn find(&mut self, key: UpstreamKey) -> Option<&mut Known> {
        self.known.iter_mut().find(|known| known.entry.key == key)
    }
}
