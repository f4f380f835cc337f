//! Signs of too much work, as this node's answers show them.
//!
//! Reads the time of each answer in relation to the expected time and to the latency objective of its
//! class. An answer that takes more than twice the expected time is slow. It is a sign of congestion
//! unless it came within a quarter of its objective while the servers are nearly idle, where it cannot
//! have waited for others. The servers are congested when many of the latest answers are such signs.

use super::moving_average::MovingAverage;

/// Weight of an answer in the fraction of late answers.
const LATE_WEIGHT: f64 = 0.03;
/// Fewer late answers than this fraction are no sign of more work than the servers can do.
const MAX_LATE_FRACTION: f64 = 0.15;
/// Above this fraction of late answers, a warming server may get requests that it may answer late.
const SOME_LATE_FRACTION: f64 = 0.01875;
/// An answer that takes more than this multiple of the expected time is slow.
const SLOW_RATIO: f64 = 2.0;
/// With more than this fraction of slow answers the servers are congested.
const CONGESTED_FRACTION: f64 = 0.35;
/// Above this fraction of slow answers, the class's usual answer time is hardly adjusted.
const DISTORTED_FRACTION: f64 = 0.175;
/// What a tick keeps of the counts, and the answers as expected that are added to them.
const DECAY_PER_TICK: f64 = 0.9;
const PRIOR_ANSWERS: f64 = 2.0;
/// An answer within this fraction of its latency objective did not wait if the servers are nearly idle.
pub(super) const UNCONTENDED_FRACTION: f64 = 0.25;

/// Decaying counts of answers: those that are a sign of congestion, those that are slow, and all.
#[derive(Default)]
struct AnswerCounts {
    congested: f64,
    slow: f64,
    all: f64,
}

/// How far the servers are loaded.
#[derive(Default)]
pub(super) struct LoadState {
    /// Fraction of the latest answers that were late or did not come.
    late: MovingAverage,
    counts: AnswerCounts,
    /// Fractions of the latest answers that are a sign of congestion and that are slow, by the latest tick.
    congested_fraction: f64,
    slow_fraction: f64,
}

impl LoadState {
    /// An attempt was answered or timed out.
    pub(super) fn record_late(&mut self, late: bool) {
        self.late.add_event(late, LATE_WEIGHT);
    }

    /// An attempt took `ratio` times the expected time, or takes that already. `uncontended`: it cannot
    /// have waited for others.
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

    /// A tick has passed.
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

    /// How far it is from congestion: 1 without any sign of it, 0 when congested.
    pub(super) fn headroom(&self) -> f64 {
        (1.0 - self.congested_fraction / CONGESTED_FRACTION).max(0.0)
    }

    /// Answer times are far from the usual ones.
    pub(super) fn is_distorted(&self) -> bool {
        self.slow_fraction > DISTORTED_FRACTION
    }

    /// So many answers are late that there is more work than the servers can do.
    pub(super) fn many_late(&self) -> bool {
        self.late.value() > MAX_LATE_FRACTION
    }

    /// More than a few answers are late.
    pub(super) fn some_late(&self) -> bool {
        self.late.value() > SOME_LATE_FRACTION
    }

    /// Fraction of the latest answers that were late or did not come.
    pub(super) fn late_fraction(&self) -> f64 {
        self.late.value()
    }

    /// Fraction of the latest answers that are a sign of congestion.
    pub(super) fn congested_fraction(&self) -> f64 {
        self.congested_fraction
    }
}
