//! A server's socket that tells how far the request at hand has gone out.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::client_liveness::Client;
use crate::metrics::Metrics;

/// How far the request at hand has gone out. Each connection carries one at a time.
#[derive(Default)]
pub struct RequestProgress {
    /// For whom it is sent: nobody once its first byte was written, as it has begun then.
    client: RefCell<Option<Client>>,
    /// Its last part was handed to the connection.
    handed: Cell<bool>,
    /// Its last byte was written: before that it can't have run.
    whole: Cell<bool>,
    /// It is a probe and counts as no attempt.
    probe: Cell<bool>,
}

impl RequestProgress {
    /// Another request begins, for this client.
    pub fn begin(&self, client: &Client) {
        self.client.replace(Some(client.clone()));
        self.probe.set(client.is_node());
        self.handed.set(false);
        self.whole.set(false);
    }

    pub fn hand(&self) {
        self.handed.set(true);
    }

    pub fn is_fully_written(&self) -> bool {
        self.whole.get()
    }
}

/// A server's socket.
pub struct UpstreamSocket {
    socket: TcpStream,
    progress: Rc<RequestProgress>,
    metrics: Rc<Metrics>,
}

impl UpstreamSocket {
    pub fn new(socket: TcpStream, progress: Rc<RequestProgress>, metrics: Rc<Metrics>) -> Self {
        UpstreamSocket {
            socket,
            progress,
            metrics,
        }
    }

    /// Writes for a client that is there. The last look at it is this one: from here to the system's own
    /// write nothing waits.
    fn write(
        &mut self,
        write: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if self
            .progress
            .client
            .borrow()
            .as_ref()
            .is_some_and(Client::has_disconnected)
        {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let written = write(Pin::new(&mut self.socket));
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.progress.client.take();
        }
        written
    }
}

impl AsyncRead for UpstreamSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buffer)
    }
}

impl AsyncWrite for UpstreamSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(|socket| socket.poll_write(cx, data))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(|socket| socket.poll_write_vectored(cx, data))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    /// The connection flushes once it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.socket).poll_flush(cx);
        let RequestProgress {
            handed,
            whole,
            probe,
            ..
        } = &*self.progress;
        if matches!(flushed, Poll::Ready(Ok(())))
            && handed.get()
            && !whole.replace(true)
            && !probe.get()
        {
            self.metrics.requests_forwarded.increment();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
