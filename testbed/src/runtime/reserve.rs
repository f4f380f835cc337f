//! Owns addresses that are kept for a process until it listens there.

#[cfg(test)]
mod tests;

use std::io;
use std::net::{IpAddr, SocketAddr};

use socket2::{Domain, Protocol, Socket, Type};

/// An address that the system gives to nobody who leaves the choice of a port to it, for as long as this lives.
///
/// The socket is bound and never listens. A process that is told the address and allows its reuse, as the node and the
/// agent do, can listen there all the same, one at a time, and again after its end.
#[derive(Debug)]
pub struct Reservation {
    addr: SocketAddr,
    _bound: Socket,
}

impl Reservation {
    /// A port of this IP that nobody holds.
    pub fn on(ip: impl Into<IpAddr>) -> io::Result<Reservation> {
        let any = SocketAddr::new(ip.into(), 0);
        let bound = Socket::new(Domain::for_address(any), Type::STREAM, Some(Protocol::TCP))?;
        bound.set_reuse_address(true)?;
        bound.bind(&any.into())?;
        let addr = bound
            .local_addr()?
            .as_socket()
            .ok_or(io::ErrorKind::Unsupported)?;
        Ok(Reservation {
            addr,
            _bound: bound,
        })
    }

    /// The address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}
