//! Limits the rate of an agent's traffic with a token bucket. Callers decide what is sent first, and may overdraw the
//! bucket for what cannot wait, such as probes; everything else then waits until the debt is repaid.

use crate::Micros;

/// Bytes are counted in millionths, so that the refill of a microsecond is a whole number.
const UNITS_PER_BYTE: i64 = 1_000_000;

/// A token bucket in bytes. Without overdraft, at most the burst plus one second's rate is sent in any second.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    bytes_per_second: i64,
    burst_bytes: i64,
    /// Fill level in millionths of a byte; negative while overdrawn.
    level: i64,
    refilled_at: Micros,
}

impl RateLimiter {
    /// Creates a full bucket with a rate in bytes per second and a capacity in bytes.
    pub fn new(bytes_per_second: usize, burst_bytes: usize) -> RateLimiter {
        let burst_bytes = burst_bytes as i64;
        RateLimiter {
            bytes_per_second: bytes_per_second as i64,
            burst_bytes,
            level: burst_bytes * UNITS_PER_BYTE,
            refilled_at: 0,
        }
    }

    /// Adds the tokens earned until `now`.
    pub fn refill(&mut self, now: Micros) {
        let elapsed = i64::try_from(now.saturating_sub(self.refilled_at)).unwrap_or(i64::MAX);
        let earned = elapsed.saturating_mul(self.bytes_per_second);
        let capacity = self.burst_bytes * UNITS_PER_BYTE;
        self.level = self.level.saturating_add(earned).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Bytes that may be sent now; negative while overdrawn.
    pub fn available(&self) -> i64 {
        self.level.div_euclid(UNITS_PER_BYTE)
    }

    /// Accounts for bytes sent, even beyond what is available.
    pub fn consume(&mut self, bytes: usize) {
        self.level -= bytes as i64 * UNITS_PER_BYTE;
    }

    /// When this many bytes will be available. A number above the burst counts as the burst, which is the capacity.
    pub fn available_at(&self, bytes: usize) -> Micros {
        let missing = (bytes as i64).min(self.burst_bytes) * UNITS_PER_BYTE - self.level;
        let wait = (missing.max(0) as u64).div_ceil(self.bytes_per_second.max(1) as u64);
        self.refilled_at + wait
    }
}

#[cfg(test)]
mod tests;
