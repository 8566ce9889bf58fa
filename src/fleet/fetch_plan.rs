//! Decides when and from which peer this router requests documents.

use std::net::Ipv4Addr;
use std::time::Duration;

use crate::fleet::store_stamp::StoreStamp;
use crate::mono::MonoTime;
use crate::route::ConfigVersion;

/// How long the store has to deliver a newer configuration to a reader before it is requested from a
/// peer.
const PEER_CONFIG_WAIT: Duration = Duration::from_millis(300);

/// Time without a response of the store after which a reader requests changes from a peer.
const PEER_ENTRY_WAIT: Duration = Duration::from_millis(800);

/// How long a router waits for a peer of its own data centre before it requests documents from
/// another one.
const REMOTE_WAIT: Duration = Duration::from_millis(400);

/// Time without a page of the store after which a booting router turns to its peers. The store's
/// link is faster than those of the peers, which a fleet that boots at once would saturate.
const BOOT_STORE_WAIT: Duration = Duration::from_millis(800);

/// Wait after a request that failed or brought nothing new.
const FETCH_BACKOFF: Duration = Duration::from_millis(300);

/// How new the documents of a router are.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct DocumentState {
    /// Version of the configuration in force.
    pub version: ConfigVersion,
    /// State of the store up to which all changes were merged.
    pub stamp: StoreStamp,
}

impl DocumentState {
    /// Returns whether this router has something that a router in state `other` lacks.
    pub fn is_ahead_of(self, other: Self) -> bool {
        self.version > other.version || self.stamp > other.stamp
    }
}

/// A peer that announced newer documents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct NewerPeer {
    is_local: bool,
    state: DocumentState,
    address: Ipv4Addr,
}

/// How this router gets its documents at present.
#[derive(Clone, Copy, Debug)]
pub struct FetchContext {
    pub now: MonoTime,
    /// This router's own documents.
    pub own: DocumentState,
    /// Whether the router has not served yet.
    pub booting: bool,
    /// Whether the router reads the store itself.
    pub reading: bool,
    /// Whether the last request to the store failed.
    pub store_failed: bool,
    /// When the store last delivered anything, or when the process started.
    pub store_active: MonoTime,
}

/// The newest peer, and since when this router has been behind.
#[derive(Clone, Debug, Default)]
pub struct FetchPlan {
    newest: Option<NewerPeer>,
    behind_since: Option<MonoTime>,
    config_behind_since: Option<MonoTime>,
    fetching: bool,
    blocked_until: Option<MonoTime>,
}

impl FetchPlan {
    /// Records the documents that a peer announced. Among equal peers the last one is kept, which
    /// spreads the requests.
    pub fn record_peer(
        &mut self,
        address: Ipv4Addr,
        is_local: bool,
        state: DocumentState,
        context: FetchContext,
    ) {
        if !state.is_ahead_of(context.own) {
            return;
        }
        self.behind_since.get_or_insert(context.now);
        if state.version > context.own.version {
            self.config_behind_since.get_or_insert(context.now);
        }
        let known = self.newest.filter(|p| p.state.is_ahead_of(context.own));
        if known.is_none_or(|known| (is_local, state) >= (known.is_local, known.state)) {
            self.newest = Some(NewerPeer {
                is_local,
                state,
                address,
            });
        }
    }

    /// Returns the peer to request documents from, if a request is due. Until
    /// [`FetchPlan::end_fetch`], no other one is.
    pub fn next_fetch(&mut self, context: FetchContext) -> Option<Ipv4Addr> {
        let newest = self.newest?;
        if newest.state.version <= context.own.version {
            self.config_behind_since = None;
        }
        if !newest.state.is_ahead_of(context.own) {
            self.newest = None;
            self.behind_since = None;
            return None;
        }
        let waited =
            |since: Option<MonoTime>| since.map_or(Duration::ZERO, |at| context.now.since(at));
        let store_silent = context.now.since(context.store_active);
        let due = if context.booting {
            context.store_failed || store_silent >= BOOT_STORE_WAIT
        } else if context.reading {
            let config_late = newest.state.version > context.own.version
                && waited(self.config_behind_since) >= PEER_CONFIG_WAIT;
            config_late || (context.store_failed && store_silent >= PEER_ENTRY_WAIT)
        } else {
            newest.is_local || waited(self.behind_since) >= REMOTE_WAIT
        };
        if !due || !self.begin_fetch(context.now) {
            return None;
        }
        self.newest = None;
        Some(newest.address)
    }

    /// Whether no request is in progress and the wait after the last one has ended.
    pub fn is_free(&self, now: MonoTime) -> bool {
        !self.fetching && self.blocked_until.is_none_or(|until| now >= until)
    }

    /// Begins a request if [`FetchPlan::is_free`].
    pub fn begin_fetch(&mut self, now: MonoTime) -> bool {
        let is_free = self.is_free(now);
        self.fetching |= is_free;
        is_free
    }

    /// Records the end of a request; `advanced` is whether it brought newer documents.
    pub fn end_fetch(&mut self, advanced: bool, now: MonoTime) {
        self.fetching = false;
        if advanced {
            self.behind_since = None;
            self.config_behind_since = None;
        }
        self.blocked_until = (!advanced).then_some(now + FETCH_BACKOFF);
    }
}
