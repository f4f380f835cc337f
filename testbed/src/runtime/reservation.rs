//! Reserves local addresses for processes that are to listen on them.

#[cfg(test)]
mod tests;

use std::io;
use std::net::{IpAddr, SocketAddr};

use socket2::{Domain, Protocol, Socket, Type};

/// A reserved address: while this value lives, the system does not assign its port to a bind to port 0.
///
/// The socket is bound and never listens. A process that sets `SO_REUSEADDR`, as the node and the agent do, can still
/// listen on the address, one process at a time, and another one after it has ended.
#[derive(Debug)]
pub struct Reservation {
    addr: SocketAddr,
    _bound: Socket,
}

impl Reservation {
    /// Reserves a free port of this IP address.
    pub fn on(ip: impl Into<IpAddr>) -> io::Result<Reservation> {
        let any_port = SocketAddr::new(ip.into(), 0);
        let bound = Socket::new(
            Domain::for_address(any_port),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        bound.set_reuse_address(true)?;
        bound.bind(&any_port.into())?;
        let addr = bound
            .local_addr()?
            .as_socket()
            .ok_or(io::ErrorKind::Unsupported)?;
        Ok(Reservation {
            addr,
            _bound: bound,
        })
    }

    /// The reserved address, with its port.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}
