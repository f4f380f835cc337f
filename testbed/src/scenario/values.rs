//! Types of the values in a scenario file. Each rejects invalid values while the file is parsed, so that the error
//! has the line of the value.

use std::time::Duration;

use rand::{Rng, RngExt};
use serde::Deserialize;

/// The range from which the actual value is drawn for each seed, written `[low, high]` or as one number.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(try_from = "RawRange")]
pub struct ValueRange {
    /// Lowest value.
    pub low: f64,
    /// Highest value.
    pub high: f64,
}

#[derive(Deserialize)]
#[serde(untagged, expecting = "expected a number or a range [low, high]")]
enum RawRange {
    Value(f64),
    Bounds([f64; 2]),
}

impl TryFrom<RawRange> for ValueRange {
    type Error = String;

    fn try_from(raw: RawRange) -> Result<Self, String> {
        let (low, high) = match raw {
            RawRange::Value(value) => (value, value),
            RawRange::Bounds([low, high]) => (low, high),
        };
        if !low.is_finite() || !high.is_finite() || low < 0.0 {
            return Err(format!(
                "expected finite numbers of 0 or more, not [{low}, {high}]"
            ));
        }
        if low > high {
            return Err(format!(
                "expected a range [low, high], but {low} is more than {high}"
            ));
        }
        Ok(ValueRange { low, high })
    }
}

impl ValueRange {
    /// The range from `low` to `high`.
    pub const fn new(low: f64, high: f64) -> ValueRange {
        ValueRange { low, high }
    }

    /// Draws a value, uniformly distributed.
    pub fn draw(self, rng: &mut impl Rng) -> f64 {
        self.low + (self.high - self.low) * rng.random::<f64>()
    }
}

/// A share, from 0 to 1.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd)]
#[serde(try_from = "f64")]
pub struct Share(pub f64);

impl TryFrom<f64> for Share {
    type Error = String;

    fn try_from(value: f64) -> Result<Self, String> {
        match value {
            0.0..=1.0 => Ok(Share(value)),
            _ => Err(format!("expected a share from 0 to 1, not {value}")),
        }
    }
}

/// Seconds, from 0 to less than a day.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd)]
#[serde(try_from = "f64")]
pub struct Seconds(pub f64);

impl TryFrom<f64> for Seconds {
    type Error = String;

    fn try_from(value: f64) -> Result<Self, String> {
        match Duration::try_from_secs_f64(value) {
            Ok(duration) if duration < Duration::from_secs(86_400) => Ok(Seconds(value)),
            _ => Err(format!("expected seconds from 0 to 86400, not {value}")),
        }
    }
}

impl Seconds {
    /// The duration in microseconds.
    pub fn micros(self) -> u64 {
        (self.0 * 1e6) as u64
    }
}

/// A number above 0 and up to a million, for rates and counts that cannot be zero.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd)]
#[serde(try_from = "f64")]
pub struct Positive(pub f64);

impl TryFrom<f64> for Positive {
    type Error = String;

    fn try_from(value: f64) -> Result<Self, String> {
        if value > 0.0 && value <= 1e6 {
            Ok(Positive(value))
        } else {
            Err(format!(
                "expected a number above 0 and up to 1000000, not {value}"
            ))
        }
    }
}
