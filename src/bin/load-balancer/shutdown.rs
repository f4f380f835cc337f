//! Graceful shutdown at SIGTERM.

use std::rc::Rc;

use tokio::signal::unix::Signal;
use tokio::task::yield_now;

use crate::clients::Clients;
use crate::log;
use crate::peers::Peers;
use crate::task::AbortOnDrop;

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
    /// Serves the operators' interface until it is dropped.
    pub admin_server: Option<AbortOnDrop>,
    /// Receives the datagrams of other nodes.
    pub receiver: Option<PeerReceiver>,
}

/// The socket for datagrams of other nodes, and the task that receives them until it is dropped.
pub struct PeerReceiver {
    /// Receives the datagrams.
    pub task: AbortOnDrop,
    /// The socket.
    pub peers: Rc<Peers>,
}

impl Shutdown {
    /// Waits for SIGTERM, then drains the client connections. Returns once all of them have ended.
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
        self.finish_transfers().await;
    }

    /// Waits for the connections on which a long body is under way. Another process of this node can start meanwhile.
    async fn finish_transfers(self) {
        let remaining = self.clients.connection_count();
        if remaining == 0 {
            return;
        }
        log::line(format_args!(
            "{} closes its listeners and goes on with {remaining} connections until their bodies are complete",
            self.node_name
        ));
        self.clients.stop_accepting();
        drop(self.admin_server);
        if let Some(PeerReceiver { task, peers }) = self.receiver {
            drop(task);
            // The task lets go of the socket when it is next polled.
            yield_now().await;
            peers.close();
        }
        self.clients.finish_transfers().await;
        let cut_off = self.clients.connection_count();
        if cut_off > 0 {
            log::line(format_args!(
                "{} cuts off {cut_off} connections whose bodies do not end",
                self.node_name
            ));
        }
    }
}
