//! Writes to a peer that reads slowly, and gives up one that has stopped reading.
//!
//! A peer that has stopped reading can't be told from a slow one by whether its socket is writable. Linux reports a full
//! socket as writable only once a third of its send buffer is free, and a receiver announces room only in steps of a
//! sixteenth of its own buffer. At the rate of the slowest peers each may take longer than [`STALL_TIMEOUT`]. So
//! [`StallGuard`] writes to a waiting socket again and again without asking whether it is writable, and gives a peer that
//! has taken much lately the time to read it.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use nix::sys::uio::writev;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, Instant, Sleep};

/// A peer that neither takes nor gives a byte for this long is considered gone.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum rate at which a peer must move a body, in bytes per second: three quarters of the rate of the platform's
/// slowest clients.
pub const MIN_BODY_BYTES_PER_SECOND: u64 = 48_000;
/// Interval at which a waiting write is tried again without asking whether the socket is writable.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Most bytes that a peer may have taken and has to read before its system announces room: a sixteenth of a receive
/// buffer that holds the longest body.
const MAX_RECEIVE_STEP_BYTES: u64 = crate::body::MAX_BODY_BYTES / 16;

/// How long a peer may take to move this many bytes of a body.
pub fn time_at_min_rate(bytes: u64) -> Duration {
    Duration::from_micros(bytes * 1_000_000 / MIN_BODY_BYTES_PER_SECOND)
}

/// Whether a write has failed because the peer has stopped reading.
pub fn is_stalled(written: &io::Result<usize>) -> bool {
    matches!(written, Err(error) if error.kind() == io::ErrorKind::TimedOut)
}

/// Writes to a socket and fails with [`io::ErrorKind::TimedOut`] once the peer has stopped reading: it has taken nothing
/// for [`STALL_TIMEOUT`], and has had the time to read at the minimum rate what it took before.
pub struct StallGuard {
    /// When a peer that reads at the minimum rate has read all that was written.
    read_by: Instant,
    /// Set while a write waits for the peer.
    wait: Option<Wait>,
}

/// A write that waits for the peer.
struct Wait {
    gives_up_at: Instant,
    /// Expires when the write is tried again.
    retry: Pin<Box<Sleep>>,
}

impl StallGuard {
    pub fn new() -> Self {
        StallGuard {
            read_by: Instant::now(),
            wait: None,
        }
    }

    /// Writes the beginning of `data`, at least one byte of it.
    pub fn poll_write(
        &mut self,
        cx: &mut Context<'_>,
        socket: &TcpStream,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        while socket.poll_write_ready(cx)?.is_ready() {
            match socket.try_write_vectored(data) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(self.finish(written)),
            }
        }
        let wait = match &mut self.wait {
            Some(wait) => wait,
            none => none.insert(Wait::start(self.read_by, socket)),
        };
        loop {
            ready!(wait.retry.as_mut().poll(cx));
            match writev(socket, data).map_err(io::Error::from) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(self.finish(written)),
            }
            let now = Instant::now();
            if now >= wait.gives_up_at {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            let next = wait.gives_up_at.min(now + RETRY_INTERVAL);
            wait.retry.as_mut().reset(next);
        }
    }

    /// Ends the wait and counts the bytes that were written.
    fn finish(&mut self, written: io::Result<usize>) -> io::Result<usize> {
        self.wait = None;
        if let Ok(bytes) = written {
            self.read_by = self.read_by.max(Instant::now()) + time_at_min_rate(bytes as u64);
        }
        written
    }
}

impl Wait {
    /// Starts to wait for a peer that will have read all that was written by `read_by`, if it reads at the minimum rate.
    fn start(read_by: Instant, socket: &TcpStream) -> Self {
        let now = Instant::now();
        // What is still in the send buffer has not been taken by the peer.
        let unsent_bytes = SockRef::from(socket).send_buffer_size().unwrap_or(0);
        let reading_time = read_by
            .saturating_duration_since(now)
            .saturating_sub(time_at_min_rate(unsent_bytes as u64))
            .min(time_at_min_rate(MAX_RECEIVE_STEP_BYTES));
        Wait {
            gives_up_at: now + reading_time.max(STALL_TIMEOUT),
            retry: Box::pin(sleep_until(now + RETRY_INTERVAL)),
        }
    }
}

#[cfg(test)]
mod tests;
