//! Whether a request's client is still connected. The downstream side owns the [`ClientLiveness`]; attempts hold
//! a [`Client`], a view of it, and write nothing once the client has disconnected, even if no message about that
//! has reached them yet. The view also asks the operating system whether the connection has ended: on a busy node,
//! the task that waits for the end may run much later.
//!
//! The system learns of the end only after all bytes before it. Where a client has sent so much behind its request that the
//! socket's buffer may be full, its end can't be seen: it counts as one that has left, and its request is not sent.

use std::cell::Cell;
use std::os::fd::AsFd;
use std::rc::{Rc, Weak};

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::socket_read::unread_bytes;

/// The client has closed its side of the connection, even if bytes before the close are still unread. `poll`
/// reports a reset whatever flags are requested.
const CLIENT_CLOSED: PollFlags = PollFlags::from_bits_retain(nix::libc::POLLRDHUP);

/// Unread bytes behind a request from which on the end of the client may be hidden: a little less than a socket's buffer
/// holds at first. A client that waits for its response sends none.
const HIDING_BYTES: u64 = 60 * 1024;

struct Shared {
    disconnected: Cell<bool>,
    disconnect_notify: Notify,
    /// The client's connection, owned by the downstream side.
    socket: Weak<TcpStream>,
    /// Whether the unread bytes belong to the request's own body.
    is_streaming: bool,
}

/// Marks a client as connected until it is dropped, with the client's request or connection.
pub struct ClientLiveness(Rc<Shared>);

impl ClientLiveness {
    /// The client of a request that came on `socket`; with `is_streaming`, its body is still being received.
    pub fn new(socket: &Rc<TcpStream>, is_streaming: bool) -> Self {
        let socket = Rc::downgrade(socket);
        ClientLiveness(Rc::new(Shared {
            disconnected: Cell::new(false),
            disconnect_notify: Notify::new(),
            socket,
            is_streaming,
        }))
    }

    pub fn view(&self) -> Client {
        Client(Some(self.0.clone()))
    }
}

impl Drop for ClientLiveness {
    fn drop(&mut self) {
        self.0.disconnected.set(true);
        self.0.disconnect_notify.notify_waiters();
    }
}

impl Shared {
    fn has_disconnected(&self) -> bool {
        if self.disconnected.get() {
            return true;
        }
        let Some(socket) = self.socket.upgrade() else {
            self.disconnect();
            return true;
        };
        let events = pending_events(&socket);
        if !events.difference(PollFlags::POLLIN).is_empty() {
            self.disconnect();
        }
        let has_unread = events.contains(PollFlags::POLLIN) && !self.is_streaming;
        self.disconnected.get() || (has_unread && unread_bytes(&socket) >= HIDING_BYTES)
    }

    fn disconnect(&self) {
        self.disconnected.set(true);
        self.disconnect_notify.notify_waiters();
    }
}

/// Whether the socket has unread bytes, has been closed by the client, or has failed. Nothing if the call fails: the
/// downstream side still notices the end of the connection.
fn pending_events(socket: &TcpStream) -> PollFlags {
    let events = CLIENT_CLOSED | PollFlags::POLLIN;
    let mut poll_fds = [PollFd::new(socket.as_fd(), events)];
    match poll(&mut poll_fds, PollTimeout::ZERO) {
        // `None` stands for a flag that `nix` doesn't know, which is that of a closed client.
        Ok(1..) => poll_fds[0].revents().unwrap_or(CLIENT_CLOSED),
        _ => PollFlags::empty(),
    }
}

/// The origin of a request to a server: a client, or the node itself.
#[derive(Clone)]
pub struct Client(Option<Rc<Shared>>);

impl Client {
    /// The node itself, the origin of health checks; it never disconnects.
    pub fn node() -> Self {
        Client(None)
    }

    /// Whether the node itself sends the request.
    pub fn is_node(&self) -> bool {
        self.0.is_none()
    }

    /// Whether the client has disconnected, or its end could not be seen. Makes a system call, so it is meant for the moment before
    /// something is sent.
    pub fn has_disconnected(&self) -> bool {
        self.0
            .as_ref()
            .is_some_and(|shared| shared.has_disconnected())
    }

    /// Waits until the client is known to have disconnected.
    pub async fn disconnected(&self) {
        match &self.0 {
            None => std::future::pending().await,
            Some(shared) => {
                let notified = shared.disconnect_notify.notified();
                if !shared.disconnected.get() {
                    notified.await;
                }
            }
        }
    }
}
