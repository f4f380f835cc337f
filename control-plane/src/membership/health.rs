//! Owns the agent's doubt in itself: Lifeguard's local health. It only counts.

/// At most; the delays of probes are up to one more times as long.
const MOST: u32 = 8;

/// Doubt in one's own health, 0 to 8.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health(u32);

impl Health {
    /// A sign of one's own trouble, counted so many times.
    pub fn worse(&mut self, by: u32) {
        self.0 = (self.0 + by.min(MOST)).min(MOST);
    }

    /// A probe was answered in time.
    pub fn better(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// 0 is sound.
    pub fn score(self) -> u32 {
        self.0
    }

    /// Times as long as usual that an answer is waited for.
    pub fn factor(self) -> u32 {
        self.0 + 1
    }
}
