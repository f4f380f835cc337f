//! Errors of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use control_plane::config::ConfigError;
use control_plane::membership::Name;
use control_plane::runtime::http::{CallError, Response};
use control_plane::runtime::RuntimeError;
use control_plane::storage::StorageError;

/// Why a command could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The agent could not start.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// The arguments name no agent.
    #[error("no agent given: use --at ADDR, or --config FILE for the agent of this machine")]
    NoAgent,
    /// The agent did not answer, or its answer can't be parsed.
    #[error("request to the agent at {addr} failed: {source}")]
    Request {
        /// Address of the agent's HTTP interface for operators.
        addr: SocketAddr,
        /// Why the request failed.
        source: CallError,
    },
    /// The agent answered with an error.
    #[error("the agent at {addr} answered with HTTP status {status}: {body}")]
    Status {
        /// Address of the agent's HTTP interface for operators.
        addr: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The body, as text.
        body: String,
    },
    /// `voter-init` without --join for an agent that is not among the first voters.
    #[error("{}: {name} is not among the first voters; use --join to join the voters of a running fleet", path.display())]
    NotFirstVoter {
        /// Path of the configuration.
        path: PathBuf,
        /// Name of the agent.
        name: Name,
    },
    /// The voter's store can't be created.
    #[error("can't create the voter's store {}: {source}", path.display())]
    Storage {
        /// Path of the store.
        path: PathBuf,
        /// Why the store can't be created.
        source: StorageError,
    },
    /// A report can't be converted to JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A report can't be formatted.
    #[error(transparent)]
    Format(#[from] std::fmt::Error),
    /// The wall clock is before 1970.
    #[error(transparent)]
    Clock(#[from] std::time::SystemTimeError),
    /// A file or the terminal can't be read or written.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl CliError {
    /// The error for a response with an unexpected status.
    pub fn status(addr: SocketAddr, response: &Response) -> CliError {
        CliError::Status {
            addr,
            status: response.status,
            body: String::from_utf8_lossy(&response.body).trim().to_owned(),
        }
    }
}
