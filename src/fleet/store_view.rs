//! What a router knows of the configuration store, from the store itself or from peers.
//!
//! Each document carries the store's revision of its last change, so copies from any source are
//! merged by taking the newer revision.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::fleet::upstream_entry::UpstreamEntry;
use crate::mono::MonoTime;
use crate::route::{ConfigVersion, RouteTable};

/// How long after the store's return a lapsed entry may come back: the store's contract says two
/// seconds.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// A removal this soon after a failure of the store may be a lapse: the entry's writer may have
/// been unable to renew it.
const LAPSE_WINDOW: Duration = Duration::from_secs(3);

/// How long removals are remembered for peers that are behind.
const REMOVAL_MEMORY: Duration = Duration::from_mins(1);

/// Faults of one configuration that are written to the log; `check` shows all.
const FAULT_LINES: usize = 10;

/// A number that the store raises with each change.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreRevision(pub u64);

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A document of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreItem {
    /// Its key.
    pub key: String,
    /// Its content, as written.
    pub value: Bytes,
    /// Its last change.
    pub revision: StoreRevision,
}

/// A change of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreChange {
    /// A document was written.
    Written(StoreItem),
    /// A document was removed.
    Removed {
        /// Its key.
        key: String,
        /// The revision of the removal.
        revision: StoreRevision,
        /// How much longer the entry is used, where the removal may be a lapse.
        grace: Duration,
    },
}

/// All documents at a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreSnapshot {
    /// The store's revision when the reading began.
    pub revision: StoreRevision,
    /// The documents.
    pub items: Vec<StoreItem>,
}

/// Decodes documents of the store.
pub trait DocumentCodec {
    /// The key of the configuration.
    fn config_key(&self) -> &str;

    /// Decodes the configuration; the error names the field at fault.
    fn decode_config(&self, value: &Bytes) -> anyhow::Result<RouteTable>;

    /// Decodes the entry of an upstream; none where `key` holds no entry.
    fn decode_entry(&self, key: &str, value: &Bytes) -> Option<anyhow::Result<UpstreamEntry>>;
}

#[derive(Clone, Debug)]
enum EntryState {
    /// Registered. A document that no decoder accepts names no upstream.
    Present(Bytes, Option<Arc<UpstreamEntry>>),
    /// Removed, and used until then in case the removal was a lapse.
    Lapsed(MonoTime, Arc<UpstreamEntry>),
    /// Removed at that time.
    Removed(MonoTime),
}

#[derive(Clone, Debug)]
struct EntryBelief {
    revision: StoreRevision,
    state: EntryState,
}

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct CachedConfig {
    /// The document, for peers.
    pub value: Bytes,
    /// The document's revision.
    pub revision: StoreRevision,
    /// The decoded document.
    pub table: Arc<RouteTable>,
}

/// What a merge changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MergeEffect {
    /// A newer configuration is in force.
    pub config: bool,
    /// The upstreams changed.
    pub upstreams: bool,
}

impl MergeEffect {
    fn join(&mut self, other: Self) {
        self.config |= other.config;
        self.upstreams |= other.upstreams;
    }
}

/// The merged knowledge of the store.
#[derive(Debug)]
pub struct StoreView<C> {
    codec: C,
    /// Invariant: every change up to this revision has been merged.
    revision: StoreRevision,
    config: Option<CachedConfig>,
    entries: BTreeMap<String, EntryBelief>,
    last_failure: Option<MonoTime>,
    returned: Option<MonoTime>,
}

impl<C: DocumentCodec> StoreView<C> {
    /// Knows nothing yet.
    pub fn new(codec: C) -> Self {
        Self {
            codec,
            revision: StoreRevision::default(),
            config: None,
            entries: BTreeMap::new(),
            last_failure: None,
            returned: None,
        }
    }

    /// Every change up to this revision is known.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// The key of the configuration.
    pub fn config_key(&self) -> &str {
        self.codec.config_key()
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&CachedConfig> {
        self.config.as_ref()
    }

    /// The version of the configuration in force, or 0.
    pub fn config_version(&self) -> ConfigVersion {
        self.config
            .as_ref()
            .map_or(ConfigVersion::default(), |config| config.table.version)
    }

    /// The upstreams that exist, draining ones included.
    pub fn upstreams(&self) -> Vec<Arc<UpstreamEntry>> {
        self.entries
            .values()
            .filter_map(|belief| match &belief.state {
                EntryState::Present(_, entry) => entry.clone(),
                EntryState::Lapsed(_, entry) => Some(Arc::clone(entry)),
                EntryState::Removed(_) => None,
            })
            .collect()
    }

    /// The store failed to answer, or refused.
    pub fn store_failed(&mut self, now: MonoTime) {
        self.last_failure = Some(now);
        self.returned = None;
    }

    /// The store answered.
    pub fn store_answered(&mut self, now: MonoTime) {
        if self.last_failure.is_some() && self.returned.is_none() {
            self.returned = Some(now);
        }
    }

    /// How much longer an entry that the store removed now is used.
    fn lapse_hold(&self, now: MonoTime) -> Duration {
        let Some(failure) = self.last_failure else {
            return Duration::ZERO;
        };
        if now.since(failure) > LAPSE_WINDOW {
            return Duration::ZERO;
        }
        let returned = self.returned.unwrap_or(now);
        LAPSE_GRACE.saturating_sub(now.since(returned))
    }

    /// Merges a change that the store reported.
    pub fn merge_change(&mut self, change: StoreChange, now: MonoTime) -> MergeEffect {
        let grace = self.lapse_hold(now);
        match change {
            StoreChange::Removed { key, revision, .. } => self.remove(&key, revision, grace, now),
            StoreChange::Written(item) => self.write(item),
        }
    }

    /// Merges changes that a peer reported, complete up to `revision`.
    pub fn merge_peer(
        &mut self,
        changes: Vec<StoreChange>,
        revision: StoreRevision,
        now: MonoTime,
    ) -> MergeEffect {
        let mut effect = MergeEffect::default();
        for change in changes {
            effect.join(match change {
                StoreChange::Removed {
                    key,
                    revision,
                    grace,
                } => self.remove(&key, revision, grace.min(LAPSE_GRACE), now),
                StoreChange::Written(item) => self.write(item),
            });
        }
        self.advance(revision);
        effect
    }

    /// Merges all documents at a revision; what is missing there was removed.
    pub fn merge_snapshot(&mut self, snapshot: StoreSnapshot, now: MonoTime) -> MergeEffect {
        let mut effect = MergeEffect::default();
        let grace = self.lapse_hold(now);
        let missing: Vec<String> = self
            .entries
            .iter()
            .filter(|(key, belief)| {
                belief.revision <= snapshot.revision
                    && matches!(belief.state, EntryState::Present(..))
                    && !snapshot.items.iter().any(|item| item.key == **key)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for item in snapshot.items {
            effect.join(self.write(item));
        }
        for key in missing {
            effect.join(self.remove(&key, snapshot.revision, grace, now));
        }
        self.advance(snapshot.revision);
        effect
    }

    /// All changes up to `revision` have been merged.
    pub fn advance(&mut self, revision: StoreRevision) {
        self.revision = self.revision.max(revision);
    }

    /// Ends lapses and forgets old removals.
    pub fn tick(&mut self, now: MonoTime) -> MergeEffect {
        let mut effect = MergeEffect::default();
        for belief in self.entries.values_mut() {
            if matches!(belief.state, EntryState::Lapsed(until, _) if until <= now) {
                belief.state = EntryState::Removed(now);
                effect.upstreams = true;
            }
        }
        self.entries.retain(|_, belief| {
            !matches!(belief.state, EntryState::Removed(at) if now.since(at) > REMOVAL_MEMORY)
        });
        effect
    }

    /// What a peer that knows everything up to `since` lacks. One whose knowledge is older than
    /// the removals remembered here keeps entries until the store or their silence ends them.
    pub fn changes_since(&self, since: StoreRevision, now: MonoTime) -> Vec<StoreChange> {
        let newer = self
            .entries
            .iter()
            .filter(|(_, belief)| belief.revision > since);
        newer
            .map(|(key, belief)| match &belief.state {
                EntryState::Present(value, _) => StoreChange::Written(StoreItem {
                    key: key.clone(),
                    value: value.clone(),
                    revision: belief.revision,
                }),
                EntryState::Lapsed(until, _) => StoreChange::Removed {
                    key: key.clone(),
                    revision: belief.revision,
                    grace: until.since(now),
                },
                EntryState::Removed(_) => StoreChange::Removed {
                    key: key.clone(),
                    revision: belief.revision,
                    grace: Duration::ZERO,
                },
            })
            .collect()
    }

    fn write(&mut self, item: StoreItem) -> MergeEffect {
        if item.key == self.codec.config_key() {
            return self.write_config(item);
        }
        let Some(decoded) = self.codec.decode_entry(&item.key, &item.value) else {
            return MergeEffect::default();
        };
        let known = self.entries.get(&item.key);
        if known.is_some_and(|belief| belief.revision >= item.revision) {
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
        let before = known.and_then(|belief| match &belief.state {
            EntryState::Present(_, entry) => entry.clone(),
            EntryState::Lapsed(_, entry) => Some(Arc::clone(entry)),
            EntryState::Removed(_) => None,
        });
        let changed = before != entry;
        if changed && let Some(entry) = &entry {
            spdlog::info!("upstream-known", kv: {
                upstream: = entry.id, service: = entry.service, address: = entry.address,
                state:? = entry.state, revision: = item.revision
            });
        }
        let belief = EntryBelief {
            revision: item.revision,
            state: EntryState::Present(item.value, entry),
        };
        self.entries.insert(item.key, belief);
        MergeEffect {
            config: false,
            upstreams: changed,
        }
    }

    fn write_config(&mut self, item: StoreItem) -> MergeEffect {
        if self
            .config
            .as_ref()
            .is_some_and(|config| config.revision >= item.revision)
        {
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
        for fault in table.faults().iter().take(FAULT_LINES) {
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
        let Some(belief) = self.entries.get_mut(key) else {
            return MergeEffect::default();
        };
        if belief.revision >= revision {
            return MergeEffect::default();
        }
        let entry = match &belief.state {
            EntryState::Present(_, entry) => entry.clone(),
            EntryState::Lapsed(_, entry) => Some(Arc::clone(entry)),
            EntryState::Removed(_) => None,
        };
        belief.revision = revision;
        belief.state = match entry {
            Some(entry) if !grace.is_zero() => EntryState::Lapsed(now + grace, entry),
            _ => EntryState::Removed(now),
        };
        spdlog::info!("upstream-removed", kv: {
            key: = key, revision: = revision, hold_ms: = grace.as_millis()
        });
        MergeEffect {
            config: false,
            upstreams: true,
        }
    }
}
