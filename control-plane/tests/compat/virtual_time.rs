//! Virtual time for the recorded conversations: events that arrive after a fixed delay, in the order of their sending.

use std::collections::BTreeMap;

/// A millisecond, in microseconds.
pub const MILLISECOND: u64 = 1_000;
/// A second, in microseconds.
pub const SECOND: u64 = 1_000 * MILLISECOND;
/// The wall clock at the beginning, in milliseconds.
pub const WALL_MS: u64 = 1_700_000_000_000;
/// How long an event is under way, in microseconds.
const DELAY: u64 = MILLISECOND;

/// When an event arrives; of two at a time, the one with the lower number comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: u64,
    number: u64,
}

/// An event with its receiver.
struct Delivery<E> {
    to: usize,
    event: E,
}

/// What happens next.
pub enum Step<E> {
    /// An event arrives.
    Deliver {
        /// The receiver.
        to: usize,
        /// The event.
        event: E,
    },
    /// The time of the next timer has come.
    Wake,
    /// Nothing more happens before the end.
    End,
}

/// The time, and the events under way.
pub struct VirtualTime<E> {
    now: u64,
    last_number: u64,
    under_way: BTreeMap<Arrival, Delivery<E>>,
}

impl<E> VirtualTime<E> {
    /// The beginning.
    pub fn new() -> VirtualTime<E> {
        VirtualTime {
            now: 0,
            last_number: 0,
            under_way: BTreeMap::new(),
        }
    }

    /// The time in microseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// A number that was not given before.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Sends an event.
    pub fn send(&mut self, to: usize, event: E) {
        let arrival = Arrival {
            at: self.now + DELAY,
            number: self.next_number(),
        };
        self.under_way.insert(arrival, Delivery { to, event });
    }

    /// Advances to what happens next, but not beyond `end`. `wake` is the time of the next timer.
    pub fn advance(&mut self, end: u64, wake: u64) -> Step<E> {
        let arrival = self.under_way.keys().next().map(|arrival| arrival.at);
        let next = wake.min(arrival.unwrap_or(u64::MAX));
        if next > end {
            self.now = end;
            return Step::End;
        }
        self.now = self.now.max(next);
        if arrival != Some(next) {
            return Step::Wake;
        }
        match self.under_way.pop_first() {
            Some((_, Delivery { to, event })) => Step::Deliver { to, event },
            None => Step::Wake,
        }
    }
}
