//! What the calls of the traffic thread share.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::dialect::{EdgeDialect, PromptPrefix, ResponseHead};
use crate::fleet::upstream_entry::{ServingState, UpstreamEntry};
use crate::forward::connection_pool::ConnectionPool;
use crate::forward_board::ForwardBoard;
use crate::ids::{ServiceId, UpstreamKey};
use crate::log_rate_limiter::LogRateLimiter;
use crate::mono::{MonoTime, ProcessClock};
use crate::policy::call_attempts::AttemptFault;
use crate::policy::latest_loads::UpstreamLoad;
use crate::policy::prompt_load::PromptLoad;
use crate::policy::retry_window::RetryWindow;
use crate::policy::upstream_choice::{
    Eligibility, SharedPart, UpstreamCandidate, choose_upstream, next_preferred,
};
use crate::policy::upstream_stats::UpstreamStats;
use crate::route::RouteTable;
use crate::telemetry::{RouterTelemetry, set_count};

/// Slowest link between upstreams over which parts of prompts are copied: several times faster
/// than any engine reads them.
const MIN_COPIED_TOKENS_PER_MS: f64 = 250.0;

/// Fewest shared tokens that are worth a copy: reading this many takes about as long as asking.
const MIN_COPIED_TOKENS: u32 = 100;

/// State of the traffic thread.
pub struct TrafficState<D> {
    /// The words on the wire.
    pub dialect: D,
    /// What the control thread tells.
    pub board: Arc<ForwardBoard>,
    /// The clock of the process.
    pub clock: ProcessClock,
    /// The metrics.
    pub telemetry: RouterTelemetry,
    /// Idle connections.
    pub pool: RefCell<ConnectionPool>,
    tracks: RefCell<HashMap<UpstreamKey, UpstreamStats>>,
    retries: RefCell<HashMap<ServiceId, RetryWindow>>,
    heat: RefCell<PromptLoad>,
    /// Bounds the lines of calls that went well.
    call_lines: RefCell<LogRateLimiter>,
    /// Bounds the lines of requests refused before they were calls.
    refusal_lines: RefCell<LogRateLimiter>,
    rng: RefCell<SmallRng>,
}

/// A chosen upstream; counts as a call there until it is dropped.
pub struct UpstreamGuard<D: EdgeDialect> {
    /// The upstream.
    pub entry: Arc<UpstreamEntry>,
    /// Its key.
    pub key: UpstreamKey,
    /// Its load when it was chosen.
    pub load: f64,
    /// The shared part by which it was chosen.
    prompt: Option<u64>,
    /// From where it can copy that part.
    pub cache_source: Option<SocketAddr>,
    since: MonoTime,
    state: Rc<TrafficState<D>>,
}

impl<D: EdgeDialect> Drop for UpstreamGuard<D> {
    fn drop(&mut self) {
        if let Some(track) = self.state.tracks.borrow_mut().get_mut(&self.key) {
            track.own_calls = track.own_calls.saturating_sub(1);
        }
        if let Some(prompt) = self.prompt {
            let now = self.state.now();
            let length = now.since(self.since);
            self.state
                .heat
                .borrow_mut()
                .record_call(prompt, length, now);
        }
    }
}

/// Whether copying parts of prompts between upstreams of a service is quicker than reading them.
fn copies_fast(table: &RouteTable, service: &ServiceId) -> bool {
    let speed = table
        .service(service)
        .map_or(0.0, |rule| rule.copied_tokens_per_ms);
    speed >= MIN_COPIED_TOKENS_PER_MS
}

impl<D: EdgeDialect> TrafficState<D> {
    /// State without memory of any upstream.
    pub fn new(
        dialect: D,
        board: Arc<ForwardBoard>,
        clock: ProcessClock,
        telemetry: RouterTelemetry,
    ) -> Self {
        Self {
            dialect,
            board,
            clock,
            telemetry,
            pool: RefCell::default(),
            tracks: RefCell::default(),
            retries: RefCell::default(),
            heat: RefCell::default(),
            call_lines: RefCell::default(),
            refusal_lines: RefCell::default(),
            rng: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
        }
    }

    /// The time.
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// A number that is uniform over `u64`.
    pub fn draw(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// Counts a call of a service for its retry budget.
    pub fn count_call(&self, service: &ServiceId) {
        let mut retries = self.retries.borrow_mut();
        let window = retries.entry(service.clone()).or_default();
        window.record_call(&self.board.settings.load().retry, self.now());
    }

    /// Whether the retry budget of a service has room.
    pub fn affordable(&self, service: &ServiceId) -> bool {
        let routers = self.board.fleet_size.load(Ordering::Relaxed);
        let mut retries = self.retries.borrow_mut();
        let window = retries.entry(service.clone()).or_default();
        window.affordable(&self.board.settings.load().retry, routers, self.now())
    }

    /// Counts a call that a second upstream receives.
    pub fn count_repeat(&self, service: &ServiceId) {
        let mut retries = self.retries.borrow_mut();
        retries
            .entry(service.clone())
            .or_default()
            .record_repeat(self.now());
        self.telemetry.repeats.inc();
    }

    /// Chooses an upstream of `service` that is none of `tried`, and one of `doubted` only if no
    /// other is left.
    pub fn pick(
        self: &Rc<Self>,
        table: &RouteTable,
        service: &ServiceId,
        prompt: Option<PromptPrefix>,
        tried: &[UpstreamKey],
        doubted: &[UpstreamKey],
    ) -> Option<UpstreamGuard<D>> {
        let upstreams = self.board.upstreams.load();
        let members: Vec<&Arc<UpstreamEntry>> = upstreams
            .iter()
            .filter(|entry| entry.service == *service)
            .collect();
        self.take_news(&members);
        let options = self.options(table, service, &members, tried, doubted);
        let bound = self.board.settings.load().home;
        let now = self.now();
        let routers = self.board.fleet_size.load(Ordering::Relaxed);
        let heat = self.heat.borrow();
        let home = prompt.map(|run| SharedPart {
            prompt: run.hash,
            open_calls: heat.open_calls(run.hash, routers, now),
        });
        let index = choose_upstream(&options, home, bound, self.draw())?;
        let key = options[index].key;
        let source = prompt
            .filter(|run| run.tokens >= MIN_COPIED_TOKENS && copies_fast(table, service))
            .and_then(|run| next_preferred(&options, run.hash, index));
        let mut tracks = self.tracks.borrow_mut();
        tracks.entry(key).or_default().own_calls += 1;
        Some(UpstreamGuard {
            entry: Arc::clone(members[index]),
            key,
            load: options[index].load,
            prompt: prompt.map(|run| run.hash),
            cache_source: source.map(|source| members[source].address),
            since: now,
            state: Rc::clone(self),
        })
    }

    /// Takes what other routers reported of upstreams.
    fn take_news(&self, members: &[&Arc<UpstreamEntry>]) {
        let news = self.board.load_reports();
        let mut tracks = self.tracks.borrow_mut();
        for entry in members {
            let key = entry.id.key();
            if let Some(word) = news.latest(key) {
                tracks
                    .entry(key)
                    .or_default()
                    .record_report(word.load, word.at);
            }
        }
    }

    fn options(
        &self,
        table: &RouteTable,
        service: &ServiceId,
        members: &[&Arc<UpstreamEntry>],
        tried: &[UpstreamKey],
        doubted: &[UpstreamKey],
    ) -> Vec<UpstreamCandidate> {
        let now = self.now();
        let settings = self.board.settings.load();
        let routers = self.board.fleet_size.load(Ordering::Relaxed);
        let tracks = self.tracks.borrow();
        let unknown = UpstreamStats::default();
        let track_of = |key: UpstreamKey| tracks.get(&key).unwrap_or(&unknown);
        let shares: f64 = members
            .iter()
            .map(|entry| track_of(entry.id.key()).health.failure_share(now))
            .sum();
        let usual = shares / members.len().max(1) as f64;
        let connections = table.service(service).map_or(u32::MAX, |rule| {
            rule.max_connections / routers.max(1) as u32
        });
        members
            .iter()
            .map(|entry| {
                let key = entry.id.key();
                let track = track_of(key);
                let closed = entry.state == ServingState::Draining
                    || tried.contains(&key)
                    || track.own_calls >= connections.max(1);
                let eligibility = if closed {
                    Eligibility::Excluded
                } else if doubted.contains(&key) {
                    Eligibility::LastResort
                } else if track.health.in_backoff(now) || track.health.is_suspect(usual, now) {
                    Eligibility::Suspect
                } else {
                    Eligibility::Open
                };
                UpstreamCandidate {
                    key,
                    slots: entry.slots,
                    load: track.load(routers, now),
                    is_local: entry.data_center == settings.data_center,
                    eligibility,
                    cache_readable: !track.health.in_backoff(now),
                }
            })
            .collect()
    }

    /// Whether an upstream lately said that calls wait there.
    pub fn is_queued(&self, upstream: UpstreamKey) -> bool {
        let now = self.now();
        let tracks = self.tracks.borrow();
        tracks
            .get(&upstream)
            .is_some_and(|track| track.is_queued(now))
    }

    /// Whether an upstream was heard after `since`.
    pub fn active_after(&self, upstream: UpstreamKey, since: MonoTime) -> bool {
        let tracks = self.tracks.borrow();
        tracks
            .get(&upstream)
            .is_some_and(|track| track.health.active_after(since))
    }

    /// Bytes of an answer came from an upstream.
    pub fn record_activity(&self, upstream: UpstreamKey) {
        let now = self.now();
        let mut tracks = self.tracks.borrow_mut();
        tracks
            .entry(upstream)
            .or_default()
            .health
            .record_activity(now);
    }

    /// An upstream answered with a head.
    pub fn record_response_head(&self, upstream: UpstreamKey, head: &ResponseHead) {
        let now = self.now();
        let mut tracks = self.tracks.borrow_mut();
        let track = tracks.entry(upstream).or_default();
        track.health.record_activity(now);
        if let Some(load) = head.load {
            track.record_report(load, now);
            self.board.load_reports().merge(UpstreamLoad {
                upstream: upstream.into(),
                load,
                at: now,
            });
        }
    }

    /// A call ended well at an upstream.
    pub fn record_success(&self, upstream: UpstreamKey) {
        let now = self.now();
        let mut tracks = self.tracks.borrow_mut();
        tracks
            .entry(upstream)
            .or_default()
            .health
            .record_success(now);
    }

    /// A call failed at an upstream; `alone` tells that nothing else was heard from it meanwhile.
    pub fn record_failure(&self, upstream: UpstreamKey, fault: AttemptFault, alone: bool) {
        let now = self.now();
        self.telemetry
            .faults
            .with_label_values(&[fault.label()])
            .inc();
        let mut tracks = self.tracks.borrow_mut();
        let health = &mut tracks.entry(upstream).or_default().health;
        match fault {
            AttemptFault::Unreachable | AttemptFault::WrongInstance => health.mark_unreachable(now),
            AttemptFault::Silent | AttemptFault::Stalled if alone => health.mark_unreachable(now),
            AttemptFault::Unsent => {}
            _ => health.record_failure(now),
        }
        drop(tracks);
        if matches!(fault, AttemptFault::Unreachable | AttemptFault::Silent) {
            self.pool.borrow_mut().close(upstream);
        }
    }

    /// Whether the line of a call that went well may be written.
    pub fn may_log_call(&self) -> bool {
        self.call_lines.borrow_mut().admit(self.now())
    }

    /// Whether the line of a refused request may be written.
    pub fn may_log_refusal(&self) -> bool {
        self.refusal_lines.borrow_mut().admit(self.now())
    }

    /// Milliseconds since the store last answered: the age of what is believed of upstreams.
    pub fn store_age_ms(&self) -> u64 {
        let heard = self.board.store_responded_ms.load(Ordering::Relaxed);
        (self.now().0.as_millis() as u64).saturating_sub(heard)
    }

    fn report_lines_left_out(&self) {
        let gates = [
            ("call", &self.call_lines),
            ("call-refused", &self.refusal_lines),
        ];
        for (kind, gate) in gates {
            let count = gate.borrow_mut().take_suppressed();
            if count > 0 {
                self.telemetry.lines_left_out.inc_by(count);
                spdlog::info!("lines-left-out", kv: { kind: = kind, count: = count });
            }
        }
    }

    /// Forgets upstreams that are gone, and closes connections that were idle for too long.
    pub fn sweep(&self) {
        self.report_lines_left_out();
        let upstreams = self.board.upstreams.load();
        let known = |key: UpstreamKey| upstreams.iter().any(|entry| entry.id.key() == key);
        self.tracks
            .borrow_mut()
            .retain(|&key, track| track.own_calls > 0 || known(key));
        self.heat.borrow_mut().remove_idle(self.now());
        let mut pool = self.pool.borrow_mut();
        pool.sweep(self.now());
        set_count(&self.telemetry.idle_links, pool.len());
    }
}
