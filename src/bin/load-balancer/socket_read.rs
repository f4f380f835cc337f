//! Reads from a socket in pieces of bounded length.
//!
//! The HTTP library doubles its read buffer after each read that fills it, and keeps the buffer for as long as a part of it
//! is in use. Short reads keep the memory of a connection small, however much its peer sends at once.

use std::io;
use std::task::{ready, Context, Poll};

use rustix::io::ioctl_fionread;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Most bytes that are read at once.
const MAX_READ_BYTES: usize = 4 * 1024;

/// Bytes that have arrived on a socket and were not read; 0 if the system doesn't tell.
pub fn unread_bytes(socket: &TcpStream) -> u64 {
    ioctl_fionread(socket).unwrap_or(0)
}

/// Reads what the socket has, up to [`MAX_READ_BYTES`]; nothing at the end of the connection.
pub fn poll_read(
    socket: &TcpStream,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    let length = buffer.remaining().min(MAX_READ_BYTES);
    loop {
        ready!(socket.poll_read_ready(cx))?;
        match socket.try_read(buffer.initialize_unfilled_to(length)) {
            Ok(read) => {
                buffer.advance(read);
                return Poll::Ready(Ok(()));
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}
