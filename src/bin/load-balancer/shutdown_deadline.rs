//! By when the process must have answered its requests: unlimited until it receives SIGTERM.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// The platform sends SIGKILL no sooner than SIGTERM plus the longest deadline plus this; a deadline over
/// `MAX_COUNTED_DEADLINE` counts as that.
const KILL_DELAY: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Margin for answers to reach their clients, and for a late SIGTERM.
const KILL_MARGIN: Duration = Duration::from_millis(50);

/// The shutdown deadline of the process, shared by all that promise an answer.
#[derive(Default)]
pub struct ShutdownDeadline(Cell<Option<Instant>>);

impl ShutdownDeadline {
    /// SIGTERM was received; `longest` is the longest deadline of a request.
    pub fn start(&self, longest: Duration) {
        let end = Instant::now() + longest.min(MAX_COUNTED_DEADLINE) + KILL_DELAY - KILL_MARGIN;
        self.0
            .set(Some(self.0.get().map_or(end, |before| before.min(end))));
    }

    /// By when a request with this time left must be answered.
    pub fn deadline(&self, remaining_timeout: Duration) -> Instant {
        let deadline = Instant::now() + remaining_timeout;
        self.0.get().map_or(deadline, |end| deadline.min(end))
    }
}

#[cfg(test)]
mod tests;
