//! The pooled connections to servers: opening, reusing and closing them, and the room that they take.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use load_balancer::ServerId;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::Instant;

use super::Servers;
use crate::body::OutgoingBody;
use crate::memory_budget::MemoryReservation;
use crate::stream::{RequestProgress, UpstreamSocket};
use crate::task::{AbortOnDrop, Permit};

/// Largest read and write buffer of one connection, in bytes.
const MAX_BUFFER_BYTES: usize = 16 * 1024;
/// An idle connection is reused within this fraction of the servers' keep-alive timeout. A request that crosses
/// the server's close on the wire ends as a reset, and a non-idempotent one can't be retried.
const MAX_IDLE_FRACTION: f64 = 0.6;
/// A connection is not reused for this long after a response. A spurious second response a few milliseconds
/// later would be taken for that of the next request, and a close that follows the response would cross the next
/// request on the wire.
pub(super) const REUSE_DELAY: Duration = Duration::from_millis(30);

/// A connection to a server. Closed when dropped.
pub(super) struct PooledConnection {
    pub(super) sender: SendRequest<OutgoingBody>,
    /// How much of the current request has been written.
    pub(super) progress: Rc<RequestProgress>,
    _connection: AbortOnDrop,
    _memory: Option<MemoryReservation>,
    /// The server's epoch when this connection was opened.
    pub(super) epoch: u64,
    pub(super) idle_since: Instant,
}

/// What a connection to a server takes of the process.
pub(super) struct ServerConnectionRoom {
    pub(super) permit: Permit,
    /// `None` for a health check that has a reserved socket.
    pub(super) memory: Option<MemoryReservation>,
}

impl Servers {
    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&server) {
            entry.idle.clear();
        }
    }

    /// Closes the idle connections to a server that has sent no response since `sent_at`, when an attempt was sent that
    /// got none. Its machine may have failed: requests on these connections would go unanswered, while a new
    /// connection fails to open. A server that responds to other requests is only slow, and new connections
    /// would add to its load.
    pub fn close_idle_if_unresponsive(&self, server: ServerId, sent_at: Instant) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&server) {
            if entry
                .last_response_at
                .is_none_or(|responded_at| responded_at < sent_at)
            {
                entry.idle.clear();
            }
        }
    }

    pub(super) fn record_response(&self, server: ServerId) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&server) {
            entry.last_response_at = Some(Instant::now());
        }
    }

    /// Closes the connections that have been idle for too long and drops those that their server has closed. Called
    /// every [`IDLE_CHECK_INTERVAL`].
    pub fn close_expired_idle(&self) {
        let max_idle_time = self.settings().keepalive.mul_f64(MAX_IDLE_FRACTION);
        for entry in self.entries.borrow_mut().values_mut() {
            entry.idle.retain(|connection| {
                !connection.sender.is_closed() && connection.idle_since.elapsed() < max_idle_time
            });
        }
    }

    /// Closes the connection that has been idle for longest; returns `false` if none is idle.
    pub fn evict_idle_connection(&self) -> bool {
        let mut entries = self.entries.borrow_mut();
        let oldest = entries
            .values_mut()
            .filter(|e| !e.idle.is_empty())
            .min_by_key(|e| e.idle[0].idle_since);
        oldest.map(|entry| drop(entry.idle.remove(0))).is_some()
    }

    /// Takes the most recently used idle connection that can be reused now.
    pub(super) fn take_idle_connection(&self, server: ServerId) -> Option<PooledConnection> {
        let max_idle_time = self.settings().keepalive.mul_f64(MAX_IDLE_FRACTION);
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&server)?;
        let is_reusable =
            |connection: &PooledConnection| connection.idle_since.elapsed() >= REUSE_DELAY;
        while let Some(last) = entry.idle.iter().rposition(is_reusable) {
            let connection = entry.idle.remove(last);
            if !connection.sender.is_closed() && connection.idle_since.elapsed() < max_idle_time {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool. It is closed instead if the server has restarted, moved or become
    /// unavailable since, or has closed it.
    pub(super) fn return_to_pool(&self, server: ServerId, mut connection: PooledConnection) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&server) else {
            return;
        };
        if entry.epoch == connection.epoch
            && entry.unavailable_since.is_none()
            && !connection.sender.is_closed()
        {
            connection.idle_since = Instant::now();
            entry.idle.push(connection);
        }
    }

    /// Room for a connection to a server. If there is none, idle connections are closed; `None` if none is left to close.
    pub(super) async fn room_for_connection(&self) -> Option<ServerConnectionRoom> {
        let memory = loop {
            if let Some(memory) = self.connection_memory.reserve_server_connection() {
                break memory;
            }
            if !self.evict_idle_connection() {
                return None;
            }
        };
        let permit = self.shared_permit().await?;
        Some(ServerConnectionRoom {
            permit,
            memory: Some(memory),
        })
    }

    /// A permit to open a socket. If all are in use, idle connections are closed; `None` if none is left to close.
    pub async fn shared_permit(&self) -> Option<Permit> {
        loop {
            if let Some(permit) = self.shared_sockets.take() {
                return Some(permit);
            }
            if !self.evict_idle_connection() {
                return None;
            }
            // The socket closes when the connection's task is next polled.
            yield_now().await;
        }
    }

    /// Opens a connection, which holds its room until it is closed.
    pub(super) async fn connect(
        &self,
        addr: SocketAddr,
        epoch: u64,
        room: ServerConnectionRoom,
    ) -> io::Result<PooledConnection> {
        let ServerConnectionRoom { permit, memory } = room;
        self.metrics.connections_opened.increment();
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let progress = Rc::new(RequestProgress::default());
        let stream = UpstreamSocket::new(stream, progress.clone(), self.metrics.clone());
        let (sender, connection) = http1::Builder::new()
            .max_headers(64)
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let connection = AbortOnDrop::spawn(async move {
            let _permit = permit;
            let _ = connection.await;
        });
        Ok(PooledConnection {
            sender,
            progress,
            _connection: connection,
            _memory: memory,
            epoch,
            idle_since: Instant::now(),
        })
    }
}
