//! The kinds of errors of a failed request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use hyper::Method;

use super::{call_within, CallError, Response, MAX_BODY_BYTES};

/// Far longer than needed, as a busy machine may be slow.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A server that answers one request with these bytes and closes the connection.
fn answer_once(answer: Vec<u8>) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            request.push(byte[0]);
        }
        // The client closes the connection if the answer is too long for it.
        let _ = stream.write_all(&answer);
    });
    (addr, server)
}

async fn call_answered_by(answer: Vec<u8>) -> Result<Response, CallError> {
    let (addr, server) = answer_once(answer);
    let result = call_within(TIMEOUT, addr, Method::GET, "/status").await;
    server.join().unwrap();
    result
}

/// Guards against reporting a body that exceeds the limit as a broken connection.
#[tokio::test]
async fn a_body_beyond_the_limit_is_reported_as_too_long() {
    let mut answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
        MAX_BODY_BYTES + 1
    )
    .into_bytes();
    answer.resize(answer.len() + MAX_BODY_BYTES + 1, b'x');
    let error = call_answered_by(answer).await.unwrap_err();
    assert!(matches!(error, CallError::BodyTooLong), "{error:?}");
}

/// Guards against accepting an incomplete body, and against reporting it as too long.
#[tokio::test]
async fn an_incomplete_body_is_an_http_error() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhal".to_vec();
    let error = call_answered_by(answer).await.unwrap_err();
    assert!(matches!(error, CallError::Http(_)), "{error:?}");
}

/// Guards against an unreadable answer that is reported without its cause.
#[tokio::test]
async fn a_body_that_is_not_the_expected_json_is_reported_with_its_cause() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{]".to_vec();
    let response = call_answered_by(answer).await.unwrap();
    let error = response.json::<Vec<u64>>().unwrap_err();
    assert!(matches!(error, CallError::InvalidJson(_)), "{error:?}");
}
