//! Errors in parsing and reloading settings.

use crate::api::Micros;

/// Why settings were rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A field's value is not a number, or not in the range of the field's type.
    #[error("field '{field}': '{text}' is not a number in range")]
    InvalidNumber {
        /// The field's dotted path.
        field: String,
        /// The field's value.
        text: String,
    },
    /// A field's value is infinite or NaN.
    #[error("field '{field}': '{text}' is not finite")]
    NotFinite {
        /// The field's dotted path.
        field: String,
        /// The field's value.
        text: String,
    },
    /// A field's value is longer than the longest duration allowed.
    #[error("field '{field}': {micros} microseconds are longer than the limit of 30 days")]
    DurationTooLong {
        /// The field's dotted path.
        field: String,
        /// The field's value, in microseconds.
        micros: Micros,
    },
    /// A part of a settings line has no `=`.
    #[error("'{0}' is not a 'path=value' pair")]
    NotAPair(String),
    /// A list has too many items.
    #[error("{list}.count={count}: too many items, {max} at most")]
    TooManyItems {
        /// The list's dotted path.
        list: &'static str,
        /// Number of items that the settings declare.
        count: u64,
        /// Most items that the list may have.
        max: usize,
    },
    /// After a reload, a list would have too many items, withdrawn ones included.
    #[error(
        "{count} {list}, including those withdrawn since the start, are too many: {max} at most"
    )]
    TooManyItemsAfterReload {
        /// The list's dotted path.
        list: &'static str,
        /// Number of items that the list would have.
        count: usize,
        /// Most items that the list may have.
        max: usize,
    },
    /// The new settings have no class although the settings in force have one or more.
    #[error("the settings name no class")]
    NoClasses,
}
