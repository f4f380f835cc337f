//! Pairs of a dotted path and a value, the form that settings are read from.

use std::collections::HashMap;
use std::str::FromStr;

use super::SettingsError;
use crate::api::Micros;

/// Longest duration that a setting may have: sums of such durations and of clocks stay in range.
const MAX_DURATION: Micros = 30 * 24 * 3_600 * 1_000_000;

/// The number in a field of this name.
///
/// # Errors
///
/// The text is no number of this type.
pub fn number<T: FromStr>(text: &str, name: &str) -> Result<T, SettingsError> {
    text.parse().map_err(|_| SettingsError::InvalidNumber {
        field: name.to_owned(),
        text: text.to_owned(),
    })
}

/// The finite number in a field of this name.
///
/// # Errors
///
/// The text is no number, or infinite or NaN.
pub fn finite(text: &str, name: &str) -> Result<f64, SettingsError> {
    let value: f64 = number(text, name)?;
    if !value.is_finite() {
        return Err(SettingsError::NotFinite {
            field: name.to_owned(),
            text: text.to_owned(),
        });
    }
    Ok(value)
}

/// The values by path. A path that is absent has the default given with the question.
#[derive(Default)]
pub struct Pairs(HashMap<String, String>);

impl Pairs {
    /// Splits a line of `path=value` pairs, separated by spaces.
    ///
    /// # Errors
    ///
    /// A part of the line has no `=`.
    pub fn from_line(text: &str) -> Result<Self, SettingsError> {
        let mut pairs = Pairs::default();
        for pair in text.split(' ').filter(|pair| !pair.is_empty()) {
            let (path, value) = pair
                .split_once('=')
                .ok_or_else(|| SettingsError::NotAPair(pair.to_owned()))?;
            pairs.set(path.to_owned(), value.to_owned());
        }
        Ok(pairs)
    }

    /// Sets the value of a path.
    pub fn set(&mut self, path: String, value: String) {
        self.0.insert(path, value);
    }

    /// The text at a path; an empty one and `-` are absent.
    pub fn text(&self, path: &str) -> Option<&str> {
        self.0
            .get(path)
            .map(String::as_str)
            .filter(|text| !text.is_empty() && *text != "-")
    }

    /// The integer at a path.
    ///
    /// # Errors
    ///
    /// The value is no integer, or negative.
    pub fn integer(&self, path: &str, default: u64) -> Result<u64, SettingsError> {
        self.text(path)
            .map_or(Ok(default), |text| number(text, path))
    }

    /// The duration at a path, in microseconds.
    ///
    /// # Errors
    ///
    /// The value is no integer, or more than 30 days.
    pub fn duration(&self, path: &str, default: Micros) -> Result<Micros, SettingsError> {
        let micros = self.integer(path, default)?;
        if micros > MAX_DURATION {
            return Err(SettingsError::DurationTooLong {
                field: path.to_owned(),
                micros,
            });
        }
        Ok(micros)
    }

    /// The finite number at a path.
    pub(super) fn real(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        self.text(path)
            .map_or(Ok(default), |text| finite(text, path))
    }

    /// Whether a path has the value `true` or `1`.
    pub(super) fn flag(&self, path: &str) -> bool {
        matches!(self.text(path), Some("true" | "1"))
    }
}
