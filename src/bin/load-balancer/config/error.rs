//! Errors of reading a configuration.

use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;

use load_balancer::settings::SettingsError;

/// What is wrong with a configuration's text.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It is not JSON, or a field has another type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// Neither the environment nor the file sets this variable.
    #[error("{0} is not set")]
    Missing(&'static str),
    /// An address that can't be parsed.
    #[error("{name} '{text}': {source}")]
    InvalidAddress {
        /// The variable or field.
        name: &'static str,
        /// Its value.
        text: String,
        /// Why it can't be parsed.
        source: AddrParseError,
    },
    /// A reloaded file without discovery's address.
    #[error("the file names no discovery")]
    NoDiscovery,
    /// The platform's settings are invalid, or can't follow those in force.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}

/// Why a configuration file could not be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// It could not be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// It is longer than a configuration may be.
    #[error("{}: {bytes} bytes are too many, {max_bytes} are the most", path.display())]
    TooLong {
        /// The file.
        path: PathBuf,
        /// Its length in bytes.
        bytes: u64,
        /// The longest that is read, in bytes.
        max_bytes: u64,
    },
    /// Its content is invalid.
    #[error("{} of {bytes} bytes: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Its length in bytes.
        bytes: usize,
        /// What is wrong with it.
        source: ConfigError,
    },
    /// The thread that read it has panicked.
    #[error("{0}")]
    Thread(#[source] tokio::task::JoinError),
}
