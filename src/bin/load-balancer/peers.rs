//! Datagrams between nodes.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use crate::event_loop::PeerDatagram;

/// Longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The other nodes, by their index in the configuration, and the socket that reaches them.
pub struct Peers {
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
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
            socket: UdpSocket::bind(listen).await?,
            peers,
            broadcast,
        }))
    }

    /// Sends to one node, or to all. A datagram that can't be sent at once is dropped.
    pub fn send(&self, peer: Option<u32>, data: &[u8]) {
        let address = match peer {
            Some(peer) => self.peers.get(peer as usize).copied(),
            None => self.broadcast,
        };
        if let Some(address) = address.filter(|_| data.len() <= MAX_DATAGRAM_BYTES) {
            let _ = self.socket.try_send_to(data, address);
        }
    }

    /// The next datagram of a known node; those of other senders and longer ones are dropped.
    pub async fn receive(&self) -> PeerDatagram {
        // One byte more, to tell a datagram that is too long.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((size, sender)) = self.socket.recv_from(&mut buffer).await else {
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
