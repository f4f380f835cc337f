//! Errors of reading settings.

use std::error::Error;
use std::fmt;

use crate::api::Micros;

/// Why settings were rejected.
#[derive(Debug)]
pub enum SettingsError {
    /// A field is no number, or not in the range of its type.
    InvalidNumber {
        /// The field's path.
        field: String,
        /// Its value.
        text: String,
    },
    /// A field is infinite or not a number.
    NotFinite {
        /// The field's path.
        field: String,
        /// Its value.
        text: String,
    },
    /// A field is longer than the longest duration.
    DurationTooLong {
        /// The field's path.
        field: String,
        /// Its value.
        micros: Micros,
    },
    /// A part of a line is no pair of path and value.
    NotAPair(String),
    /// A list has too many items.
    TooManyItems {
        /// The path of the list.
        list: &'static str,
        /// How many items it has.
        count: u64,
        /// How many it may have.
        max: usize,
    },
    /// A list would have too many items after a reload, withdrawn ones included.
    TooManyItemsAfterReload {
        /// The path of the list.
        list: &'static str,
        /// How many items it would have.
        count: usize,
        /// How many it may have.
        max: usize,
    },
    /// Settings without a class can't replace settings with one.
    NoClasses,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::InvalidNumber { field, text } => {
                write!(f, "field '{field}': '{text}' is not a number in range")
            }
            SettingsError::NotFinite { field, text } => {
                write!(f, "field '{field}': '{text}' is not finite")
            }
            SettingsError::DurationTooLong { field, micros } => write!(
                f,
                "field '{field}': '{micros}' microseconds are more than 30 days"
            ),
            SettingsError::NotAPair(text) => write!(f, "'{text}' is no pair"),
            SettingsError::TooManyItems { list, count, max } => {
                write!(f, "{list}.count={count} is too many, {max} at most")
            }
            SettingsError::TooManyItemsAfterReload { list, count, max } => write!(
                f,
                "{count} {list} with those that were withdrawn since the start are too many, \
                 {max} at most"
            ),
            SettingsError::NoClasses => f.write_str("the settings name no class"),
        }
    }
}

impl Error for SettingsError {}
