//! Finds the work that crashes upstreams, and holds back the calls that have it. A suspect is a part
//! of prompts that several calls may share, or one whole call that may be sent again.
//!
//! A crash ends all calls of an upstream, so each of them may be the cause. The suspect that crashes
//! upstreams is the one that was in several crashes at different times and was not answered
//! meanwhile. Suspects that were only in crashes that such a one explains are not held.
//!
//! To a part, all crashes of one call that has it and could be held itself count as one: calls that
//! crash upstreams do not accuse a part that they share by chance, but a part that crashes upstreams
//! under several calls is held.
//!
//! Each crash of a call may be seen by another router. Their reports meet at the collectors of the
//! call, two routers on which all agree.
//!
//! After a hold, one router of the fleet sends one call as a trial. An answer ends the hold; another
//! crash doubles it.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::SuspectTag;
use crate::mono::MonoTime;
use crate::policy::latest_loads::UpstreamTag;
use crate::policy::sound_work::SoundWork;
use crate::policy::suspect_history::{SuspectHistory, UpstreamCrash, count_moments};
use crate::policy::suspect_reports::{CrashReport, SoundReport, SuspectReports};

/// Crashes at different times after which a suspect is held.
const HOLD_CRASHES: usize = 3;

/// Crashes at two different times after which a call is held: more than one caller's attempts can
/// be in when a zone fails twice.
const HOLD_CALL_CRASHES: usize = 5;

/// Time between the announcement of a hold to other routers and its begin, in which a router that
/// knows of an answer to the suspect can object.
const OBJECTION_TIME: Duration = Duration::from_millis(500);

/// Crashes at different times after which a call with the suspect is not repeated.
const REPEAT_CRASHES: usize = 2;

/// Time from the latest crash to the first trial.
const BASE_HOLD: Duration = Duration::from_mins(1);

/// Longest hold without a trial.
const MAX_HOLD: Duration = Duration::from_mins(32);

/// Time after which crashes of a suspect that is not held are forgotten.
const SUSPECT_EXPIRY: Duration = Duration::from_mins(2);

/// Time after which a held suspect without trials or new crashes is forgotten.
const HELD_EXPIRY: Duration = Duration::from_hours(2);

/// Time for which another router gets the turn to send a trial.
const TRIAL_TURN: Duration = Duration::from_mins(1);

/// Number of suspects in memory.
const MAX_SUSPECTS: usize = 4096;

/// Time after news of a suspect in which heartbeats carry as many reports as they have room for.
const SPREAD_TIME: Duration = Duration::from_secs(5);

/// Number of crash reports in one heartbeat.
const MAX_CRASH_REPORTS: usize = 2;

/// Number of reports of answers in one heartbeat.
const MAX_SOUND_REPORTS: usize = 2;

/// Number of suspects in a notice.
const MAX_NOTICE_SUSPECTS: usize = 8;

/// Number of routers at which the crashes of one call meet. One of them may fail.
const COLLECTORS: usize = 2;

/// Crashes of a call from which on heartbeats carry them; collectors hear of fewer.
const HEARTBEAT_CALL_CRASHES: usize = 2;

/// Converts a time of this router to the clock of [`SuspectWork`]. That clock starts long before
/// the process, whose peers report crashes that are older than it.
pub fn suspect_time(now: MonoTime) -> MonoTime {
    now + HELD_EXPIRY
}

/// A suspect that is held, with its evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldSuspect {
    pub tag: SuspectTag,
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

/// Suspects with their crashes.
type CrashLists = BTreeMap<SuspectTag, Vec<UpstreamCrash>>;

/// Whether a call may be sent to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectDecision {
    Send,
    /// The call may be sent to find out whether its held suspect still crashes upstreams.
    Trial(HeldSuspect),
    /// The call is refused; it may be tried again after `retry_after`.
    Hold {
        held: HeldSuspect,
        retry_after: Duration,
    },
}

/// The beginning or the end of a hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectChange {
    Held(HeldSuspect),
    Released(SuspectTag),
}

/// The suspects that may crash upstreams, as this router and its peers have seen them. All times
/// are of the clock of [`suspect_time`].
#[derive(Clone, Debug, Default)]
pub struct SuspectWork {
    /// Invariant: at most [`MAX_SUSPECTS`] suspects.
    histories: BTreeMap<SuspectTag, SuspectHistory>,
    sound_parts: SoundWork,
    /// Apart from the parts, because most calls come only once.
    sound_calls: SoundWork,
    /// Suspects whose holds have begun or are announced.
    held: BTreeMap<SuspectTag, HeldSuspect>,
    /// Time of this router's latest trial of a suspect.
    trials: BTreeMap<SuspectTag, MonoTime>,
    /// Suspects whose holds have begun, as of the latest [`Self::take_changes`].
    begun: BTreeSet<SuspectTag>,
    /// Suspects to announce to other routers.
    announcements: BTreeSet<SuspectTag>,
    /// Calls of whose crashes, or of whose answers after these, the collectors should hear.
    uncollected: HashSet<SuspectTag>,
}

impl SuspectWork {
    /// Records that `upstream` crashed before it answered a call with `suspects`.
    pub fn record_crash(&mut self, tags: &[SuspectTag], upstream: UpstreamTag, now: MonoTime) {
        for &tag in tags {
            let is_new = self.add_crash(tag, UpstreamCrash { upstream, at: now }, now);
            if is_new && matches!(tag, SuspectTag::Call(_)) {
                self.uncollected.insert(tag);
            }
        }
        self.update_held(now);
    }

    /// Records that an upstream answers a call with `suspects`.
    pub fn record_sound(&mut self, tags: &[SuspectTag], now: MonoTime) {
        let mut changed = false;
        for &tag in tags {
            self.sound_of(tag).record(tag, now);
            let history = self.histories.get_mut(&tag);
            if history.is_some_and(|history| history.record_sound(now, now)) {
                changed = true;
                if matches!(tag, SuspectTag::Call(_)) {
                    self.uncollected.insert(tag);
                }
            }
        }
        if changed {
            self.update_held(now);
        }
    }

    fn sound_of(&mut self, tag: SuspectTag) -> &mut SoundWork {
        match tag {
            SuspectTag::Call(_) => &mut self.sound_calls,
            SuspectTag::Part(_) => &mut self.sound_parts,
        }
    }

    /// Merges the reports of another router, and returns what it should hear at once: answers that
    /// speak against the holds that it announces.
    pub fn merge(&mut self, reports: &SuspectReports, now: MonoTime) -> SuspectReports {
        let mut changed = false;
        for report in &reports.crashes {
            let crash = UpstreamCrash {
                upstream: report.upstream,
                at: report.at,
            };
            if now.since(crash.at) <= HELD_EXPIRY {
                changed |= self.add_crash(report.tag, crash, now);
            }
        }
        for report in &reports.sound {
            let history = self.histories.get_mut(&report.tag);
            changed |= history.is_some_and(|history| history.record_sound(report.at, now));
        }
        if changed {
            self.update_held(now);
        }
        self.objections(reports)
    }

    /// Returns the answers that speak against the holds that another router announces.
    fn objections(&self, reports: &SuspectReports) -> SuspectReports {
        let mut objections = SuspectReports::default();
        for (index, report) in reports.crashes.iter().enumerate() {
            let tag = report.tag;
            let evidence = reports.crashes[index..]
                .iter()
                .filter(|other| other.tag == tag);
            if evidence.count() < HOLD_CRASHES || self.held.contains_key(&tag) {
                continue;
            }
            let history = self.histories.get(&tag);
            let sound_at = history.and_then(SuspectHistory::sound_at);
            let sound = sound_at.map(|at| SoundReport { tag, at });
            objections.sound.extend(sound);
        }
        objections
    }

    /// Decides whether a call with `suspects` may be sent. `own` is the address of this router, and
    /// `routers` are all routers that serve callers.
    pub fn decide<I>(
        &mut self,
        tags: &[SuspectTag],
        own: Ipv4Addr,
        routers: I,
        now: MonoTime,
    ) -> SuspectDecision
    where
        I: Iterator<Item = Ipv4Addr>,
    {
        let held = tags.iter().filter_map(|tag| self.held.get(tag));
        let begun = held.filter(|held| held.from <= now);
        let Some(&held) = begun.max_by_key(|held| held.until) else {
            return SuspectDecision::Send;
        };
        if now < held.until {
            let retry_after = held.until.since(now);
            return SuspectDecision::Hold { held, retry_after };
        }
        let tried = self.trials.get(&held.tag);
        let may_try = tried.is_none_or(|&at| now.since(at) >= TRIAL_TURN);
        if may_try && is_trial_turn(&held, own, routers, now) {
            self.trials.insert(held.tag, now);
            return SuspectDecision::Trial(held);
        }
        SuspectDecision::Hold {
            held,
            retry_after: TRIAL_TURN,
        }
    }

    /// Whether one of the suspects is held.
    pub fn is_held(&self, tags: &[SuspectTag], now: MonoTime) -> bool {
        let mut held = tags.iter().filter_map(|tag| self.held.get(tag));
        held.any(|held| held.from <= now)
    }

    /// Whether a call that failed may be repeated: none of its suspects was in a crash before the one
    /// that ended the call.
    pub fn may_repeat(&self, tags: &[SuspectTag]) -> bool {
        let histories = tags.iter().filter_map(|tag| self.histories.get(tag));
        histories.map(SuspectHistory::moments).max().unwrap_or(0) < REPEAT_CRASHES
    }

    /// Selects reports for a heartbeat: of the suspect with the most crashes and of any other, and
    /// answers that other routers may not have heard of.
    pub fn reports<R: Rng>(&self, now: MonoTime, rng: &mut R) -> SuspectReports {
        let mut crashes: Vec<(usize, CrashReport)> = Vec::new();
        let mut sound: Vec<(bool, MonoTime, SoundReport)> = Vec::new();
        let mut has_news = false;
        for (&tag, history) in &self.histories {
            let is_news = now.since(history.news_at()) <= SPREAD_TIME;
            has_news |= is_news;
            let moments = history.moments();
            let is_call = matches!(tag, SuspectTag::Call(_));
            if let Some(at) = history.sound_at().filter(|_| is_news) {
                sound.push((!is_call, history.news_at(), SoundReport { tag, at }));
            }
            if is_call && history.crashes().len() < HEARTBEAT_CALL_CRASHES {
                continue;
            }
            crashes.extend(
                history
                    .crashes()
                    .iter()
                    .map(|&UpstreamCrash { upstream, at }| {
                        (moments, CrashReport { tag, upstream, at })
                    }),
            );
        }
        crashes.shuffle(rng);
        crashes.sort_by_key(|(moments, _)| std::cmp::Reverse(*moments));
        sound.shuffle(rng);
        // Parts first: the answers to calls reach the collectors by notices.
        sound.sort_by_key(|&(is_part, news_at, _)| std::cmp::Reverse((is_part, news_at)));
        let room = if has_news { MAX_CRASH_REPORTS } else { 1 };
        let crashes = take_first_and_any(crashes, room, rng);
        let sound = take_first_and_any(sound, MAX_SOUND_REPORTS, rng);
        SuspectReports {
            crashes: crashes.into_iter().map(|(_, report)| report).collect(),
            sound: sound.into_iter().map(|(.., report)| report).collect(),
        }
    }

    /// Returns reports that other routers should get at once: the evidence of new holds.
    pub fn take_notice(&mut self) -> SuspectReports {
        let mut notice = SuspectReports::default();
        for tag in take_some(&mut self.announcements) {
            let history = self.histories.get(&tag);
            let crashes = history.map(evidence).into_iter().flatten();
            let report = |UpstreamCrash { upstream, at }| CrashReport { tag, upstream, at };
            notice.crashes.extend(crashes.map(report));
        }
        notice
    }

    /// Whether collectors should hear of a call at once.
    pub fn has_collections(&self) -> bool {
        !self.uncollected.is_empty()
    }

    /// Returns what each of `routers` should hear at once as a collector: crashes of calls, and
    /// answers after these. `own` is the address of this router.
    pub fn take_collections(
        &mut self,
        own: Ipv4Addr,
        routers: &[Ipv4Addr],
    ) -> BTreeMap<Ipv4Addr, SuspectReports> {
        let mut pending: Vec<SuspectTag> = self.uncollected.iter().copied().collect();
        let count = |tag: &SuspectTag| self.histories.get(tag).map_or(0, SuspectHistory::moments);
        pending.sort_unstable_by_key(|tag| (std::cmp::Reverse(count(tag)), *tag));
        pending.truncate(MAX_NOTICE_SUSPECTS);
        let mut collections: BTreeMap<Ipv4Addr, SuspectReports> = BTreeMap::new();
        for tag in pending {
            self.uncollected.remove(&tag);
            let Some(history) = self.histories.get(&tag) else {
                continue;
            };
            let crashes = evidence(history);
            for collector in collectors(tag, routers) {
                if collector == own {
                    continue;
                }
                let reports = collections.entry(collector).or_default();
                let report = |&UpstreamCrash { upstream, at }| CrashReport { tag, upstream, at };
                reports.crashes.extend(crashes.iter().map(report));
                let sound = history.sound_at().map(|at| SoundReport { tag, at });
                reports.sound.extend(sound);
            }
        }
        collections
    }

    /// Forgets old crashes.
    pub fn remove_expired(&mut self, now: MonoTime) {
        let held = &self.held;
        self.histories.retain(|tag, history| {
            let expiry = if held.contains_key(tag) {
                HELD_EXPIRY
            } else {
                SUSPECT_EXPIRY
            };
            now.since(history.last_report()) <= expiry
        });
        self.update_held(now);
        let held = &self.held;
        self.trials.retain(|tag, _| held.contains_key(tag));
    }

    /// The suspects that are held at `now`.
    pub fn held(&self, now: MonoTime) -> impl Iterator<Item = &HeldSuspect> {
        self.held.values().filter(move |held| held.from <= now)
    }

    /// The holds that have begun or ended since the last call.
    pub fn take_changes(&mut self, now: MonoTime) -> Vec<SuspectChange> {
        let begun: BTreeSet<SuspectTag> = self.held(now).map(|held| held.tag).collect();
        let started = begun.difference(&self.begun);
        let started = started.map(|tag| SuspectChange::Held(self.held[tag]));
        let ended = self.begun.difference(&begun).copied();
        let changes = started.chain(ended.map(SuspectChange::Released)).collect();
        self.begun = begun;
        changes
    }

    /// Number of suspects in memory, with crashes or without.
    pub fn remembered(&self) -> usize {
        self.histories.len() + self.sound_parts.len() + self.sound_calls.len()
    }

    fn add_crash(&mut self, tag: SuspectTag, crash: UpstreamCrash, now: MonoTime) -> bool {
        if self.histories.len() >= MAX_SUSPECTS && !self.histories.contains_key(&tag) {
            self.evict();
        }
        let sound = self.sound_of(tag).last(tag);
        let history = self.histories.entry(tag).or_insert_with(|| {
            let mut history = SuspectHistory::default();
            sound.map(|at| history.record_sound(at, now));
            history
        });
        history.add_crash(crash, now)
    }

    /// Removes the suspect with the fewest crashes, the oldest of those first, and held ones last.
    fn evict(&mut self) {
        let rank = |tag: &SuspectTag, history: &SuspectHistory| {
            let is_held = self.held.contains_key(tag);
            (
                is_held,
                history.crashes().len(),
                history.last_report(),
                *tag,
            )
        };
        let histories = self.histories.iter();
        let weakest = histories.min_by_key(|(tag, history)| rank(tag, history));
        let weakest = weakest.map(|(&tag, _)| tag);
        weakest.and_then(|tag| self.histories.remove(&tag));
    }

    /// Finds the suspects to hold. To a part, the crashes of each call that has it count as one.
    fn update_held(&mut self, now: MonoTime) {
        let mut candidates: CrashLists = self
            .histories
            .iter()
            .filter(|(_, history)| history.crashes().len() >= HOLD_CRASHES)
            .map(|(&tag, history)| (tag, history.crashes().to_vec()))
            .collect();
        let calls: Vec<Vec<UpstreamCrash>> = candidates
            .iter()
            .filter(|(tag, crashes)| {
                is_call(**tag) && is_enough(**tag, count_moments(crashes.iter()), crashes.len())
            })
            .map(|(_, crashes)| crashes.clone())
            .collect();
        for (_, crashes) in candidates.iter_mut().filter(|(tag, _)| !is_call(**tag)) {
            let raw = crashes.clone();
            for call in calls.iter().filter(|call| has_all(&raw, call)) {
                count_as_one(crashes, call);
            }
        }
        let held = self.hold_explaining(candidates, now);
        let is_new = |tag: &&SuspectTag| !self.held.contains_key(*tag);
        self.announcements.extend(held.keys().filter(is_new));
        self.held = held;
    }

    /// Returns repeatedly the suspect that explains most of the crashes that no other one of
    /// `candidates` explains, and those alike.
    fn hold_explaining(
        &self,
        mut candidates: CrashLists,
        now: MonoTime,
    ) -> BTreeMap<SuspectTag, HeldSuspect> {
        let mut held = BTreeMap::new();
        while let Some(best) = self.best_candidate(&candidates) {
            let counted = candidates[&best].clone();
            let is_known = self.was_answered(best);
            let alike: Vec<SuspectTag> = candidates
                .iter()
                .filter(|(tag, crashes)| {
                    is_call(**tag) == is_call(best)
                        && has_same_crashes(crashes, &counted)
                        && self.was_answered(**tag) == is_known
                })
                .map(|(&tag, _)| tag)
                .collect();
            for tag in alike {
                candidates.remove(&tag);
                held.insert(tag, self.hold(tag, now));
            }
            let explained = self.histories[&best].crashes();
            for (tag, crashes) in &mut candidates {
                // The crashes of a call that has this part are counted as one already.
                let has_part = is_call(best)
                    && !is_call(*tag)
                    && has_all(self.histories[tag].crashes(), explained);
                if !has_part {
                    crashes.retain(|crash| !contains(explained, crash));
                }
            }
        }
        held
    }

    /// Returns the suspect with the most crashes at different times. A suspect that no upstream is known
    /// to have answered comes before all others, and a call before a part that explains no more.
    fn best_candidate(&self, candidates: &CrashLists) -> Option<SuspectTag> {
        candidates
            .iter()
            .map(|(&tag, crashes)| (count_moments(crashes.iter()), crashes.len(), tag))
            .filter(|&(moments, crashes, tag)| is_enough(tag, moments, crashes))
            .max_by_key(|&(moments, crashes, tag)| {
                let all_moments = self.histories[&tag].moments();
                let is_new = !self.was_answered(tag);
                (is_new, moments, all_moments, is_call(tag), crashes, tag)
            })
            .map(|(.., tag)| tag)
    }

    fn was_answered(&self, tag: SuspectTag) -> bool {
        let history = self.histories.get(&tag);
        history.is_some_and(|history| history.sound_at().is_some())
    }

    fn hold(&self, tag: SuspectTag, now: MonoTime) -> HeldSuspect {
        let history = &self.histories[&tag];
        let failed_trials = history.count_gaps(BASE_HOLD) as u32;
        let time =
            |crash: Option<&UpstreamCrash>| crash.map_or(MonoTime::default(), |crash| crash.at);
        let last_crash = time(history.crashes().last());
        HeldSuspect {
            tag,
            crashes: history.moments(),
            first_crash: time(history.crashes().first()),
            last_crash,
            from: self
                .held
                .get(&tag)
                .map_or(now + OBJECTION_TIME, |held| held.from),
            until: last_crash + (BASE_HOLD * 2u32.pow(failed_trials)).min(MAX_HOLD),
        }
    }
}

fn is_call(tag: SuspectTag) -> bool {
    matches!(tag, SuspectTag::Call(_))
}

/// Whether all crashes of a call are among those of a part, as they are if the call has the part.
fn has_all(part: &[UpstreamCrash], call: &[UpstreamCrash]) -> bool {
    call.iter().all(|crash| contains(part, crash))
}

/// Whether these crashes suffice to hold a suspect.
fn is_enough(tag: SuspectTag, moments: usize, crashes: usize) -> bool {
    moments >= HOLD_CRASHES
        || is_call(tag) && moments >= REPEAT_CRASHES && crashes >= HOLD_CALL_CRASHES
}

/// The crashes that other routers need to hold the suspect too.
fn evidence(history: &SuspectHistory) -> Vec<UpstreamCrash> {
    let crashes = history.crashes();
    if history.moments() >= HOLD_CRASHES {
        return history.latest_moments(HOLD_CRASHES);
    }
    if crashes.len() <= HOLD_CALL_CRASHES {
        return crashes.to_vec();
    }
    // The first one is of another time than the latest.
    let latest = crashes.len() + 1 - HOLD_CALL_CRASHES;
    std::iter::once(crashes[0])
        .chain(crashes[latest..].iter().copied())
        .collect()
}

/// Removes from `crashes` all but the first that `call` contains.
fn count_as_one(crashes: &mut Vec<UpstreamCrash>, call: &[UpstreamCrash]) {
    let mut is_counted = false;
    crashes.retain(|crash| !contains(call, crash) || !std::mem::replace(&mut is_counted, true));
}

/// The routers at which the crashes of a suspect meet.
fn collectors(tag: SuspectTag, routers: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
    let score = |address: &Ipv4Addr| (xxh3_64_with_seed(&address.octets(), tag.hash()), *address);
    let mut ranked = routers.to_vec();
    ranked.sort_unstable_by_key(|address| std::cmp::Reverse(score(address)));
    ranked.truncate(COLLECTORS);
    ranked
}

/// Removes and returns some suspects, as many as fit in a message.
fn take_some(tags: &mut BTreeSet<SuspectTag>) -> Vec<SuspectTag> {
    let rest = tags.iter().nth(MAX_NOTICE_SUSPECTS).copied();
    let rest = rest.map_or_else(BTreeSet::new, |first| tags.split_off(&first));
    std::mem::replace(tags, rest).into_iter().collect()
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
/// order on which all agree, because not every router receives calls with the suspect.
fn is_trial_turn<I>(held: &HeldSuspect, own: Ipv4Addr, routers: I, now: MonoTime) -> bool
where
    I: Iterator<Item = Ipv4Addr>,
{
    let turn = now.since(held.until).as_secs() / TRIAL_TURN.as_secs();
    let seed = held.tag.hash() ^ turn;
    let score = |address: Ipv4Addr| (xxh3_64_with_seed(&address.octets(), seed), address);
    let first = routers.map(score).max();
    first.is_none_or(|first| first <= score(own))
}

fn has_same_crashes(left: &[UpstreamCrash], right: &[UpstreamCrash]) -> bool {
    left.iter().all(|crash| contains(right, crash))
        && right.iter().all(|crash| contains(left, crash))
}

fn contains(crashes: &[UpstreamCrash], crash: &UpstreamCrash) -> bool {
    crashes.iter().any(|known| known.is_same(crash))
}
