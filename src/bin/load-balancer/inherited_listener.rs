//! The clients' listening socket, inherited from the platform, which keeps it over a change of
//! process.

use std::io;
use std::net::TcpListener;

use listenfd::ListenFd;
use socket2::SockRef;

/// Why an inherited descriptor could not be adopted.
#[derive(Debug, thiserror::Error)]
pub enum InheritError {
    /// The variable's value is no descriptor number.
    #[error("'{0}' is no descriptor")]
    NotADescriptor(String),
    /// The descriptor is not open, or not a TCP socket.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The descriptor was adopted before.
    #[error("the descriptor is taken")]
    AlreadyAdopted,
    /// The socket does not listen on IPv4.
    #[error("descriptor {0} does not listen on IPv4")]
    NotAListener(u16),
}

/// Adopts the listener that this process inherited as `descriptor`. It is shared with other
/// processes: dropping it closes this process's descriptor only.
///
/// To be called at the start, before anything is opened that might take the same number.
///
/// # Errors
///
/// The text names no listening IPv4 socket.
pub fn adopt(descriptor: &str) -> Result<TcpListener, InheritError> {
    let number: u16 = descriptor
        .parse()
        .map_err(|_| InheritError::NotADescriptor(descriptor.to_owned()))?;
    // The names under which `listenfd` expects what the platform passes in one variable.
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
