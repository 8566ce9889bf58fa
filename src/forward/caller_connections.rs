//! The open connections of callers.

use std::collections::HashMap;

use ntex::io::IoRef;

/// The open connections of callers.
#[derive(Default)]
pub struct CallerConnections {
    /// Number of the next connection.
    next: u64,
    open: HashMap<u64, IoRef>,
}

impl CallerConnections {
    /// Adds a connection and returns its number.
    pub fn insert(&mut self, io: IoRef) -> u64 {
        let number = self.next;
        self.next += 1;
        self.open.insert(number, io);
        number
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Returns whether a connection has bytes of a response that are not sent yet.
    pub fn has_unsent(&self) -> bool {
        let mut connections = self.open.values();
        connections.any(|io| !io.is_closed() && !io.with_write_dst_buf(|buf| buf.is_empty()))
    }
}
