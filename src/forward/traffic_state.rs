//! State that all calls on a traffic thread share: statistics of the upstreams, retry budgets, idle
//! connections and the rate limits of log lines.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::dialect::{EdgeDialect, PromptPrefix, ResponseHead};
use crate::fleet::upstream_entry::UpstreamEntry;
use crate::forward::body_budget::BodyBudget;
use crate::forward::caller_connections::CallerConnections;
use crate::forward::connection_pool::ConnectionPool;
use crate::forward::memory_room::MemoryRoom;
use crate::forward::service_load::ServiceLoad;
use crate::forward::upstream_gates::{ConnectionGate, RateGate, StatementGate, TriedGate};
use crate::forward::upstream_response::CallPlan;
use crate::forward_board::ForwardBoard;
use crate::ids::{
    DataCenterTag, RouteKey, ServiceId, SuspectTag, UpstreamKey, UpstreamStart, VersionTag,
};
use crate::log_rate_limiter::LogRateLimiter;
use crate::mono::{MonoTime, ProcessClock};
use crate::policy::call_attempts::AttemptFault;
use crate::policy::call_times::CallTimes;
use crate::policy::data_center_rounds::order_by_rounds;
use crate::policy::gone_starts::GoneStarts;
use crate::policy::latest_loads::{UpstreamLoad, UpstreamTag};
use crate::policy::locate_choice::RouterPlace;
use crate::policy::prompt_load::PromptLoad;
use crate::policy::rate_limits::{FleetPlace, RateLimits};
use crate::policy::retry_window::RetryWindow;
use crate::policy::spent_attempts::{AccountSubject, SpentAttempts};
use crate::policy::stop_admission::CallNeed;
use crate::policy::suspect_work::SuspectDecision;
use crate::policy::uplink_state::UplinkState;
use crate::policy::upstream_choice::{
    Eligibility, SharedPart, UpstreamCandidate, choose_upstream, next_preferred,
    restrict_candidates,
};
use crate::policy::upstream_gate::{GateReason, UpstreamGate};
use crate::policy::upstream_stats::UpstreamStats;
use crate::policy::upstream_waits::{UpstreamOpening, UpstreamWaits, service_wait, spread_wait};
use crate::prometheus_metrics::{PrometheusMetrics, set_count};
use crate::route::{RouteRule, RouteTable};
use crate::units::{RequestRate, RetryDelay};

/// Lowest copy speed between upstreams at which cached prompt parts are copied: several times the
/// speed at which any engine computes them.
const MIN_COPY_TOKENS_PER_MS: f64 = 250.0;

/// The same at upstreams that share their hosts: these compute slowly at times, but copy as fast.
const MIN_SHARED_HOST_COPY_TOKENS_PER_MS: f64 = 150.0;

/// Minimum length of the shared part for a copy: computing this many tokens takes about as long as
/// the request for the copy.
const MIN_COPY_TOKENS: u32 = 100;

/// Value of `retry-after` if only other routers have a share of the limits of a service's upstreams.
const OTHER_ROUTER_WAIT: Duration = Duration::from_millis(500);

/// Minimum value of `retry-after` for a service whose upstreams set limits.
const MIN_LIMIT_WAIT: Duration = Duration::from_millis(100);

/// Timeout of a trial connection to an upstream while none is in reach.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of calls that other routers may have for this one at a time.
const MAX_OPEN_RELAYS: usize = 512;

/// Time after which a router is offered calls again that could not be connected to.
const PEER_RETRY_TIME: Duration = Duration::from_secs(1);

/// Counts a call that another router has for this one until it is dropped.
pub struct RelaySlot(Rc<Cell<usize>>);

impl Drop for RelaySlot {
    fn drop(&mut self) {
        self.0.update(|count| count.saturating_sub(1));
    }
}

/// State of a traffic thread, shared by its calls.
pub struct TrafficState<D> {
    /// Reads and writes the HTTP heads.
    pub dialect: D,
    /// State that the control thread publishes: settings, routes and upstreams.
    pub board: Arc<ForwardBoard>,
    pub clock: ProcessClock,
    pub telemetry: PrometheusMetrics,
    /// What is known of services beyond single upstreams.
    pub(super) service_loads: RefCell<HashMap<ServiceId, ServiceLoad>>,
    /// Idle connections to upstreams.
    pub pool: RefCell<ConnectionPool>,
    pub callers: Rc<CallerConnections>,
    /// Memory of connections, of request bodies and of responses.
    pub memory: Rc<MemoryRoom>,
    /// Memory of the response bodies that are being read.
    pub body_budget: BodyBudget,
    upstream_stats: RefCell<HashMap<UpstreamKey, UpstreamStats>>,
    retry_windows: RefCell<HashMap<ServiceId, RetryWindow>>,
    call_times: RefCell<HashMap<RouteKey, CallTimes>>,
    prompt_load: RefCell<PromptLoad>,
    /// Upstreams that have asked this router to wait.
    waits: RefCell<UpstreamWaits>,
    /// Upstreams whose addresses others have.
    gone: RefCell<GoneStarts>,
    /// Whether connections to upstreams can be opened.
    uplink: RefCell<UplinkState>,
    /// Number of connections to upstreams that were opened.
    uplink_reached: Cell<u64>,
    /// Routers that took no call of this one, and when they may be asked again.
    avoided_peers: RefCell<HashMap<Ipv4Addr, MonoTime>>,
    /// Number of calls that other routers have for this one.
    open_relays: Rc<Cell<usize>>,
    /// Limits the rate of log lines about successful calls.
    call_log_limiter: RefCell<LogRateLimiter>,
    /// Limits the rate of log lines about requests that are refused before they are forwarded.
    refusal_log_limiter: RefCell<LogRateLimiter>,
    /// Limits the rate of log lines about upstreams that ask this router to wait.
    wait_log_limiter: RefCell<LogRateLimiter>,
    rng: RefCell<SmallRng>,
}

/// The upstream that was chosen for a call. The call counts towards the upstream's load until the
/// guard is dropped.
pub struct UpstreamGuard<D: EdgeDialect> {
    pub entry: Arc<UpstreamEntry>,
    pub key: UpstreamKey,
    /// Estimated load of the upstream when it was chosen, in calls.
    pub load: f64,
    /// Hash of the shared prompt part by which the upstream was chosen.
    prompt_hash: Option<u64>,
    /// Upstream from whose cache the chosen one can copy the shared prompt part.
    pub cache_source: Option<SocketAddr>,
    /// Whether the call took a share of the rate of a cold upstream.
    pub took_cold_share: bool,
    started: MonoTime,
    state: Rc<TrafficState<D>>,
}

impl<D: EdgeDialect> Drop for UpstreamGuard<D> {
    fn drop(&mut self) {
        if let Some(stats) = self.state.upstream_stats.borrow_mut().get_mut(&self.key) {
            stats.own_calls = stats.own_calls.saturating_sub(1);
        }
        if let Some(prompt_hash) = self.prompt_hash {
            let now = self.state.now();
            let duration = now.since(self.started);
            self.state
                .prompt_load
                .borrow_mut()
                .record_call(prompt_hash, duration, now);
        }
    }
}

/// Writes a limit as it appears in log lines.
struct RateText(Option<RequestRate>);

impl fmt::Display for RateText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(rate) => rate.fmt(f),
            None => f.write_str("none"),
        }
    }
}

/// Identifies a call in the account of its attempts.
fn account_subject(plan: &CallPlan) -> AccountSubject<'_> {
    AccountSubject {
        request_id: &plan.head.request_id,
        work: plan.head.work_tag(plan.account(), &plan.body).0,
    }
}

impl<D: EdgeDialect> TrafficState<D> {
    /// Creates a state without statistics of any upstream.
    pub fn new(
        dialect: D,
        board: Arc<ForwardBoard>,
        clock: ProcessClock,
        telemetry: PrometheusMetrics,
    ) -> Self {
        let terms = board.settings.load().budget_terms();
        let memory = Rc::new(MemoryRoom::new(terms, clock, telemetry.clone()));
        let connections = CallerConnections::new(Arc::clone(&board), clock, Rc::clone(&memory));
        let callers = Rc::new(connections);
        Self {
            dialect,
            board,
            clock,
            telemetry,
            service_loads: RefCell::default(),
            pool: RefCell::default(),
            callers,
            body_budget: BodyBudget::within(Rc::clone(&memory)),
            memory,
            upstream_stats: RefCell::default(),
            retry_windows: RefCell::default(),
            call_times: RefCell::default(),
            prompt_load: RefCell::default(),
            waits: RefCell::default(),
            gone: RefCell::default(),
            uplink: RefCell::default(),
            uplink_reached: Cell::new(0),
            avoided_peers: RefCell::default(),
            open_relays: Rc::default(),
            call_log_limiter: RefCell::default(),
            refusal_log_limiter: RefCell::default(),
            wait_log_limiter: RefCell::default(),
            rng: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
        }
    }

    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Returns a random number, uniform over `u64`.
    pub fn draw(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// Counts a call towards the retry budget of its service.
    pub fn count_call(&self, service: &ServiceId) {
        let mut retry_windows = self.retry_windows.borrow_mut();
        let window = retry_windows.entry(service.clone()).or_default();
        window.record_call(&self.board.settings.load().retry, self.now());
    }

    /// Returns whether the retry budget of a service allows one more repeat.
    pub fn affordable(&self, service: &ServiceId) -> bool {
        let router_count = self.board.fleet_size.load(Ordering::Relaxed);
        let mut retry_windows = self.retry_windows.borrow_mut();
        let window = retry_windows.entry(service.clone()).or_default();
        window.affordable(&self.board.settings.load().retry, router_count, self.now())
    }

    /// Counts a repeat: a call that is sent to one more upstream after a failed attempt.
    pub fn count_repeat(&self, service: &ServiceId) {
        let mut retry_windows = self.retry_windows.borrow_mut();
        retry_windows
            .entry(service.clone())
            .or_default()
            .record_repeat(self.now());
        self.telemetry.repeats.inc();
    }

    /// Takes back the repeat that was counted at `at`, which reached no upstream.
    pub fn retract_repeat(&self, service: &ServiceId, at: MonoTime) {
        let mut retry_windows = self.retry_windows.borrow_mut();
        if let Some(window) = retry_windows.get_mut(service) {
            window.retract_repeat(at);
        }
    }

    /// Records the time that a call of `route` took from the complete request to its end.
    pub fn record_call_time(&self, route: &RouteRule, time: Duration) {
        let mut call_times = self.call_times.borrow_mut();
        call_times.entry(route.name.key()).or_default().record(time);
    }

    /// Returns whether a call with this deadline may still be taken. Only a stopping router takes
    /// some and not others.
    pub fn admits(&self, route: &RouteRule, deadline: MonoTime) -> bool {
        let Some(plan) = self.board.stop_plan.load_full() else {
            return true;
        };
        let call_times = self.call_times.borrow();
        let times = call_times.get(&route.name.key());
        let now = self.now();
        let need = CallNeed::new(route, times, deadline, now);
        plan.admits(&need, now)
    }

    /// Chooses an upstream of `service`, with this software version if there is one. Upstreams in
    /// `excluded` are never chosen, those in `suspect` only if no other is left. Returns `None` if no upstream can take the call.
    pub fn pick(
        self: &Rc<Self>,
        table: &RouteTable,
        service: &ServiceId,
        prompt: Option<PromptPrefix>,
        excluded: &[UpstreamKey],
        suspect: &[UpstreamKey],
        version: Option<VersionTag>,
    ) -> Option<UpstreamGuard<D>> {
        let upstreams = self.board.upstreams.load();
        let members: Vec<&Arc<UpstreamEntry>> = upstreams
            .iter()
            .filter(|entry| entry.service == *service)
            .collect();
        self.merge_load_reports(&members);
        let mut candidates = self.candidates(table, service, &members, excluded, suspect);
        let bound = self.board.settings.load().affinity_bound;
        if let Some(version) = version {
            let is_other = |index: usize| members[index].version_tag() != version;
            restrict_candidates(&mut candidates, is_other, bound);
        }
        let now = self.now();
        let router_count = self.board.fleet_size.load(Ordering::Relaxed);
        let prompt_load = self.prompt_load.borrow();
        let shared_part = prompt.map(|prefix| SharedPart {
            prompt: prefix.hash,
            open_calls: prompt_load.open_calls(prefix.hash, router_count, now),
        });
        let index = choose_upstream(&candidates, shared_part, bound, self.draw())?;
        let key = candidates[index].key;
        let copy_source = prompt
            .filter(|prefix| {
                prefix.tokens >= MIN_COPY_TOKENS && self.copy_is_faster(table, service)
            })
            .and_then(|prefix| next_preferred(&candidates, prefix.hash, index));
        self.with_rate_limits(|limits, place| limits.count(key.into(), place, now));
        let mut upstream_stats = self.upstream_stats.borrow_mut();
        upstream_stats.entry(key).or_default().own_calls += 1;
        Some(UpstreamGuard {
            entry: Arc::clone(members[index]),
            key,
            load: candidates[index].load,
            prompt_hash: prompt.map(|prefix| prefix.hash),
            cache_source: copy_source.map(|source| members[source].address),
            took_cold_share: self.take_cold_share(key),
            started: now,
            state: Rc::clone(self),
        })
    }

    /// Returns the estimated number of open calls of all routers with a shared prompt part.
    pub(super) fn open_calls(&self, prompt: u64) -> f64 {
        let router_count = self.board.fleet_size.load(Ordering::Relaxed);
        let prompt_load = self.prompt_load.borrow();
        prompt_load.open_calls(prompt, router_count, self.now())
    }

    /// Returns whether the upstreams of a service copy cached prompt parts from each other faster than
    /// they compute them.
    fn copy_is_faster(&self, table: &RouteTable, service: &ServiceId) -> bool {
        let tokens_per_ms = table
            .service(service)
            .map_or(0.0, |rule| rule.copied_tokens_per_ms);
        let needed = if self.shares_hosts(service) {
            MIN_SHARED_HOST_COPY_TOKENS_PER_MS
        } else {
            MIN_COPY_TOKENS_PER_MS
        };
        tokens_per_ms >= needed
    }

    /// Calls `work` with the rate limits and this router's place in the fleet.
    fn with_rate_limits<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut RateLimits, FleetPlace<'_>) -> T,
    {
        let routers = self.board.serving_routers.load();
        let place = FleetPlace {
            own: self.board.settings.load().address,
            routers: &routers,
            size: self.board.fleet_size.load(Ordering::Relaxed),
        };
        work(&mut self.board.rate_limits(), place)
    }

    /// Returns what upstreams, their entries and other routers have said about taking requests.
    pub(super) fn statement_gate(&self) -> StatementGate<'_> {
        StatementGate {
            leaving: self.board.leaving_upstreams(),
            waits: self.waits.borrow(),
            gone: self.gone.borrow(),
            now: self.now(),
        }
    }

    /// Returns this router's shares of the limits that upstreams set.
    pub(super) fn rate_gate(&self) -> RateGate<'_> {
        RateGate {
            limits: self.board.rate_limits(),
            routers: self.board.serving_routers.load_full(),
            own: self.board.settings.load().address,
            fleet_size: self.board.fleet_size.load(Ordering::Relaxed),
            now: self.now(),
        }
    }

    /// Returns whether the upstream is gone, is evacuated or has said that it wants no request now.
    pub fn declines(&self, entry: &UpstreamEntry) -> bool {
        let gates = (self.evacuation_gate(), self.statement_gate());
        gates.check(entry).is_some()
    }

    /// Returns whether the upstream is draining, has said that it leaves, or is gone.
    pub fn leaves(&self, entry: &UpstreamEntry) -> bool {
        self.statement_gate().check(entry) == Some(GateReason::Leaving)
    }

    /// Returns how long a caller has to wait until an upstream of `service` takes its call, with a
    /// random addition. Returns `None` if one takes calls now, or if only limits prevent it.
    pub fn declined_wait(&self, service: &ServiceId) -> Option<Duration> {
        let upstreams = self.board.upstreams.load();
        let members = upstreams.iter().filter(|entry| entry.service == *service);
        let members: Vec<&Arc<UpstreamEntry>> = members.collect();
        let gates = (self.evacuation_gate(), self.statement_gate());
        if !members.iter().any(|entry| gates.check(entry).is_some()) {
            return None;
        }
        let (evacuations, statements) = gates;
        let rates = self.rate_gate();
        let cold = self.cold_gate();
        let opening = |entry: &UpstreamEntry| match evacuations.check(entry) {
            Some(_) => UpstreamOpening::Never,
            None => statements.opening(entry),
        };
        let openings = members.iter().map(|entry| match opening(entry) {
            UpstreamOpening::After(wait) => {
                let limit_wait = rates.wait(entry).unwrap_or(OTHER_ROUTER_WAIT);
                let cold_wait = cold.wait(entry).unwrap_or_else(|until| until);
                UpstreamOpening::After(wait.max(limit_wait).max(cold_wait))
            }
            UpstreamOpening::Never => UpstreamOpening::Never,
        });
        let draw = self.draw() as f64 / u64::MAX as f64;
        service_wait(openings).map(|wait| spread_wait(wait, draw))
    }

    /// Returns the time until a limit of an upstream of `service` allows another request, or `None`
    /// if none of them sets a limit or is cold.
    pub fn limit_wait(&self, service: &ServiceId) -> Option<Duration> {
        let now = self.now();
        let upstreams = self.board.upstreams.load();
        let members = upstreams.iter().filter(|entry| entry.service == *service);
        let limit_wait = self.with_rate_limits(|limits, place| {
            let tags = members.map(|entry| UpstreamTag::from(entry.id.key()));
            let limited = tags.filter(|&tag| limits.limit(tag).is_some());
            let waits = limited.map(|tag| limits.wait(tag, place, now));
            waits
                .map(|wait| wait.unwrap_or(OTHER_ROUTER_WAIT).max(MIN_LIMIT_WAIT))
                .min()
        });
        let cold_wait = self.cold_wait(service);
        limit_wait.into_iter().chain(cold_wait).min()
    }

    /// Merges the load reports that other routers received from upstreams.
    fn merge_load_reports(&self, members: &[&Arc<UpstreamEntry>]) {
        let reports = self.board.load_reports();
        let mut upstream_stats = self.upstream_stats.borrow_mut();
        for entry in members {
            let key = entry.id.key();
            if let Some(report) = reports.latest(key) {
                upstream_stats
                    .entry(key)
                    .or_default()
                    .record_report(report.load, report.at);
            }
        }
    }

    pub(super) fn candidates(
        &self,
        table: &RouteTable,
        service: &ServiceId,
        members: &[&Arc<UpstreamEntry>],
        excluded: &[UpstreamKey],
        suspect: &[UpstreamKey],
    ) -> Vec<UpstreamCandidate> {
        let now = self.now();
        let settings = self.board.settings.load();
        let router_count = self.board.fleet_size.load(Ordering::Relaxed);
        let upstream_stats = self.upstream_stats.borrow();
        let no_stats = UpstreamStats::default();
        let stats_of = |key: UpstreamKey| upstream_stats.get(&key).unwrap_or(&no_stats);
        let all_stats = members.iter().map(|entry| stats_of(entry.id.key()));
        let mean_own_calls = self.mean_own_calls(service, all_stats, now);
        let failure_shares: f64 = members
            .iter()
            .map(|entry| stats_of(entry.id.key()).health.failure_share(now))
            .sum();
        let mean_failure_share = failure_shares / members.len().max(1) as f64;
        let max_own_calls = table.service(service).map_or(u32::MAX, |rule| {
            rule.max_connections / router_count.max(1) as u32
        });
        let connections = ConnectionGate {
            stats: &upstream_stats,
            max_own_calls: max_own_calls.max(1),
        };
        let gates = (
            self.statement_gate(),
            (
                TriedGate { excluded },
                (self.rate_gate(), (self.cold_gate(), connections)),
            ),
        );
        let evacuations = self.evacuation_gate();
        members
            .iter()
            .map(|entry| {
                let key = entry.id.key();
                let stats = stats_of(key);
                let is_evacuated = evacuations.check(entry).is_some();
                let eligibility = if is_evacuated || gates.check(entry).is_some() {
                    Eligibility::Excluded
                } else if suspect.contains(&key) {
                    Eligibility::LastResort
                } else if stats.health.in_backoff(now)
                    || stats.health.is_suspect(mean_failure_share, now)
                {
                    Eligibility::Suspect
                } else {
                    Eligibility::Open
                };
                UpstreamCandidate {
                    key,
                    slots: entry.slots,
                    load: match mean_own_calls {
                        Some(mean) => stats.load_by_mean(mean, router_count, now),
                        None => stats.load(router_count, now),
                    },
                    own_calls: stats.own_calls,
                    is_reported: stats.is_reported(now),
                    is_local: entry.data_center == settings.data_center,
                    eligibility,
                    cache_readable: !is_evacuated && !stats.health.in_backoff(now),
                }
            })
            .collect()
    }

    /// Decides whether a call with `tags` may be sent to an upstream.
    pub fn decide_suspects(&self, tags: &[SuspectTag], now: MonoTime) -> SuspectDecision {
        let own = self.board.settings.load().address;
        let routers = self.board.serving_routers.load();
        let addresses = routers.iter().map(|router| router.address);
        let mut suspects = self.board.suspects();
        suspects.decide(tags, own, addresses, now)
    }

    /// Returns whether a registered upstream of `service` has this software version, does not leave and
    /// is not evacuated.
    pub fn serves_version(&self, service: &ServiceId, version: VersionTag) -> bool {
        let upstreams = self.board.upstreams.load();
        let mut members = upstreams.iter().filter(|entry| entry.service == *service);
        members.any(|entry| entry.version_tag() == version && !self.is_closed(entry))
    }

    /// Records that a connection to an upstream was opened.
    pub fn record_reached(&self) {
        if self.uplink.borrow_mut().record_reached(self.now()) {
            let upstreams = self.board.upstreams.load().len();
            spdlog::info!("uplink-regained", kv: { upstreams: = upstreams });
        }
        self.uplink_reached.update(|count| count + 1);
        self.telemetry.stranded.set(0);
    }

    /// Records that a call could open no connection to an upstream.
    pub fn record_unreached(&self, upstream: UpstreamKey) {
        let mut uplink = self.uplink.borrow_mut();
        uplink.record_unreachable(upstream, self.now());
    }

    /// Records that trials could open no connections to these upstreams.
    fn record_failed_trials(&self, keys: &[UpstreamKey]) {
        let was_stranded = self.is_stranded();
        let upstreams = self.open_upstreams();
        for &key in keys {
            let mut uplink = self.uplink.borrow_mut();
            uplink.record_failed_trial(key, upstreams.len(), self.now());
        }
        if self.is_stranded() && !was_stranded {
            spdlog::warn!("uplink-lost", kv: { upstreams: = upstreams.len() });
            self.telemetry.stranded.set(1);
            // Their connections may be dead as well.
            for entry in &upstreams {
                self.pool.borrow_mut().close(entry.id.key());
            }
        }
    }

    /// Returns whether this router reaches no upstream, while there are other routers.
    pub fn is_stranded(&self) -> bool {
        self.uplink.borrow().is_stranded(self.now()) && self.board.serving_routers.load().len() > 1
    }

    /// Returns the routers to offer a call to: one of each data centre before a second one of any, the
    /// own data centre first, otherwise in random order. A whole data centre may be cut off.
    pub fn relay_peers(&self) -> Vec<Ipv4Addr> {
        let now = self.now();
        let settings = self.board.settings.load();
        let own_data_center = DataCenterTag::from(&settings.data_center);
        let avoided = self.avoided_peers.borrow();
        let routers = self.board.serving_routers.load();
        let may_ask = |router: &&RouterPlace| {
            let retry_at = avoided.get(&router.address);
            router.address != settings.address && retry_at.is_none_or(|&at| at <= now)
        };
        let mut peers: Vec<RouterPlace> = routers.iter().filter(may_ask).copied().collect();
        peers.sort_by_cached_key(|peer| (peer.data_center != own_data_center, self.draw()));
        order_by_rounds(&mut peers, |peer| peer.data_center);
        peers.into_iter().map(|peer| peer.address).collect()
    }

    /// Writes what the attempts of a call have used up for the router that it is passed on to.
    pub fn seal_spent(&self, plan: &CallPlan, spent: &SpentAttempts) -> String {
        let own = self.board.settings.load().address;
        let incarnations = self.board.incarnations.load();
        let incarnation = incarnations.get(&own).copied().unwrap_or_default();
        spent.seal(own, incarnation, account_subject(plan))
    }

    /// Reads what another router has used up for a call that it has passed on. Returns `None` for all
    /// other calls, and for an account that no router wrote.
    pub fn open_spent(&self, plan: &CallPlan) -> Option<SpentAttempts> {
        let text = plan.head.spent.as_ref().filter(|_| plan.head.is_relayed)?;
        let incarnations = self.board.incarnations.load();
        let incarnation_of = |sender| incarnations.get(&sender).copied();
        let spent = SpentAttempts::open(text, incarnation_of, account_subject(plan));
        let outcome = spent
            .as_ref()
            .map_or_else(|fault| fault.label(), |_| "taken");
        let accounts = &self.telemetry.relayed_accounts;
        accounts.with_label_values(&[outcome]).inc();
        if spent.is_err() && self.may_log_refusal() {
            spdlog::info!("account-ignored", kv: {
                id: = String::from_utf8_lossy(&plan.head.request_id), reason: = outcome
            });
        }
        spent.ok()
    }

    /// Returns the keys of the registered upstreams among `starts`.
    pub fn keys_of(&self, starts: &[UpstreamStart]) -> Vec<UpstreamKey> {
        let upstreams = self.board.upstreams.load();
        let entries = upstreams.iter();
        let named = entries.filter(|entry| starts.contains(&entry.start()));
        named.map(|entry| entry.id.key()).collect()
    }

    /// Records that a router could not be offered a call.
    pub fn avoid_relay_peer(&self, peer: Ipv4Addr) {
        let retry_at = self.now() + PEER_RETRY_TIME;
        self.avoided_peers.borrow_mut().insert(peer, retry_at);
    }

    /// Counts a call that another router is to have, unless they have too many.
    pub fn open_relay(&self) -> Option<RelaySlot> {
        if self.open_relays.get() >= MAX_OPEN_RELAYS {
            return None;
        }
        self.open_relays.update(|count| count + 1);
        Some(RelaySlot(Rc::clone(&self.open_relays)))
    }

    /// Tries to connect to an upstream if none is known to be in reach, or to several at once if this
    /// is in doubt.
    pub async fn probe_uplink(&self) {
        let is_stranded = self.is_stranded();
        self.telemetry.stranded.set(is_stranded.into());
        let upstreams = self.open_upstreams();
        let missing = {
            let uplink = self.uplink.borrow();
            uplink.missing_trials(upstreams.len(), self.now())
        };
        if is_stranded {
            let drawn = self.draw() as usize % upstreams.len().max(1);
            let drawn: Vec<&Arc<UpstreamEntry>> = upstreams.get(drawn).into_iter().collect();
            self.try_upstreams(&drawn).await;
        } else if missing > 0 {
            let untried: Vec<&Arc<UpstreamEntry>> = {
                let uplink = self.uplink.borrow();
                let entries = upstreams.iter();
                let untried = entries.filter(|entry| !uplink.has_failed(entry.id.key()));
                untried.sample(&mut *self.rng.borrow_mut(), missing)
            };
            self.try_upstreams(&untried).await;
        }
    }

    /// Tries to connect to these upstreams at once. One that is in reach ends all doubt.
    async fn try_upstreams(&self, entries: &[&Arc<UpstreamEntry>]) {
        let reached_before = self.uplink_reached.get();
        let connects = entries.iter().map(async |entry| {
            let connect = TcpStream::connect(entry.address);
            matches!(timeout(PROBE_TIMEOUT, connect).await, Ok(Ok(_)))
        });
        let reached = join_all(connects).await;
        if reached.contains(&true) {
            self.record_reached();
        } else if self.uplink_reached.get() == reached_before {
            let keys: Vec<UpstreamKey> = entries.iter().map(|entry| entry.id.key()).collect();
            self.record_failed_trials(&keys);
        }
    }

    /// Returns whether the upstream is draining, has said that it leaves, or is no longer registered.
    pub fn is_leaving(&self, upstream: UpstreamKey) -> bool {
        let upstreams = self.board.upstreams.load();
        let entry = upstreams.iter().find(|entry| entry.id.key() == upstream);
        entry.is_none_or(|entry| self.leaves(entry))
    }

    /// Returns whether the upstream's latest load report, if still valid, shows queued calls.
    pub fn is_queued(&self, upstream: UpstreamKey) -> bool {
        let now = self.now();
        let upstream_stats = self.upstream_stats.borrow();
        upstream_stats
            .get(&upstream)
            .is_some_and(|stats| stats.is_queued(now))
    }

    /// Returns whether the upstream sent anything, on any call, after `since`.
    pub fn active_after(&self, upstream: UpstreamKey, since: MonoTime) -> bool {
        let upstream_stats = self.upstream_stats.borrow();
        upstream_stats
            .get(&upstream)
            .is_some_and(|stats| stats.health.active_after(since))
    }

    /// Records that bytes of a response body arrived from an upstream.
    pub fn record_activity(&self, upstream: UpstreamKey) {
        let now = self.now();
        let mut upstream_stats = self.upstream_stats.borrow_mut();
        upstream_stats
            .entry(upstream)
            .or_default()
            .health
            .record_activity(now);
    }

    /// Records a response head from an upstream, and what it says about the upstream.
    pub fn record_response_head(&self, entry: &UpstreamEntry, head: &ResponseHead) {
        let now = self.now();
        let upstream = entry.id.key();
        let mut upstream_stats = self.upstream_stats.borrow_mut();
        let stats = upstream_stats.entry(upstream).or_default();
        stats.health.record_activity(now);
        if head.stamped && self.gone.borrow_mut().record_answer(entry.start()) {
            spdlog::info!("upstream-back", kv: { upstream: = entry.id, peer: = entry.address });
        }
        let mut rate_limits = self.board.rate_limits();
        if rate_limits.record(upstream.into(), head.rate, now) {
            spdlog::info!("upstream-limit", kv: {
                upstream: = entry.id,
                per_s: = RateText(rate_limits.limit(upstream.into())),
                routers: = self.board.fleet_size.load(Ordering::Relaxed)
            });
        }
        drop(rate_limits);
        if let Some(load) = head.load {
            stats.record_report(load, now);
            self.board.load_reports().merge(UpstreamLoad {
                upstream: upstream.into(),
                load,
                at: now,
            });
        }
        self.record_cold(entry, head.cold);
        self.record_statements(entry, head);
    }

    /// Records that another upstream has the address of `entry`. A response on a connection that was
    /// `reused` shows less: this start may have answered earlier calls on it.
    pub fn record_wrong_instance(&self, entry: &UpstreamEntry, reused: bool) {
        if reused {
            return;
        }
        let now = self.now();
        if self.gone.borrow_mut().record(entry.start(), now) {
            self.pool.borrow_mut().close(entry.id.key());
            if self.wait_log_limiter.borrow_mut().admit(now) {
                spdlog::info!("upstream-gone", kv: {
                    upstream: = entry.id, peer: = entry.address
                });
            }
        }
    }

    /// Records what an upstream says of itself in a response.
    fn record_statements(&self, entry: &UpstreamEntry, head: &ResponseHead) {
        if head.leaving {
            let mut leaving = self.board.leaving_upstreams();
            leaving.record(entry.start(), self.now());
            self.pool.borrow_mut().close(entry.id.key());
        }
        if let Some(delay) = head.retry_after {
            self.record_wait(entry, delay);
        }
    }

    fn record_wait(&self, entry: &UpstreamEntry, delay: RetryDelay) {
        let now = self.now();
        let begins = self.waits.borrow_mut().record(entry.start(), delay, now);
        if begins && self.wait_log_limiter.borrow_mut().admit(now) {
            spdlog::info!("upstream-declines", kv: {
                upstream: = entry.id, retry_after_s: = delay
            });
        }
    }

    /// Removes the waits of upstreams that have ended, and logs them.
    fn sweep_waits(&self, entries: &[Arc<UpstreamEntry>]) {
        let now = self.now();
        let mut waits = self.waits.borrow_mut();
        for (start, length) in waits.take_ended(now) {
            let entry = entries.iter().find(|entry| entry.start() == start);
            if self.wait_log_limiter.borrow_mut().admit(now) {
                spdlog::info!("upstream-accepts", kv: {
                    upstream: = entry.map_or("none", |entry| entry.id.as_str()),
                    ms: = length.as_millis()
                });
            }
        }
        set_count(&self.telemetry.upstreams_waiting, waits.len());
    }

    /// Records that an upstream completed a call.
    pub fn record_success(&self, upstream: UpstreamKey) {
        let now = self.now();
        let mut upstream_stats = self.upstream_stats.borrow_mut();
        upstream_stats
            .entry(upstream)
            .or_default()
            .health
            .record_success(now);
    }

    /// Records that nothing has come from an upstream, on any call, for too long.
    pub fn record_silence(&self, upstream: UpstreamKey) {
        let now = self.now();
        let mut upstream_stats = self.upstream_stats.borrow_mut();
        let stats = upstream_stats.entry(upstream).or_default();
        if stats.health.in_backoff(now) {
            // Another call has found the same.
            return;
        }
        stats.health.mark_unreachable(now);
        drop(upstream_stats);
        self.pool.borrow_mut().close(upstream);
    }

    /// Counts a failed attempt in the metrics.
    pub fn count_fault(&self, fault: AttemptFault) {
        let faults = &self.telemetry.faults;
        faults.with_label_values(&[fault.label()]).inc();
    }

    /// Records a failed attempt at an upstream. `silent` is true if the upstream sent nothing on any
    /// call since the attempt began; after a timeout it then counts as unreachable.
    pub fn record_failure(&self, upstream: UpstreamKey, fault: AttemptFault, silent: bool) {
        let now = self.now();
        self.count_fault(fault);
        let mut upstream_stats = self.upstream_stats.borrow_mut();
        let health = &mut upstream_stats.entry(upstream).or_default().health;
        health.record_fault(fault, silent, now);
        drop(upstream_stats);
        self.record_cold_failure(upstream, fault);
        if matches!(
            fault,
            AttemptFault::Unreachable | AttemptFault::Refused | AttemptFault::Silent
        ) {
            self.pool.borrow_mut().close(upstream);
        }
    }

    /// Returns whether the rate limit allows a log line about a successful call now.
    pub fn may_log_call(&self) -> bool {
        self.call_log_limiter.borrow_mut().admit(self.now())
    }

    /// Returns whether the rate limit allows a log line about a refused request now.
    pub fn may_log_refusal(&self) -> bool {
        self.refusal_log_limiter.borrow_mut().admit(self.now())
    }

    /// Returns the milliseconds since the store last responded, which is the age of the last known
    /// list of upstreams.
    pub fn store_age_ms(&self) -> u64 {
        let last_response_ms = self.board.store_known_ms.load(Ordering::Relaxed);
        (self.now().0.as_millis() as u64).saturating_sub(last_response_ms)
    }

    fn log_dropped_lines(&self) {
        let limiters = [
            ("call", &self.call_log_limiter),
            ("call-refused", &self.refusal_log_limiter),
            ("upstream-declines", &self.wait_log_limiter),
        ];
        for (kind, limiter) in limiters {
            let count = limiter.borrow_mut().take_suppressed();
            if count > 0 {
                self.telemetry.lines_left_out.inc_by(count);
                spdlog::info!("lines-left-out", kv: { kind: = kind, count: = count });
            }
        }
    }

    /// Removes the state of upstreams that no longer exist and closes connections that were idle
    /// for too long. Also logs how many lines the rate limits dropped, and updates the metrics.
    pub fn sweep(&self) {
        self.log_dropped_lines();
        self.memory.sweep(self.board.settings.load().budget_terms());
        let upstreams = self.board.upstreams.load();
        let known = |key: UpstreamKey| upstreams.iter().any(|entry| entry.id.key() == key);
        self.upstream_stats
            .borrow_mut()
            .retain(|&key, stats| stats.own_calls > 0 || known(key));
        let mut rate_limits = self.board.rate_limits();
        rate_limits.retain(|tag| upstreams.iter().any(|entry| tag == entry.id.key().into()));
        set_count(&self.telemetry.upstreams_limited, rate_limits.limited());
        drop(rate_limits);
        self.prompt_load.borrow_mut().remove_idle(self.now());
        self.sweep_service_loads(&upstreams);
        if let Some(table) = self.board.routes.load_full() {
            let known: HashSet<RouteKey> = table.route_keys().collect();
            let mut call_times = self.call_times.borrow_mut();
            call_times.retain(|key, _| known.contains(key));
        }
        self.sweep_waits(&upstreams);
        let mut gone = self.gone.borrow_mut();
        gone.remove_expired(self.now());
        set_count(&self.telemetry.upstreams_gone, gone.len());
        drop(gone);
        let mut pool = self.pool.borrow_mut();
        for entry in upstreams.iter() {
            if self.is_closed(entry) {
                pool.close(entry.id.key());
            }
        }
        pool.sweep(self.now());
        set_count(&self.telemetry.idle_links, pool.len());
    }
}
