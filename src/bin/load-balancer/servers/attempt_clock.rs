//! When an attempt times out, and until when its request may be written.

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

/// What limits an attempt from its decision on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptLimits {
    /// `None` while the request's body is still arriving.
    pub deadline: Option<AttemptDeadline>,
    /// When the last byte of the request must have been written; `None` if only the deadline limits it.
    pub write_by: Option<Instant>,
    /// The epoch of the server that the attempt was decided for; `None` if any will do.
    pub epoch: Option<u64>,
}

impl From<Option<AttemptDeadline>> for AttemptLimits {
    fn from(deadline: Option<AttemptDeadline>) -> Self {
        AttemptLimits {
            deadline,
            ..AttemptLimits::default()
        }
    }
}

/// The limits of an attempt, and what of its response has come.
#[derive(Default)]
pub struct AttemptClock {
    limits: AttemptLimits,
    /// When the last bytes from the server were read.
    last_read_at: Cell<Option<Instant>>,
    /// Whether the whole head has been received.
    has_head: Cell<bool>,
}

impl AttemptClock {
    /// The clock of an attempt with these limits.
    pub fn new(limits: impl Into<AttemptLimits>) -> Rc<Self> {
        Rc::new(AttemptClock {
            limits: limits.into(),
            ..AttemptClock::default()
        })
    }

    /// When the attempt times out if its response has not begun; `None` without a deadline.
    pub fn attempt_deadline(&self) -> Option<Instant> {
        self.limits.deadline.map(|deadline| deadline.attempt)
    }

    /// When a connection for the attempt must be ready; `None` without a limit.
    pub fn ready_by(&self) -> Option<Instant> {
        let limits = [self.attempt_deadline(), self.limits.write_by];
        limits.into_iter().flatten().min()
    }

    /// Whether the request may go to a server of this epoch. A later one is another process, or one at another address, and
    /// may have to start slowly.
    pub fn is_for_epoch(&self, epoch: u64) -> bool {
        self.limits
            .epoch
            .is_none_or(|decided_for| decided_for == epoch)
    }

    /// Whether the request may no longer be written, although the attempt may not have timed out.
    pub fn is_write_limit_over(&self) -> bool {
        let is_over = |write_by| Instant::now() >= write_by;
        self.limits.write_by.is_some_and(is_over)
    }

    /// Whether the first byte of the request may be written now.
    pub fn may_begin(&self) -> bool {
        self.ready_by()
            .is_none_or(|ready_by| Instant::now() < ready_by)
    }

    /// Waits until the request may no longer be written; never returns without such a limit.
    pub async fn write_limit(&self) {
        match self.limits.write_by {
            Some(write_by) => sleep_until(write_by).await,
            None => std::future::pending().await,
        }
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
        let Some(deadline) = self.limits.deadline else {
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
