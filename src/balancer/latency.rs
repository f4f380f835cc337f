//! Estimates of answer times: the mean of each class, and how much slower or faster than expected a server
//! or a kind of machine answers.
//!
//! The inputs are the time in microseconds from sending an attempt to its answer, and the cost that the
//! client stated for the request. [`ClassLatencies`] estimates the answer time of a request from the mean
//! of its class and a linear term in its cost. [`RelativeLatency`] is the mean ratio of measured to
//! expected time: 1 is as expected, 2 is twice as slow. For a server with few answers that mean is drawn
//! towards the mean of its kind of machine, and for a kind with few answers towards 1, so that one slow
//! answer changes little.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use super::moving_average::MovingAverage;
use crate::api::*;

/// Assumed mean answer time of a class before its first answer, as a fraction of its latency objective.
const PRIOR_OBJECTIVE_FRACTION: f64 = 0.25;
/// Minimum of the expected answer time as a fraction of the class's mean, however small the cost.
const MIN_EXPECTED_FRACTION: f64 = 0.25;
/// Upper bound of the estimated increase of the answer time per unit of stated cost.
const MAX_COST_SLOPE: f64 = 4.0;
/// Weight of an answer in the means of its class, usually and while the load distorts answer times. The
/// second is small so that the times under congestion do not become the expected ones.
const CLASS_WEIGHT: f64 = 0.02;
const CLASS_WEIGHT_DISTORTED: f64 = 0.002;
/// Weight of an answer in the covariance of answer time and cost and in the variance of the cost.
const COVARIANCE_WEIGHT: f64 = 0.02;
/// The first answers of a class, up to this number, change the means of its answer time and cost, but not
/// the covariance and the variance.
const COVARIANCE_MIN_ANSWERS: f64 = 5.0;

/// The prior of a relative latency counts as this many answers.
const PRIOR_ANSWERS: f64 = 1.5;
/// Relative latency that is assumed of a kind of machine before its first answer.
const KIND_PRIOR: f64 = 1.0;
/// Number of answers over which the relative latency of a server and of a kind of machine is averaged.
const SERVER_MEMORY: f64 = 32.0;
const KIND_MEMORY: f64 = 3.0 * SERVER_MEMORY;
/// Factor by which each tick reduces the sums of relative latencies, so that old answers expire also
/// where few new ones come.
const DECAY_PER_TICK: f64 = 0.9965;

/// Mean answer time and cost of a class.
struct ClassLatency {
    /// Mean answer time in microseconds.
    mean: f64,
    /// Mean of the costs that clients stated for its requests, in microseconds.
    mean_cost: f64,
    /// Number of answers so far.
    answers: f64,
}

/// Answer time estimates of all classes.
#[derive(Default)]
pub(super) struct ClassLatencies {
    classes: Vec<ClassLatency>,
    /// Covariance of answer time and cost within the classes, and variance of the cost. All classes share
    /// them: the quotient is the increase of the answer time per unit of cost.
    covariance: MovingAverage,
    variance: MovingAverage,
}

impl ClassLatencies {
    pub(super) fn len(&self) -> usize {
        self.classes.len()
    }

    /// Adds the classes that follow those already known, which keep their means.
    pub(super) fn add_classes(&mut self, classes: &[RequestClass]) {
        let added = classes[self.classes.len()..]
            .iter()
            .map(|class| ClassLatency {
                mean: class.latency_objective as f64 * PRIOR_OBJECTIVE_FRACTION,
                mean_cost: 0.0,
                answers: 0.0,
            });
        self.classes.extend(added);
    }

    /// Mean answer time of a class in microseconds.
    pub(super) fn mean(&self, class: ClassId) -> f64 {
        self.classes[class.0].mean
    }

    /// Mean answer time of the slowest class in microseconds; 0 without classes.
    pub(super) fn slowest_mean(&self) -> f64 {
        let means = self.classes.iter().map(|class| class.mean);
        means.max_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Expected answer time in microseconds of a request with this stated cost; at least 1.
    pub(super) fn expected(&self, class: ClassId, cost: Option<Micros>) -> f64 {
        let class = &self.classes[class.0];
        let slope = self.covariance.value() / self.variance.value().max(1.0);
        let slope = slope.clamp(0.0, MAX_COST_SLOPE);
        let extra = cost.map_or(0.0, |cost| slope * (cost as f64 - class.mean_cost));
        (class.mean + extra)
            .max(class.mean * MIN_EXPECTED_FRACTION)
            .max(1.0)
    }

    /// Records an answer that took `elapsed` microseconds. `distorted` says that many of the latest answers
    /// were slow, so that this one may not represent the class's usual answer time.
    pub(super) fn record(
        &mut self,
        class: ClassId,
        cost: Option<Micros>,
        elapsed: f64,
        distorted: bool,
    ) {
        let class = &mut self.classes[class.0];
        class.answers += 1.0;
        let min_weight = if distorted {
            CLASS_WEIGHT_DISTORTED
        } else {
            CLASS_WEIGHT
        };
        let weight = (1.0 / class.answers).max(min_weight);
        let cost = cost.map_or(class.mean_cost, |cost| cost as f64);
        let time_deviation = elapsed - class.mean;
        let cost_deviation = cost - class.mean_cost;
        class.mean += weight * time_deviation;
        class.mean_cost += weight * cost_deviation;
        if class.answers > COVARIANCE_MIN_ANSWERS {
            self.covariance
                .add(time_deviation * cost_deviation, COVARIANCE_WEIGHT);
            self.variance
                .add(cost_deviation * cost_deviation, COVARIANCE_WEIGHT);
        }
    }
}

/// The mean ratio of measured to expected answer time, kept as a decaying sum and count.
#[derive(Clone, Copy, Default)]
pub(super) struct RelativeLatency {
    sum: f64,
    count: f64,
}

impl RelativeLatency {
    /// Records that an answer of the server took `ratio` times the expected time.
    pub(super) fn record(&mut self, ratio: f64) {
        self.add(ratio, SERVER_MEMORY);
    }

    fn add(&mut self, ratio: f64, memory: f64) {
        self.scale(1.0 - 1.0 / memory);
        self.sum += ratio;
        self.count += 1.0;
    }

    fn scale(&mut self, keep: f64) {
        self.sum *= keep;
        self.count *= keep;
    }

    /// Decays the sum and the count by one tick.
    pub(super) fn decay(&mut self) {
        self.scale(DECAY_PER_TICK);
    }

    /// The mean ratio, where `prior` counts as `PRIOR_ANSWERS` answers.
    pub(super) fn mean(&self, prior: f64) -> f64 {
        (self.sum + PRIOR_ANSWERS * prior) / (self.count + PRIOR_ANSWERS)
    }
}

/// The relative latency of each kind of machine.
pub(super) struct KindLatencies {
    kinds: BTreeMap<KindId, RelativeLatency>,
    /// The smallest mean of all kinds as of the latest answer.
    fastest: f64,
}

impl Default for KindLatencies {
    fn default() -> Self {
        KindLatencies {
            kinds: BTreeMap::new(),
            fastest: KIND_PRIOR,
        }
    }
}

impl KindLatencies {
    /// Records that an answer of a server of this kind took `ratio` times the expected time.
    pub(super) fn record(&mut self, kind: KindId, ratio: f64) {
        self.kinds.entry(kind).or_default().add(ratio, KIND_MEMORY);
        let means = self.kinds.values().map(|kind| kind.mean(KIND_PRIOR));
        self.fastest = means.min_by(f64::total_cmp).unwrap_or(KIND_PRIOR);
    }

    pub(super) fn mean(&self, kind: KindId) -> f64 {
        self.kinds
            .get(&kind)
            .map_or(KIND_PRIOR, |kind| kind.mean(KIND_PRIOR))
    }

    pub(super) fn fastest(&self) -> f64 {
        self.fastest
    }

    /// Decays the sums and counts of all kinds by one tick.
    pub(super) fn decay(&mut self) {
        for kind in self.kinds.values_mut() {
            kind.decay();
        }
    }
}
