//! The event queue of virtual time: events in the order of their times, and events of the same time in the order in
//! which they were added.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::world::Micros;

struct Entry<T> {
    at: Micros,
    nth: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.nth) == (other.at, other.nth)
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    /// Reversed, because `BinaryHeap` returns the greatest entry first and the earliest is needed.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.nth).cmp(&(self.at, self.nth))
    }
}

/// Events that are due in the future.
pub struct Queue<T> {
    heap: BinaryHeap<Entry<T>>,
    nth: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue::new()
    }
}

impl<T> Queue<T> {
    /// An empty queue.
    pub fn new() -> Queue<T> {
        Queue {
            heap: BinaryHeap::new(),
            nth: 0,
        }
    }

    /// Adds an event that is due at `at`.
    pub fn push(&mut self, at: Micros, event: T) {
        self.nth += 1;
        self.heap.push(Entry {
            at,
            nth: self.nth,
            event,
        });
    }

    /// Time of the next event.
    pub fn next_at(&self) -> Option<Micros> {
        self.heap.peek().map(|entry| entry.at)
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}
