//! Virtual time for the transcripts: each event arrives after a fixed delay, and events arrive in the order in which
//! they were sent.

use std::collections::BTreeMap;

/// A millisecond, in microseconds.
pub const MILLISECOND: u64 = 1_000;
/// A second, in microseconds.
pub const SECOND: u64 = 1_000 * MILLISECOND;
/// The wall clock at virtual time 0, in milliseconds.
pub const WALL_MS: u64 = 1_700_000_000_000;
/// The time between the sending of an event and its arrival, in microseconds.
const DELAY: u64 = MILLISECOND;

/// When an event arrives. Of two events at the same time, the one with the lower number arrives first.
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

/// What happens next in virtual time.
pub enum Step<E> {
    /// An event arrives.
    Deliver {
        /// The number of the receiver.
        to: usize,
        /// The event that arrives.
        event: E,
    },
    /// The next timer is due.
    Wake,
    /// Nothing more happens before the end.
    End,
}

/// The virtual clock, and the events in flight.
pub struct VirtualTime<E> {
    now: u64,
    last_number: u64,
    in_flight: BTreeMap<Arrival, Delivery<E>>,
}

impl<E> VirtualTime<E> {
    /// Starts at time 0 with no event in flight.
    pub fn new() -> VirtualTime<E> {
        VirtualTime {
            now: 0,
            last_number: 0,
            in_flight: BTreeMap::new(),
        }
    }

    /// The virtual time in microseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Returns a number that was not returned before.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Sends an event, which arrives after the fixed delay.
    pub fn send(&mut self, to: usize, event: E) {
        let arrival = Arrival {
            at: self.now + DELAY,
            number: self.next_number(),
        };
        self.in_flight.insert(arrival, Delivery { to, event });
    }

    /// Advances to the next arrival or timer, but not beyond `end`. `wake` is the time of the next timer.
    pub fn advance(&mut self, end: u64, wake: u64) -> Step<E> {
        let arrival = self.in_flight.keys().next().map(|arrival| arrival.at);
        let next = wake.min(arrival.unwrap_or(u64::MAX));
        if next > end {
            self.now = end;
            return Step::End;
        }
        self.now = self.now.max(next);
        if arrival != Some(next) {
            return Step::Wake;
        }
        match self.in_flight.pop_first() {
            Some((_, Delivery { to, event })) => Step::Deliver { to, event },
            None => Step::Wake,
        }
    }
}
