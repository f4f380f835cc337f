//! Pairs of a dotted path and a value: the form from which settings are parsed.

use std::collections::HashMap;
use std::str::FromStr;

use super::SettingsError;
use crate::api::Micros;

/// Longest duration that a setting may have, 30 days: sums of durations and clock times do not overflow.
const MAX_DURATION: Micros = 30 * 24 * 3_600 * 1_000_000;

/// Parses the number in the field `name`, which is named in the error only.
///
/// # Errors
///
/// The text is not a number, or not in the range of the type.
pub fn number<T: FromStr>(text: &str, name: &str) -> Result<T, SettingsError> {
    text.parse().map_err(|_| SettingsError::InvalidNumber {
        field: name.to_owned(),
        text: text.to_owned(),
    })
}

/// Parses the finite number in the field `name`, which is named in the error only.
///
/// # Errors
///
/// The text is not a number, or is infinite or NaN.
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

/// The values of the settings by path. Lookups take the default for a path without a value.
#[derive(Default)]
pub struct Pairs(HashMap<String, String>);

impl Pairs {
    /// Parses a line of `path=value` pairs, separated by spaces.
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

    /// Sets the value at a path, in place of an earlier one.
    pub fn set(&mut self, path: String, value: String) {
        self.0.insert(path, value);
    }

    /// The text at a path; `None` if the path is missing or its value is empty or `-`.
    pub fn text(&self, path: &str) -> Option<&str> {
        self.0
            .get(path)
            .map(String::as_str)
            .filter(|text| !text.is_empty() && *text != "-")
    }

    /// The integer at a path, or `default` without a value.
    ///
    /// # Errors
    ///
    /// The value is not an integer, or is negative or above `u64::MAX`.
    pub fn integer(&self, path: &str, default: u64) -> Result<u64, SettingsError> {
        self.text(path)
            .map_or(Ok(default), |text| number(text, path))
    }

    /// The duration at a path in microseconds, or `default` without a value.
    ///
    /// # Errors
    ///
    /// The value is not an integer, or is negative or longer than 30 days.
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

    /// The finite number at a path, or `default` without a value.
    pub(super) fn real(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        self.text(path)
            .map_or(Ok(default), |text| finite(text, path))
    }

    /// Whether a path has the value `true` or `1`.
    pub(super) fn flag(&self, path: &str) -> bool {
        matches!(self.text(path), Some("true" | "1"))
    }
}
