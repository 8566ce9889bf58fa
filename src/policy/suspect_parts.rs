//! Finds the prompt parts that crash upstreams, and holds back the calls that have one.
//!
//! A crash ends all calls of an upstream, so each of them may be the cause. The part that crashes
//! upstreams is the one that was in several crashes at different times and was not answered
//! meanwhile. Parts that were only in crashes that such a part explains are not held.
//!
//! After a hold, one router of the fleet sends one call as a trial. An answer ends the hold; another
//! crash doubles it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::PartTag;
use crate::mono::MonoTime;
use crate::policy::latest_loads::UpstreamTag;
use crate::policy::part_history::{PartHistory, UpstreamCrash, count_moments};
use crate::policy::part_reports::{CrashReport, PartReports, SoundReport};
use crate::policy::sound_parts::SoundParts;

/// Crashes at different times after which a part is held.
const HOLD_CRASHES: usize = 3;

/// Time between the announcement of a hold to other routers and its begin, in which a router that
/// knows of an answer to the part can object.
const OBJECTION_TIME: Duration = Duration::from_millis(500);

/// Crashes at different times after which a call with the part is not repeated.
const REPEAT_CRASHES: usize = 2;

/// Time from the latest crash to the first trial.
const BASE_HOLD: Duration = Duration::from_mins(1);

/// Longest hold without a trial.
const MAX_HOLD: Duration = Duration::from_mins(32);

/// Time after which crashes of a part that is not held are forgotten.
const SUSPECT_EXPIRY: Duration = Duration::from_mins(2);

/// Time after which a held part without trials or new crashes is forgotten.
const HELD_EXPIRY: Duration = Duration::from_hours(2);

/// Time for which another router gets the turn to send a trial.
const TRIAL_TURN: Duration = Duration::from_mins(1);

/// Number of parts in memory.
const MAX_PARTS: usize = 4096;

/// Time after news of a part in which heartbeats carry as many reports as they have room for.
const SPREAD_TIME: Duration = Duration::from_secs(5);

/// Number of crash reports in one heartbeat.
const MAX_CRASH_REPORTS: usize = 2;

/// Number of reports of answers in one heartbeat.
const MAX_SOUND_REPORTS: usize = 2;

/// Number of parts in a notice.
const MAX_NOTICE_PARTS: usize = 8;

/// Converts a time of this router to the clock of [`SuspectParts`]. That clock starts long before
/// the process, whose peers report crashes that are older than it.
pub fn part_time(now: MonoTime) -> MonoTime {
    now + HELD_EXPIRY
}

/// A part that is held, with its evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldPart {
    pub part: PartTag,
    /// Number of crashes at different times, up to the number in memory.
    pub crashes: usize,
    /// Time of the earliest crash in memory.
    pub first_crash: MonoTime,
    pub last_crash: MonoTime,
    /// When the hold begins.
    pub from: MonoTime,
    /// When a trial is due.
    pub until: MonoTime,
}

/// Whether a call may be sent to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartDecision {
    Send,
    /// The call may be sent to find out whether its held part still crashes upstreams.
    Trial(HeldPart),
    /// The call is refused; it may be tried again after `retry_after`.
    Hold {
        held: HeldPart,
        retry_after: Duration,
    },
}

/// The beginning or the end of a hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartChange {
    Held(HeldPart),
    Released(PartTag),
}

/// The prompt parts that may crash upstreams, as this router and its peers have seen them. All times
/// are of the clock of [`part_time`].
#[derive(Clone, Debug, Default)]
pub struct SuspectParts {
    /// Invariant: at most [`MAX_PARTS`] parts.
    histories: BTreeMap<PartTag, PartHistory>,
    sound: SoundParts,
    /// Parts whose holds have begun or are announced.
    held: BTreeMap<PartTag, HeldPart>,
    /// Time of this router's latest trial of a part.
    trials: BTreeMap<PartTag, MonoTime>,
    /// Parts whose holds have begun, as of the latest [`Self::take_changes`].
    begun: BTreeSet<PartTag>,
    /// Parts to announce to other routers.
    announcements: BTreeSet<PartTag>,
}

impl SuspectParts {
    /// Records that `upstream` crashed before it answered a call with `parts`.
    pub fn record_crash(&mut self, parts: &[PartTag], upstream: UpstreamTag, now: MonoTime) {
        for &part in parts {
            self.add_crash(part, UpstreamCrash { upstream, at: now }, now);
        }
        self.update_held(now);
    }

    /// Records that an upstream answers a call with `parts`.
    pub fn record_sound(&mut self, parts: &[PartTag], now: MonoTime) {
        let mut changed = false;
        for &part in parts {
            self.sound.record(part, now);
            if let Some(history) = self.histories.get_mut(&part) {
                changed |= history.record_sound(now, now);
            }
        }
        if changed {
            self.update_held(now);
        }
    }

    /// Merges the reports of another router, and returns what it should hear at once: answers that
    /// speak against the holds that it announces.
    pub fn merge(&mut self, reports: &PartReports, now: MonoTime) -> PartReports {
        let mut changed = false;
        for report in &reports.crashes {
            let crash = UpstreamCrash {
                upstream: report.upstream,
                at: report.at,
            };
            if now.since(crash.at) <= HELD_EXPIRY {
                changed |= self.add_crash(report.part, crash, now);
            }
        }
        for report in &reports.sound {
            let history = self.histories.get_mut(&report.part);
            changed |= history.is_some_and(|history| history.record_sound(report.at, now));
        }
        if changed {
            self.update_held(now);
        }
        self.objections(reports)
    }

    /// Returns the answers that speak against the holds that another router announces.
    fn objections(&self, reports: &PartReports) -> PartReports {
        let mut objections = PartReports::default();
        for (index, report) in reports.crashes.iter().enumerate() {
            let part = report.part;
            let evidence = reports.crashes[index..]
                .iter()
                .filter(|other| other.part == part);
            if evidence.count() < HOLD_CRASHES || self.held.contains_key(&part) {
                continue;
            }
            let history = self.histories.get(&part);
            let sound_at = history.and_then(PartHistory::sound_at);
            let sound = sound_at.map(|at| SoundReport { part, at });
            objections.sound.extend(sound);
        }
        objections
    }

    /// Decides whether a call with `parts` may be sent. `own` is the address of this router, and
    /// `routers` are all routers that serve callers.
    pub fn decide<I>(
        &mut self,
        parts: &[PartTag],
        own: Ipv4Addr,
        routers: I,
        now: MonoTime,
    ) -> PartDecision
    where
        I: Iterator<Item = Ipv4Addr>,
    {
        let held = parts.iter().filter_map(|part| self.held.get(part));
        let begun = held.filter(|held| held.from <= now);
        let Some(&held) = begun.max_by_key(|held| held.until) else {
            return PartDecision::Send;
        };
        if now < held.until {
            let retry_after = held.until.since(now);
            return PartDecision::Hold { held, retry_after };
        }
        let tried = self.trials.get(&held.part);
        let may_try = tried.is_none_or(|&at| now.since(at) >= TRIAL_TURN);
        if may_try && is_trial_turn(&held, own, routers, now) {
            self.trials.insert(held.part, now);
            return PartDecision::Trial(held);
        }
        PartDecision::Hold {
            held,
            retry_after: TRIAL_TURN,
        }
    }

    /// Whether a call that failed may be repeated: none of its parts was in a crash before the one
    /// that ended the call.
    pub fn may_repeat(&self, parts: &[PartTag]) -> bool {
        let histories = parts.iter().filter_map(|part| self.histories.get(part));
        histories.map(PartHistory::moments).max().unwrap_or(0) < REPEAT_CRASHES
    }

    /// Selects reports for a heartbeat: of the part with the most crashes and of any other, and
    /// answers that other routers may not have heard of.
    pub fn reports<R: Rng>(&self, now: MonoTime, rng: &mut R) -> PartReports {
        let mut crashes: Vec<(usize, CrashReport)> = Vec::new();
        let mut sound: Vec<(MonoTime, SoundReport)> = Vec::new();
        let mut has_news = false;
        for (&part, history) in &self.histories {
            let is_news = now.since(history.news_at()) <= SPREAD_TIME;
            has_news |= is_news;
            let moments = history.moments();
            crashes.extend(
                history
                    .crashes()
                    .iter()
                    .map(|&UpstreamCrash { upstream, at }| {
                        (moments, CrashReport { part, upstream, at })
                    }),
            );
            if let Some(at) = history.sound_at().filter(|_| is_news) {
                sound.push((history.news_at(), SoundReport { part, at }));
            }
        }
        crashes.shuffle(rng);
        crashes.sort_by_key(|(moments, _)| std::cmp::Reverse(*moments));
        sound.shuffle(rng);
        sound.sort_by_key(|(news_at, _)| std::cmp::Reverse(*news_at));
        let room = if has_news { MAX_CRASH_REPORTS } else { 1 };
        let crashes = take_first_and_any(crashes, room, rng);
        let sound = take_first_and_any(sound, MAX_SOUND_REPORTS, rng);
        PartReports {
            crashes: crashes.into_iter().map(|(_, report)| report).collect(),
            sound: sound.into_iter().map(|(_, report)| report).collect(),
        }
    }

    /// Returns reports that other routers should get at once: the evidence of new holds.
    pub fn take_notice(&mut self) -> PartReports {
        let mut notice = PartReports::default();
        for part in take_some(&mut self.announcements) {
            let history = self.histories.get(&part);
            let latest = history.map(|history| history.latest_moments(HOLD_CRASHES));
            let crashes = latest.into_iter().flatten();
            let report = |UpstreamCrash { upstream, at }| CrashReport { part, upstream, at };
            notice.crashes.extend(crashes.map(report));
        }
        notice
    }

    /// Forgets old crashes.
    pub fn remove_expired(&mut self, now: MonoTime) {
        let held = &self.held;
        self.histories.retain(|part, history| {
            let expiry = if held.contains_key(part) {
                HELD_EXPIRY
            } else {
                SUSPECT_EXPIRY
            };
            now.since(history.last_report()) <= expiry
        });
        self.update_held(now);
        let held = &self.held;
        self.trials.retain(|part, _| held.contains_key(part));
    }

    /// The parts that are held at `now`.
    pub fn held(&self, now: MonoTime) -> impl Iterator<Item = &HeldPart> {
        self.held.values().filter(move |held| held.from <= now)
    }

    /// The holds that have begun or ended since the last call.
    pub fn take_changes(&mut self, now: MonoTime) -> Vec<PartChange> {
        let begun: BTreeSet<PartTag> = self.held(now).map(|held| held.part).collect();
        let started = begun.difference(&self.begun);
        let started = started.map(|part| PartChange::Held(self.held[part]));
        let ended = self.begun.difference(&begun).copied();
        let changes = started.chain(ended.map(PartChange::Released)).collect();
        self.begun = begun;
        changes
    }

    /// Number of parts in memory, with crashes or without.
    pub fn remembered(&self) -> usize {
        self.histories.len() + self.sound.len()
    }

    fn add_crash(&mut self, part: PartTag, crash: UpstreamCrash, now: MonoTime) -> bool {
        if self.histories.len() >= MAX_PARTS && !self.histories.contains_key(&part) {
            self.evict();
        }
        let sound = self.sound.last(part);
        let history = self.histories.entry(part).or_insert_with(|| {
            let mut history = PartHistory::default();
            sound.map(|at| history.record_sound(at, now));
            history
        });
        history.add_crash(crash, now)
    }

    /// Removes the part with the fewest crashes, the oldest of those first.
    fn evict(&mut self) {
        let weakest = self
            .histories
            .iter()
            .min_by_key(|(part, history)| (history.crashes().len(), history.last_report(), **part))
            .map(|(&part, _)| part);
        weakest.and_then(|part| self.histories.remove(&part));
    }

    /// Finds the parts to hold: repeatedly the part that explains most of the crashes that no other
    /// held part explains.
    fn update_held(&mut self, now: MonoTime) {
        let mut candidates: BTreeMap<PartTag, Vec<UpstreamCrash>> = self
            .histories
            .iter()
            .filter(|(_, history)| history.crashes().len() >= HOLD_CRASHES)
            .map(|(&part, history)| (part, history.crashes().to_vec()))
            .collect();
        let mut held = BTreeMap::new();
        while let Some(best) = self.best_candidate(&candidates) {
            let explained = candidates[&best].clone();
            let is_known = self.was_answered(best);
            let alike: Vec<PartTag> = candidates
                .iter()
                .filter(|(part, crashes)| {
                    has_same_crashes(crashes, &explained) && self.was_answered(**part) == is_known
                })
                .map(|(&part, _)| part)
                .collect();
            held.extend(alike.into_iter().map(|part| (part, self.hold(part, now))));
            for crashes in candidates.values_mut() {
                crashes.retain(|crash| !explained.iter().any(|known| known.is_same(crash)));
            }
        }
        let is_new = |part: &&PartTag| !self.held.contains_key(*part);
        self.announcements.extend(held.keys().filter(is_new));
        self.held = held;
    }

    /// Returns the part with the most crashes at different times. A part that no upstream is known
    /// to have answered comes before all others.
    fn best_candidate(
        &self,
        candidates: &BTreeMap<PartTag, Vec<UpstreamCrash>>,
    ) -> Option<PartTag> {
        candidates
            .iter()
            .map(|(&part, crashes)| (count_moments(crashes.iter()), crashes.len(), part))
            .filter(|&(moments, ..)| moments >= HOLD_CRASHES)
            .max_by_key(|&(moments, crashes, part)| {
                (!self.was_answered(part), moments, crashes, part)
            })
            .map(|(.., part)| part)
    }

    fn was_answered(&self, part: PartTag) -> bool {
        let history = self.histories.get(&part);
        history.is_some_and(|history| history.sound_at().is_some())
    }

    fn hold(&self, part: PartTag, now: MonoTime) -> HeldPart {
        let history = &self.histories[&part];
        let failed_trials = history.count_gaps(BASE_HOLD) as u32;
        let time =
            |crash: Option<&UpstreamCrash>| crash.map_or(MonoTime::default(), |crash| crash.at);
        let last_crash = time(history.crashes().last());
        HeldPart {
            part,
            crashes: history.moments(),
            first_crash: time(history.crashes().first()),
            last_crash,
            from: self
                .held
                .get(&part)
                .map_or(now + OBJECTION_TIME, |held| held.from),
            until: last_crash + (BASE_HOLD * 2u32.pow(failed_trials)).min(MAX_HOLD),
        }
    }
}

/// Removes and returns some parts, as many as fit in a message.
fn take_some(parts: &mut BTreeSet<PartTag>) -> Vec<PartTag> {
    let rest = parts.iter().nth(MAX_NOTICE_PARTS).copied();
    let rest = rest.map_or_else(BTreeSet::new, |first| parts.split_off(&first));
    std::mem::replace(parts, rest).into_iter().collect()
}

/// Returns `room` of the items: those in front, and one of the others in place of the last.
fn take_first_and_any<T, R: Rng>(mut items: Vec<T>, room: usize, rng: &mut R) -> Vec<T> {
    if items.len() > room {
        let any = rng.random_range(room - 1..items.len());
        items.swap(room - 1, any);
        items.truncate(room);
    }
    items
}

/// Whether it is this router's turn to send a trial. The turn goes from router to router, in an
/// order on which all agree, because not every router receives calls with the part.
fn is_trial_turn<I>(held: &HeldPart, own: Ipv4Addr, routers: I, now: MonoTime) -> bool
where
    I: Iterator<Item = Ipv4Addr>,
{
    let turn = now.since(held.until).as_secs() / TRIAL_TURN.as_secs();
    let seed = held.part.0 ^ turn;
    let score = |address: Ipv4Addr| (xxh3_64_with_seed(&address.octets(), seed), address);
    let first = routers.map(score).max();
    first.is_none_or(|first| first <= score(own))
}

fn has_same_crashes(left: &[UpstreamCrash], right: &[UpstreamCrash]) -> bool {
    let contains =
        |set: &[UpstreamCrash], crash: &UpstreamCrash| set.iter().any(|c| c.is_same(crash));
    left.iter().all(|crash| contains(right, crash))
        && right.iter().all(|crash| contains(left, crash))
}
