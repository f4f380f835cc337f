//! A server's socket that tells how far the request at hand has gone out.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::counts::Counts;

/// How far the request at hand has gone out. Each connection carries one at a time.
#[derive(Default)]
pub struct Progress {
    /// Its last part was handed to the connection.
    handed: Cell<bool>,
    /// Its last byte was written: before that it can't have run.
    whole: Cell<bool>,
    /// It is a probe and counts as no attempt.
    probe: Cell<bool>,
}

impl Progress {
    /// Another request begins.
    pub fn begin(&self, probe: bool) {
        self.probe.set(probe);
        self.handed.set(false);
        self.whole.set(false);
    }

    pub fn hand(&self) {
        self.handed.set(true);
    }

    pub fn is_whole(&self) -> bool {
        self.whole.get()
    }
}

/// A server's socket.
pub struct Stream {
    socket: TcpStream,
    progress: Rc<Progress>,
    counts: Rc<Counts>,
}

impl Stream {
    pub fn new(socket: TcpStream, progress: Rc<Progress>, counts: Rc<Counts>) -> Self {
        Stream { socket, progress, counts }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    /// The connection flushes once it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.socket).poll_flush(cx);
        let Progress { handed, whole, probe } = &*self.progress;
        if matches!(flushed, Poll::Ready(Ok(()))) && handed.get() && !whole.replace(true) && !probe.get() {
            self.counts.forwards.add();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
