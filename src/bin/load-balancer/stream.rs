//! A server's socket that records how much of the current request has been written, and keeps a request that is given up
//! from reaching its server later.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::client_liveness::Client;
use crate::metrics::Metrics;
use crate::servers::AttemptClock;
use crate::socket_read;
use crate::unsent_bytes::has_unsent_bytes;
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
    /// Whether a request was begun whose response has not.
    awaits_response: Cell<bool>,
    /// The connection's socket.
    socket: RefCell<Weak<TcpStream>>,
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
        self.awaits_response.set(true);
    }

    /// Waits until the request must not reach its server any more, as its client has disconnected or its time to be written
    /// is over. Never returns once the last byte has left this machine.
    pub async fn becomes_undeliverable(&self, client: &Client) {
        let clock = self.clock.borrow().clone();
        tokio::select! {
            () = client.disconnected() => {}
            () = clock.write_limit() => {}
        }
        if self.has_left_the_machine() {
            std::future::pending().await
        }
    }

    /// Whether the last byte was written, and the system has sent it.
    fn has_left_the_machine(&self) -> bool {
        let socket = self.socket.borrow().upgrade();
        self.is_fully_written() && !socket.is_some_and(|socket| has_unsent_bytes(&socket))
    }

    /// The head of the response has been received.
    pub fn response_head_received(&self) {
        self.awaits_response.set(false);
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
    socket: Rc<TcpStream>,
    progress: Rc<RequestProgress>,
    stall_guard: StallGuard,
    metrics: Rc<Metrics>,
}

impl UpstreamSocket {
    pub fn new(socket: TcpStream, progress: Rc<RequestProgress>, metrics: Rc<Metrics>) -> Self {
        let socket = Rc::new(socket);
        progress.socket.replace(Rc::downgrade(&socket));
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
        true
    }

    /// The HTTP library flushes once it has written all that it holds: if it has taken the last part by then,
    /// the whole request is written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let RequestProgress {
            body_taken,
            fully_written,
            is_health_check,
            ..
        } = &*self.progress;
        if body_taken.get() && !fully_written.replace(true) && !is_health_check.get() {
            self.metrics.requests_forwarded.increment();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.socket).shutdown(Shutdown::Write))
    }
}

impl Drop for UpstreamSocket {
    /// Resets the connection of a request that is given up while the system still holds some of its bytes: after a close
    /// the system would deliver them to a server that reads late, which would begin the request then.
    fn drop(&mut self) {
        if self.progress.awaits_response.get() && has_unsent_bytes(&self.socket) {
            let _ = self.socket.set_zero_linger();
        }
    }
}
