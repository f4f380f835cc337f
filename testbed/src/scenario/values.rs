//! Owns the kinds of value that a scenario file may hold. Each refuses what makes no sense while the
//! file is read, so that the message carries the line of the value itself.

use std::time::Duration;

use rand::{Rng, RngExt};
use serde::Deserialize;

/// A span within which a true value is drawn for each seed: `[low, high]`, or one number.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(try_from = "Written")]
pub struct Span {
    /// The least.
    pub low: f64,
    /// The most.
    pub high: f64,
}

#[derive(Deserialize)]
#[serde(untagged, expecting = "expected a number, or a span [low, high]")]
enum Written {
    One(f64),
    Two([f64; 2]),
}

impl TryFrom<Written> for Span {
    type Error = String;

    fn try_from(written: Written) -> Result<Self, String> {
        let (low, high) = match written {
            Written::One(value) => (value, value),
            Written::Two([low, high]) => (low, high),
        };
        if !low.is_finite() || !high.is_finite() || low < 0.0 {
            return Err(format!(
                "expected finite numbers of 0 or more, not [{low}, {high}]"
            ));
        }
        if low > high {
            return Err(format!(
                "expected a span [low, high], but {low} is more than {high}"
            ));
        }
        Ok(Span { low, high })
    }
}

impl Span {
    /// From the least to the most.
    pub const fn new(low: f64, high: f64) -> Span {
        Span { low, high }
    }

    /// A value of the span, evenly drawn.
    pub fn draw(self, rng: &mut impl Rng) -> f64 {
        self.low + (self.high - self.low) * rng.random::<f64>()
    }
}

/// A part of a whole, from 0 to 1.
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

/// Seconds, of 0 or more.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd)]
#[serde(try_from = "f64")]
pub struct Seconds(pub f64);

impl TryFrom<f64> for Seconds {
    type Error = String;

    fn try_from(value: f64) -> Result<Self, String> {
        match Duration::try_from_secs_f64(value) {
            Ok(span) if span < Duration::from_secs(86_400) => Ok(Seconds(value)),
            _ => Err(format!("expected seconds from 0 to 86400, not {value}")),
        }
    }
}

impl Seconds {
    /// The same in microseconds.
    pub fn micros(self) -> u64 {
        (self.0 * 1e6) as u64
    }
}

/// A number from 1 to a million, for rates and counts that can't be zero.
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
