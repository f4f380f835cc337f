//! Lifeguard's local health multiplier: how far an agent distrusts its own ability to judge others. A plain counter.

/// Highest score. Probe timeouts are then multiplied by one more than this.
const MAX_SCORE: u32 = 8;

/// Health of the local agent, from 0 (healthy) to 8.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// Records signs that this agent is slow or disconnected.
    pub fn degrade(&mut self, signs: u32) {
        self.0 = (self.0 + signs.min(MAX_SCORE)).min(MAX_SCORE);
    }

    /// Records a probe that was answered in time.
    pub fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// The score; 0 is healthy.
    pub fn score(self) -> u32 {
        self.0
    }

    /// Factor by which probe timeouts are extended.
    pub fn timeout_factor(self) -> u32 {
        self.0 + 1
    }
}
