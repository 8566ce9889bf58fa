//! Idle connections to upstreams.

use std::collections::HashMap;
use std::time::Duration;

use crate::forward::http_connection::HttpConnection;
use crate::ids::UpstreamKey;
use crate::mono::MonoTime;

/// Part of the idle time that an upstream announces after which its connection is not used any
/// more: a call must not cross the close.
const IDLE_SHARE: u32 = 2;

/// Longest idle time where the upstream announces none, and above what any announces.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// A connection that answered this lately carries calls that may not be repeated: a call that
/// meets a dead connection there is lost.
const FRESH_LIMIT: Duration = Duration::from_millis(400);

/// Idle connections kept to one upstream.
const IDLE_LINKS: usize = 16;

struct IdleLink {
    link: HttpConnection,
    since: MonoTime,
    limit: Duration,
}

/// How sure a call must be that an idle connection is alive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReuseCondition {
    /// The call may be sent again if the connection turns out to be dead.
    Any,
    /// It may not.
    RecentlyUsed,
}

/// Idle connections by upstream.
#[derive(Default)]
pub struct ConnectionPool {
    idle: HashMap<UpstreamKey, Vec<IdleLink>>,
}

impl ConnectionPool {
    /// Takes the connection that answered last.
    pub fn take(
        &mut self,
        upstream: UpstreamKey,
        condition: ReuseCondition,
        now: MonoTime,
    ) -> Option<HttpConnection> {
        let links = self.idle.get_mut(&upstream)?;
        links.retain(|idle| idle.link.usable() && now.since(idle.since) <= idle.limit);
        let last = links.last()?;
        if condition == ReuseCondition::RecentlyUsed && now.since(last.since) > FRESH_LIMIT {
            return None;
        }
        links.pop().map(|idle| idle.link)
    }

    /// Keeps a connection whose answer has ended. `announced` is the idle time that the upstream
    /// keeps.
    pub fn put(
        &mut self,
        upstream: UpstreamKey,
        link: HttpConnection,
        announced: Option<Duration>,
        now: MonoTime,
    ) {
        let limit = announced.map_or(IDLE_LIMIT, |idle| (idle / IDLE_SHARE).min(IDLE_LIMIT));
        let links = self.idle.entry(upstream).or_default();
        if links.len() >= IDLE_LINKS {
            links.remove(0);
        }
        links.push(IdleLink {
            link,
            since: now,
            limit,
        });
    }

    /// Closes the idle connections to an upstream.
    pub fn close(&mut self, upstream: UpstreamKey) {
        self.idle.remove(&upstream);
    }

    /// Closes what has been idle for too long.
    pub fn sweep(&mut self, now: MonoTime) {
        self.idle.retain(|_, links| {
            links.retain(|idle| idle.link.usable() && now.since(idle.since) <= idle.limit);
            !links.is_empty()
        });
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}
