//! When the bytes of a client's connection arrived, also those that the node has not read.
//!
//! A client counts its time from the last byte that it wrote. While a server doesn't take a body, the node stops to read it,
//! and the last byte may lie in the system's buffer for long.

use std::cell::Cell;
use std::rc::{Rc, Weak};

use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::connection::ConnectionState;
use crate::socket_read::unread_bytes;

/// Follows the number of bytes that have arrived on a connection.
pub struct ArrivalClock {
    connection: Rc<ConnectionState>,
    socket: Weak<TcpStream>,
    /// The number of bytes that had arrived when it was last looked at.
    arrived_bytes: Cell<u64>,
    /// When that number was first seen.
    last_arrival: Cell<Instant>,
}

impl ArrivalClock {
    pub fn new(connection: &Rc<ConnectionState>, socket: &Rc<TcpStream>) -> Self {
        ArrivalClock {
            connection: connection.clone(),
            socket: Rc::downgrade(socket),
            arrived_bytes: Cell::new(connection.read_bytes()),
            last_arrival: Cell::new(Instant::now()),
        }
    }

    /// Bytes that have arrived and were not read.
    pub fn unread_bytes(&self) -> u64 {
        let socket = self.socket.upgrade();
        socket.map_or(0, |socket| unread_bytes(&socket))
    }

    /// The latest time at which the last byte that is here now may have arrived: when as many bytes were first seen.
    pub fn last_arrival(&self) -> Instant {
        let arrived_bytes = self.connection.read_bytes() + self.unread_bytes();
        if self.arrived_bytes.replace(arrived_bytes) != arrived_bytes {
            self.last_arrival.set(Instant::now());
        }
        self.last_arrival.get()
    }
}
