//! Why a node could not start.

use std::io;
use std::net::SocketAddr;

use crate::config::ConfigFileError;
use crate::descriptors::TooFewDescriptors;
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
    Descriptors(#[from] TooFewDescriptors),
    /// The runtime could not be built.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler could not be installed.
    #[error("signal handler: {0}")]
    SignalHandler(#[source] io::Error),
    /// An inherited listener could not be registered, or a listener's address not be read.
    #[error("listener: {0}")]
    Listener(#[source] io::Error),
}
