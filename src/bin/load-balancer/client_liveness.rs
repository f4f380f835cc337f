//! Whether a request's client is still connected. The downstream side owns the [`ClientLiveness`]; attempts hold
//! a [`Client`], a view of it, and write nothing once the client has disconnected, even if no message about that
//! has reached them yet. The view also asks the operating system whether the connection has ended: on a busy node,
//! the task that waits for the end may run much later.

use std::cell::Cell;
use std::os::fd::AsFd;
use std::rc::{Rc, Weak};

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The client has closed its side of the connection, even if bytes before the close are still unread. `poll`
/// reports a reset whatever flags are requested.
const CLIENT_CLOSED: PollFlags = PollFlags::from_bits_retain(nix::libc::POLLRDHUP);

struct Shared {
    disconnected: Cell<bool>,
    disconnect_notify: Notify,
    /// The client's connection, owned by the downstream side.
    socket: Weak<TcpStream>,
}

/// Marks a client as connected until it is dropped, with the client's request or connection.
pub struct ClientLiveness(Rc<Shared>);

impl ClientLiveness {
    pub fn new(socket: &Rc<TcpStream>) -> Self {
        let socket = Rc::downgrade(socket);
        ClientLiveness(Rc::new(Shared {
            disconnected: Cell::new(false),
            disconnect_notify: Notify::new(),
            socket,
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
        let ended = |socket: Rc<TcpStream>| {
            let mut poll_fds = [PollFd::new(socket.as_fd(), CLIENT_CLOSED)];
            // If the call fails, the downstream side still notices the end of the connection.
            matches!(poll(&mut poll_fds, PollTimeout::ZERO), Ok(1..))
        };
        if !self.disconnected.get() && self.socket.upgrade().is_none_or(ended) {
            self.disconnected.set(true);
            self.disconnect_notify.notify_waiters();
        }
        self.disconnected.get()
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

    /// Whether the client has disconnected. Makes a system call, so it is meant for the moment before
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
