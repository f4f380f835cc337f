//! Graceful shutdown at SIGTERM.

use std::rc::Rc;

use tokio::signal::unix::Signal;

use crate::clients::Clients;
use crate::log;

/// Waits for SIGTERM and shuts the node down.
pub struct Shutdown {
    /// The node's name, for the log.
    pub node_name: String,
    /// The stream of SIGTERM signals.
    pub terminate: Signal,
    /// Whether another process shares the listener, and so accepts the connections in its backlog.
    pub listener_is_shared: bool,
    /// The clients' side, whose connections are drained.
    pub clients: Rc<Clients>,
}

impl Shutdown {
    /// Waits for SIGTERM, then drains the client connections.
    pub async fn wait_and_drain(mut self) {
        self.terminate.recv().await;
        log::line(format_args!(
            "{} received SIGTERM and drains its client connections",
            self.node_name
        ));
        if self.listener_is_shared {
            self.clients.stop_accepting();
        }
        self.clients.drain().await;
    }
}
