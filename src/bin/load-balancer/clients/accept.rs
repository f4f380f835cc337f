//! Accepting client connections, and making room for them.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

use super::guards::{ConnectionGuard, ConnectionRoom};
use super::Clients;
use crate::connection::ConnectionState;
use crate::task::Permit;

/// Pause after an `accept` that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Least time between two connections that are closed for their memory.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(2);

impl Clients {
    /// Accepts connections until [`Clients::stop_accepting`], during the drain after SIGTERM too: a request
    /// that was written to a connection in the backlog counts as accepted by this process. The loop never
    /// waits for a client: the time that a request spends in the backlog can't be measured, so its
    /// remaining timeout would be overestimated.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            // The only place to stop: a connection that was accepted is served.
            let accepted = tokio::select! {
                biased;
                () = self.stop_accept.notified() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.admit(stream).await,
                Err(error) => {
                    // Without a free descriptor, `accept` fails at once and the connection stays in the
                    // backlog. The pause lets the other tasks run, which can close connections.
                    crate::log::line(format_args!(
                        "accept failed: {error}; closing an idle server connection, if any, and retrying in 10 ms"
                    ));
                    self.servers.evict_idle_connection();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Stops [`Clients::accept`]: another process that holds the listener accepts from now on.
    pub fn stop_accepting(&self) {
        self.stop_accept.notify_one();
    }

    /// Serves a connection that was accepted, or rejects its first request if there is no room. Where there is no
    /// room for that either, the connection is closed unread.
    async fn admit(self: &Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let room = self.room_for_connection().await;
        let reject = room.is_none();
        if reject {
            self.metrics.connections_rejected.increment();
        } else {
            self.metrics.connections_accepted.increment();
        }
        let room = match room {
            Some(room) => Some(room),
            None => self.room_for_rejection().await,
        };
        if let Some(room) = room {
            // Counted from here on: the process does not exit before the connection ends.
            let guard = ConnectionGuard::new(self, room);
            spawn_local(self.clone().serve(stream, guard, reject));
        }
    }

    /// Room for a client connection that is served. If there is none, closes idle connections to make some; `None` if
    /// there is none to close.
    async fn room_for_connection(&self) -> Option<ConnectionRoom> {
        loop {
            if let Some(memory) = self.memory.reserve_client_connection() {
                let permit = self.client_permit().await?;
                let socket = self.servers.shared_permit().await?;
                return Some(ConnectionRoom::served(permit, socket, memory));
            }
            if !self.servers.evict_idle_connection() && !self.close_idle_connection() {
                return None;
            }
            // The closed connection frees its room when its task is next polled.
            yield_now().await;
        }
    }

    /// A permit for a client connection. If all are taken, closes a connection without a pending request to
    /// free one; `None` if there is none to close.
    async fn client_permit(&self) -> Option<Permit> {
        loop {
            if let Some(permit) = self.budget.take() {
                return Some(permit);
            }
            if !self.close_idle_connection() {
                return None;
            }
            // The closed connection frees its permit when its task is next polled.
            yield_now().await;
        }
    }

    /// Room for a connection that is only rejected. If there is none, closes the oldest of these
    /// connections that has sent no request, preferably one that has not begun to send a head; `None` if all
    /// of them have sent a request.
    async fn room_for_rejection(&self) -> Option<ConnectionRoom> {
        loop {
            if let Some(permit) = self.overflow.take() {
                return Some(ConnectionRoom::rejected(permit));
            }
            // Lets the connections' tasks read what their clients have sent so far.
            yield_now().await;
            if !self.overflow.is_full() {
                continue;
            }
            let mut rejected_connections = self.rejected_connections.borrow_mut();
            let without_request = rejected_connections
                .iter()
                .filter(|(_, client_connection)| !client_connection.has_sent_request());
            let first = without_request
                .min_by_key(|(&number, client_connection)| {
                    (client_connection.is_sending_head(), number)
                })
                .map(|(&n, _)| n)?;
            rejected_connections
                .remove(&first)?
                .close_requested
                .notify_one();
        }
    }

    /// Closes the connection that has been idle for longest, preferably one that has sent no request yet;
    /// returns `false` if none may be closed.
    fn close_idle_connection(&self) -> bool {
        let mut open_connections = self.open_connections.borrow_mut();
        let closable = open_connections
            .iter()
            .filter(|(_, client_connection)| client_connection.may_be_closed());
        let first = closable
            .min_by_key(|(_, client_connection)| {
                (
                    client_connection.has_sent_request(),
                    client_connection.idle_since(),
                )
            })
            .map(|(&n, _)| n);
        first
            .and_then(|number| open_connections.remove(&number))
            .map(|client_connection| client_connection.close_requested.notify_one())
            .is_some()
    }

    /// Closes a connection whenever another one needs more memory and finds none, until the process ends.
    pub async fn reclaim_memory(self: Rc<Self>) {
        loop {
            self.memory.shortage().await;
            self.close_for_memory();
            sleep(RECLAIM_INTERVAL).await;
        }
    }

    /// Closes a connection to free its memory: the one that has been sending the head of a request for longest, or else
    /// one that is idle.
    fn close_for_memory(&self) {
        if self.servers.evict_idle_connection() {
            return;
        }
        if !self.close_slowest_head() {
            self.close_idle_connection();
        }
    }

    fn close_slowest_head(&self) -> bool {
        let is_sending = |connection: &ConnectionState| {
            connection.is_sending_head() && !connection.has_sent_request()
        };
        let mut open_connections = self.open_connections.borrow_mut();
        let sending = open_connections
            .iter()
            .filter(|(_, connection)| is_sending(connection));
        let slowest = sending
            .min_by_key(|(_, connection)| connection.idle_since())
            .map(|(&number, _)| number);
        slowest
            .and_then(|number| open_connections.remove(&number))
            .map(|connection| connection.close_requested.notify_one())
            .is_some()
    }
}
