//! Tasks that end with their owner, and permits for open sockets.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};

/// Aborts a task when dropped, which closes what the task holds open.
pub struct AbortOnDrop(AbortHandle);

impl AbortOnDrop {
    pub fn spawn(future: impl Future<Output = ()> + 'static) -> Self {
        AbortOnDrop(spawn_local(future).abort_handle())
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A share of the process's file descriptors, given out as permits.
pub struct Budget {
    limit: usize,
    used: Cell<usize>,
    freed: Notify,
}

/// The permit for one open socket; returned to its share when dropped.
pub struct Permit(Rc<Budget>);

impl Budget {
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Budget {
            limit,
            used: Cell::new(0),
            freed: Notify::new(),
        })
    }

    #[cfg(test)]
    pub fn limit(&self) -> usize {
        self.limit
    }

    pub fn is_full(&self) -> bool {
        self.used.get() >= self.limit
    }

    /// Takes a permit; `None` if all are taken.
    pub fn take(self: &Rc<Self>) -> Option<Permit> {
        if self.is_full() {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(Permit(self.clone()))
    }

    /// Waits for a permit and takes it.
    pub async fn wait(self: &Rc<Self>) -> Permit {
        loop {
            match self.take() {
                Some(permit) => return permit,
                None => self.freed.notified().await,
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get() - 1);
        self.0.freed.notify_one();
    }
}
