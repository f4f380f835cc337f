//! The time by which the process must have answered its requests: unlimited until it receives SIGTERM.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// After SIGTERM, the platform waits at least this long in addition to the longest deadline of a request (which
/// counts as `MAX_COUNTED_DEADLINE` at most) before it sends SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Longest deadline that delays SIGKILL; a longer one counts as this.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time reserved for responses to reach their clients, and for a SIGTERM that is handled late.
const KILL_MARGIN: Duration = Duration::from_millis(50);

/// A process that still runs this long after its shutdown deadline has been given more time than the least: SIGKILL did
/// not come at the earliest moment, though it may have come late on a busy machine.
const LATE_KILL_TOLERANCE: Duration = Duration::from_millis(500);

/// The shutdown deadline of the process, which limits the deadline of each request.
#[derive(Default)]
pub struct ShutdownDeadline(Cell<Option<Instant>>);

impl ShutdownDeadline {
    /// Sets the shutdown deadline when SIGTERM is received; `max_request_deadline` is the longest deadline of a request
    /// class. A repeated call can only make it earlier.
    pub fn start(&self, max_request_deadline: Duration) {
        let end = Instant::now() + max_request_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY
            - KILL_MARGIN;
        self.0
            .set(Some(self.0.get().map_or(end, |previous| previous.min(end))));
    }

    /// The time by which a request with this remaining timeout must be answered, if its head was received at
    /// `head_received_at` and its last byte now.
    ///
    /// A long body may be under way past the shutdown deadline. When such a request is complete it has its whole timeout:
    /// a deadline in the past would only make it fail.
    pub fn deadline(&self, remaining_timeout: Duration, head_received_at: Instant) -> Instant {
        self.deadline_from(Instant::now(), remaining_timeout, head_received_at)
    }

    /// Like [`ShutdownDeadline::deadline`], for a request whose last byte came at `complete_at`.
    pub fn deadline_from(
        &self,
        complete_at: Instant,
        remaining_timeout: Duration,
        head_received_at: Instant,
    ) -> Instant {
        let now = Instant::now();
        let deadline = complete_at + remaining_timeout;
        match self.0.get() {
            Some(end) if now < end + LATE_KILL_TOLERANCE || head_received_at >= end => {
                deadline.min(end)
            }
            _ => deadline,
        }
    }
}

#[cfg(test)]
mod tests;
