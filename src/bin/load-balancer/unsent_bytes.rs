//! Whether the system still holds bytes that were written to a socket and has not sent them, as the peer takes none.

use std::io;
use std::os::fd::AsFd;

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use socket2::SockRef;
use tokio::net::TcpStream;

/// With this limit on unsent bytes a socket is writable only if it has none.
const NO_UNSENT_BYTES: u32 = 1;
/// The limit that the system sets by itself.
const DEFAULT_LIMIT: u32 = 0;

/// Whether bytes that were written to the socket have not been sent; `false` if the system doesn't tell.
pub fn has_unsent_bytes(socket: &TcpStream) -> bool {
    let options = SockRef::from(socket);
    if options.set_tcp_notsent_lowat(NO_UNSENT_BYTES).is_err() {
        return false;
    }
    let is_writable = is_writable(socket);
    let _ = options.set_tcp_notsent_lowat(DEFAULT_LIMIT);
    is_writable.is_ok_and(|is_writable| !is_writable)
}

/// Whether the socket takes bytes now, or has failed.
fn is_writable(socket: &TcpStream) -> io::Result<bool> {
    let mut poll_fds = [PollFd::new(socket.as_fd(), PollFlags::POLLOUT)];
    let ready = poll(&mut poll_fds, PollTimeout::ZERO)?;
    Ok(ready > 0)
}

#[cfg(test)]
mod tests;
