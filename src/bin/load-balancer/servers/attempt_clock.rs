//! When an attempt times out.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep_until, Instant};

/// A server that has begun the head of its response may pause for this long, although its attempt has timed out: it is only
/// slow, and so may the others be.
const MAX_HEAD_PAUSE: Duration = Duration::from_millis(200);

/// By when an attempt and its request must end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptDeadline {
    /// When the attempt times out if its response has not begun.
    pub attempt: Instant,
    /// When the request must be answered.
    pub request: Instant,
}

impl AttemptDeadline {
    /// The same deadline for an attempt and its request.
    pub fn at(deadline: Instant) -> Self {
        AttemptDeadline {
            attempt: deadline,
            request: deadline,
        }
    }
}

/// The deadline of an attempt, and what of its response has come.
#[derive(Default)]
pub struct AttemptClock {
    /// `None` while the request's body is still arriving.
    deadline: Option<AttemptDeadline>,
    /// When the last bytes from the server were read.
    last_read_at: Cell<Option<Instant>>,
    /// Whether the whole head has been received.
    has_head: Cell<bool>,
}

impl AttemptClock {
    /// The clock of an attempt with this deadline.
    pub fn new(deadline: Option<AttemptDeadline>) -> Rc<Self> {
        Rc::new(AttemptClock {
            deadline,
            ..AttemptClock::default()
        })
    }

    /// When the attempt times out if its response has not begun; `None` without a deadline.
    pub fn attempt_deadline(&self) -> Option<Instant> {
        self.deadline.map(|deadline| deadline.attempt)
    }

    /// Bytes from the server were read.
    pub fn record_read(&self) {
        self.last_read_at.set(Some(Instant::now()));
    }

    /// The whole head has been received.
    pub fn record_head(&self) {
        self.has_head.set(true);
    }

    /// Another connection is used from here on.
    pub fn restart(&self) {
        self.last_read_at.set(None);
        self.has_head.set(false);
    }

    /// Waits until the attempt has timed out: at its deadline, or, while the head of the response is still arriving, at
    /// the request's. Never returns without a deadline.
    pub async fn timed_out(&self) {
        let Some(deadline) = self.deadline else {
            return std::future::pending().await;
        };
        sleep_until(deadline.attempt).await;
        while let Some(next) = self.next_read_by() {
            let next = next.min(deadline.request);
            if next <= Instant::now() {
                return;
            }
            sleep_until(next).await;
        }
    }

    /// When the next bytes of the head must have come; `None` unless it is arriving.
    fn next_read_by(&self) -> Option<Instant> {
        let last_read_at = self.last_read_at.get().filter(|_| !self.has_head.get())?;
        Some(last_read_at + MAX_HEAD_PAUSE)
    }
}

#[cfg(test)]
mod tests;
