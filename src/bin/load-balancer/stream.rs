//! A server's socket that records how much of the current request has been written.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::client_liveness::Client;
use crate::metrics::Metrics;
use crate::servers::AttemptClock;
use crate::socket_read;
use crate::write_stall::{is_stalled, StallGuard};

/// How much of the current request on a connection has been written. A connection carries one request at a
/// time.
#[derive(Default)]
pub struct RequestProgress {
    /// The request's client until the first byte is written, `None` afterwards: only an attempt that has not
    /// begun is given up because its client has disconnected.
    client: RefCell<Option<Client>>,
    /// Whether the connection has taken the last part of the request.
    body_taken: Cell<bool>,
    /// Whether the last byte was written to the socket: before that, the server can't have run the request.
    fully_written: Cell<bool>,
    /// Whether the request is a health check, which is not counted as forwarded.
    is_health_check: Cell<bool>,
    /// The clock of the current attempt.
    clock: RefCell<Rc<AttemptClock>>,
    /// Whether the connection was given up because the server has stopped reading the request.
    stalled: Cell<bool>,
}

impl RequestProgress {
    /// Starts the record of another request, whose attempt `clock` follows.
    pub fn begin(&self, client: &Client, clock: &Rc<AttemptClock>) {
        clock.restart();
        self.clock.replace(clock.clone());
        self.client.replace(Some(client.clone()));
        self.is_health_check.set(client.is_node());
        self.body_taken.set(false);
        self.fully_written.set(false);
    }

    /// The head of the response has been received.
    pub fn response_head_received(&self) {
        self.clock.borrow().record_head();
    }

    /// The connection has taken the last part of the request.
    pub fn mark_body_taken(&self) {
        self.body_taken.set(true);
    }

    /// Whether the connection was given up because the server has stopped reading the request.
    pub fn has_stalled(&self) -> bool {
        self.stalled.get()
    }

    /// Whether the last byte was written to the socket.
    pub fn is_fully_written(&self) -> bool {
        self.fully_written.get()
    }
}

/// A socket to a server. Writing fails if the server has stopped reading the request (see [`StallGuard`]).
pub struct UpstreamSocket {
    socket: TcpStream,
    progress: Rc<RequestProgress>,
    stall_guard: StallGuard,
    metrics: Rc<Metrics>,
}

impl UpstreamSocket {
    pub fn new(socket: TcpStream, progress: Rc<RequestProgress>, metrics: Rc<Metrics>) -> Self {
        UpstreamSocket {
            socket,
            progress,
            stall_guard: StallGuard::new(),
            metrics,
        }
    }

    /// Whether the request may not be written, or not go on to be: its client has disconnected before the first byte, or
    /// the attempt's time to write is over.
    fn is_write_forbidden(&self) -> bool {
        if self.progress.is_fully_written() {
            return false;
        }
        let clock = self.progress.clock.borrow();
        let client = self.progress.client.borrow();
        let may_not_begin = |client: &Client| !clock.may_begin() || client.has_disconnected();
        clock.is_write_limit_over() || client.as_ref().is_some_and(may_not_begin)
    }

    /// Records the result of a write.
    fn record(&self, written: &io::Result<usize>) {
        if matches!(written, Ok(1..)) {
            self.progress.client.take();
        }
        if is_stalled(written) {
            self.progress.stalled.set(true);
            self.metrics.servers_stalled.increment();
        }
    }
}

impl AsyncRead for UpstreamSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(socket_read::poll_read(&self.socket, cx, buffer))?;
        if buffer.filled().len() > before {
            self.progress.clock.borrow().record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for UpstreamSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(data)])
    }

    /// Writes unless that is forbidden by now. Nothing is awaited between this check and the system call.
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.is_write_forbidden() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let UpstreamSocket {
            socket,
            stall_guard,
            ..
        } = &mut *self;
        let written = ready!(stall_guard.poll_write(cx, socket, data));
        self.record(&written);
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    /// The HTTP library flushes once it has written all that it holds: if it has taken the last part by then,
    /// the whole request is written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.socket).poll_flush(cx);
        let RequestProgress {
            body_taken,
            fully_written,
            is_health_check,
            ..
        } = &*self.progress;
        if matches!(flushed, Poll::Ready(Ok(())))
            && body_taken.get()
            && !fully_written.replace(true)
            && !is_health_check.get()
        {
            self.metrics.requests_forwarded.increment();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
