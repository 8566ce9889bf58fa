//! What a router knows of one upstream entry of the store, and how a listing in a store that was
//! restored from an older copy changes it.

use std::sync::Arc;

use bytes::Bytes;

use crate::fleet::store_stamp::StoreStamp;
use crate::fleet::upstream_entry::{ServingState, StartTime, UpstreamEntry};
use crate::mono::MonoTime;

/// State of an entry.
#[derive(Clone, Debug)]
pub(super) enum EntryState {
    /// Registered; `None` in place of the entry if the document could not be decoded.
    Present(Bytes, Option<Arc<UpstreamEntry>>),
    /// Listed by a restored store though it was removed before; not used until this time.
    Withheld(MonoTime, Bytes, Arc<UpstreamEntry>),
    /// Removed, but used until this time in case the removal was an expiry.
    Expiring(MonoTime, Arc<UpstreamEntry>),
    /// Removed at this time.
    Removed(MonoTime, Option<StartTime>),
}

/// A known entry.
#[derive(Clone, Debug)]
pub(super) struct CachedEntry {
    /// State of the store at the last change.
    pub stamp: StoreStamp,
    pub state: EntryState,
}

impl CachedEntry {
    /// Returns whether this entry is of a later start than another one with the same address. Clocks
    /// of VMs differ and a restored store lists old entries, so the time of the start and the state of
    /// the store both have to say so.
    pub(super) fn succeeds(&self, other: &Self) -> bool {
        let started = |cached: &Self| cached.state.usable().and_then(|entry| entry.started);
        let is_later = match (started(self), started(other)) {
            (Some(own), Some(others)) => own > others,
            _ => false,
        };
        is_later && self.stamp > other.stamp
    }
}

/// What a listing that may be older than the store's restore says about a known entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ListingVerdict {
    /// It holds.
    Holds,
    /// It is from before the upstream reported that it is draining, which is never taken back.
    StillDraining,
    /// It is from before the removal, unless the upstream has registered again.
    Doubtful,
    /// It is of an earlier run of the upstream.
    EarlierRun,
}

impl EntryState {
    /// The state of an entry that was removed, but stays in use until this time.
    pub(super) fn expiring(until: MonoTime, entry: &UpstreamEntry) -> Self {
        let entry = UpstreamEntry {
            used_until: Some(until),
            ..entry.clone()
        };
        Self::Expiring(until, Arc::new(entry))
    }

    /// The entry, if calls may use it.
    pub(super) fn usable(&self) -> Option<&Arc<UpstreamEntry>> {
        match self {
            Self::Present(_, entry) => entry.as_ref(),
            Self::Expiring(_, entry) => Some(entry),
            Self::Withheld(..) | Self::Removed(..) => None,
        }
    }

    /// Whether the store lists the entry.
    pub(super) fn is_listed(&self) -> bool {
        matches!(self, Self::Present(..) | Self::Withheld(..))
    }

    /// When the run of the upstream that was known last started.
    pub(super) fn start(&self) -> Option<StartTime> {
        match self {
            Self::Present(_, entry) => entry.as_ref()?.started,
            Self::Withheld(_, _, entry) | Self::Expiring(_, entry) => entry.started,
            Self::Removed(_, start) => *start,
        }
    }

    /// Judges a listing of this entry that may be older than the store's restore.
    pub(super) fn judge_listing(&self, listed: &UpstreamEntry) -> ListingVerdict {
        if let (Some(known), Some(start)) = (self.start(), listed.started)
            && known != start
        {
            return if start > known {
                ListingVerdict::Holds
            } else {
                ListingVerdict::EarlierRun
            };
        }
        let drains = |entry: &UpstreamEntry| entry.state == ServingState::Draining;
        match self {
            Self::Present(_, Some(entry)) if drains(entry) && !drains(listed) => {
                ListingVerdict::StillDraining
            }
            Self::Expiring(_, entry) if drains(entry) => ListingVerdict::Doubtful,
            Self::Present(..) | Self::Expiring(..) => ListingVerdict::Holds,
            Self::Withheld(..) | Self::Removed(..) => ListingVerdict::Doubtful,
        }
    }
}
