//! The listening socket for clients, inherited from the platform. The platform keeps it open while one process of
//! the node replaces another.

use std::io;
use std::net::TcpListener;

use listenfd::ListenFd;
use socket2::SockRef;

/// Why an inherited descriptor could not be adopted.
#[derive(Debug, thiserror::Error)]
pub enum InheritError {
    /// The value of the variable is not a descriptor number.
    #[error("'{0}' is not a descriptor number")]
    NotADescriptor(String),
    /// The descriptor is not open, or is not a TCP socket.
    #[error("can't adopt the descriptor: {0}")]
    Io(#[from] io::Error),
    /// The descriptor was adopted before.
    #[error("the descriptor was already adopted")]
    AlreadyAdopted,
    /// The socket does not listen, or not on an IPv4 address.
    #[error("descriptor {0} is not a socket that listens on IPv4")]
    NotAListener(u16),
}

/// Adopts the listener that this process has inherited as `descriptor`. Other processes share the socket: dropping
/// the listener closes the descriptor of this process only.
///
/// Must be called at the start, before the process opens anything that might be given the same descriptor number.
///
/// # Errors
///
/// `descriptor` is not the number of a listening IPv4 socket.
pub fn adopt(descriptor: &str) -> Result<TcpListener, InheritError> {
    let number: u16 = descriptor
        .parse()
        .map_err(|_| InheritError::NotADescriptor(descriptor.to_owned()))?;
    // The platform passes the descriptor in one variable of its own; `listenfd` expects it in these.
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    let listener = ListenFd::from_env()
        .take_tcp_listener(0)?
        .ok_or(InheritError::AlreadyAdopted)?;
    if !SockRef::from(&listener).is_listener()? || !listener.local_addr()?.is_ipv4() {
        return Err(InheritError::NotAListener(number));
    }
    listener.set_nonblocking(true)?;
    Ok(listener)
}

#[cfg(test)]
mod tests;
