//! Owns the order of things in virtual time: by their time, then by the order in which they were put in.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::world::Micros;

struct Entry<T> {
    at: Micros,
    nth: u64,
    what: T,
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
    /// The soonest is the greatest: the heap gives its greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.nth).cmp(&(self.at, self.nth))
    }
}

/// What is still to come.
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
    /// Nothing yet.
    pub fn new() -> Queue<T> {
        Queue {
            heap: BinaryHeap::new(),
            nth: 0,
        }
    }

    /// Something that happens then.
    pub fn push(&mut self, at: Micros, what: T) {
        self.nth += 1;
        self.heap.push(Entry {
            at,
            nth: self.nth,
            what,
        });
    }

    /// When the next thing happens.
    pub fn next_at(&self) -> Option<Micros> {
        self.heap.peek().map(|entry| entry.at)
    }

    /// Takes the next thing, with its time.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        self.heap.pop().map(|entry| (entry.at, entry.what))
    }
}
