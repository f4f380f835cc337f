//! A minimal HTTP/1.1 client with one request per connection. The agent uses it to query its node, the command line to
//! query an agent.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::http::uri::InvalidUri;
pub use hyper::Method;
use hyper::{Request, Uri};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Default timeout of a request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest response body in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 20;

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The response is not HTTP, or is incomplete.
    #[error("invalid or incomplete HTTP response: {0}")]
    Http(#[from] hyper::Error),
    /// The path of the request is invalid.
    #[error("invalid request path: {0}")]
    InvalidPath(#[from] InvalidUri),
    /// The response body is longer than [`MAX_BODY_BYTES`].
    #[error("response body is longer than {MAX_BODY_BYTES} bytes")]
    BodyTooLong,
    /// The response body is not the expected JSON.
    #[error("response body is not the expected JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// The request timed out.
    #[error("no complete response in time")]
    Timeout,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The complete body, at most [`MAX_BODY_BYTES`] long.
    pub body: Bytes,
}

impl Response {
    /// Whether the status code is 2xx.
    pub fn is_success(&self) -> bool {
        (200..=299).contains(&self.status)
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    /// If the body is not JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// Makes a request with the default timeout, [`REQUEST_TIMEOUT`].
///
/// # Errors
/// If there is no complete response in time.
pub async fn call(addr: SocketAddr, method: Method, path: &str) -> Result<Response, CallError> {
    call_within(REQUEST_TIMEOUT, addr, method, path).await
}

/// Makes a request.
///
/// # Errors
/// If there is no complete response within `limit`.
pub async fn call_within(
    limit: Duration,
    addr: SocketAddr,
    method: Method,
    path: &str,
) -> Result<Response, CallError> {
    timeout(limit, exchange(addr, method, path))
        .await
        .map_err(|_| CallError::Timeout)?
}

async fn exchange(addr: SocketAddr, method: Method, path: &str) -> Result<Response, CallError> {
    let stream = TcpStream::connect(addr).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.method_mut() = method;
    *request.uri_mut() = path.parse::<Uri>()?;
    if let Ok(host) = addr.to_string().parse() {
        request.headers_mut().insert("host", host);
    }
    let response = async {
        let response = sender.send_request(request).await?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(body_error)?;
        Ok(Response {
            status,
            body: body.to_bytes(),
        })
    };
    tokio::pin!(response, connection);
    tokio::select! {
        response = &mut response => response,
        closed = &mut connection => {
            closed?;
            // The response may have been received completely before the connection closed.
            response.await
        }
    }
}

/// Converts the error of a body: either its connection failed, or it is longer than allowed.
fn body_error(error: Box<dyn Error + Send + Sync>) -> CallError {
    match error.downcast::<hyper::Error>() {
        Ok(error) => CallError::Http(*error),
        Err(_) => CallError::BodyTooLong,
    }
}

#[cfg(test)]
mod tests;
