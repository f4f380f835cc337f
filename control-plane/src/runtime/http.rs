//! Owns calls over HTTP/1.1, one a connection, answered in a second or not: the node's status, and staff's program
//! to its agent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
pub use hyper::Method;
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A caller waits so long.
pub const PATIENCE: Duration = Duration::from_secs(1);
/// Bytes of an answer, at most.
const LONGEST: usize = 16 << 20;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nobody listens, or the connection broke.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// What came is no answer.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// Longer than the bound, or broken off.
    #[error("the answer is too long or broken off")]
    Body,
    /// None in time.
    #[error("no answer in time")]
    Late,
}

/// Makes a call: the status and the body.
pub async fn call(addr: SocketAddr, method: Method, path: &str) -> Result<(u16, Bytes), CallError> {
    call_within(PATIENCE, addr, method, path).await
}

/// As [`call`], with another patience.
pub async fn call_within(
    patience: Duration,
    addr: SocketAddr,
    method: Method,
    path: &str,
) -> Result<(u16, Bytes), CallError> {
    let ask = async {
        let stream = TcpStream::connect(addr).await?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        let mut request = Request::new(Empty::<Bytes>::new());
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().map_err(|_| CallError::Body)?;
        if let Ok(host) = addr.to_string().parse() {
            request.headers_mut().insert("host", host);
        }
        let answer = async {
            let answer = sender.send_request(request).await?;
            let status = answer.status().as_u16();
            let body = Limited::new(answer.into_body(), LONGEST).collect().await;
            Ok((status, body.map_err(|_| CallError::Body)?.to_bytes()))
        };
        tokio::pin!(answer, connection);
        tokio::select! {
            answer = &mut answer => answer,
            ended = &mut connection => {
                ended?;
                // All that came may have been read before the connection ended.
                answer.await
            }
        }
    };
    timeout(patience, ask).await.map_err(|_| CallError::Late)?
}
