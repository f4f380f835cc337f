//! Why a watch ended.

use std::error::Error;
use std::io;

use hyper::StatusCode;
use tokio::time::error::Elapsed;

use super::endpoint_list::EndpointListError;

/// Why a watch could not be opened or ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The connection could not be opened.
    #[error("{0}")]
    Connect(#[from] io::Error),
    /// The request could not be built.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The connection failed, or the response broke off.
    #[error("{0}{cause}", cause = cause_text(.0))]
    Http(#[from] hyper::Error),
    /// Nothing arrived in time.
    #[error("{0}: the watch is silent")]
    Timeout(#[from] Elapsed),
    /// The server answered with another status than 200.
    #[error("watch answered {0}")]
    Status(StatusCode),
    /// The server ended the response.
    #[error("watch ended")]
    Ended,
    /// An item of the watch was rejected.
    #[error("{0}")]
    List(#[from] EndpointListError),
}

impl WatchError {
    /// Whether the watch was silent for too long.
    pub fn is_timeout(&self) -> bool {
        matches!(self, WatchError::Timeout(_))
    }

    /// Whether a list was rejected: the next one is likely to be the same.
    pub fn is_list_rejected(&self) -> bool {
        matches!(self, WatchError::List(_))
    }
}

/// The cause of an HTTP error after a colon; its own text leaves the cause out.
fn cause_text(error: &hyper::Error) -> String {
    error
        .source()
        .map_or_else(String::new, |cause| format!(": {cause}"))
}
