//! The HTTP request and response of a watch.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use super::WatchError;
use crate::task::{AbortOnDrop, Budget};

/// An open watch: the response's body and the connection it arrives on. Closed when dropped.
pub struct WatchStream {
    body: Incoming,
    _connection: AbortOnDrop,
    _sender: SendRequest<Empty<Bytes>>,
}

impl WatchStream {
    /// Connects and requests the changes after `revision`.
    ///
    /// # Errors
    ///
    /// No response with status 200 arrived by `deadline`. The wait for a socket counts too.
    pub async fn open(
        address: SocketAddr,
        revision: u64,
        sockets: &Rc<Budget>,
        deadline: Instant,
    ) -> Result<WatchStream, WatchError> {
        // The watch that this one replaces frees its permit when its aborted task is next polled.
        let permit = timeout_at(deadline, sockets.wait()).await?;
        let stream = timeout_at(deadline, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let connection = AbortOnDrop::spawn(async move {
            let _permit = permit;
            drop(connection.await);
        });
        let request = Request::get(format!("/api/targets?stream=1&index={revision}"))
            .header("host", address.to_string())
            .body(Empty::<Bytes>::new())?;
        let response = timeout_at(deadline, sender.send_request(request)).await??;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status(response.status()));
        }
        Ok(WatchStream {
            body: response.into_body(),
            _connection: connection,
            _sender: sender,
        })
    }

    /// The next chunk of the body.
    ///
    /// # Errors
    ///
    /// No chunk arrived by `deadline`, the response ended, or the connection failed.
    pub async fn next_chunk(&mut self, deadline: Instant) -> Result<Bytes, WatchError> {
        loop {
            let Some(frame) = timeout_at(deadline, self.body.frame()).await? else {
                return Err(WatchError::Ended);
            };
            // Trailers are ignored.
            if let Ok(chunk) = frame?.into_data() {
                return Ok(chunk);
            }
        }
    }
}
