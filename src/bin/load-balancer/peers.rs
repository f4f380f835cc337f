//! UDP datagrams exchanged with the other nodes.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use crate::event_loop::PeerDatagram;

/// Longest datagram that is sent or accepted, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The socket for datagrams, and the addresses of the other nodes.
pub struct Peers {
    /// `None` once it has been closed.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    /// The other nodes, by their index in the configuration.
    peers: Vec<SocketAddr>,
    /// The address that reaches all of them.
    broadcast: Option<SocketAddr>,
}

impl Peers {
    /// Binds the socket; `broadcast` is the address that reaches all of `peers`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind(
        listen: SocketAddr,
        peers: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
    ) -> io::Result<Rc<Self>> {
        Ok(Rc::new(Peers {
            socket: RefCell::new(Some(Rc::new(UdpSocket::bind(listen).await?))),
            peers,
            broadcast,
        }))
    }

    /// Closes the socket, so that another process can use its address, once no [`Peers::receive`] is waiting any more.
    pub fn close(&self) {
        self.socket.take();
    }

    /// Sends a datagram to one node, or to all if `peer` is `None`. It is dropped if it can't be sent immediately, is
    /// too long, or has no known address.
    pub fn send(&self, peer: Option<u32>, data: &[u8]) {
        let address = match peer {
            Some(peer) => self.peers.get(peer as usize).copied(),
            None => self.broadcast,
        };
        let socket = self.socket.borrow();
        let address = address.filter(|_| data.len() <= MAX_DATAGRAM_BYTES);
        if let (Some(socket), Some(address)) = (socket.as_ref(), address) {
            let _ = socket.try_send_to(data, address);
        }
    }

    /// Receives the next datagram of a known node. Datagrams of other senders, and those that are too long, are
    /// dropped. Never returns once the socket is closed.
    pub async fn receive(&self) -> PeerDatagram {
        let socket = self.socket.borrow().clone();
        let Some(socket) = socket else {
            return std::future::pending().await;
        };
        // One byte more than accepted, to detect a datagram that is too long.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((size, sender)) = socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            let index = self.peers.iter().position(|&peer| peer == sender);
            if let Some(index) = index.filter(|_| size <= MAX_DATAGRAM_BYTES) {
                return PeerDatagram {
                    from: index as u32,
                    data: buffer[..size].to_vec(),
                };
            }
        }
    }
}

#[cfg(test)]
mod tests;
