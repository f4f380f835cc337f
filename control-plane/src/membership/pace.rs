//! Owns the rate that an agent's datagrams are held to: a token bucket. It counts; what goes first is its callers' to
//! say, who may also spend what is not there yet (a probe never waits), and then all else waits until it is paid back.

use crate::Micros;

/// A token bucket. In any second it lets through its burst and a second's rate, and what was spent unasked.
#[derive(Clone, Debug)]
pub struct Pace {
    rate: i64,
    burst: i64,
    /// In millionths of a byte; below zero is owed.
    level: i64,
    at: Micros,
}

const MILLION: i64 = 1_000_000;

impl Pace {
    /// A full one: bytes a second, and bytes at once.
    pub fn new(rate: usize, burst: usize) -> Pace {
        let (rate, burst) = (rate as i64, burst as i64);
        Pace {
            rate,
            burst,
            level: burst * MILLION,
            at: 0,
        }
    }

    /// Time has passed.
    pub fn refill(&mut self, now: Micros) {
        let span = i64::try_from(now.saturating_sub(self.at)).unwrap_or(i64::MAX);
        let more = span.saturating_mul(self.rate);
        self.level = self.level.saturating_add(more).min(self.burst * MILLION);
        self.at = self.at.max(now);
    }

    /// Bytes that may go now; below zero is owed.
    pub fn left(&self) -> i64 {
        self.level.div_euclid(MILLION)
    }

    /// So many bytes go.
    pub fn spend(&mut self, bytes: usize) {
        self.level -= bytes as i64 * MILLION;
    }

    /// When so many bytes, or the whole burst where that is less, may go.
    pub fn when(&self, bytes: usize) -> Micros {
        let short = (bytes as i64).min(self.burst) * MILLION - self.level;
        self.at + (short.max(0) as u64).div_ceil(self.rate.max(1) as u64)
    }
}

#[cfg(test)]
mod tests;
