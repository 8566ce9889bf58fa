//! Last known content of the configuration store, received from the store itself or from peers.
//!
//! Each document carries the store's revision of its last change, so copies from any source are
//! merged by taking the newer revision.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::fleet::upstream_entry::UpstreamEntry;
use crate::mono::MonoTime;
use crate::route::{ConfigVersion, RouteTable};

/// How long an entry that expired during a store outage stays in use after the store is available
/// again. The store's contract gives upstreams two seconds to register again.
const EXPIRY_GRACE: Duration = Duration::from_secs(2);

/// A removal this soon after a store failure may be an expiry: the upstream may have been unable to
/// renew its entry.
const EXPIRY_WINDOW: Duration = Duration::from_secs(3);

/// How long removals are retained for peers whose view is older.
const REMOVAL_RETENTION: Duration = Duration::from_mins(1);

/// Maximum number of faults logged for one configuration; the `check` command shows all.
const MAX_LOGGED_FAULTS: usize = 10;

/// Maximum number of entries logged for one merge. The line about the merge counts all.
pub const MAX_LOGGED_ENTRIES: usize = 20;

/// Revision of the store, which increases with each change.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreRevision(pub u64);

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A document in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreItem {
    pub key: String,
    /// The undecoded content.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: StoreRevision,
}

/// A change in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreChange {
    /// A document was written.
    Written(StoreItem),
    /// A document was removed.
    Removed {
        key: String,
        /// Revision of the removal.
        revision: StoreRevision,
        /// How much longer the entry stays in use, if the removal may be an expiry; otherwise zero.
        grace: Duration,
    },
}

/// All documents of the store at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreSnapshot {
    /// Revision of the store when the read began.
    pub revision: StoreRevision,
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
}

#[derive(Clone, Debug)]
enum EntryState {
    /// Registered; `None` in place of the entry if the document could not be decoded.
    Present(Bytes, Option<Arc<UpstreamEntry>>),
    /// Removed, but used until this time in case the removal was an expiry.
    Expiring(MonoTime, Arc<UpstreamEntry>),
    /// Removed at this time.
    Removed(MonoTime),
}

#[derive(Clone, Debug)]
struct CachedEntry {
    revision: StoreRevision,
    state: EntryState,
}

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct CachedConfig {
    /// The undecoded document, which is sent to peers.
    pub value: Bytes,
    /// Store revision of the document.
    pub revision: StoreRevision,
    pub table: Arc<RouteTable>,
}

/// Which parts of the view a merge changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MergeEffect {
    /// Whether a newer configuration is in force.
    pub config: bool,
    /// Whether the set of upstreams or an entry changed.
    pub upstreams: bool,
}

impl MergeEffect {
    fn join(&mut self, other: Self) {
        self.config |= other.config;
        self.upstreams |= other.upstreams;
    }
}

/// The merged content of the store as last reported by the store and by peers.
#[derive(Debug)]
pub struct StoreView<C> {
    codec: C,
    /// Invariant: every change up to this revision has been merged.
    revision: StoreRevision,
    config: Option<CachedConfig>,
    entries: BTreeMap<String, CachedEntry>,
    /// Highest revision of a removal that was discarded. Changes since an earlier revision are no
    /// longer complete.
    discarded: StoreRevision,
    /// Number of entries that the merge in progress may still log. A whole fleet of upstreams that
    /// is read at once would fill the log of each router.
    log_quota: usize,
    last_failure: Option<MonoTime>,
    recovered: Option<MonoTime>,
}

impl<C: DocumentCodec> StoreView<C> {
    /// Creates an empty view at revision zero.
    pub fn new(codec: C) -> Self {
        Self {
            codec,
            revision: StoreRevision::default(),
            config: None,
            entries: BTreeMap::new(),
            discarded: StoreRevision::default(),
            log_quota: MAX_LOGGED_ENTRIES,
            last_failure: None,
            recovered: None,
        }
    }

    /// The revision up to which every change has been merged.
    pub fn revision(&self) -> StoreRevision {
        self.revision
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

    /// The upstreams in use, including draining ones and those that may have expired.
    pub fn upstreams(&self) -> Vec<Arc<UpstreamEntry>> {
        self.entries
            .values()
            .filter_map(|cached| match &cached.state {
                EntryState::Present(_, entry) => entry.clone(),
                EntryState::Expiring(_, entry) => Some(Arc::clone(entry)),
                EntryState::Removed(_) => None,
            })
            .collect()
    }

    /// Records that the store did not respond or rejected a request, or that a pause of this
    /// process may have had the same effect.
    pub fn store_failed(&mut self, now: MonoTime) {
        self.last_failure = Some(now);
        self.recovered = None;
    }

    /// Records a successful response of the store; the first one after a failure ends the outage.
    pub fn store_responded(&mut self, now: MonoTime) {
        if self.last_failure.is_some() && self.recovered.is_none() {
            self.recovered = Some(now);
        }
    }

    /// How much longer an entry that the store reports as removed now stays in use.
    fn expiry_grace(&self, now: MonoTime) -> Duration {
        let Some(failure) = self.last_failure else {
            return Duration::ZERO;
        };
        if now.since(failure) > EXPIRY_WINDOW {
            return Duration::ZERO;
        }
        let recovered = self.recovered.unwrap_or(now);
        EXPIRY_GRACE.saturating_sub(now.since(recovered))
    }

    /// Merges a change that the store reported.
    pub fn merge_change(&mut self, change: StoreChange, now: MonoTime) -> MergeEffect {
        let grace = self.expiry_grace(now);
        match change {
            StoreChange::Removed { key, revision, .. } => self.remove(&key, revision, grace, now),
            StoreChange::Written(item) => self.write(item),
        }
    }

    /// Merges changes that the store reported, which are complete up to `revision`.
    pub fn merge_changes(
        &mut self,
        changes: Vec<StoreChange>,
        revision: StoreRevision,
        now: MonoTime,
    ) -> MergeEffect {
        self.begin_log();
        let mut effect = MergeEffect::default();
        for change in changes {
            effect.join(self.merge_change(change, now));
        }
        self.advance(revision);
        effect
    }

    /// Merges documents of the store before all of them were read.
    pub fn merge_page(&mut self, items: Vec<StoreItem>) -> MergeEffect {
        self.begin_log();
        let mut effect = MergeEffect::default();
        for item in items {
            effect.join(self.write(item));
        }
        effect
    }

    /// Merges all documents of a peer, which together are complete up to `revision`. Entries that
    /// are not among them were removed, but for those that this router knows from later revisions.
    pub fn merge_peer_snapshot(
        &mut self,
        changes: Vec<StoreChange>,
        revision: StoreRevision,
        now: MonoTime,
    ) -> MergeEffect {
        let listed: BTreeSet<&str> = changes
            .iter()
            .map(|change| match change {
                StoreChange::Written(item) => item.key.as_str(),
                StoreChange::Removed { key, .. } => key.as_str(),
            })
            .collect();
        let missing = self.present_except(&listed, revision);
        let mut effect = self.merge_peer(changes, revision, now);
        for key in missing {
            effect.join(self.remove(&key, revision, Duration::ZERO, now));
        }
        self.discarded = self.discarded.max(revision);
        effect
    }

    /// Keys of the registered entries that are not newer than `revision` and not among `listed`.
    fn present_except(&self, listed: &BTreeSet<&str>, revision: StoreRevision) -> Vec<String> {
        self.entries
            .iter()
            .filter(|(key, cached)| {
                cached.revision <= revision
                    && matches!(cached.state, EntryState::Present(..))
                    && !listed.contains(key.as_str())
            })
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Merges changes from a peer, which together are complete up to `revision`.
    pub fn merge_peer(
        &mut self,
        changes: Vec<StoreChange>,
        revision: StoreRevision,
        now: MonoTime,
    ) -> MergeEffect {
        self.begin_log();
        let mut effect = MergeEffect::default();
        for change in changes {
            effect.join(match change {
                StoreChange::Removed {
                    key,
                    revision,
                    grace,
                } => self.remove(&key, revision, grace.min(EXPIRY_GRACE), now),
                StoreChange::Written(item) => self.write(item),
            });
        }
        self.advance(revision);
        effect
    }

    /// Merges a full snapshot; entries that it doesn't contain were removed.
    pub fn merge_snapshot(&mut self, snapshot: StoreSnapshot, now: MonoTime) -> MergeEffect {
        let grace = self.expiry_grace(now);
        let listed: BTreeSet<&str> = snapshot.items.iter().map(|i| i.key.as_str()).collect();
        let missing = self.present_except(&listed, snapshot.revision);
        let mut effect = self.merge_page(snapshot.items);
        for key in missing {
            effect.join(self.remove(&key, snapshot.revision, grace, now));
        }
        // What was written and removed again since the last revision is unknown.
        self.discarded = self.discarded.max(snapshot.revision);
        self.advance(snapshot.revision);
        effect
    }

    /// Raises the revision; the caller has merged all changes up to `revision`.
    pub fn advance(&mut self, revision: StoreRevision) {
        self.revision = self.revision.max(revision);
    }

    /// Removes entries whose grace period has ended and discards old records of removals.
    pub fn tick(&mut self, now: MonoTime) -> MergeEffect {
        let mut effect = MergeEffect::default();
        for cached in self.entries.values_mut() {
            if matches!(cached.state, EntryState::Expiring(until, _) if until <= now) {
                cached.state = EntryState::Removed(now);
                effect.upstreams = true;
            }
        }
        let discarded = &mut self.discarded;
        self.entries.retain(|_, cached| {
            let outdated = matches!(cached.state, EntryState::Removed(at) if now.since(at) > REMOVAL_RETENTION);
            if outdated {
                *discarded = (*discarded).max(cached.revision);
            }
            !outdated
        });
        effect
    }

    /// Whether [`StoreView::changes_since`] returns every change after `since`. Removals older than
    /// `REMOVAL_RETENTION` are not retained.
    pub fn has_changes_since(&self, since: StoreRevision) -> bool {
        since >= self.discarded
    }

    /// The changes after `since`, for a peer that has merged everything up to it.
    pub fn changes_since(&self, since: StoreRevision, now: MonoTime) -> Vec<StoreChange> {
        let newer = self
            .entries
            .iter()
            .filter(|(_, cached)| cached.revision > since);
        newer
            .map(|(key, cached)| match &cached.state {
                EntryState::Present(value, _) => StoreChange::Written(StoreItem {
                    key: key.clone(),
                    value: value.clone(),
                    revision: cached.revision,
                }),
                EntryState::Expiring(until, _) => StoreChange::Removed {
                    key: key.clone(),
                    revision: cached.revision,
                    grace: until.since(now),
                },
                EntryState::Removed(_) => StoreChange::Removed {
                    key: key.clone(),
                    revision: cached.revision,
                    grace: Duration::ZERO,
                },
            })
            .collect()
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
    }

    fn write(&mut self, item: StoreItem) -> MergeEffect {
        if item.key == self.codec.config_key() {
            return self.write_config(item);
        }
        let Some(decoded) = self.codec.decode_entry(&item.key, &item.value) else {
            return MergeEffect::default();
        };
        let known = self.entries.get(&item.key);
        if known.is_some_and(|cached| cached.revision >= item.revision) {
            return MergeEffect::default();
        }
        let entry = match decoded {
            Ok(entry) => Some(Arc::new(entry)),
            Err(error) => {
                spdlog::warn!("entry-unusable", kv: {
                    key: = item.key, revision: = item.revision, reason: = error
                });
                None
            }
        };
        let before = known.and_then(|cached| match &cached.state {
            EntryState::Present(_, entry) => entry.clone(),
            EntryState::Expiring(_, entry) => Some(Arc::clone(entry)),
            EntryState::Removed(_) => None,
        });
        let changed = before != entry;
        if changed
            && let Some(entry) = &entry
            && self.may_log_entry()
        {
            spdlog::info!("upstream-known", kv: {
                upstream: = entry.id, service: = entry.service, address: = entry.address,
                state:? = entry.state, revision: = item.revision
            });
        }
        let cached = CachedEntry {
            revision: item.revision,
            state: EntryState::Present(item.value, entry),
        };
        self.entries.insert(item.key, cached);
        MergeEffect {
            config: false,
            upstreams: changed,
        }
    }

    fn write_config(&mut self, item: StoreItem) -> MergeEffect {
        if let Some(config) = &self.config
            && config.revision >= item.revision
        {
            if config.value != item.value {
                spdlog::warn!("config-skipped", kv: {
                    revision: = item.revision, in_force: = config.table.version,
                    in_force_revision: = config.revision
                });
            }
            return MergeEffect::default();
        }
        let table = match self.codec.decode_config(&item.value) {
            Ok(table) => table,
            Err(error) => {
                spdlog::error!("config-rejected", kv: {
                    revision: = item.revision, reason: = error
                });
                return MergeEffect::default();
            }
        };
        if self.config.is_some() && table.version <= self.config_version() {
            spdlog::warn!("config-older", kv: {
                version: = table.version, in_force: = self.config_version(),
                revision: = item.revision
            });
            return MergeEffect::default();
        }
        spdlog::info!("config-accepted", kv: {
            version: = table.version, revision: = item.revision, routes: = table.route_count(),
            faults: = table.faults().len()
        });
        for fault in table.faults().iter().take(MAX_LOGGED_FAULTS) {
            spdlog::warn!("config-fault", kv: { version: = table.version, reason: = fault });
        }
        self.config = Some(CachedConfig {
            value: item.value,
            revision: item.revision,
            table: Arc::new(table),
        });
        MergeEffect {
            config: true,
            upstreams: false,
        }
    }

    fn remove(
        &mut self,
        key: &str,
        revision: StoreRevision,
        grace: Duration,
        now: MonoTime,
    ) -> MergeEffect {
        let Some(cached) = self.entries.get_mut(key) else {
            // Retained for peers that know the entry.
            let state = EntryState::Removed(now);
            self.entries
                .insert(key.to_owned(), CachedEntry { revision, state });
            return MergeEffect::default();
        };
        if cached.revision >= revision {
            return MergeEffect::default();
        }
        let entry = match &cached.state {
            EntryState::Present(_, entry) => entry.clone(),
            EntryState::Expiring(_, entry) => Some(Arc::clone(entry)),
            EntryState::Removed(_) => None,
        };
        cached.revision = revision;
        cached.state = match entry {
            Some(entry) if !grace.is_zero() => EntryState::Expiring(now + grace, entry),
            _ => EntryState::Removed(now),
        };
        if self.may_log_entry() {
            spdlog::info!("upstream-removed", kv: {
                key: = key, revision: = revision, hold_ms: = grace.as_millis()
            });
        }
        MergeEffect {
            config: false,
            upstreams: true,
        }
    }
}
