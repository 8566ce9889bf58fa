//! Pool of idle connections to upstreams.

use std::collections::HashMap;
use std::time::Duration;

use crate::forward::http_connection::HttpConnection;
use crate::ids::{UpstreamKey, UpstreamStart};
use crate::mono::MonoTime;

/// Divisor of the idle timeout that an upstream announces in `Keep-Alive`. A connection is not
/// reused after that part of the timeout, so that no call is sent while the upstream closes the
/// connection.
const IDLE_TIMEOUT_DIVISOR: u32 = 2;

/// Idle timeout where the upstream announces none, and upper bound of an announced one.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// Longest idle time of a connection on which a call is sent that must not be repeated: such a call
/// is lost if the connection turns out to be dead.
const MAX_IDLE_UNREPEATABLE: Duration = Duration::from_millis(400);

const MAX_IDLE_PER_UPSTREAM: usize = 16;

/// Time after a response to another call in which calls that must not be repeated use only new
/// connections to the upstream: such a call is lost if it meets another late response.
const DISTRUST_PERIOD: Duration = Duration::from_secs(10);

struct IdleConnection {
    connection: HttpConnection,
    /// The start of the upstream that was registered when the call was sent.
    start: UpstreamStart,
    idle_since: MonoTime,
    timeout: Duration,
}

/// Which idle connections a call may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReuseCondition {
    /// Any connection: the call can be repeated if the connection turns out to be dead.
    Any,
    /// Only a recently used connection to an upstream that is not distrusted: the call can't be
    /// repeated.
    RecentlyUsed,
}

/// Idle connections by upstream, in the order in which they became idle.
#[derive(Default)]
pub struct ConnectionPool {
    idle: HashMap<UpstreamKey, Vec<IdleConnection>>,
    /// Upstreams that sent a response to another call, and the time until which only repeatable
    /// calls use their idle connections.
    distrusted: HashMap<UpstreamKey, MonoTime>,
}

impl ConnectionPool {
    /// Removes and returns the connection to this start of the upstream that was used last. Returns
    /// `None` if no idle connection meets `condition`.
    pub fn take(
        &mut self,
        upstream: UpstreamKey,
        start: UpstreamStart,
        condition: ReuseCondition,
        now: MonoTime,
    ) -> Option<HttpConnection> {
        let distrusted = self.distrusted.get(&upstream);
        if condition == ReuseCondition::RecentlyUsed && distrusted.is_some_and(|&end| now < end) {
            return None;
        }
        let connections = self.idle.get_mut(&upstream)?;
        connections.retain(|idle| {
            idle.start == start
                && idle.connection.usable()
                && now.since(idle.idle_since) <= idle.timeout
        });
        let last = connections.last()?;
        if condition == ReuseCondition::RecentlyUsed
            && now.since(last.idle_since) > MAX_IDLE_UNREPEATABLE
        {
            return None;
        }
        connections.pop().map(|idle| idle.connection)
    }

    /// Adds a connection whose response is complete; drops the oldest idle one if the upstream has
    /// `MAX_IDLE_PER_UPSTREAM` already. `announced` is the upstream's idle timeout, if it gave one.
    pub fn put(
        &mut self,
        upstream: UpstreamKey,
        start: UpstreamStart,
        connection: HttpConnection,
        announced: Option<Duration>,
        now: MonoTime,
    ) {
        let timeout = announced.map_or(MAX_IDLE_TIME, |announced| {
            (announced / IDLE_TIMEOUT_DIVISOR).min(MAX_IDLE_TIME)
        });
        let connections = self.idle.entry(upstream).or_default();
        if connections.len() >= MAX_IDLE_PER_UPSTREAM {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            start,
            idle_since: now,
            timeout,
        });
    }

    /// Records that an upstream sent a response to another call.
    pub fn distrust(&mut self, upstream: UpstreamKey, now: MonoTime) {
        self.distrusted.insert(upstream, now + DISTRUST_PERIOD);
    }

    /// Closes all idle connections to an upstream.
    pub fn close(&mut self, upstream: UpstreamKey) {
        self.idle.remove(&upstream);
    }

    /// Closes connections that the upstream closed or whose idle timeout has expired.
    pub fn sweep(&mut self, now: MonoTime) {
        self.distrusted.retain(|_, &mut end| now < end);
        self.idle.retain(|_, connections| {
            connections.retain(|idle| {
                idle.connection.usable() && now.since(idle.idle_since) <= idle.timeout
            });
            !connections.is_empty()
        });
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}
