//! The balancer's clock.

use std::time::{SystemTime, UNIX_EPOCH};

use load_balancer::Micros;
use tokio::time::Instant;

/// A monotonic clock that starts at the Unix time of the process's start. The start times of servers on the
/// endpoint list are Unix times, so they need no conversion.
pub struct Clock {
    start: Instant,
    start_unix: Micros,
}

impl Clock {
    /// Starts the clock at the current Unix time.
    pub fn start() -> Clock {
        let start_unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros() as Micros;
        Clock {
            start: Instant::now(),
            start_unix,
        }
    }

    /// Microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        self.start_unix + self.start.elapsed().as_micros() as Micros
    }
}

/// Microseconds until `deadline`; 0 once it has passed.
pub fn micros_until(deadline: Instant) -> Micros {
    deadline
        .saturating_duration_since(Instant::now())
        .as_micros() as Micros
}
