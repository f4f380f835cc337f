//! Lease timing.

use std::time::Duration;

use crate::{micros, Micros};

/// Number of renewals that a holder proposes per lease duration.
const RENEWALS_PER_LEASE: Micros = 3;
/// Lower bound of the rate of a slow clock relative to true time, so that the wait is finite even for a drift near 1.
const MIN_CLOCK_RATE: f64 = 0.01;

/// The duration of leases, and the clock drift that they tolerate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseSettings {
    /// How long a holder may act after it proposed a renewal that was then applied.
    pub duration: Duration,
    /// Maximum clock drift as a fraction: a clock may run at a rate between `1 - drift` and `1 + drift` of true time.
    pub drift: f64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        LeaseSettings {
            duration: Duration::from_secs(1),
            drift: 0.05,
        }
    }
}

impl LeaseSettings {
    /// How long a holder may act after it proposed a renewal, in microseconds of its own clock.
    pub fn holder_duration(&self) -> Micros {
        micros(self.duration)
    }

    /// How long the grantor waits before it grants a role to another process, in microseconds of its own clock: the
    /// holder's clock may run slow and the grantor's fast.
    pub fn grantor_wait(&self) -> Micros {
        let slowest = (1.0 - self.drift).max(MIN_CLOCK_RATE);
        (self.holder_duration() as f64 * (1.0 + self.drift) / slowest).ceil() as Micros
    }

    /// How often a holder renews, in microseconds.
    pub fn renewal_interval(&self) -> Micros {
        self.holder_duration() / RENEWALS_PER_LEASE
    }
}
