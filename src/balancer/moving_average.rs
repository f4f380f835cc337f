//! An exponentially weighted moving average.

/// A mean in which each new sample has a given weight and all earlier samples have the rest.
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

    /// Adds 1 if an event occurred and 0 if it did not, so that the average is the event's frequency.
    pub(super) fn add_event(&mut self, occurred: bool, weight: f64) {
        self.add(if occurred { 1.0 } else { 0.0 }, weight);
    }

    pub(super) fn value(self) -> f64 {
        self.0
    }
}
