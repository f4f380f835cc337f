//! Errors that keep a node from starting.

use std::io;
use std::net::SocketAddr;

use crate::config::ConfigFileError;
use crate::descriptors::TooFewDescriptors;
use crate::inherited_listener::InheritError;

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// `$BALANCER_FD` does not name a usable listener.
    #[error("BALANCER_FD: {0}")]
    InheritedListener(#[source] InheritError),
    /// `$BALANCER_CONFIG` is not set.
    #[error("BALANCER_CONFIG is not set")]
    NoConfigPath,
    /// The configuration could not be loaded.
    #[error("configuration: {0}")]
    Config(#[from] ConfigFileError),
    /// An address could not be bound.
    #[error("can't bind {address}: {source}")]
    Bind {
        /// The address that was to be bound.
        address: SocketAddr,
        /// Why it can't be bound.
        source: io::Error,
    },
    /// The process may open too few file descriptors.
    #[error("{0}")]
    Descriptors(#[from] TooFewDescriptors),
    /// The async runtime could not be built.
    #[error("can't build the async runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler could not be installed.
    #[error("can't install a signal handler: {0}")]
    SignalHandler(#[source] io::Error),
    /// An inherited listener could not be registered with the runtime, or a listener's address could not be read.
    #[error("can't use the listening socket: {0}")]
    Listener(#[source] io::Error),
}
