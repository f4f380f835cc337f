//! By when the process has to have answered: without end, until it is told to end itself.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// The platform kills a process no sooner than this after its word to end and the longest deadline, a
/// longer one than `LONGEST_COUNTED` counting as that.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// Answers are to have reached their clients by then, from a process that was told late.
const SPARE: Duration = Duration::from_millis(50);

/// The time that is left to the process, seen by all that promise an answer.
#[derive(Default)]
pub struct ShutdownDeadline(Cell<Option<Instant>>);

impl ShutdownDeadline {
    /// The process was told to end; `longest` is the longest deadline of a request.
    pub fn close(&self, longest: Duration) {
        let end = Instant::now() + longest.min(LONGEST_COUNTED) + KILLED_AFTER - SPARE;
        self.0
            .set(Some(self.0.get().map_or(end, |before| before.min(end))));
    }

    /// When a request that waits for so long is owed its answer.
    pub fn deadline(&self, remaining_timeout: Duration) -> Instant {
        let deadline = Instant::now() + remaining_timeout;
        self.0.get().map_or(deadline, |end| deadline.min(end))
    }
}

#[cfg(test)]
mod tests;
