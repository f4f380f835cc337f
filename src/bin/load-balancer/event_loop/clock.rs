//! The balancer's clock.

use std::time::{SystemTime, UNIX_EPOCH};

use load_balancer::Micros;
use tokio::time::Instant;

/// Unix time at the start and monotonic from there, so that the start times of servers on the
/// endpoint list need no conversion.
pub struct Clock {
    start: Instant,
    start_unix: Micros,
}

impl Clock {
    /// A clock that starts now.
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
