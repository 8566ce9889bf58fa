//! Finds the prompt parts that crash upstreams, and holds back the calls that have one.
//!
//! A crash ends all calls of an upstream, so each of them may be the cause. The part that crashes
//! upstreams is the one that was in several crashes at different times and was not answered
//! meanwhile. Parts that were only in crashes that such a part explains are not held.
//!
//! After a hold, one router of the fleet sends one call as a trial. An answer ends the hold; another
//! crash doubles it.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::PartTag;
use crate::mono::MonoTime;
use crate::policy::latest_loads::UpstreamTag;
use crate::policy::part_history::{PartHistory, UpstreamCrash, count_moments};
use crate::policy::part_reports::{CrashReport, PartReports, SoundReport};
use crate::policy::sound_parts::SoundParts;

/// Crashes at different times after which a part is held.
const HOLD_CRASHES: usize = 3;

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

/// Time after a crash in which heartbeats carry as many reports as they have room for.
const SPREAD_TIME: Duration = Duration::from_secs(5);

/// Number of crash reports in one heartbeat.
const MAX_CRASH_REPORTS: usize = 3;

/// A part that is held, with its evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldPart {
    pub part: PartTag,
    /// Number of crashes at different times, up to the number in memory.
    pub crashes: usize,
    /// Time of the earliest crash in memory.
    pub first_crash: MonoTime,
    pub last_crash: MonoTime,
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

/// The prompt parts that may crash upstreams, as this router and its peers have seen them.
#[derive(Clone, Debug, Default)]
pub struct SuspectParts {
    /// Invariant: at most [`MAX_PARTS`] parts.
    histories: HashMap<PartTag, PartHistory>,
    sound: SoundParts,
    held: HashMap<PartTag, HeldPart>,
    /// Time of this router's latest trial of a part.
    trials: HashMap<PartTag, MonoTime>,
    changes: Vec<PartChange>,
}

impl SuspectParts {
    /// Records that `upstream` crashed before it answered a call with `parts`.
    pub fn record_crash(&mut self, parts: &[PartTag], upstream: UpstreamTag, now: MonoTime) {
        for &part in parts {
            self.add_crash(part, UpstreamCrash { upstream, at: now });
        }
        self.update_held();
    }

    /// Records that an upstream answers a call with `parts`.
    pub fn record_sound(&mut self, parts: &[PartTag], now: MonoTime) {
        let mut changed = false;
        for &part in parts {
            self.sound.record(part, now);
            if let Some(history) = self.histories.get_mut(&part) {
                changed |= history.record_sound(now);
            }
        }
        if changed {
            self.update_held();
        }
    }

    /// Merges the reports of another router.
    pub fn merge(&mut self, reports: &PartReports, now: MonoTime) {
        let mut changed = false;
        for report in &reports.crashes {
            let crash = UpstreamCrash {
                upstream: report.upstream,
                at: report.at,
            };
            if now.since(crash.at) <= HELD_EXPIRY {
                changed |= self.add_crash(report.part, crash);
            }
        }
        for report in &reports.sound {
            let history = self.histories.get_mut(&report.part);
            changed |= history.is_some_and(|history| history.record_sound(report.at));
        }
        if changed {
            self.update_held();
        }
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
        let Some(&held) = held.max_by_key(|held| held.until) else {
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

    /// Selects reports for a heartbeat: parts with many crashes first, and one at random, so that
    /// every report is passed on some time.
    pub fn reports<R: Rng>(&self, now: MonoTime, rng: &mut R) -> PartReports {
        let is_recent = |history: &PartHistory| now.since(history.last_report()) <= SPREAD_TIME;
        let mut crashes: Vec<(usize, bool, CrashReport)> = Vec::new();
        let mut sound = Vec::new();
        for (&part, history) in &self.histories {
            let moments = history.moments();
            let recent = is_recent(history);
            crashes.extend(history.crashes().iter().map(|crash| {
                let (upstream, at) = (crash.upstream, crash.at);
                (moments, recent, CrashReport { part, upstream, at })
            }));
            if let Some(at) = history.sound_at().filter(|_| recent) {
                sound.push(SoundReport { part, at });
            }
        }
        crashes.shuffle(rng);
        crashes.sort_by_key(|(moments, ..)| std::cmp::Reverse(*moments));
        let recent = crashes.iter().any(|(_, recent, _)| *recent);
        let room = if recent { MAX_CRASH_REPORTS } else { 1 };
        if crashes.len() > room {
            // The last place goes to any of the others.
            let other = (room - 1..crashes.len()).collect::<Vec<usize>>();
            let other = other.choose(rng).copied().unwrap_or(room - 1);
            crashes.swap(room - 1, other);
            crashes.truncate(room);
        }
        PartReports {
            crashes: crashes.into_iter().map(|(.., report)| report).collect(),
            sound: sound.choose(rng).copied().into_iter().collect(),
        }
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
        self.update_held();
        let held = &self.held;
        self.trials.retain(|part, _| held.contains_key(part));
    }

    /// The parts that are held.
    pub fn held(&self) -> impl Iterator<Item = &HeldPart> {
        self.held.values()
    }

    /// The holds that have begun or ended since the last call.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Number of parts in memory, with crashes or without.
    pub fn remembered(&self) -> usize {
        self.histories.len() + self.sound.len()
    }

    fn add_crash(&mut self, part: PartTag, crash: UpstreamCrash) -> bool {
        if self.histories.len() >= MAX_PARTS && !self.histories.contains_key(&part) {
            self.evict();
        }
        let sound = self.sound.last(part);
        let history = self.histories.entry(part).or_insert_with(|| {
            let mut history = PartHistory::default();
            sound.map(|at| history.record_sound(at));
            history
        });
        history.add_crash(crash)
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
    fn update_held(&mut self) {
        let mut candidates: BTreeMap<PartTag, Vec<UpstreamCrash>> = self
            .histories
            .iter()
            .filter(|(_, history)| history.crashes().len() >= HOLD_CRASHES)
            .map(|(&part, history)| (part, history.crashes().to_vec()))
            .collect();
        let mut held = HashMap::new();
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
            held.extend(alike.into_iter().map(|part| (part, self.hold(part))));
            for crashes in candidates.values_mut() {
                crashes.retain(|crash| !explained.iter().any(|known| known.is_same(crash)));
            }
        }
        let before: HashSet<PartTag> = self.held.keys().copied().collect();
        let after: HashSet<PartTag> = held.keys().copied().collect();
        self.changes.extend(
            after
                .difference(&before)
                .map(|part| PartChange::Held(held[part])),
        );
        let released = before.difference(&after).copied();
        self.changes.extend(released.map(PartChange::Released));
        self.held = held;
    }

    /// Returns the part with the most crashes at different times. Of parts with the same crashes,
    /// one that no upstream is known to have answered comes first.
    fn best_candidate(
        &self,
        candidates: &BTreeMap<PartTag, Vec<UpstreamCrash>>,
    ) -> Option<PartTag> {
        candidates
            .iter()
            .map(|(&part, crashes)| (count_moments(crashes.iter()), crashes.len(), part))
            .filter(|&(moments, ..)| moments >= HOLD_CRASHES)
            .max_by_key(|&(moments, crashes, part)| {
                (moments, crashes, !self.was_answered(part), part)
            })
            .map(|(.., part)| part)
    }

    fn was_answered(&self, part: PartTag) -> bool {
        let history = self.histories.get(&part);
        history.is_some_and(|history| history.sound_at().is_some())
    }

    fn hold(&self, part: PartTag) -> HeldPart {
        let history = &self.histories[&part];
        let crashes = history.moments();
        let time =
            |crash: Option<&UpstreamCrash>| crash.map_or(MonoTime::default(), |crash| crash.at);
        let last_crash = time(history.crashes().last());
        let doublings = crashes.saturating_sub(HOLD_CRASHES) as u32;
        HeldPart {
            part,
            crashes,
            first_crash: time(history.crashes().first()),
            last_crash,
            until: last_crash + (BASE_HOLD * 2u32.pow(doublings)).min(MAX_HOLD),
        }
    }
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
