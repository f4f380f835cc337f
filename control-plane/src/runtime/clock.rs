//! The agent's clock: monotonic, in microseconds from a start above zero. Wall clocks may jump.

use std::time::Duration;

use tokio::time::Instant;

use crate::Micros;

/// The time at the start. Above zero, so that spans can be subtracted from it.
const START: Micros = 1_000_000;
/// Longest single wait.
const MAX_WAIT: Micros = 3_600_000_000;

/// A monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros + START
    }

    /// The instant of a time, at most an hour from now.
    pub fn instant(&self, at: Micros) -> Instant {
        let at = at.min(self.now() + MAX_WAIT);
        self.start + Duration::from_micros(at.saturating_sub(START))
    }
}
