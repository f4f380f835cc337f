//! Errors of the agent's runtime.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why an agent could not start.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// An address can't be bound.
    #[error("can't bind {addr} for {purpose}: {source}")]
    Bind {
        /// What the address is used for.
        purpose: &'static str,
        /// The address that can't be bound.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file or folder of persisted state can't be used.
    #[error("can't use the persisted state at {path}: {source}")]
    State {
        /// The file or folder that can't be used.
        path: PathBuf,
        /// Why it can't be used.
        source: io::Error,
    },
    /// Another agent has locked this state folder.
    #[error("state folder {0} is locked: another agent runs on this folder")]
    Locked(PathBuf),
    /// Signal handlers can't be installed.
    #[error("can't install signal handlers: {0}")]
    Signals(#[source] io::Error),
}
