//! Errors of reading a configuration.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;

use load_balancer::settings::SettingsError;

/// What is wrong with a configuration's text.
#[derive(Debug)]
pub enum ConfigError {
    /// It is not JSON, or a field has another type.
    Json(serde_json::Error),
    /// Neither the environment nor the file sets this variable.
    Missing(&'static str),
    /// An address that can't be parsed.
    InvalidAddress {
        /// The variable or field.
        name: &'static str,
        /// Its value.
        text: String,
        /// Why it can't be parsed.
        source: AddrParseError,
    },
    /// A reloaded file without discovery's address.
    NoDiscovery,
    /// The platform's settings are invalid, or can't follow those in force.
    Settings(SettingsError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Json(error) => error.fmt(f),
            ConfigError::Missing(name) => write!(f, "{name} is not set"),
            ConfigError::InvalidAddress { name, text, source } => {
                write!(f, "{name} '{text}': {source}")
            }
            ConfigError::NoDiscovery => f.write_str("the file names no discovery"),
            ConfigError::Settings(error) => error.fmt(f),
        }
    }
}

impl Error for ConfigError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ConfigError::Json(error) => Some(error),
            ConfigError::InvalidAddress { source, .. } => Some(source),
            ConfigError::Settings(error) => Some(error),
            ConfigError::Missing(_) | ConfigError::NoDiscovery => None,
        }
    }
}

impl From<serde_json::Error> for ConfigError {
    fn from(error: serde_json::Error) -> Self {
        ConfigError::Json(error)
    }
}

impl From<SettingsError> for ConfigError {
    fn from(error: SettingsError) -> Self {
        ConfigError::Settings(error)
    }
}

/// Why a configuration file could not be used.
#[derive(Debug)]
pub enum ConfigFileError {
    /// It could not be read.
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// It is longer than a configuration may be.
    TooLong {
        /// The file.
        path: PathBuf,
        /// Its length in bytes.
        bytes: u64,
        /// The longest that is read, in bytes.
        max_bytes: u64,
    },
    /// Its content is invalid.
    Invalid {
        /// The file.
        path: PathBuf,
        /// Its length in bytes.
        bytes: usize,
        /// What is wrong with it.
        source: ConfigError,
    },
    /// The thread that read it has panicked.
    Thread(tokio::task::JoinError),
}

impl fmt::Display for ConfigFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigFileError::Read { path, source } => write!(f, "{}: {source}", path.display()),
            ConfigFileError::TooLong {
                path,
                bytes,
                max_bytes,
            } => write!(
                f,
                "{}: {bytes} bytes are too many, {max_bytes} are the most",
                path.display()
            ),
            ConfigFileError::Invalid {
                path,
                bytes,
                source,
            } => write!(f, "{} of {bytes} bytes: {source}", path.display()),
            ConfigFileError::Thread(error) => error.fmt(f),
        }
    }
}

impl Error for ConfigFileError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ConfigFileError::Read { source, .. } => Some(source),
            ConfigFileError::Invalid { source, .. } => Some(source),
            ConfigFileError::Thread(error) => Some(error),
            ConfigFileError::TooLong { .. } => None,
        }
    }
}
