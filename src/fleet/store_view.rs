//! Last known content of the configuration store, received from the store itself or from peers.
//!
//! Each entry carries the state of the store at its last change, so copies from any source are
//! merged by taking the newer one. The configuration is ordered by its own version: a store that
//! was restored from an older copy lists an older one for a while.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::fleet::cached_entry::{CachedEntry, EntryState, ListingVerdict};
use crate::fleet::evacuation_table::{EvacuationSet, EvacuationTable};
use crate::fleet::renewal_outage::{EXPIRY_GRACE, RenewalOutage, StoreFailure};
use crate::fleet::store_stamp::{StoreRevision, StoreStamp};
use crate::fleet::upstream_entry::{StartTime, UpstreamEntry};
use crate::fleet::version_history::{HISTORY_SPAN, HistoryReport, VersionHistory, history_time};
use crate::ids::{DataCenterId, PartTag};
use crate::mono::MonoTime;
use crate::route::{ConfigVersion, RouteTable};

/// How long an entry is not used that a restored store lists though it was removed before. A store
/// drops entries whose upstreams are gone after three of their check-ins, well within this time.
const WITHHOLD_SPAN: Duration = Duration::from_secs(10);

/// How long removals are retained for peers whose view is older.
const REMOVAL_RETENTION: Duration = Duration::from_mins(1);

/// Maximum number of faults logged for one configuration; the `check` command shows all.
const MAX_LOGGED_FAULTS: usize = 10;

/// Maximum number of entries logged for one merge. The line about the merge counts all.
pub const MAX_LOGGED_ENTRIES: usize = 20;

/// A document in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreItem {
    pub key: String,
    /// The undecoded content.
    pub value: Bytes,
    /// State of the store at its last change, or in the era in which it was read.
    pub stamp: StoreStamp,
}

/// A change in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreChange {
    /// A document was written.
    Written(StoreItem),
    /// A peer knew an entry removed before the store was restored, which lists it again.
    Withheld {
        item: StoreItem,
        /// How much longer the entry is not used.
        span: Duration,
    },
    /// A document was removed.
    Removed {
        key: String,
        /// State of the store at the removal.
        stamp: StoreStamp,
        /// How much longer the entry stays in use, if the removal may be an expiry; otherwise zero.
        grace: Duration,
    },
}

impl StoreChange {
    /// Returns the change as it holds `span` after it was sent.
    #[must_use]
    pub fn aged(mut self, span: Duration) -> Self {
        if let Self::Removed { grace, .. } = &mut self {
            *grace = grace.saturating_sub(span);
        }
        self
    }

    fn key(&self) -> &str {
        match self {
            Self::Written(item) | Self::Withheld { item, .. } => &item.key,
            Self::Removed { key, .. } => key,
        }
    }
}

/// All documents of the store in one state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreSnapshot {
    /// State of the store when the read began.
    pub stamp: StoreStamp,
    pub items: Vec<StoreItem>,
}

/// Decodes documents of the store. The platform supplies the implementation.
pub trait DocumentCodec {
    /// The key of the configuration.
    fn config_key(&self) -> &str;

    /// Decodes the configuration; the error names the invalid field.
    fn decode_config(&self, value: &Bytes) -> anyhow::Result<RouteTable>;

    /// Decodes the entry of an upstream; `None` if `key` is not the key of an entry.
    fn decode_entry(&self, key: &str, value: &Bytes) -> Option<anyhow::Result<UpstreamEntry>>;

    /// Decodes the key that evacuates a data centre while it is set, whatever its value; `None` if `key`
    /// is not such a key, an error if it names no data centre.
    fn decode_evacuation(&self, _key: &str) -> Option<anyhow::Result<DataCenterId>> {
        None
    }

    /// The path at which upstreams list the parts of prompts that they have cached; `None` if they
    /// don't.
    fn cached_parts_path(&self) -> Option<&'static str> {
        None
    }

    /// Decodes such a list.
    fn decode_cached_parts(&self, _body: &Bytes) -> anyhow::Result<CachedParts> {
        Ok(CachedParts::default())
    }
}

/// The parts of prompts that an upstream has cached.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CachedParts {
    pub parts: Vec<PartTag>,
    /// The start of the upstream that made the list, if it says so.
    pub started: Option<StartTime>,
}

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct CachedConfig {
    /// The undecoded document, which is sent to peers.
    pub value: Bytes,
    /// State of the store at the last change of the document.
    pub stamp: StoreStamp,
    pub table: Arc<RouteTable>,
}

/// Which parts of the view a merge changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MergeEffect {
    /// Whether a newer configuration is in force.
    pub config: bool,
    /// Whether the set of upstreams or an entry changed.
    pub upstreams: bool,
    /// Whether a data centre was evacuated or taken back into use.
    pub evacuations: bool,
}

impl MergeEffect {
    /// Adds the changes of another merge.
    pub fn join(&mut self, other: Self) {
        self.config |= other.config;
        self.upstreams |= other.upstreams;
        self.evacuations |= other.evacuations;
    }

    fn of_evacuations(evacuations: bool) -> Self {
        Self {
            evacuations,
            ..Self::default()
        }
    }
}

/// The merged content of the store as last reported by the store and by peers.
#[derive(Debug)]
pub struct StoreView<C> {
    codec: C,
    /// Invariant: every change up to this state has been merged.
    stamp: StoreStamp,
    /// Latest known era, with the revision at its first read: documents up to it may be older than
    /// the era.
    base: StoreStamp,
    config: Option<CachedConfig>,
    /// State of the store at the last change of the configuration that was refused last.
    refused_config: Option<StoreStamp>,
    entries: BTreeMap<String, CachedEntry>,
    evacuations: EvacuationTable,
    /// Latest state at a removal that was discarded. Changes since an earlier state are no longer
    /// complete.
    discarded: StoreStamp,
    /// Number of entries that the merge in progress may still log. A whole fleet of upstreams that
    /// is read at once would fill the log of each router.
    log_quota: usize,
    /// The same for entries that can't be decoded.
    unusable_quota: usize,
    /// Number of entries that can't be decoded and that the merge in progress didn't log.
    unlogged: usize,
    outage: RenewalOutage,
    history: VersionHistory,
}

impl<C: DocumentCodec> StoreView<C> {
    /// Creates an empty view, for upstreams that serve for two seconds after they are removed.
    pub fn new(codec: C) -> Self {
        Self {
            codec,
            stamp: StoreStamp::default(),
            base: StoreStamp::default(),
            config: None,
            refused_config: None,
            entries: BTreeMap::new(),
            evacuations: EvacuationTable::default(),
            discarded: StoreStamp::default(),
            log_quota: MAX_LOGGED_ENTRIES,
            unusable_quota: MAX_LOGGED_ENTRIES,
            unlogged: 0,
            outage: RenewalOutage::default(),
            history: VersionHistory::default(),
        }
    }

    /// Sets how long upstreams serve after the removal of their entries.
    pub fn set_drain_time(&mut self, drain_time: Duration) {
        self.outage.set_drain_time(drain_time);
    }

    /// The state of the store up to which every change has been merged.
    pub fn stamp(&self) -> StoreStamp {
        self.stamp
    }

    /// The revision up to which documents may be older than the era of [`StoreView::stamp`].
    pub fn base_revision(&self) -> StoreRevision {
        if self.base.era == self.stamp.era {
            self.base.revision
        } else {
            // A later era has begun, of which not all documents have been read.
            self.stamp.revision
        }
    }

    pub fn codec(&self) -> &C {
        &self.codec
    }

    /// The key of the configuration.
    pub fn config_key(&self) -> &str {
        self.codec.config_key()
    }

    /// The configuration in force, or `None` before the first valid one.
    pub fn config(&self) -> Option<&CachedConfig> {
        self.config.as_ref()
    }

    /// The version of the configuration in force, or zero before the first one.
    pub fn config_version(&self) -> ConfigVersion {
        self.config
            .as_ref()
            .map_or(ConfigVersion::default(), |config| config.table.version)
    }

    /// The upstreams in use, including draining ones and those that may have expired, but without
    /// those whose addresses others have: their entries have not expired yet.
    pub fn upstreams(&self) -> Vec<Arc<UpstreamEntry>> {
        let mut holders: HashMap<SocketAddr, Vec<&CachedEntry>> = HashMap::new();
        for cached in self.entries.values() {
            if let EntryState::Present(_, Some(entry)) = &cached.state {
                holders.entry(entry.address).or_default().push(cached);
            }
        }
        let is_usable = |cached: &&CachedEntry| {
            let address = cached.state.usable().map(|entry| entry.address);
            let others = address.and_then(|address| holders.get(&address));
            !others.is_some_and(|others| others.iter().any(|other| other.succeeds(cached)))
        };
        let usable = |cached: &CachedEntry| cached.state.usable().cloned();
        let entries = self.entries.values().filter(is_usable);
        entries.filter_map(usable).collect()
    }

    /// The evacuated data centres.
    pub fn evacuations(&self) -> EvacuationSet {
        self.evacuations.to_set()
    }

    /// The known changes of evacuations.
    pub fn evacuation_table(&self) -> &EvacuationTable {
        &self.evacuations
    }

    /// Whether all evacuations up to [`StoreView::stamp`] are known.
    pub fn knows_evacuations(&self) -> bool {
        self.evacuations.stamp() >= self.stamp
    }

    /// State of the store up to which all changes are known, those of evacuations included.
    pub fn covered_stamp(&self) -> StoreStamp {
        self.stamp.min(self.evacuations.stamp())
    }

    /// Merges the changes of evacuations among those of a peer that passes them on. They are complete up
    /// to `known`, together with what this router knew if they are not `full`. Called before the
    /// other changes of the peer are merged.
    pub fn merge_peer_evacuations(
        &mut self,
        changes: &[StoreChange],
        full: bool,
        known: StoreStamp,
        now: MonoTime,
    ) -> MergeEffect {
        self.evacuations.begin_log();
        let mut effect = MergeEffect::default();
        for change in changes {
            let merged = match change {
                StoreChange::Removed { key, stamp, .. } => {
                    self.withdraw_evacuation(key, *stamp, now)
                }
                StoreChange::Written(item) | StoreChange::Withheld { item, .. } => {
                    self.write_evacuation(item)
                }
            };
            effect.join(merged.unwrap_or_default());
        }
        if full {
            let listed = changes.iter().map(StoreChange::key).collect();
            let has_ended = self.evacuations.end_listing(&listed, known, now);
            effect.join(MergeEffect::of_evacuations(has_ended));
        }
        self.evacuations.advance(known);
        effect
    }

    /// Merges a written document if it evacuates a data centre; `None` if it is another one. A page of
    /// the store may be as outdated as a peer: its read may have begun before the key was removed.
    fn write_evacuation(&mut self, item: &StoreItem) -> Option<MergeEffect> {
        let changed = match self.codec.decode_evacuation(&item.key)? {
            Ok(_) if self.evacuations.is_outdated(item) => false,
            Ok(data_center) => {
                let predates_era = self.may_predate_era(item.stamp);
                let (key, stamp) = (item.key.as_str(), item.stamp);
                self.evacuations
                    .write(key, &data_center, stamp, predates_era)
            }
            Err(error) => {
                self.evacuations.ignore(&item.key, &error.to_string());
                false
            }
        };
        Some(MergeEffect::of_evacuations(changed))
    }

    /// Merges a removal if it ends the evacuation of a data centre; `None` if it is of another document.
    fn withdraw_evacuation(
        &mut self,
        key: &str,
        stamp: StoreStamp,
        now: MonoTime,
    ) -> Option<MergeEffect> {
        let changed = if let Ok(data_center) = self.codec.decode_evacuation(key)? {
            self.evacuations.withdraw(key, &data_center, stamp, now)
        } else {
            self.evacuations.forget_ignored(key);
            false
        };
        Some(MergeEffect::of_evacuations(changed))
    }

    /// The software versions that were in use lately.
    pub fn history(&self) -> &VersionHistory {
        &self.history
    }

    /// Merges what a peer knows of the versions in use, without changes of the store.
    pub fn merge_history(&mut self, report: &HistoryReport) {
        self.history.merge(report);
    }

    /// Merges what a peer knows of the versions in use, after its changes were merged; `full` and
    /// `known_until` are as in [`VersionHistory::merge_with_changes`]. Without a report, changes may
    /// have been missed.
    pub fn merge_peer_history(
        &mut self,
        report: Option<&HistoryReport>,
        full: bool,
        known_until: MonoTime,
        now: MonoTime,
    ) {
        match report {
            Some(report) => self.history.merge_with_changes(report, full, known_until),
            None => self.history.record_gap(history_time(now)),
        }
    }

    /// Merges all changes of the store from its beginning up to `until`. Returns whether they account for
    /// each entry and each removal: then this router knows of all versions that were in use.
    pub fn merge_whole_history(
        &mut self,
        changes: &[StoreChange],
        until: StoreStamp,
        now: MonoTime,
    ) -> bool {
        let mut written = BTreeSet::new();
        for change in changes {
            let StoreChange::Written(item) = change else {
                continue;
            };
            written.insert(item.key.as_str());
            if let Some(Ok(entry)) = self.codec.decode_entry(&item.key, &item.value) {
                self.history.record_entry(&entry, history_time(now));
            }
        }
        let removed = changes
            .iter()
            .filter(|change| matches!(change, StoreChange::Removed { .. }))
            .map(StoreChange::key);
        let listed = self.entries.iter();
        let listed = listed.filter(|(_, cached)| cached.stamp <= until && cached.state.is_listed());
        let is_whole = listed
            .map(|(key, _)| key.as_str())
            .chain(removed)
            .all(|key| written.contains(key));
        if is_whole {
            self.history
                .extend_coverage(history_time(now).saturating_sub(HISTORY_SPAN));
        }
        is_whole
    }

    /// Number of entries that are not used because they were removed before the store was restored.
    pub fn withheld_count(&self) -> usize {
        let withheld = |cached: &&CachedEntry| matches!(cached.state, EntryState::Withheld(..));
        self.entries.values().filter(withheld).count()
    }

    /// Records a failed request to the store, or a pause of this process.
    pub fn store_failed(&mut self, failure: StoreFailure, now: MonoTime) {
        self.outage.record_failure(failure, now);
    }

    /// Records a successful response of the store, before its content is merged.
    pub fn store_responded(&mut self, now: MonoTime) {
        self.outage.record_response(now);
    }

    /// Records the first read of an era at `base`. If an earlier era was known, the store was
    /// restored: entries that it lacks may be registered again, as after an outage.
    fn begin_era(&mut self, base: StoreStamp, now: MonoTime) {
        if base.era <= self.base.era {
            return;
        }
        self.base = base;
        if self.stamp != StoreStamp::default() {
            self.outage.record_restore(now);
        }
    }

    /// Whether a document may have been written before the store was restored.
    fn may_predate_era(&self, stamp: StoreStamp) -> bool {
        stamp <= self.base || stamp.era > self.base.era
    }

    /// Merges a change that the store reported.
    pub fn merge_change(&mut self, change: StoreChange, now: MonoTime) -> MergeEffect {
        let grace = self.outage.expiry_grace(now);
        match change {
            StoreChange::Removed { key, stamp, .. } => self.remove(&key, stamp, grace, now),
            StoreChange::Written(item) | StoreChange::Withheld { item, .. } => {
                self.write(item, Duration::ZERO, now)
            }
        }
    }

    /// Merges changes that the store reported, which are complete up to `stamp`.
    pub fn merge_changes(
        &mut self,
        changes: Vec<StoreChange>,
        stamp: StoreStamp,
        now: MonoTime,
    ) -> MergeEffect {
        self.begin_log();
        let mut effect = MergeEffect::default();
        for change in changes {
            effect.join(self.merge_change(change, now));
        }
        self.end_log();
        self.advance(stamp);
        // A later era is read as a whole first.
        if self.evacuations.stamp().era == stamp.era {
            self.evacuations.advance(stamp);
        }
        effect
    }

    /// Merges documents of the store before all of them were read. `stamp` is the state of the
    /// store at the read.
    pub fn merge_page(
        &mut self,
        items: Vec<StoreItem>,
        stamp: StoreStamp,
        now: MonoTime,
    ) -> MergeEffect {
        self.begin_era(stamp, now);
        self.begin_log();
        let mut effect = MergeEffect::default();
        for item in items {
            effect.join(self.write(item, Duration::ZERO, now));
        }
        self.end_log();
        effect
    }

    /// Merges all documents of a peer, which together are complete up to `stamp`. Entries that are
    /// not among them were removed, but for those that this router knows from later states. `base`
    /// is the peer's.
    pub fn merge_peer_snapshot(
        &mut self,
        changes: Vec<StoreChange>,
        stamp: StoreStamp,
        base: StoreStamp,
        now: MonoTime,
    ) -> MergeEffect {
        let grace = if stamp.era > self.stamp.era {
            EXPIRY_GRACE
        } else {
            Duration::ZERO
        };
        self.begin_era(base, now);
        let listed: BTreeSet<&str> = changes.iter().map(StoreChange::key).collect();
        let missing = self.listed_except(&listed, stamp);
        let mut effect = self.merge_peer(changes, stamp, now);
        for key in missing {
            effect.join(self.remove(&key, stamp, grace, now));
        }
        self.discarded = self.discarded.max(stamp);
        effect
    }

    /// Keys of the listed entries that are not newer than `stamp` and not among `listed`.
    fn listed_except(&self, listed: &BTreeSet<&str>, stamp: StoreStamp) -> Vec<String> {
        self.entries
            .iter()
            .filter(|(key, cached)| {
                cached.stamp <= stamp && cached.state.is_listed() && !listed.contains(key.as_str())
            })
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Merges changes from a peer, which together are complete up to `stamp`.
    pub fn merge_peer(
        &mut self,
        changes: Vec<StoreChange>,
        stamp: StoreStamp,
        now: MonoTime,
    ) -> MergeEffect {
        self.begin_log();
        let mut effect = MergeEffect::default();
        for change in changes {
            effect.join(match change {
                // Merged by `merge_peer_evacuations`, where the peer knows them. A peer of an older
                // build passes removals on, but not that the key was set again later.
                change if self.codec.decode_evacuation(change.key()).is_some() => {
                    MergeEffect::default()
                }
                StoreChange::Removed { key, stamp, grace } => {
                    self.remove(&key, stamp, grace.min(EXPIRY_GRACE), now)
                }
                StoreChange::Written(item) | StoreChange::Withheld { item, .. }
                    if self.is_removed(&item) =>
                {
                    MergeEffect::default()
                }
                StoreChange::Written(item) => self.write(item, Duration::ZERO, now),
                StoreChange::Withheld { item, span } => {
                    self.write(item, span.min(WITHHOLD_SPAN), now)
                }
            });
        }
        self.end_log();
        self.advance(stamp);
        effect
    }

    /// Whether an entry of a peer was removed by the state up to which this router has every change.
    fn is_removed(&self, item: &StoreItem) -> bool {
        item.key != self.codec.config_key()
            && item.stamp.era == self.stamp.era
            && item.stamp <= self.stamp
            && !self.entries.contains_key(&item.key)
    }

    /// Merges a full snapshot; entries that it doesn't contain were removed.
    pub fn merge_snapshot(&mut self, snapshot: StoreSnapshot, now: MonoTime) -> MergeEffect {
        let StoreSnapshot { stamp, items } = snapshot;
        if self.stamp == StoreStamp::default() || self.stamp != stamp {
            self.history.record_gap(history_time(now));
        }
        self.begin_era(stamp, now);
        let grace = self.outage.expiry_grace(now);
        let listed: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let missing = self.listed_except(&listed, stamp);
        let keys: Vec<String> = self.evacuation_keys(&items);
        let mut effect = self.merge_page(items, stamp, now);
        let listed = keys.iter().map(String::as_str).collect();
        let changed = self.evacuations.end_listing(&listed, stamp, now);
        effect.join(MergeEffect::of_evacuations(changed));
        for key in missing {
            effect.join(self.remove(&key, stamp, grace, now));
        }
        // What was written and removed again since the last state is unknown.
        self.discarded = self.discarded.max(stamp);
        self.advance(stamp);
        effect
    }

    fn evacuation_keys(&self, items: &[StoreItem]) -> Vec<String> {
        let keys = items.iter().map(|item| &item.key);
        keys.filter(|key| self.codec.decode_evacuation(key).is_some())
            .cloned()
            .collect()
    }

    /// Raises the state; the caller has merged all changes up to `stamp`.
    fn advance(&mut self, stamp: StoreStamp) {
        self.stamp = self.stamp.max(stamp);
    }

    /// Removes entries whose grace period has ended, uses withheld ones that the store still lists,
    /// and discards old records of removals.
    pub fn tick(&mut self, now: MonoTime) -> MergeEffect {
        let mut effect = MergeEffect::default();
        let history_now = history_time(now);
        for (key, cached) in &mut self.entries {
            if let Some(entry) = cached.state.usable() {
                self.history.record_entry(entry, history_now);
            }
            match &cached.state {
                EntryState::Expiring(until, entry) if *until <= now => {
                    cached.state = EntryState::Removed(now, entry.started);
                    effect.upstreams = true;
                }
                EntryState::Withheld(until, value, entry) if *until <= now => {
                    spdlog::info!("upstream-released", kv: { key: = key });
                    cached.state = EntryState::Present(value.clone(), Some(Arc::clone(entry)));
                    effect.upstreams = true;
                }
                _ => {}
            }
        }
        self.history.remove_expired(history_now);
        let discarded = &mut self.discarded;
        self.entries.retain(|_, cached| {
            let outdated = matches!(cached.state, EntryState::Removed(at, _) if now.since(at) > REMOVAL_RETENTION);
            if outdated {
                *discarded = (*discarded).max(cached.stamp);
            }
            !outdated
        });
        effect
    }

    /// Whether [`StoreView::changes_since`] returns every change after `since`. Removals older than
    /// `REMOVAL_RETENTION` are not retained, nor those between two eras.
    pub fn has_changes_since(&self, since: StoreStamp) -> bool {
        since >= self.discarded
            && self.evacuations.has_changes_since(since)
            && since.era >= self.stamp.era
    }

    /// The changes after `since`, for a peer that has merged everything up to it.
    pub fn changes_since(&self, since: StoreStamp, now: MonoTime) -> Vec<StoreChange> {
        let newer = self
            .entries
            .iter()
            .filter(|(_, cached)| cached.stamp > since);
        let mut changes = self.evacuations.changes_since(since, now);
        changes.extend(newer.map(|(key, cached)| {
            let stamp = cached.stamp;
            let item = |value: &Bytes| StoreItem {
                key: key.clone(),
                value: value.clone(),
                stamp,
            };
            let removed = |grace: Duration| StoreChange::Removed {
                key: key.clone(),
                stamp,
                grace,
            };
            match &cached.state {
                EntryState::Present(value, _) => StoreChange::Written(item(value)),
                EntryState::Withheld(until, value, _) => StoreChange::Withheld {
                    item: item(value),
                    span: until.since(now),
                },
                EntryState::Expiring(until, _) => removed(until.since(now)),
                EntryState::Removed(..) => removed(Duration::ZERO),
            }
        }));
        changes
    }

    /// Counts a log line about an entry; returns false once the merge has used up its lines.
    fn may_log_entry(&mut self) -> bool {
        let left = self.log_quota > 0;
        self.log_quota = self.log_quota.saturating_sub(1);
        left
    }

    /// Starts the log lines of a new merge.
    fn begin_log(&mut self) {
        self.log_quota = MAX_LOGGED_ENTRIES;
        self.unusable_quota = MAX_LOGGED_ENTRIES;
        self.evacuations.begin_log();
    }

    /// Logs how many entries that can't be decoded the merge left out of the log.
    fn end_log(&mut self) {
        let count = std::mem::take(&mut self.unlogged);
        if count > 0 {
            spdlog::warn!("entries-unlogged", kv: { count: = count });
        }
    }

    /// Logs an entry that can't be decoded.
    fn log_unusable(&mut self, key: &str, stamp: StoreStamp, error: &anyhow::Error) {
        if self.unusable_quota == 0 {
            self.unlogged += 1;
            return;
        }
        self.unusable_quota -= 1;
        spdlog::warn!("entry-unusable", kv: {
            key: = key, revision: = stamp.revision, era: = stamp.era, reason: = error
        });
    }

    /// Merges a document. An entry with a positive `withheld` is not used for that time, unless this
    /// router knows better.
    fn write(&mut self, item: StoreItem, withheld: Duration, now: MonoTime) -> MergeEffect {
        if item.key == self.codec.config_key() {
            return self.write_config(item);
        }
        if let Some(effect) = self.write_evacuation(&item) {
            return effect;
        }
        // All entries of a later era have been merged.
        if item.stamp.era < self.stamp.era {
            return MergeEffect::default();
        }
        let Some(decoded) = self.codec.decode_entry(&item.key, &item.value) else {
            return MergeEffect::default();
        };
        let known = self.entries.get(&item.key);
        if known.is_some_and(|cached| cached.stamp >= item.stamp) {
            return MergeEffect::default();
        }
        let was_unusable =
            known.is_some_and(|cached| matches!(cached.state, EntryState::Present(_, None)));
        let (entry, fault) = match decoded {
            Ok(entry) => (Some(Arc::new(entry)), None),
            Err(error) => (None, Some(error)),
        };
        let before = known.and_then(|cached| cached.state.usable().cloned());
        // A router that is late may begin calls at a draining upstream.
        for entry in before.iter().chain(&entry) {
            self.history.record_entry(entry, history_time(now));
        }
        let doubtful = known
            .filter(|cached| cached.stamp.era < item.stamp.era && self.may_predate_era(item.stamp));
        let state = match (doubtful, entry) {
            (Some(known), Some(entry)) => {
                restored_state(&known.state, item.value, entry, withheld, now)
            }
            (_, Some(entry)) if !withheld.is_zero() => {
                EntryState::Withheld(now + withheld, item.value, entry)
            }
            (_, entry) => EntryState::Present(item.value, entry),
        };
        if let Some(fault) = fault
            && !was_unusable
        {
            self.log_unusable(&item.key, item.stamp, &fault);
        }
        let after = state.usable().cloned();
        let is_withheld = matches!(state, EntryState::Withheld(..));
        let cached = CachedEntry {
            stamp: item.stamp,
            state,
        };
        self.entries.insert(item.key.clone(), cached);
        let changed = before != after;
        let (revision, era) = (item.stamp.revision, item.stamp.era);
        if is_withheld {
            if self.may_log_entry() {
                spdlog::info!("upstream-withheld", kv: {
                    key: = item.key, revision: = revision, era: = era
                });
            }
        } else if changed
            && let Some(entry) = &after
            && self.may_log_entry()
        {
            spdlog::info!("upstream-known", kv: {
                upstream: = entry.id, service: = entry.service, address: = entry.address,
                state:? = entry.state, version: = entry.version, revision: = revision, era: = era
            });
        }
        MergeEffect {
            upstreams: changed,
            ..MergeEffect::default()
        }
    }

    fn write_config(&mut self, item: StoreItem) -> MergeEffect {
        if let Some(config) = &mut self.config
            && config.value == item.value
        {
            config.stamp = config.stamp.max(item.stamp);
            return MergeEffect::default();
        }
        // A document that was refused is read again with each whole read.
        if self.refused_config == Some(item.stamp) {
            return MergeEffect::default();
        }
        let table = match self.codec.decode_config(&item.value) {
            Ok(table) => table,
            Err(error) => {
                spdlog::error!("config-rejected", kv: {
                    revision: = item.stamp.revision, era: = item.stamp.era, reason: = error
                });
                self.refused_config = Some(item.stamp);
                return MergeEffect::default();
            }
        };
        if self.config.is_some() && table.version <= self.config_version() {
            spdlog::warn!("config-older", kv: {
                version: = table.version, in_force: = self.config_version(),
                revision: = item.stamp.revision, era: = item.stamp.era
            });
            self.refused_config = Some(item.stamp);
            return MergeEffect::default();
        }
        spdlog::info!("config-accepted", kv: {
            version: = table.version, revision: = item.stamp.revision, era: = item.stamp.era,
            routes: = table.route_count(), faults: = table.faults().len()
        });
        for fault in table.faults().iter().take(MAX_LOGGED_FAULTS) {
            spdlog::warn!("config-fault", kv: { version: = table.version, reason: = fault });
        }
        self.config = Some(CachedConfig {
            value: item.value,
            stamp: item.stamp,
            table: Arc::new(table),
        });
        MergeEffect {
            config: true,
            ..MergeEffect::default()
        }
    }

    fn remove(
        &mut self,
        key: &str,
        stamp: StoreStamp,
        grace: Duration,
        now: MonoTime,
    ) -> MergeEffect {
        if let Some(effect) = self.withdraw_evacuation(key, stamp, now) {
            return effect;
        }
        if stamp.era < self.stamp.era {
            return MergeEffect::default();
        }
        let Some(cached) = self.entries.get_mut(key) else {
            // Retained for peers that know the entry.
            let state = EntryState::Removed(now, None);
            self.entries
                .insert(key.to_owned(), CachedEntry { stamp, state });
            return MergeEffect::default();
        };
        if cached.stamp >= stamp {
            return MergeEffect::default();
        }
        cached.stamp = stamp;
        if let Some(entry) = cached.state.usable() {
            self.history.record_entry(entry, history_time(now));
        }
        cached.state = match cached.state.usable() {
            Some(entry) if !grace.is_zero() => EntryState::expiring(now + grace, entry),
            _ => EntryState::Removed(now, cached.state.start()),
        };
        if self.may_log_entry() {
            spdlog::info!("upstream-removed", kv: {
                key: = key, revision: = stamp.revision, era: = stamp.era,
                hold_ms: = grace.as_millis()
            });
        }
        MergeEffect {
            upstreams: true,
            ..MergeEffect::default()
        }
    }
}

/// State of an entry that was `known` before the store was restored and is `listed` since. A peer may
/// have `withheld` it.
fn restored_state(
    known: &EntryState,
    value: Bytes,
    listed: Arc<UpstreamEntry>,
    withheld: Duration,
    now: MonoTime,
) -> EntryState {
    match (known.judge_listing(&listed), known) {
        (ListingVerdict::Holds, _) if !withheld.is_zero() => {
            EntryState::Withheld(now + withheld, value, listed)
        }
        (ListingVerdict::Holds, _) => EntryState::Present(value, Some(listed)),
        (ListingVerdict::Doubtful, _) => EntryState::Withheld(now + WITHHOLD_SPAN, value, listed),
        // The copy lacks the later run, which may register again.
        (ListingVerdict::EarlierRun, EntryState::Present(_, Some(entry))) => {
            EntryState::expiring(now + EXPIRY_GRACE, entry)
        }
        (ListingVerdict::EarlierRun, EntryState::Withheld(..)) => {
            EntryState::Removed(now, known.start())
        }
        (ListingVerdict::StillDraining | ListingVerdict::EarlierRun, known) => known.clone(),
    }
}
