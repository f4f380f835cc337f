//! Errors of the simulator's protocol.

use std::fmt;
use std::io;

use load_balancer::settings::SettingsError;

/// Why the input could not be processed.
#[derive(Debug)]
pub enum WireError {
    /// A field of a line is missing, empty or invalid.
    Field {
        /// The field's name on the wire.
        name: &'static str,
        /// What is wrong with the field.
        problem: FieldProblem,
    },
    /// A message is unknown or not allowed at this point, a line has too many fields, or a batch or a list
    /// is incomplete.
    Protocol(String),
    /// The settings of a node, or a number in a line, could not be parsed.
    Settings(SettingsError),
    /// Reading the input or writing the reply failed.
    Io(io::Error),
}

/// What is wrong with a field.
#[derive(Debug)]
pub enum FieldProblem {
    /// The line ends before the field.
    Missing,
    /// The field must have a value and has none.
    Empty,
    /// The field's value can't be used, for this reason.
    Invalid(String),
}

impl WireError {
    /// The error for a field whose value can't be used, with the reason.
    pub fn invalid(name: &'static str, reason: impl Into<String>) -> Self {
        WireError::Field {
            name,
            problem: FieldProblem::Invalid(reason.into()),
        }
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Field { name, problem } => match problem {
                FieldProblem::Missing => write!(f, "field '{name}' is missing"),
                FieldProblem::Empty => write!(f, "field '{name}' is empty"),
                FieldProblem::Invalid(reason) => write!(f, "field '{name}': {reason}"),
            },
            WireError::Protocol(text) => f.write_str(text),
            WireError::Settings(error) => error.fmt(f),
            WireError::Io(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for WireError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            WireError::Settings(error) => Some(error),
            WireError::Io(error) => Some(error),
            WireError::Field { .. } | WireError::Protocol(_) => None,
        }
    }
}

impl From<SettingsError> for WireError {
    fn from(error: SettingsError) -> Self {
        WireError::Settings(error)
    }
}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        WireError::Io(error)
    }
}
