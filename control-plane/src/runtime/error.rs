//! Errors of the agent's runtime.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why an agent could not start.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// An address can't be bound.
    #[error("{what} {addr}: {source}")]
    Bind {
        /// What the address is for.
        what: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A file or folder of persisted state can't be used.
    #[error("{path}: {source}")]
    State {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Another agent has locked the state folder.
    #[error("{0}: another agent runs on this folder")]
    Locked(PathBuf),
    /// Signal handlers can't be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
}
