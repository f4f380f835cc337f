//! An exponentially weighted moving average.

/// A mean in which each new sample has a given weight and all earlier ones share the rest.
#[derive(Clone, Copy, Default)]
pub(super) struct MovingAverage(f64);

impl MovingAverage {
    /// An average that starts at `value`.
    pub(super) fn new(value: f64) -> Self {
        MovingAverage(value)
    }

    /// Moves the average towards `sample` by `weight`, between 0 and 1.
    pub(super) fn add(&mut self, sample: f64, weight: f64) {
        self.0 += weight * (sample - self.0);
    }

    /// Adds 1 for an event that occurred and 0 for one that did not: the average is its frequency.
    pub(super) fn add_event(&mut self, occurred: bool, weight: f64) {
        self.add(if occurred { 1.0 } else { 0.0 }, weight);
    }

    pub(super) fn value(self) -> f64 {
        self.0
    }
}
