//! Lease timing.

use std::time::Duration;

use crate::{micros, Micros};

/// A holder renews this many times in a lease.
const RENEWALS_PER_LEASE: Micros = 3;
/// Lower bound of the factor by which a slow clock may run, so that a drift near 1 gives a finite wait.
const MIN_CLOCK_RATE: f64 = 0.01;

/// The duration of leases, and the clock drift that they allow for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseSettings {
    /// How long a holder may act after it proposed a renewal that was then agreed.
    pub duration: Duration,
    /// Clock drift as a fraction: a clock may run between `1 - drift` and `1 + drift` times true time.
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
