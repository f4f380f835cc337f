//! Owns the calls that operators make at a node's second address (DAYS, "Where operators call"), and the
//! question whether it is ready. One call to a connection, one second for the answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// A caller waits so long.
const PATIENCE: Duration = Duration::from_secs(1);

/// Makes a call: whether the answer is yes; `None` without one in time.
pub async fn call(addr: SocketAddr, method: Method, path: &str) -> Option<bool> {
    let ask = async {
        let stream = TcpStream::connect(addr).await.ok()?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .ok()?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", addr.to_string());
        let request = request
            .header("connection", "close")
            .body(Empty::<Bytes>::new())
            .ok()?;
        let driver = tokio::spawn(connection);
        let answer = sender.send_request(request).await;
        driver.abort();
        Some(answer.ok()?.status().is_success())
    };
    tokio::time::timeout(PATIENCE, ask).await.ok().flatten()
}
