//! Why a node could not start.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;

use crate::config::ConfigFileError;
use crate::descriptors::TooFew;
use crate::inherited_listener::InheritError;

/// Why a node could not start.
#[derive(Debug)]
pub enum StartError {
    /// `$BALANCER_FD` names no usable listener.
    InheritedListener(InheritError),
    /// `$BALANCER_CONFIG` is not set.
    NoConfigPath,
    /// The configuration could not be loaded.
    Config(ConfigFileError),
    /// An address could not be bound.
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The process may open too few descriptors.
    Descriptors(TooFew),
    /// The runtime, a signal handler or a socket failed.
    Io(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::InheritedListener(error) => write!(f, "BALANCER_FD: {error}"),
            StartError::NoConfigPath => f.write_str("BALANCER_CONFIG is not set"),
            StartError::Config(error) => error.fmt(f),
            StartError::Bind { address, source } => write!(f, "{address}: {source}"),
            StartError::Descriptors(error) => error.fmt(f),
            StartError::Io(error) => error.fmt(f),
        }
    }
}

impl Error for StartError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            StartError::InheritedListener(error) => Some(error),
            StartError::NoConfigPath => None,
            StartError::Config(error) => Some(error),
            StartError::Bind { source, .. } => Some(source),
            StartError::Descriptors(error) => Some(error),
            StartError::Io(error) => Some(error),
        }
    }
}

impl From<ConfigFileError> for StartError {
    fn from(error: ConfigFileError) -> Self {
        StartError::Config(error)
    }
}

impl From<TooFew> for StartError {
    fn from(error: TooFew) -> Self {
        StartError::Descriptors(error)
    }
}

impl From<io::Error> for StartError {
    fn from(error: io::Error) -> Self {
        StartError::Io(error)
    }
}
