//! Which upstreams have cached a part of a prompt, as evidence of the version that began a stream.
//!
//! After a kill of all routers no record of a stream is left, but its upstream still has the prompt
//! cached. The last part of a prompt may belong to a session that several versions have served, so a
//! version is certain only once every registered upstream of another version has answered that it lacks
//! the part.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::ids::{PartTag, ServiceKey, UpstreamStart, VersionTag};
use crate::mono::MonoTime;

/// Number of parts in all lists of one router. An upstream whose list exceeds it counts as not heard.
pub const MAX_PARTS: usize = 131_072;

/// Number of parts in one question.
pub const MAX_QUESTION_PARTS: usize = 32;

/// Number of lists in one message, which fits into a datagram with all parts of a question.
pub const MAX_MESSAGE_LISTS: usize = 32;

/// Number of parts of which it is known that several versions have them, or one at another router.
const MAX_HOLDINGS: usize = 32_768;

/// One start of an upstream that may have begun streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartSource {
    pub start: UpstreamStart,
    pub service: ServiceKey,
    pub version: VersionTag,
}

/// What the list of an upstream says about the parts of a question.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListReport {
    pub start: UpstreamStart,
    pub version: VersionTag,
    /// When the upstream was asked, on this router's clock.
    pub asked_at: MonoTime,
    /// The parts of the question that the upstream has.
    pub held: Vec<PartTag>,
}

/// A message of a router that answers a question for parts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartReport {
    /// The parts of the question.
    pub asked: Vec<PartTag>,
    pub lists: Vec<ListReport>,
    /// Number of messages of the answer.
    pub messages: usize,
}

/// What the lists of upstreams show about a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartVerdict {
    /// Upstreams of this version have the part, and all others lack it.
    Certain(VersionTag),
    /// Upstreams of several versions have the part.
    Several,
    /// No upstream has the part.
    Missing,
    /// An upstream that could change the verdict, or a router that was asked, has not answered.
    Open,
}

/// The evidence behind a [`PartVerdict`], for the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PartEvidence {
    /// Number of versions whose upstreams have the part.
    pub versions: usize,
    /// Number of upstreams that have answered.
    pub heard: usize,
    /// Number of registered upstreams that have not.
    pub unheard: usize,
    /// Number of routers that were asked and have not answered.
    pub silent: usize,
    /// Age of the oldest answer of an upstream.
    pub oldest: Duration,
}

#[derive(Clone, Debug)]
struct UpstreamList {
    version: VersionTag,
    asked_at: MonoTime,
    parts: HashSet<PartTag>,
}

/// A question for a part to other routers.
#[derive(Clone, Debug, Default)]
struct PartLookup {
    /// Routers that have not answered in full, with the number of messages that have arrived; `None`
    /// before the question is sent.
    awaited: Option<BTreeMap<Ipv4Addr, usize>>,
    /// When the upstreams whose lists other routers have were asked.
    heard: BTreeMap<UpstreamStart, MonoTime>,
    /// Number of calls that wait for the answer.
    callers: usize,
}

/// The lists of cached parts that this router has asked for, and its questions for those of others.
#[derive(Clone, Debug, Default)]
pub struct PartLists {
    /// The registered upstreams.
    sources: BTreeMap<UpstreamStart, PartSource>,
    /// Also has those of upstreams that are gone.
    lists: BTreeMap<UpstreamStart, UpstreamList>,
    /// Invariant: the number of parts in `lists`, at most [`MAX_PARTS`].
    part_count: usize,
    /// Versions whose upstreams have a part. What several versions had is never certain again, even
    /// if a part has yielded since.
    holdings: HashMap<PartTag, BTreeSet<VersionTag>>,
    lookups: HashMap<PartTag, PartLookup>,
    /// When the upstreams are expected to have answered.
    answers_due: MonoTime,
    /// Whether streams of before the start may still be taken up.
    is_active: bool,
}

impl PartLists {
    /// Whether lists are evidence: streams of before the router's start may still be taken up.
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// Records the upstreams that are registered at present.
    pub fn record_sources<I: Iterator<Item = PartSource>>(&mut self, present: I) {
        self.is_active = true;
        self.sources = present.map(|source| (source.start, source)).collect();
    }

    /// Forgets everything: no stream of before the start can be taken up any longer.
    pub fn end(&mut self) {
        *self = Self {
            lookups: std::mem::take(&mut self.lookups),
            ..Self::default()
        };
    }

    pub fn has_list(&self, start: UpstreamStart) -> bool {
        self.lists.contains_key(&start)
    }

    /// Number of registered upstreams whose lists this router has, and number of those whose it lacks.
    pub fn list_counts(&self) -> (usize, usize) {
        let heard = self.sources.keys().filter(|start| self.has_list(**start));
        let heard = heard.count();
        (heard, self.sources.len() - heard)
    }

    /// Records the parts that an upstream had cached when it was asked. Returns whether there was room
    /// for them.
    pub fn insert_list(
        &mut self,
        (start, version): (UpstreamStart, VersionTag),
        parts: Vec<PartTag>,
        asked_at: MonoTime,
    ) -> bool {
        self.remove_list(start);
        let parts: HashSet<PartTag> = parts.into_iter().collect();
        if self.part_count + parts.len() > MAX_PARTS {
            return false;
        }
        self.part_count += parts.len();
        let list = UpstreamList {
            version,
            asked_at,
            parts,
        };
        self.lists.insert(start, list);
        true
    }

    fn remove_list(&mut self, start: UpstreamStart) {
        if let Some(list) = self.lists.remove(&start) {
            self.part_count -= list.parts.len();
        }
    }

    /// Forgets the lists of registered upstreams, since a router is lost whose streams may have begun there
    /// later.
    pub fn drop_lists(&mut self) {
        let sources = &self.sources;
        self.lists.retain(|start, _| !sources.contains_key(start));
        self.part_count = self.lists.values().map(|list| list.parts.len()).sum();
    }

    /// Sets when the upstreams are expected to have answered.
    pub fn set_answers_due(&mut self, due: MonoTime) {
        self.answers_due = due;
    }

    /// When the upstreams are expected to have answered; in the past if they are not asked.
    pub fn answers_due(&self) -> MonoTime {
        self.answers_due
    }

    /// Starts a question to other routers, unless one is in progress.
    pub fn begin_lookup(&mut self, part: PartTag) {
        self.lookups.entry(part).or_default().callers += 1;
    }

    /// Ends the question of one call.
    pub fn end_lookup(&mut self, part: PartTag) {
        if let Some(lookup) = self.lookups.get_mut(&part) {
            lookup.callers -= 1;
            if lookup.callers == 0 {
                self.lookups.remove(&part);
            }
        }
    }

    /// Returns the parts to ask other routers for.
    pub fn questions(&self) -> Vec<PartTag> {
        let lookups = self.lookups.iter();
        let unasked = lookups.filter(|(_, lookup)| lookup.awaited.is_none());
        unasked.map(|(&part, _)| part).collect()
    }

    /// Records which routers are asked for a part.
    pub fn set_asked(&mut self, part: PartTag, routers: &[Ipv4Addr]) {
        if let Some(lookup) = self.lookups.get_mut(&part) {
            lookup.awaited = Some(routers.iter().map(|&router| (router, 0)).collect());
        }
    }

    /// Merges a message of a router that was asked.
    pub fn merge(&mut self, router: Ipv4Addr, report: &PartReport) {
        for part in &report.asked {
            let Some(lookup) = self.lookups.get_mut(part) else {
                continue;
            };
            for list in &report.lists {
                lookup.heard.insert(list.start, list.asked_at);
            }
            let Some(awaited) = &mut lookup.awaited else {
                continue;
            };
            if let Some(arrived) = awaited.get_mut(&router) {
                *arrived += 1;
                if *arrived >= report.messages {
                    awaited.remove(&router);
                }
            }
        }
        for list in &report.lists {
            for &part in &list.held {
                self.record_holding(part, list.version);
            }
        }
    }

    fn record_holding(&mut self, part: PartTag, version: VersionTag) {
        if self.holdings.len() < MAX_HOLDINGS || self.holdings.contains_key(&part) {
            self.holdings.entry(part).or_default().insert(version);
        }
    }

    /// Answers the question of another router.
    pub fn report(&self, asked: &[PartTag]) -> Vec<PartReport> {
        let lists: Vec<ListReport> = self
            .lists
            .iter()
            .map(|(&start, list)| ListReport {
                start,
                version: list.version,
                asked_at: list.asked_at,
                held: asked
                    .iter()
                    .filter(|part| list.parts.contains(part))
                    .copied()
                    .collect(),
            })
            .collect();
        let messages = lists.len().div_ceil(MAX_MESSAGE_LISTS).max(1);
        let mut lists = lists.chunks(MAX_MESSAGE_LISTS);
        let report = |_| PartReport {
            asked: asked.to_vec(),
            lists: lists.next().unwrap_or_default().to_vec(),
            messages,
        };
        (0..messages).map(report).collect()
    }

    /// The versions whose upstreams have a part, as far as this router knows.
    fn versions(&self, part: PartTag) -> BTreeSet<VersionTag> {
        let own = self.lists.values();
        let own = own.filter(|list| list.parts.contains(&part));
        let told = self.holdings.get(&part).into_iter().flatten().copied();
        own.map(|list| list.version).chain(told).collect()
    }

    /// The registered upstreams of `services` that have not answered whether they have a part.
    fn unheard(&self, part: PartTag, services: &[ServiceKey]) -> impl Iterator<Item = PartSource> {
        let lookup = self.lookups.get(&part);
        let sources = self.sources.values().copied();
        sources.filter(move |source| {
            let is_told = lookup.is_some_and(|lookup| lookup.heard.contains_key(&source.start));
            services.contains(&source.service) && !is_told && !self.has_list(source.start)
        })
    }

    /// Returns which version the upstreams of `services` show to have begun the stream of a prompt whose
    /// last part is `part`.
    pub fn verdict(&self, part: PartTag, services: &[ServiceKey]) -> PartVerdict {
        if !self.is_active {
            return PartVerdict::Missing;
        }
        let versions = self.versions(part);
        if versions.len() > 1 {
            return PartVerdict::Several;
        }
        let version = versions.first().copied();
        let awaited = self.lookups.get(&part).map(|lookup| &lookup.awaited);
        let is_answered = matches!(awaited, Some(Some(routers)) if routers.is_empty());
        let mut unheard = self.unheard(part, services);
        // An upstream of the same version changes nothing.
        if !is_answered || unheard.any(|source| Some(source.version) != version) {
            return PartVerdict::Open;
        }
        version.map_or(PartVerdict::Missing, PartVerdict::Certain)
    }

    /// Returns the evidence behind [`PartLists::verdict`].
    pub fn evidence(&self, part: PartTag, services: &[ServiceKey], now: MonoTime) -> PartEvidence {
        let lookup = self.lookups.get(&part);
        let awaited = lookup.and_then(|lookup| lookup.awaited.as_ref());
        let told = lookup.into_iter().flat_map(|lookup| &lookup.heard);
        let own = self.lists.iter();
        let own = own.map(|(start, list)| (*start, list.asked_at));
        let mut heard: BTreeMap<UpstreamStart, MonoTime> = own.collect();
        for (&start, &asked_at) in told {
            let latest = heard.entry(start).or_insert(asked_at);
            *latest = asked_at.max(*latest);
        }
        let oldest = heard.values().min().map(|&asked_at| now.since(asked_at));
        PartEvidence {
            versions: self.versions(part).len(),
            heard: heard.len(),
            unheard: self.unheard(part, services).count(),
            silent: awaited.map_or(0, BTreeMap::len),
            oldest: oldest.unwrap_or_default(),
        }
    }
}
