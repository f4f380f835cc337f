//! Load state: whether the servers are congested, judged by the answer times that this node measures.
//!
//! The inputs are the time of each answer relative to its expected time and to the latency objective of
//! its class. An answer that takes more than twice the expected time is slow. A slow answer is a sign of
//! congestion, except if it is uncontended: it came within a quarter of the objective while the servers
//! were nearly idle, so it cannot have waited behind other requests. The servers count as congested when
//! more than `CONGESTED_FRACTION` of the latest answers are such signs.

use super::moving_average::MovingAverage;

/// Weight of one answer in the moving average of late answers.
const LATE_WEIGHT: f64 = 0.03;
/// With more than this fraction of late answers, there is more work than the servers can do.
const MAX_LATE_FRACTION: f64 = 0.15;
/// With more than this fraction of late answers, a warming server may get requests that it will perhaps
/// answer late.
const SOME_LATE_FRACTION: f64 = 0.01875;
/// An answer that takes more than this multiple of the expected time is slow.
const SLOW_RATIO: f64 = 2.0;
/// The servers are congested if more than this fraction of the latest answers are signs of congestion.
const CONGESTED_FRACTION: f64 = 0.35;
/// With more than this fraction of slow answers, answer times are distorted: the expected times are hardly
/// adjusted to them.
const DISTORTED_FRACTION: f64 = 0.175;
/// Factor by which each tick reduces the counts.
const DECAY_PER_TICK: f64 = 0.9;
/// Answers at the expected speed that are added to the count of all answers, so that a few slow answers do
/// not make a large fraction.
const PRIOR_ANSWERS: f64 = 2.0;
/// If the servers are nearly idle, an answer within this fraction of its latency objective cannot have
/// waited behind other requests.
pub(super) const UNCONTENDED_FRACTION: f64 = 0.25;

/// Decaying counts of answers.
#[derive(Default)]
struct AnswerCounts {
    /// Slow answers that are a sign of congestion.
    congested: f64,
    /// All slow answers.
    slow: f64,
    /// All answers, whether slow or not.
    all: f64,
}

/// The load of the servers as this node sees it.
#[derive(Default)]
pub(super) struct LoadState {
    /// Fraction of the latest attempts that were answered after their latency objective or timed out
    /// after it.
    late: MovingAverage,
    counts: AnswerCounts,
    /// Fractions of the latest answers that are a sign of congestion, and that are slow, by the latest tick.
    congested_fraction: f64,
    slow_fraction: f64,
}

impl LoadState {
    /// Records whether an attempt that was answered or timed out was late.
    pub(super) fn record_late(&mut self, late: bool) {
        self.late.add_event(late, LATE_WEIGHT);
    }

    /// Records an attempt that took, or has so far taken, `ratio` times the expected time. `uncontended`
    /// says that it cannot have waited behind other requests.
    pub(super) fn record_latency(&mut self, ratio: f64, uncontended: bool) {
        let slow = ratio > SLOW_RATIO;
        if slow && !uncontended {
            self.counts.congested += 1.0;
        }
        if slow {
            self.counts.slow += 1.0;
        }
        self.counts.all += 1.0;
    }

    /// Decays the counts by one tick and updates the fractions.
    pub(super) fn end_tick(&mut self) {
        let counts = &mut self.counts;
        counts.congested *= DECAY_PER_TICK;
        counts.slow *= DECAY_PER_TICK;
        counts.all *= DECAY_PER_TICK;
        let answers = counts.all + PRIOR_ANSWERS;
        self.congested_fraction = counts.congested / answers;
        self.slow_fraction = counts.slow / answers;
    }

    pub(super) fn is_congested(&self) -> bool {
        self.congested_fraction > CONGESTED_FRACTION
    }

    /// Distance from congestion: 1 without any sign of it, 0 when the servers are congested.
    pub(super) fn headroom(&self) -> f64 {
        (1.0 - self.congested_fraction / CONGESTED_FRACTION).max(0.0)
    }

    /// Whether so many answers are slow that answer times do not represent the usual ones.
    pub(super) fn is_distorted(&self) -> bool {
        self.slow_fraction > DISTORTED_FRACTION
    }

    /// Whether so many answers are late that there is more work than the servers can do.
    pub(super) fn many_late(&self) -> bool {
        self.late.value() > MAX_LATE_FRACTION
    }

    /// Whether more than a few answers are late.
    pub(super) fn some_late(&self) -> bool {
        self.late.value() > SOME_LATE_FRACTION
    }

    /// Fraction of the latest attempts that were late.
    pub(super) fn late_fraction(&self) -> f64 {
        self.late.value()
    }

    /// Fraction of the latest answers that are a sign of congestion.
    pub(super) fn congested_fraction(&self) -> f64 {
        self.congested_fraction
    }
}
