//! A queue of simulation events, ordered by virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::mono::MonoTime;

struct ScheduledEvent<E> {
    at: MonoTime,
    /// Orders events of the same time by insertion, so that a run is reproducible from its seed.
    sequence: u64,
    event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A priority queue that yields the earliest event first.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<ScheduledEvent<E>>>,
    next_sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_sequence: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at the virtual time `at`.
    pub fn push(&mut self, at: MonoTime, event: E) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(ScheduledEvent {
            at,
            sequence,
            event,
        }));
    }

    /// Removes and returns the earliest event with its time, or `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<(MonoTime, E)> {
        self.heap
            .pop()
            .map(|Reverse(entry)| (entry.at, entry.event))
    }
}
