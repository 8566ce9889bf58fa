//! The open connections of callers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::io::{Id, IoRef};

use crate::forward::memory_room::{MemoryRoom, RoomRefusal};
use crate::forward_board::ForwardBoard;
use crate::mono::{MonoTime, ProcessClock};

/// The open connections of callers.
pub struct CallerConnections {
    board: Arc<ForwardBoard>,
    clock: ProcessClock,
    memory: Rc<MemoryRoom>,
    open: RefCell<HashMap<Id, OpenConnection>>,
}

struct OpenConnection {
    io: IoRef,
    /// `None` before the first call and while a call is in progress.
    idle: Option<IdlePeriod>,
    /// Since when no call is in progress; `None` while one is.
    quiet_since: Option<MonoTime>,
}

struct IdlePeriod {
    since: MonoTime,
    /// The longest idle timeout that was in force since then.
    timeout: Duration,
}

impl CallerConnections {
    pub fn new(board: Arc<ForwardBoard>, clock: ProcessClock, memory: Rc<MemoryRoom>) -> Self {
        Self {
            board,
            clock,
            memory,
            open: RefCell::default(),
        }
    }

    /// Adds a connection and returns its key.
    pub fn insert(&self, io: IoRef) -> Id {
        let id = io.id();
        let connection = OpenConnection {
            io,
            idle: None,
            quiet_since: Some(self.clock.now()),
        };
        let mut open = self.open.borrow_mut();
        open.insert(id, connection);
        self.memory.set_connections(open.len());
        id
    }

    /// Makes room for one more connection: where there is none, closes the one that has sent no
    /// complete head for longest. Returns false if all carry calls.
    pub fn make_room(&self) -> bool {
        while !self.memory.has_connection() {
            let open = self.open.borrow();
            let quiet = open
                .iter()
                .filter_map(|(&id, connection)| Some((connection.quiet_since?, id, connection)));
            let first = quiet.min_by_key(|(since, ..)| *since);
            let first = first.map(|(_, id, connection)| (id, connection.io.clone()));
            drop(open);
            let Some((id, io)) = first else {
                self.memory.count_refusal(RoomRefusal::ConnectionRefused);
                return false;
            };
            self.remove(id);
            io.terminate();
            self.memory.count_refusal(RoomRefusal::ConnectionClosed);
        }
        true
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, id: Id) {
        let mut open = self.open.borrow_mut();
        open.remove(&id);
        self.memory.set_connections(open.len());
    }

    /// Returns whether a connection has bytes of a response that are not sent yet.
    pub fn has_unsent(&self) -> bool {
        let open = self.open.borrow();
        let mut connections = open.values().map(|connection| &connection.io);
        connections.any(|io| !io.is_closed() && !io.with_write_dst_buf(|buf| buf.is_empty()))
    }

    /// Closes the connections whose idle timeout had expired at `time` and on which no request has
    /// begun to arrive.
    pub fn close_idle(&self, time: MonoTime) {
        let timeout = self.board.limits().idle_timeout;
        for OpenConnection { io, idle, .. } in self.open.borrow_mut().values_mut() {
            let Some(idle) = idle else { continue };
            // The caller may not have the new configuration yet.
            idle.timeout = idle.timeout.max(timeout);
            if time.since(idle.since) > with_margin(idle.timeout) && !has_begun_request(io) {
                io.close();
            }
        }
    }

    fn set_idle(&self, io: &IoRef, idle: Option<IdlePeriod>) {
        // A connection that has ended has lost its ID.
        if let Some(connection) = self.open.borrow_mut().get_mut(&io.id()) {
            connection.quiet_since = idle.as_ref().map(|idle| idle.since);
            connection.idle = idle;
        }
    }
}

/// Keeps a connection from being idle until the guard is dropped, at the end of the response.
pub struct CallerBusyGuard {
    callers: Rc<CallerConnections>,
    io: IoRef,
}

impl CallerBusyGuard {
    pub fn new(callers: Rc<CallerConnections>, io: IoRef) -> Self {
        callers.set_idle(&io, None);
        Self { callers, io }
    }
}

impl Drop for CallerBusyGuard {
    fn drop(&mut self) {
        let idle = IdlePeriod {
            since: self.callers.clock.now(),
            timeout: self.callers.board.limits().idle_timeout,
        };
        self.callers.set_idle(&self.io, Some(idle));
    }
}

/// Rounds an idle timeout up to whole seconds and adds one.
fn with_margin(timeout: Duration) -> Duration {
    Duration::from_secs(timeout.as_millis().div_ceil(1000) as u64 + 1)
}

/// Returns whether a part of a request has arrived. The HTTP library takes complete headers from the
/// buffer and runs the timer of the head meanwhile, which is the only timer of an idle connection.
fn has_begun_request(io: &IoRef) -> bool {
    io.timer_handle().is_set() || io.with_read_src_buf(|buf| !buf.is_empty())
}
