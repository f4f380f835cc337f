//! Owns the agent's time: the monotonic clock, in microseconds from a start that is not zero. Wall clocks may jump.

use std::time::Duration;

use tokio::time::Instant;

use crate::Micros;

/// Where the count begins, so that spans may be taken from it.
const FIRST: Micros = 1_000_000;
/// Nothing is waited for longer at a time.
const FAR: Micros = 3_600_000_000;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros + FIRST
    }

    /// When that time comes, or an hour from now where it is further off.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.min(self.now() + FAR).saturating_sub(FIRST))
    }
}
