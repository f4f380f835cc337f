//! Operator calls to a node's second address (DAYS, "Where operators call"), and the readiness check. Each
//! call opens its own connection and waits at most one second for the response.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Time limit for the connection and the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Makes a call. Returns whether the status is a success, or `None` without a response in time.
pub async fn call(addr: SocketAddr, method: Method, path: &str) -> Option<bool> {
    let exchange = async {
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
        let response = sender.send_request(request).await;
        driver.abort();
        Some(response.ok()?.status().is_success())
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .ok()
        .flatten()
}
