//! The crashes and answers of one suspect, see [`crate::policy::suspect_work`].

use std::time::Duration;

use crate::mono::MonoTime;
use crate::policy::latest_loads::UpstreamTag;

/// Crashes within this time count as one. VMs that fail together do so for a reason of their own.
const CRASH_SPACING: Duration = Duration::from_millis(300);

/// Reports about one upstream within this time concern the same crash: no upstream restarts faster.
const SAME_CRASH_TIME: Duration = Duration::from_millis(1500);

/// An answer this long before a crash still shows that the suspect did not cause it.
const SOUND_MARGIN: Duration = Duration::from_secs(1);

/// Number of crashes in memory. More would not prolong the hold of the suspect much.
const MAX_CRASHES: usize = 8;

/// The crash of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamCrash {
    pub upstream: UpstreamTag,
    pub at: MonoTime,
}

impl UpstreamCrash {
    /// Whether two routers may have reported the same crash.
    pub fn is_same(&self, other: &Self) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        self.upstream == other.upstream && apart <= SAME_CRASH_TIME
    }
}

/// The crashes that one suspect may have caused, and the latest answer to it.
#[derive(Clone, Debug, Default)]
pub struct SuspectHistory {
    /// Crashes after the latest answer, in order of time.
    ///
    /// Invariant: at most [`MAX_CRASHES`], all later than `sound_at` + [`SOUND_MARGIN`].
    crashes: Vec<UpstreamCrash>,
    /// Time of the latest answer known.
    sound_at: Option<MonoTime>,
    /// Time of the latest crash that was reported, whether or not an answer has cleared the suspect.
    last_report: MonoTime,
    /// When other routers should hear of the suspect again: its history changed, or another router has
    /// not heard of the latest answer.
    news_at: MonoTime,
}

impl SuspectHistory {
    /// Crashes after the latest answer, in order of time.
    pub fn crashes(&self) -> &[UpstreamCrash] {
        &self.crashes
    }

    /// Time of the latest answer known.
    pub fn sound_at(&self) -> Option<MonoTime> {
        self.sound_at
    }

    /// Time of the latest crash that was reported.
    pub fn last_report(&self) -> MonoTime {
        self.last_report
    }

    /// When there was news for other routers.
    pub fn news_at(&self) -> MonoTime {
        self.news_at
    }

    /// Adds a crash that was reported at `now`, unless it is known or the suspect was answered after
    /// it. Returns whether the history has changed.
    pub fn add_crash(&mut self, crash: UpstreamCrash, now: MonoTime) -> bool {
        self.last_report = self.last_report.max(crash.at);
        if self.sound_at.is_some_and(|sound| is_cleared(&crash, sound)) {
            self.news_at = now;
            return false;
        }
        if self.crashes.iter().any(|known| known.is_same(&crash)) {
            return false;
        }
        self.news_at = now;
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.remove_closest();
        }
        true
    }

    /// Removes the crash that follows another one soonest, so that those that remain are as far apart
    /// as possible. The first and the last one stay.
    fn remove_closest(&mut self) {
        let gap = |&index: &usize| self.crashes[index].at.since(self.crashes[index - 1].at);
        let closest = (1..self.crashes.len() - 1).min_by_key(gap);
        closest.map(|index| self.crashes.remove(index));
    }

    /// Records an answer that was reported at `now` and clears the suspect of earlier crashes. Returns
    /// whether crashes were removed.
    pub fn record_sound(&mut self, at: MonoTime, now: MonoTime) -> bool {
        if self.sound_at.is_some_and(|known| known >= at) {
            return false;
        }
        self.sound_at = Some(at);
        let before = self.crashes.len();
        self.crashes.retain(|crash| !is_cleared(crash, at));
        let changed = self.crashes.len() < before;
        if changed {
            self.news_at = now;
        }
        changed
    }

    /// The latest crashes at different times, at most `count`.
    pub fn latest_moments(&self, count: usize) -> Vec<UpstreamCrash> {
        let mut latest: Vec<UpstreamCrash> = Vec::new();
        for crash in self.crashes.iter().rev() {
            let apart = latest
                .last()
                .is_none_or(|last| last.at.since(crash.at) >= CRASH_SPACING);
            if apart && latest.len() < count {
                latest.push(*crash);
            }
        }
        latest
    }

    /// Number of times without a crash that were at least `span` long, between two crashes.
    pub fn count_gaps(&self, span: Duration) -> usize {
        let pairs = self.crashes.windows(2);
        let gaps = pairs.filter(|pair| pair[1].at.since(pair[0].at) >= span);
        gaps.count()
    }

    /// Number of crashes at different times.
    pub fn moments(&self) -> usize {
        count_moments(self.crashes.iter())
    }
}

fn is_cleared(crash: &UpstreamCrash, sound: MonoTime) -> bool {
    crash.at <= sound + SOUND_MARGIN
}

/// Number of crashes at least [`CRASH_SPACING`] apart; `crashes` are in order of time.
pub fn count_moments<'a, I: Iterator<Item = &'a UpstreamCrash>>(crashes: I) -> usize {
    let mut moments = 0;
    let mut counted = MonoTime::default();
    for crash in crashes {
        if moments == 0 || crash.at.since(counted) >= CRASH_SPACING {
            moments += 1;
            counted = crash.at;
        }
    }
    moments
}
