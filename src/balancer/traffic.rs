//! Counts of a node's recent traffic: requests, attempts, and what servers answered.
//!
//! All counts decay exponentially with each tick. Divided by the window, which grows and decays
//! alike, a count is a rate a second.

use super::tick::TickInterval;

/// What a tick keeps of all counts of traffic.
pub(super) const DECAY_PER_TICK: f64 = 0.984;
/// The window that the counts start with, in seconds.
const INITIAL_WINDOW: f64 = 1.0;

/// Decaying counts of traffic.
pub(super) struct TrafficCounts {
    /// How many seconds of traffic the counts hold.
    window: f64,
    requests: f64,
    attempts: f64,
    /// Answers, per unit of weight of the servers in use when each came.
    answers_per_weight: f64,
    /// Weight of the servers in use, warming ones by what they may be sent.
    usable_weight: f64,
}

impl Default for TrafficCounts {
    fn default() -> Self {
        TrafficCounts {
            window: INITIAL_WINDOW,
            requests: 0.0,
            attempts: 0.0,
            answers_per_weight: 0.0,
            usable_weight: f64::INFINITY,
        }
    }
}

impl TrafficCounts {
    pub(super) fn record_request(&mut self) {
        self.requests += 1.0;
    }

    pub(super) fn record_attempt(&mut self) {
        self.attempts += 1.0;
    }

    pub(super) fn record_answer(&mut self) {
        self.answers_per_weight += 1.0 / self.usable_weight.max(1.0);
    }

    pub(super) fn set_usable_weight(&mut self, weight: f64) {
        self.usable_weight = weight;
    }

    /// How many seconds of traffic the counts hold.
    pub(super) fn window(&self) -> f64 {
        self.window
    }

    pub(super) fn requests(&self) -> f64 {
        self.requests
    }

    /// Attempts counted.
    pub(super) fn attempts(&self) -> f64 {
        self.attempts
    }

    /// Answers counted, per unit of weight of the servers in use.
    pub(super) fn answers_per_weight(&self) -> f64 {
        self.answers_per_weight
    }

    /// A tick has passed.
    pub(super) fn decay(&mut self, tick: TickInterval) {
        self.requests *= DECAY_PER_TICK;
        self.attempts *= DECAY_PER_TICK;
        self.answers_per_weight *= DECAY_PER_TICK;
        self.window = self.window * DECAY_PER_TICK + tick.seconds();
    }
}
