//! Why a node could not start.

use std::io;
use std::net::SocketAddr;

use crate::config::ConfigFileError;
use crate::descriptors::TooFew;
use crate::inherited_listener::InheritError;

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// `$BALANCER_FD` names no usable listener.
    #[error("BALANCER_FD: {0}")]
    InheritedListener(#[source] InheritError),
    /// `$BALANCER_CONFIG` is not set.
    #[error("BALANCER_CONFIG is not set")]
    NoConfigPath,
    /// The configuration could not be loaded.
    #[error("{0}")]
    Config(#[from] ConfigFileError),
    /// An address could not be bound.
    #[error("{address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The process may open too few descriptors.
    #[error("{0}")]
    Descriptors(#[from] TooFew),
    /// The runtime, a signal handler or a socket failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}
