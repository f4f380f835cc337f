//! The earliest time at which a client may have written the last byte of its request.
//!
//! A client counts its time from the last byte that it wrote. While a server doesn't take a body, the node stops to read it. The
//! last byte may then lie for long in the system's buffer on this side, or in the client's, which can't be seen. What the
//! client's system holds is bounded, though: when the last byte was written, all but so many bytes had arrived.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::connection::ConnectionState;
use crate::socket_read::unread_bytes;

/// Most bytes that a client's system takes from it and has not sent: the largest send buffer that Linux gives by default.
pub const MAX_UNSENT_BYTES: u64 = 4 << 20;
/// What a client's system has held back comes sooner than this once the node has made room for it.
const MIN_EMPTY_TIME: Duration = Duration::from_millis(5);
/// Least number of bytes between two samples.
const SAMPLE_BYTES: u64 = 64 * 1024;

/// How many bytes had arrived on a connection at a time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    bytes: u64,
    at: Instant,
}

/// Follows the bytes that arrive on a client's connection.
pub struct ArrivalClock {
    connection: Rc<ConnectionState>,
    socket: Weak<TcpStream>,
    /// The arrival of the bytes since the connection was last found empty, the oldest first; never empty.
    samples: RefCell<VecDeque<Sample>>,
    /// Since when all that had arrived has been read; `None` if something has arrived since.
    drained_at: Cell<Option<Instant>>,
    /// Whether the node has left bytes unread, so that others may wait in the client's system.
    is_held_back: Cell<bool>,
    /// The most bytes seen so far.
    newest: Cell<Sample>,
}

impl ArrivalClock {
    pub fn new(connection: &Rc<ConnectionState>, socket: &Rc<TcpStream>) -> Self {
        let first = Sample {
            bytes: connection.read_bytes(),
            at: Instant::now(),
        };
        ArrivalClock {
            connection: connection.clone(),
            socket: Rc::downgrade(socket),
            samples: RefCell::new(VecDeque::from([first])),
            drained_at: Cell::new(None),
            is_held_back: Cell::new(false),
            newest: Cell::new(first),
        }
    }

    /// The node waits for more bytes. Notes whether it has read all that has arrived.
    pub fn waiting(&self) {
        if self.drained_at.get().is_none() && self.unread_bytes() == 0 {
            self.drained_at.set(Some(Instant::now()));
        }
    }

    /// The node leaves what has arrived unread for now.
    pub fn held_back(&self) {
        let has_unread = self.unread_bytes() > 0;
        self.is_held_back.set(self.is_held_back.get() || has_unread);
    }

    /// A part has been read.
    pub fn part_read(&self) {
        self.record(self.connection.read_bytes());
    }

    /// Bytes that have arrived and were not read.
    pub fn unread_bytes(&self) -> u64 {
        let socket = self.socket.upgrade();
        socket.map_or(0, |socket| unread_bytes(&socket))
    }

    /// The earliest time at which the last byte may have been written, if the client has written no more than what has
    /// arrived and what its system may hold.
    pub fn earliest_end(&self) -> Instant {
        let arrived = self.connection.read_bytes() + self.unread_bytes();
        self.record(arrived);
        let held_back_at_most = arrived.saturating_sub(MAX_UNSENT_BYTES);
        let mut samples = self.samples.borrow_mut();
        while samples
            .get(1)
            .is_some_and(|next| next.bytes <= held_back_at_most)
        {
            samples.pop_front();
        }
        samples[0].at
    }

    /// When the newest bytes were first seen.
    pub fn last_arrival(&self) -> Instant {
        self.newest.get().at
    }

    /// Whether the bytes that have arrived now had not been written when the connection was found empty.
    fn was_written_later(&self) -> bool {
        let drained_at = self.drained_at.take();
        let min_time = if self.is_held_back.get() {
            MIN_EMPTY_TIME
        } else {
            Duration::ZERO
        };
        drained_at.is_some_and(|drained_at| drained_at.elapsed() >= min_time)
    }

    fn record(&self, bytes: u64) {
        if bytes <= self.newest.get().bytes {
            return;
        }
        let sample = Sample {
            bytes,
            at: Instant::now(),
        };
        self.newest.set(sample);
        let mut samples = self.samples.borrow_mut();
        if self.was_written_later() {
            samples.clear();
            self.is_held_back.set(false);
        }
        let is_due = |last: &Sample| bytes >= last.bytes + SAMPLE_BYTES;
        if samples.back().is_none_or(is_due) {
            samples.push_back(sample);
        }
    }
}
