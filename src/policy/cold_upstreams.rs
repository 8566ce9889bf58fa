//! Which upstreams are cold, and how many calls each router sends them.
//!
//! The load that this answers is a start during traffic: the new upstream looks idle, all routers
//! prefer it at once, and well above the rate of a cold upstream it crashes. The bound holds for all
//! routers together, also for those that learn late. Each call to a cold upstream therefore needs a
//! share of its rate; few routers have one, the first in a rendezvous order, and none sends in bursts.
//!
//! Statements about an upstream extend its cold time. Only the upstream itself ends it early, by a
//! response, because an entry of the store may have been written before the upstream became cold.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::dialect::ColdStatement;
use crate::fleet::upstream_entry::UpstreamEntry;
use crate::ids::{DataCenterId, UpstreamId, UpstreamStart};
use crate::mono::MonoTime;
use crate::policy::known_routers::FleetContact;
use crate::policy::latest_loads::UpstreamTag;
use crate::policy::locate_choice::RouterPlace;
use crate::policy::rate_limits::{FleetPlace, share_rank};
use crate::route::ColdTerms;

/// Longest time between two calls of a router, for rates that are configured close to 0.
const MAX_SPACING: Duration = Duration::from_hours(1);

/// Time over which the rate rises after the cold time, before it is no longer limited.
const RAMP_TIME: Duration = Duration::from_secs(3);

/// Number of times that the rate doubles during [`RAMP_TIME`].
const RAMP_DOUBLINGS: f64 = 3.0;

/// Factor on the time between two calls of a router, so that calls that are delayed by some
/// milliseconds don't come closer than planned.
const SPACING_FACTOR: f64 = 1.02;

/// Part of the planned calls per second that the shares have to make up. With less, fewer routers
/// with larger shares are chosen.
const MIN_SHARE_SUM: f64 = 0.85;

/// Part of a cold upstream's rate that an isolated router takes at upstreams of which it knows
/// nothing.
const MIN_SHARE_PART: f64 = 0.1;

/// Time without a response after which an isolated router does not know whether an upstream has
/// started again.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// Time for which a failed connection is remembered. An upstream is rarely down for longer and still
/// registered.
const FAILURE_MEMORY: Duration = Duration::from_mins(1);

/// Time after which a router without a share tries an upstream again that it could not connect to,
/// and the least such time for each router of the fleet, which keeps these trials at 5 per second.
const MIN_TRIAL_TIME: Duration = Duration::from_secs(10);
const TRIAL_TIME_PER_ROUTER: Duration = Duration::from_millis(200);

/// Time for which an entry may be missing without a new start of its upstream.
const REWRITE_TIME: Duration = Duration::from_secs(1);

/// Difference of the upstreams' clocks and this one's up to which the time of a start is trusted.
const CLOCK_SLACK: Duration = Duration::from_secs(2);

/// Multiple of the configured cold time up to which a statement is taken for one.
const MAX_STATED_STARTS: u32 = 20;

/// Time for which the state of an upstream without entry is kept.
const UNLISTED_MEMORY: Duration = Duration::from_mins(10);

/// Number of upstreams in memory, several times the number of a large fleet.
const MAX_UPSTREAMS: usize = 8192;

/// Number of reports in one notice.
const MAX_NOTICE_REPORTS: usize = 64;

/// Least time between two notices, so that those of one moment go into one datagram.
const NOTICE_SPACING: Duration = Duration::from_millis(10);

/// Time after which a report is announced again, because datagrams may be lost.
const REPEAT_TIME: Duration = Duration::from_millis(500);

/// Extension of a cold time that other routers hear of.
const NEWS_GAIN: Duration = Duration::from_millis(400);

/// Time after which other routers hear again that an upstream refuses connections, less than
/// [`FAILURE_MEMORY`].
const REFUSED_NEWS_TIME: Duration = Duration::from_secs(20);

/// Number of changes that wait for the log.
const MAX_CHANGES: usize = 64;

/// Highest multiple and number of calls of a bound. A higher one is taken for a mistake.
const MAX_BOUND_FIGURE: f64 = 1e6;

/// What cold upstreams may get, beyond the rate of the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Multiple of the rate.
    pub overshoot: f64,
    /// Number of calls allowed in addition.
    pub slack: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self {
            overshoot: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdBound {
    /// Creates a bound. Figures that can't be meant are replaced by those of the default bound.
    pub fn new(overshoot: f64, slack: f64) -> Self {
        let default = Self::default();
        let is_sound = |figure: f64| (0.0..=MAX_BOUND_FIGURE).contains(&figure);
        Self {
            overshoot: if is_sound(overshoot) && overshoot > 0.0 {
                overshoot
            } else {
                default.overshoot
            },
            slack: if is_sound(slack) {
                slack
            } else {
                default.slack
            },
        }
    }

    /// Calls that an upstream of this rate may get in any second.
    pub fn calls(self, per_s: f64) -> f64 {
        per_s * self.overshoot + self.slack
    }

    /// The rate that the routers plan for. It is at most half of the bound: routers that disagree
    /// about the shares, and calls that are delayed on their way, may double it for a second.
    fn planned_rate(self, per_s: f64) -> f64 {
        per_s.min(self.calls(per_s) / 2.0)
    }
}

/// How a router learned that an upstream is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdCause {
    /// Its entry says so.
    Entry,
    /// Its entry has appeared, or is back.
    Appeared,
    /// It has answered after a failed connection.
    Answered,
    /// It has refused a connection or broken one off, so that it will be cold when it is back.
    Refused,
    /// A response says so.
    Stated,
    /// Another router says so.
    Peer,
    /// The evacuation of its data centre has ended.
    Reopened,
}

impl ColdCause {
    /// The cause as it appears in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Appeared => "appeared",
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Stated => "stated",
            Self::Peer => "peer",
            Self::Reopened => "reopened",
        }
    }
}

/// Returns the time between two calls at a rate per second.
fn spacing_of(rate: f64) -> Duration {
    let spacing = Duration::try_from_secs_f64(1.0 / rate);
    spacing.unwrap_or(MAX_SPACING).min(MAX_SPACING)
}

/// A statement about a cold upstream that routers pass on to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdReport {
    pub upstream: UpstreamTag,
    /// How long the upstream is cold from now on.
    pub remaining: Duration,
    /// Whether the upstream is known to be up, so that earlier failures to connect count no longer.
    pub is_up: bool,
    /// Time of the statement, on this router's clock.
    pub at: MonoTime,
}

/// The beginning or the end of the cold time of an upstream, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ColdChange {
    Begun(UpstreamId, ColdCause, Duration),
    Ended(UpstreamId),
    /// A statement can't be meant and is ignored.
    Ignored(UpstreamId),
}

/// The place of this router among those that share the rates of cold upstreams.
#[derive(Clone, Copy, Debug)]
pub struct ColdPlace {
    /// Upper estimate of the number of routers, which a network partition doesn't reduce at once.
    pub fleet_size: usize,
    pub contact: FleetContact,
    pub bound: ColdBound,
}

/// How often this router may call an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallPace {
    Open,
    /// One call in this time, the first one not before the given time.
    Every(Duration, MonoTime),
    /// None before the given time.
    Never(MonoTime),
}

/// What is known about one upstream.
#[derive(Clone, Debug)]
struct ColdState {
    id: UpstreamId,
    start: UpstreamStart,
    data_center: DataCenterId,
    terms: ColdTerms,
    /// When the upstream is no longer cold; `None` if it never was.
    cold_until: Option<MonoTime>,
    cause: ColdCause,
    /// Remaining cold time in its latest entry.
    stated: Duration,
    /// When its entry was found missing.
    missing_since: Option<MonoTime>,
    /// When a connection to it failed, if there was no response since.
    failed_at: Option<MonoTime>,
    /// When the first of these connections failed.
    down_since: Option<MonoTime>,
    /// When other routers were last told of its cold time.
    announced: Option<MonoTime>,
    last_answer: Option<MonoTime>,
    /// When it last answered after [`QUIET_TIME`].
    woke: Option<MonoTime>,
    /// Time of the latest statement of the upstream itself.
    stated_at: Option<MonoTime>,
    /// When this router may send the next call.
    next_call: MonoTime,
    /// Number of routers that come before this one in the order of shares, in a generation of the
    /// list of routers.
    rank: Cell<Option<(u64, usize)>>,
    /// When the report is announced again.
    repeat_at: Option<MonoTime>,
    /// Whether the log has the beginning of the cold time and not its end.
    is_logged: bool,
}

impl ColdState {
    fn new(entry: &UpstreamEntry, terms: ColdTerms) -> Self {
        Self {
            id: entry.id.clone(),
            start: entry.start(),
            data_center: entry.data_center.clone(),
            terms,
            cold_until: None,
            cause: ColdCause::Entry,
            stated: Duration::ZERO,
            missing_since: None,
            failed_at: None,
            down_since: None,
            announced: None,
            last_answer: None,
            woke: None,
            stated_at: None,
            next_call: MonoTime::default(),
            rank: Cell::new(None),
            repeat_at: None,
            is_logged: false,
        }
    }

    fn remaining(&self, now: MonoTime) -> Duration {
        self.cold_until
            .map_or(Duration::ZERO, |until| until.since(now))
    }

    fn is_cold(&self, now: MonoTime) -> bool {
        !self.remaining(now).is_zero()
    }

    /// Whether the latest connection to it failed, here or at a router that was refused.
    fn is_down(&self, now: MonoTime) -> bool {
        self.failed_at
            .is_some_and(|at| now.since(at) < FAILURE_MEMORY)
    }

    /// Whether a cold time of this length can be meant.
    fn is_credible(&self, cold: Duration) -> bool {
        cold <= self.terms.start() * MAX_STATED_STARTS
    }
}

/// The cold times of all upstreams of services that have cold ones.
#[derive(Clone, Debug, Default)]
pub struct ColdUpstreams {
    states: BTreeMap<UpstreamTag, ColdState>,
    /// The routers among which rates are shared, this one among them.
    routers: Vec<RouterPlace>,
    own: Option<Ipv4Addr>,
    /// Number of changes of `routers`.
    generation: u64,
    /// The upstreams that are cold, in their ramp or down, and until when at most. They are few, so
    /// that checks of all upstreams take little time.
    paced: BTreeMap<UpstreamTag, MonoTime>,
    /// Whether all entries were known at some time, so that a further one is that of a start during
    /// traffic.
    has_view: bool,
    /// Reports for other routers.
    announcements: BTreeSet<UpstreamTag>,
    last_notice: Option<MonoTime>,
    changes: Vec<ColdChange>,
    ignored: u64,
}

impl ColdUpstreams {
    /// Sets the routers that were up lately, among which the rates are shared.
    pub fn set_routers(&mut self, own: Ipv4Addr, routers: Vec<RouterPlace>) {
        if self.own != Some(own) || self.routers != routers {
            self.own = Some(own);
            self.routers = routers;
            self.generation += 1;
        }
    }

    /// Compares the entries of the services that have cold upstreams with those seen before.
    /// `is_complete` is false as long as the router does not have all entries. `unix_now` is the time
    /// of the wall clock since the Unix epoch.
    pub fn observe<'a, I>(
        &mut self,
        entries: I,
        is_complete: bool,
        now: MonoTime,
        unix_now: Duration,
    ) where
        I: Iterator<Item = (&'a UpstreamEntry, ColdTerms)>,
    {
        let mut listed = BTreeSet::new();
        for (entry, terms) in entries {
            let tag = UpstreamTag::from(entry.id.key());
            if listed.insert(tag) {
                self.observe_entry(tag, entry, terms, now, unix_now);
            }
        }
        self.has_view |= is_complete;
        for (tag, state) in &mut self.states {
            if !listed.contains(tag) {
                state.missing_since.get_or_insert(now);
            }
        }
        self.states.retain(|_, state| {
            let missing = state.missing_since.map(|since| now.since(since));
            missing.is_none_or(|missing| missing < UNLISTED_MEMORY)
        });
    }

    fn observe_entry(
        &mut self,
        tag: UpstreamTag,
        entry: &UpstreamEntry,
        terms: ColdTerms,
        now: MonoTime,
        unix_now: Duration,
    ) {
        let is_new = !self.states.contains_key(&tag);
        if is_new && self.states.len() >= MAX_UPSTREAMS {
            return;
        }
        let has_view = self.has_view;
        let state = self
            .states
            .entry(tag)
            .or_insert_with(|| ColdState::new(entry, terms));
        state.terms = terms;
        if is_new && !has_view {
            // Nothing is known to have started, and calls to it need not begin slowly.
            state.last_answer = Some(now);
        }
        let missing = state.missing_since.take();
        let is_back = missing.is_some_and(|since| now.since(since) > REWRITE_TIME);
        let has_started = state.start != entry.start();
        state.start = entry.start();
        let is_credible = state.is_credible(entry.warm_up);
        let is_known_fault = state.stated == entry.warm_up;
        let before = std::mem::replace(&mut state.stated, entry.warm_up);
        if !is_credible && !is_known_fault {
            self.ignored += 1;
            let id = entry.id.clone();
            self.log(ColdChange::Ignored(id));
        }
        let warm_up = if is_credible {
            entry.warm_up
        } else {
            Duration::ZERO
        };
        let age = entry
            .started
            .map(|started| unix_now.saturating_sub(Duration::from_millis(started.0)));
        let is_old = age.is_some_and(|age| age > terms.start() + CLOCK_SLACK);
        let begins = is_back || has_started || (is_new && has_view);
        if !warm_up.is_zero() && (begins || is_new || warm_up > before) {
            self.extend(tag, now + warm_up, ColdCause::Entry, now);
        } else if begins && (is_back || !is_old) && warm_up.is_zero() {
            self.extend(tag, now + terms.start(), ColdCause::Appeared, now);
        } else if !warm_up.is_zero()
            && let Some(state) = self.states.get_mut(&tag)
        {
            // A later entry about the same start is more exact.
            let until = now + warm_up;
            if state.cause == ColdCause::Entry {
                state.cold_until = state.cold_until.map(|known| known.min(until));
            }
        }
    }

    /// Records a response of an upstream and what it says.
    pub fn record_answer(&mut self, upstream: UpstreamTag, said: ColdStatement, now: MonoTime) {
        let Some(state) = self.states.get_mut(&upstream) else {
            return;
        };
        let was_quiet = state
            .last_answer
            .is_none_or(|at| now.since(at) > QUIET_TIME);
        if was_quiet {
            state.woke = Some(now);
        }
        state.last_answer = Some(now);
        let was_down = state.is_down(now);
        state.failed_at = None;
        let start = state.terms.start();
        match said {
            ColdStatement::For(cold) if state.is_credible(cold) => {
                state.stated_at = Some(now);
                if state.is_cold(now) || !cold.is_zero() {
                    let until = now + cold;
                    if state.cold_until.is_some_and(|known| known > until) {
                        state.cold_until = Some(until);
                    }
                    self.extend(upstream, until, ColdCause::Stated, now);
                }
                return;
            }
            ColdStatement::Silent => {}
            ColdStatement::For(_) | ColdStatement::Unreadable => {
                self.ignored += 1;
                let id = state.id.clone();
                self.log(ColdChange::Ignored(id));
            }
        }
        if was_down {
            self.extend(upstream, now + start, ColdCause::Answered, now);
        }
    }

    /// Records that no connection to an upstream could be made, or that one broke. `has_ended` is true
    /// if this shows that the upstream has ended, so that it will be cold when it is back.
    pub fn record_failure(&mut self, upstream: UpstreamTag, has_ended: bool, now: MonoTime) {
        let Some(state) = self.states.get_mut(&upstream) else {
            return;
        };
        state.down_since = state
            .down_since
            .filter(|_| state.is_down(now))
            .or(Some(now));
        state.failed_at = Some(now);
        let paced = self.paced.entry(upstream).or_default();
        *paced = (*paced).max(now + FAILURE_MEMORY);
        if has_ended {
            let until = now + state.terms.start();
            self.extend(upstream, until, ColdCause::Refused, now);
        }
    }

    /// Records that the evacuation of a data centre has ended: its upstreams may have started
    /// meanwhile.
    pub fn data_center_reopened(&mut self, data_center: &DataCenterId, now: MonoTime) {
        let states = self.states.iter();
        let inside = states.filter(|(_, state)| state.data_center == *data_center);
        let starts: Vec<(UpstreamTag, Duration)> = inside
            .map(|(&tag, state)| (tag, state.terms.start()))
            .collect();
        for (tag, start) in starts {
            self.extend(tag, now + start, ColdCause::Reopened, now);
        }
    }

    /// Merges the report of another router.
    pub fn merge(&mut self, report: ColdReport, now: MonoTime) {
        let Some(state) = self.states.get_mut(&report.upstream) else {
            return;
        };
        if state.stated_at.is_some_and(|at| at >= report.at) || !state.is_credible(report.remaining)
        {
            return;
        }
        let until = now + report.remaining;
        let is_newer = state.cold_until.is_none_or(|known| until > known);
        if report.is_up {
            state.failed_at = state.failed_at.filter(|&at| at > report.at);
        } else if is_newer {
            // It refused a connection after all that is known here: its cold time is yet to begin.
            state.down_since = state
                .down_since
                .filter(|_| state.is_down(now))
                .or(Some(now));
            state.failed_at = Some(report.at);
            let paced = self.paced.entry(report.upstream).or_default();
            *paced = (*paced).max(now + FAILURE_MEMORY);
        }
        self.extend(
            report.upstream,
            now + report.remaining,
            ColdCause::Peer,
            now,
        );
    }

    fn extend(&mut self, tag: UpstreamTag, until: MonoTime, cause: ColdCause, now: MonoTime) {
        let Some(state) = self.states.get_mut(&tag) else {
            return;
        };
        let remaining = state.remaining(now);
        if until <= now + remaining {
            return;
        }
        state.cold_until = Some(until);
        state.cause = cause;
        let paced = self.paced.entry(tag).or_default();
        *paced = (*paced).max(until + RAMP_TIME);
        let is_down_longer = state.is_down(now)
            && state.announced.is_some_and(|at| {
                state.down_since.is_some_and(|since| since <= at)
                    && now.since(at) < REFUSED_NEWS_TIME
            });
        let is_longer = until.since(now) > remaining + NEWS_GAIN;
        if is_longer && !is_down_longer {
            state.announced = Some(now);
            state.repeat_at = Some(now + REPEAT_TIME);
            self.announcements.insert(tag);
        }
        if !state.is_logged {
            state.is_logged = true;
            let change = ColdChange::Begun(state.id.clone(), cause, until.since(now));
            self.log(change);
        }
    }

    fn log(&mut self, change: ColdChange) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push(change);
        }
    }

    /// Returns how long this router has to wait until it may call an upstream, or `Err` with the time
    /// until that may change if it has no share now.
    pub fn wait(
        &self,
        upstream: UpstreamTag,
        place: ColdPlace,
        now: MonoTime,
    ) -> Result<Duration, Duration> {
        match self.pace(upstream, place, now) {
            CallPace::Open => Ok(Duration::ZERO),
            CallPace::Every(_, from) => Ok(from.since(now)),
            CallPace::Never(until) => Err(until.since(now)),
        }
    }

    /// Counts a call that this router is going to send. Returns whether it took a share.
    pub fn take(&mut self, upstream: UpstreamTag, place: ColdPlace, now: MonoTime) -> bool {
        let CallPace::Every(spacing, _) = self.pace(upstream, place, now) else {
            return false;
        };
        if let Some(state) = self.states.get_mut(&upstream) {
            state.next_call = now + spacing;
        }
        true
    }

    /// Returns whether a call may be written now; `taken` is what [`Self::take`] said when the
    /// upstream was chosen. The upstream may have become cold since.
    pub fn may_write(
        &mut self,
        upstream: UpstreamTag,
        taken: bool,
        place: ColdPlace,
        now: MonoTime,
    ) -> bool {
        let is_due = taken || self.wait(upstream, place, now) == Ok(Duration::ZERO);
        if is_due {
            self.take(upstream, place, now);
        }
        is_due
    }

    fn pace(&self, upstream: UpstreamTag, place: ColdPlace, now: MonoTime) -> CallPace {
        let is_paced = || self.paced.get(&upstream).is_some_and(|&until| now < until);
        if !place.contact.is_isolated && !is_paced() {
            return CallPace::Open;
        }
        let Some(state) = self.states.get(&upstream) else {
            return CallPace::Open;
        };
        let rate = place.bound.planned_rate(state.terms.per_s());
        let is_down = state.is_down(now);
        if state.is_cold(now) || is_down {
            if let Some(spacing) = self.call_spacing(rate, upstream, state, place) {
                return CallPace::Every(spacing, state.next_call);
            }
            let cold_until = state.cold_until.unwrap_or_default();
            let trial_time = TRIAL_TIME_PER_ROUTER
                .saturating_mul(u32::try_from(place.fleet_size).unwrap_or(u32::MAX))
                .max(MIN_TRIAL_TIME);
            let trial_at = state.failed_at.map(|at| at + trial_time);
            return match trial_at.filter(|_| is_down) {
                Some(at) => CallPace::Every(trial_time, at.max(cold_until).max(state.next_call)),
                None => CallPace::Never(cold_until),
            };
        }
        if let Some(cold_until) = state.cold_until
            && now.since(cold_until) < RAMP_TIME
        {
            let passed = now.since(cold_until).as_secs_f64() / RAMP_TIME.as_secs_f64();
            let rate = rate * (RAMP_DOUBLINGS * passed).exp2();
            return match self.call_spacing(rate, upstream, state, place) {
                Some(spacing) => CallPace::Every(spacing, state.next_call),
                None => CallPace::Never(cold_until + RAMP_TIME),
            };
        }
        let is_silent = state
            .last_answer
            .is_none_or(|at| now.since(at) > QUIET_TIME);
        let woke_lately = |at| now.since(at) < state.terms.start();
        let is_quiet = is_silent || state.woke.is_some_and(woke_lately);
        if place.contact.is_isolated && is_quiet {
            return CallPace::Every(spacing_of(rate * MIN_SHARE_PART), state.next_call);
        }
        CallPace::Open
    }

    /// Returns the time between two calls of this router to an upstream that takes `rate` calls per second
    /// from all routers, or `None` if the router has no share.
    ///
    /// A router has whole calls per second: in any second, the calls of all routers together are then at
    /// most `rate`, without bursts at the start of a share.
    fn call_spacing(
        &self,
        rate: f64,
        upstream: UpstreamTag,
        state: &ColdState,
        place: ColdPlace,
    ) -> Option<Duration> {
        if !place.contact.is_settled || rate <= 0.0 {
            return None;
        }
        let whole = rate.floor().max(1.0);
        let size = place.fleet_size.max(1) as f64;
        let sum = |sharing: f64| sharing * (whole / sharing).floor();
        let mut sharing = size.min(whole);
        while sharing > 1.0 && sum(sharing) < whole * MIN_SHARE_SUM {
            sharing -= 1.0;
        }
        let own_rate = (whole / sharing).floor().min(rate);
        let rank = self.rank(upstream, state);
        ((rank as f64) < sharing).then(|| spacing_of(own_rate / SPACING_FACTOR))
    }

    /// Returns the number of routers that come before this one in the order of shares.
    fn rank(&self, upstream: UpstreamTag, state: &ColdState) -> usize {
        if let Some((generation, rank)) = state.rank.get()
            && generation == self.generation
        {
            return rank;
        }
        let place = FleetPlace {
            own: self.own.unwrap_or(Ipv4Addr::UNSPECIFIED),
            routers: &self.routers,
            size: self.routers.len(),
        };
        let rank = share_rank(upstream, place);
        state.rank.set(Some((self.generation, rank)));
        rank
    }

    /// Returns the reports that other routers should get at once.
    pub fn take_notice(&mut self, now: MonoTime) -> Vec<ColdReport> {
        let is_early = |at| now.since(at) < NOTICE_SPACING;
        if self.announcements.is_empty() || self.last_notice.is_some_and(is_early) {
            return Vec::new();
        }
        self.last_notice = Some(now);
        let rest = self.announcements.iter().nth(MAX_NOTICE_REPORTS).copied();
        let rest = rest.map_or_else(BTreeSet::new, |first| self.announcements.split_off(&first));
        let tags = std::mem::replace(&mut self.announcements, rest);
        tags.into_iter()
            .filter_map(|tag| self.report(tag, now))
            .collect()
    }

    /// Returns reports about cold upstreams for a router that has just appeared.
    pub fn reports(&self, now: MonoTime) -> Vec<ColdReport> {
        let tags = self.states.keys();
        let reports = tags.filter_map(|&tag| self.report(tag, now));
        reports.take(MAX_NOTICE_REPORTS).collect()
    }

    fn report(&self, upstream: UpstreamTag, now: MonoTime) -> Option<ColdReport> {
        let state = self.states.get(&upstream)?;
        state.is_cold(now).then(|| ColdReport {
            upstream,
            remaining: state.remaining(now),
            is_up: state.failed_at.is_none() && state.cause != ColdCause::Refused,
            at: now,
        })
    }

    /// Announces reports again that are due, and returns what has changed since the last call.
    pub fn tick(&mut self, now: MonoTime) -> Vec<ColdChange> {
        self.paced.retain(|_, until| now < *until);
        let mut ended = Vec::new();
        for (&tag, state) in &mut self.states {
            if state.repeat_at.is_some_and(|at| at <= now) {
                state.repeat_at = None;
                self.announcements.insert(tag);
            }
            if state.is_logged && !state.is_cold(now) {
                state.is_logged = false;
                ended.push(ColdChange::Ended(state.id.clone()));
            }
        }
        for change in ended {
            self.log(change);
        }
        std::mem::take(&mut self.changes)
    }

    /// Whether other routers should hear of something.
    pub fn has_news(&self) -> bool {
        !self.announcements.is_empty()
    }

    /// Whether no service has cold upstreams.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// How much longer an upstream is cold, as this router knows it.
    pub fn remaining(&self, upstream: UpstreamTag, now: MonoTime) -> Duration {
        let state = self.states.get(&upstream);
        state.map_or(Duration::ZERO, |state| state.remaining(now))
    }

    /// Number of cold upstreams.
    pub fn cold(&self, now: MonoTime) -> usize {
        let states = self.states.values();
        states.filter(|state| state.is_cold(now)).count()
    }

    /// Number of statements that were ignored since the last call.
    pub fn take_ignored(&mut self) -> u64 {
        std::mem::take(&mut self.ignored)
    }
}
