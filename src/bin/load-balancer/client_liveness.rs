//! Whether a request's client is still connected. The downstream side owns the [`ClientLiveness`]; attempts hold
//! a view of it and may write nothing once the client has disconnected, whatever messages are on their way.
//! The operating system is asked for the end of the connection, not only the task that waits for it here:
//! between the end and that task's next turn lies all that the process has to do.

use std::cell::Cell;
use std::os::fd::AsFd;
use std::rc::{Rc, Weak};

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The other end sends no more, whatever lies unread before that. Resets are told unasked.
const ENDED: PollFlags = PollFlags::from_bits_retain(nix::libc::POLLRDHUP);

struct Shared {
    gone: Cell<bool>,
    left: Notify,
    /// The client's connection, which its own side keeps open.
    socket: Weak<TcpStream>,
}

/// Held for a client for as long as it waits; dropped with its connection.
pub struct ClientLiveness(Rc<Shared>);

impl ClientLiveness {
    pub fn new(socket: &Rc<TcpStream>) -> Self {
        let socket = Rc::downgrade(socket);
        ClientLiveness(Rc::new(Shared {
            gone: Cell::new(false),
            left: Notify::new(),
            socket,
        }))
    }

    pub fn view(&self) -> Client {
        Client(Some(self.0.clone()))
    }
}

impl Drop for ClientLiveness {
    fn drop(&mut self) {
        self.0.gone.set(true);
        self.0.left.notify_waiters();
    }
}

impl Shared {
    fn has_disconnected(&self) -> bool {
        let ended = |socket: Rc<TcpStream>| {
            let mut asked = [PollFd::new(socket.as_fd(), ENDED)];
            // One that can't be asked is left to its own side to see.
            matches!(poll(&mut asked, PollTimeout::ZERO), Ok(1..))
        };
        if !self.gone.get() && self.socket.upgrade().is_none_or(ended) {
            self.gone.set(true);
            self.left.notify_waiters();
        }
        self.gone.get()
    }
}

/// For whom a request is sent.
#[derive(Clone)]
pub struct Client(Option<Rc<Shared>>);

impl Client {
    /// The node itself, which never leaves.
    pub fn node() -> Self {
        Client(None)
    }

    pub fn is_node(&self) -> bool {
        self.0.is_none()
    }

    /// Asks the system, so to be called where something is about to be sent.
    pub fn has_disconnected(&self) -> bool {
        self.0
            .as_ref()
            .is_some_and(|shared| shared.has_disconnected())
    }

    /// Ends once the client is gone.
    pub async fn disconnected(&self) {
        match &self.0 {
            None => std::future::pending().await,
            Some(shared) => {
                let left = shared.left.notified();
                if !shared.gone.get() {
                    left.await;
                }
            }
        }
    }
}
