//! Errors of reading settings.

use crate::api::Micros;

/// Why settings were rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A field is no number, or not in the range of its type.
    #[error("field '{field}': '{text}' is not a number in range")]
    InvalidNumber {
        /// The field's path.
        field: String,
        /// Its value.
        text: String,
    },
    /// A field is infinite or not a number.
    #[error("field '{field}': '{text}' is not finite")]
    NotFinite {
        /// The field's path.
        field: String,
        /// Its value.
        text: String,
    },
    /// A field is longer than the longest duration.
    #[error("field '{field}': '{micros}' microseconds are more than 30 days")]
    DurationTooLong {
        /// The field's path.
        field: String,
        /// Its value.
        micros: Micros,
    },
    /// A part of a line is no pair of path and value.
    #[error("'{0}' is no pair")]
    NotAPair(String),
    /// A list has too many items.
    #[error("{list}.count={count} is too many, {max} at most")]
    TooManyItems {
        /// The path of the list.
        list: &'static str,
        /// How many items it has.
        count: u64,
        /// How many it may have.
        max: usize,
    },
    /// A list would have too many items after a reload, withdrawn ones included.
    #[error(
        "{count} {list} with those that were withdrawn since the start are too many, {max} at most"
    )]
    TooManyItemsAfterReload {
        /// The path of the list.
        list: &'static str,
        /// How many items it would have.
        count: usize,
        /// How many it may have.
        max: usize,
    },
    /// Settings without a class can't replace settings with one.
    #[error("the settings name no class")]
    NoClasses,
}
