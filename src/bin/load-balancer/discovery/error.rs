//! Why a watch ended.

use std::error::Error;
use std::fmt;
use std::io;

use hyper::StatusCode;
use tokio::time::error::Elapsed;

use super::endpoint_list::EndpointListError;

/// Why a watch could not be opened or ended.
#[derive(Debug)]
pub enum WatchError {
    /// The connection could not be opened.
    Connect(io::Error),
    /// The request could not be built.
    Request(hyper::http::Error),
    /// The connection failed, or the response broke off.
    Http(hyper::Error),
    /// Nothing arrived in time.
    Timeout(Elapsed),
    /// The server answered with another status than 200.
    Status(StatusCode),
    /// The server ended the response.
    Ended,
    /// An item of the watch was rejected.
    List(EndpointListError),
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

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Connect(error) => error.fmt(f),
            WatchError::Request(error) => error.fmt(f),
            WatchError::Http(error) => error.fmt(f),
            WatchError::Timeout(error) => write!(f, "{error}: the watch is silent"),
            WatchError::Status(status) => write!(f, "watch answered {status}"),
            WatchError::Ended => f.write_str("watch ended"),
            WatchError::List(error) => error.fmt(f),
        }
    }
}

impl Error for WatchError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            WatchError::Connect(error) => Some(error),
            WatchError::Request(error) => Some(error),
            WatchError::Http(error) => Some(error),
            WatchError::Timeout(error) => Some(error),
            WatchError::List(error) => Some(error),
            WatchError::Status(_) | WatchError::Ended => None,
        }
    }
}

impl From<io::Error> for WatchError {
    fn from(error: io::Error) -> Self {
        WatchError::Connect(error)
    }
}

impl From<hyper::http::Error> for WatchError {
    fn from(error: hyper::http::Error) -> Self {
        WatchError::Request(error)
    }
}

impl From<hyper::Error> for WatchError {
    fn from(error: hyper::Error) -> Self {
        WatchError::Http(error)
    }
}

impl From<Elapsed> for WatchError {
    fn from(error: Elapsed) -> Self {
        WatchError::Timeout(error)
    }
}

impl From<EndpointListError> for WatchError {
    fn from(error: EndpointListError) -> Self {
        WatchError::List(error)
    }
}
