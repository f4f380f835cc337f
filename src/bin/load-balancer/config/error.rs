//! Errors in a configuration file.

use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;

use load_balancer::settings::SettingsError;

/// What is wrong with a configuration's text.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not JSON, or a field has the wrong type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// Neither the environment sets this variable nor the file the key that it overrides.
    #[error("{0} is not set, and the file has no such address")]
    Missing(&'static str),
    /// An address can't be parsed.
    #[error("{name}: '{text}' is not an address with a port: {source}")]
    InvalidAddress {
        /// The variable or the field of the file.
        name: &'static str,
        /// The invalid value.
        text: String,
        /// The parser's error.
        source: AddrParseError,
    },
    /// A reloaded file does not have discovery's address.
    #[error("the file names no discovery address")]
    NoDiscovery,
    /// The settings are invalid, or can't replace those in effect.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}

/// Why a configuration file could not be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The file could not be read.
    #[error("can't read {}: {source}", path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// Why it could not be read.
        source: io::Error,
    },
    /// The file is longer than a configuration may be.
    #[error("{}: {bytes} bytes are too many, the maximum is {max_bytes}", path.display())]
    TooLong {
        /// The path of the file.
        path: PathBuf,
        /// The file's length, in bytes.
        bytes: u64,
        /// The maximum length, in bytes.
        max_bytes: u64,
    },
    /// The file's content is invalid.
    #[error("{} of {bytes} bytes is invalid: {source}", path.display())]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// The file's length, in bytes.
        bytes: usize,
        /// What is wrong with the content.
        source: ConfigError,
    },
    /// The thread that reads the file has panicked.
    #[error("the thread that reads the configuration failed: {0}")]
    Thread(#[source] tokio::task::JoinError),
}
