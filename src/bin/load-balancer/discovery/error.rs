//! Errors that end a watch on the endpoint list.

use std::error::Error;
use std::io;

use hyper::StatusCode;
use tokio::time::error::Elapsed;

use super::endpoint_list::EndpointListError;

/// Why a watch could not be opened, or why it ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The connection could not be opened.
    #[error("can't connect: {0}")]
    Connect(#[from] io::Error),
    /// The request could not be built.
    #[error("can't build the watch request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The connection failed, or the response broke off.
    #[error("watch failed: {0}{cause}", cause = cause_text(.0))]
    Http(#[from] hyper::Error),
    /// No connection, response or complete item arrived in time.
    #[error("watch timed out: {0}")]
    Timeout(#[from] Elapsed),
    /// Discovery responded with another status than 200.
    #[error("the watch request was answered with status {0}")]
    Status(StatusCode),
    /// Discovery ended the response.
    #[error("watch closed by discovery")]
    Ended,
    /// A list was rejected, or the response is not a sequence of lists.
    #[error("{0}")]
    List(#[from] EndpointListError),
}

impl WatchError {
    /// Whether the watch timed out.
    pub fn is_timeout(&self) -> bool {
        matches!(self, WatchError::Timeout(_))
    }

    /// Whether a list was rejected. A new watch is likely to receive the same list.
    pub fn is_list_rejected(&self) -> bool {
        matches!(self, WatchError::List(_))
    }
}

/// The cause of an HTTP error, after a colon: the error's own text does not include it.
fn cause_text(error: &hyper::Error) -> String {
    error
        .source()
        .map_or_else(String::new, |cause| format!(": {cause}"))
}
