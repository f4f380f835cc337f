//! Lifeguard's local health multiplier: a score of the signs that this agent itself is slow or disconnected. The higher
//! it is, the longer the agent waits for others before it suspects them.

/// Highest score. Probe intervals and timeouts are multiplied by the score plus one.
const MAX_SCORE: u32 = 8;

/// Health of the local agent, from 0 (healthy) to 8.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// Raises the score by a number of signs that this agent is slow or disconnected.
    pub fn degrade(&mut self, signs: u32) {
        self.0 = (self.0 + signs.min(MAX_SCORE)).min(MAX_SCORE);
    }

    /// Lowers the score by one, for a probe that was answered in time.
    pub fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// The score; 0 is healthy.
    pub fn score(self) -> u32 {
        self.0
    }

    /// Factor by which the probe interval and timeout are extended.
    pub fn timeout_multiplier(self) -> u32 {
        self.0 + 1
    }
}
