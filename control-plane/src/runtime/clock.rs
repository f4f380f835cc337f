//! The agent's clock, in microseconds from a start above zero. It is monotonic, unlike the wall clock, which may jump.

use std::time::Duration;

use tokio::time::Instant;

use crate::Micros;

/// The time at which the clock starts. It is above zero, so that durations can be subtracted from early times.
const START: Micros = 1_000_000;
/// Longest time that the main task sleeps at once. State machines without a deadline report [`Micros::MAX`].
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

    /// The time of this clock now, in microseconds.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros + START
    }

    /// Converts a time of this clock to an [`Instant`] that is at most an hour from now.
    pub fn instant(&self, at: Micros) -> Instant {
        let at = at.min(self.now() + MAX_WAIT);
        self.start + Duration::from_micros(at.saturating_sub(START))
    }
}
