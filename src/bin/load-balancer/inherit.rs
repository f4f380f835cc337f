//! The clients' listening socket, where the platform holds it over a change of process.

use std::error::Error;
use std::net::TcpListener;

use listenfd::ListenFd;
use socket2::SockRef;

/// Adopts the listener that this process inherited as `descriptor`. It is shared with other
/// processes: dropping it closes this one's descriptor and nothing else.
///
/// To be called at the start, before anything is opened that might take the same number.
pub fn listener(descriptor: &str) -> Result<TcpListener, Box<dyn Error>> {
    let number: u16 = descriptor
        .parse()
        .map_err(|_| format!("'{descriptor}' is no descriptor"))?;
    // The crate's words for what the platform calls otherwise.
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    let listener = ListenFd::from_env()
        .take_tcp_listener(0)?
        .ok_or("the descriptor is taken")?;
    if !SockRef::from(&listener).is_listener()? || !listener.local_addr()?.is_ipv4() {
        return Err(format!("descriptor {number} does not listen on IPv4").into());
    }
    listener.set_nonblocking(true)?;
    Ok(listener)
}

#[cfg(test)]
mod tests;
