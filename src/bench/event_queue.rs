//! Events in the order of virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::mono::MonoTime;

struct TimedEntry<E> {
    at: MonoTime,
    /// Breaks ties in the order of insertion, so that a seed gives one run.
    number: u64,
    event: E,
}

impl<E> PartialEq for TimedEntry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<E> Eq for TimedEntry<E> {}

impl<E> PartialOrd for TimedEntry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for TimedEntry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A queue of events by time.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<TimedEntry<E>>>,
    next_number: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_number: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event.
    pub fn push(&mut self, at: MonoTime, event: E) {
        let number = self.next_number;
        self.next_number += 1;
        self.heap.push(Reverse(TimedEntry { at, number, event }));
    }

    /// Takes the earliest event.
    pub fn pop(&mut self) -> Option<(MonoTime, E)> {
        self.heap
            .pop()
            .map(|Reverse(entry)| (entry.at, entry.event))
    }
}
