//! Decaying counts of a node's recent traffic: requests, attempts and answers.
//!
//! All counts decay by the same factor in each tick, as does the window, to which each tick adds its length.
//! A count divided by the window is therefore a rate per second.

use super::tick::TickInterval;

/// Factor by which each tick reduces all counts of traffic.
pub(super) const DECAY_PER_TICK: f64 = 0.984;
/// The window at a node's start, in seconds.
const INITIAL_WINDOW: f64 = 1.0;

/// Decaying counts of traffic.
pub(super) struct TrafficCounts {
    /// The time that the counts cover, in seconds. It decays like them: a count divided by it is a rate.
    window: f64,
    requests: f64,
    attempts: f64,
    /// Answers per unit of weight. Each answer is divided by the usable weight at the time when it comes.
    answers_per_weight: f64,
    /// Total weight of the servers that may be sent requests; warming ones count by what they may be sent.
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

    /// The time that the counts cover, in seconds.
    pub(super) fn window(&self) -> f64 {
        self.window
    }

    pub(super) fn requests(&self) -> f64 {
        self.requests
    }

    pub(super) fn attempts(&self) -> f64 {
        self.attempts
    }

    /// The decaying count of answers, per unit of usable weight.
    pub(super) fn answers_per_weight(&self) -> f64 {
        self.answers_per_weight
    }

    /// Decays the counts by one tick.
    pub(super) fn decay(&mut self, tick: TickInterval) {
        self.requests *= DECAY_PER_TICK;
        self.attempts *= DECAY_PER_TICK;
        self.answers_per_weight *= DECAY_PER_TICK;
        self.window = self.window * DECAY_PER_TICK + tick.seconds();
    }
}
