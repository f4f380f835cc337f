//! Whether a request's client is still there. The client's side owns the presence; attempts hold only a
//! view of it and may write nothing once it is gone, whatever else is on its way to them.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

#[derive(Default)]
struct Shared {
    gone: Cell<bool>,
    left: Notify,
}

/// Held for a client for as long as it waits; dropped with its connection.
#[derive(Default)]
pub struct Presence(Rc<Shared>);

impl Presence {
    pub fn view(&self) -> Client {
        Client(Some(self.0.clone()))
    }
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.0.gone.set(true);
        self.0.left.notify_waiters();
    }
}

/// For whom a request is sent.
pub struct Client(Option<Rc<Shared>>);

impl Client {
    /// The node itself, which never leaves.
    pub fn node() -> Self {
        Client(None)
    }

    pub fn is_node(&self) -> bool {
        self.0.is_none()
    }

    pub fn is_gone(&self) -> bool {
        self.0.as_ref().is_some_and(|shared| shared.gone.get())
    }

    /// Ends once the client is gone.
    pub async fn gone(&self) {
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
