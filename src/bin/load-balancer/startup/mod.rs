//! Builds the node from its configuration and starts its tasks.

use std::path::PathBuf;
use std::rc::Rc;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::config::Config;
use crate::cordon::CordonedServers;
use crate::event_loop::{Message, PeerDatagram};
use crate::log;
use crate::peers::Peers;
use crate::reload::Reloader;
use crate::run_once::RunOnce;
use crate::shutdown::{PeerReceiver, Shutdown};
use crate::task::AbortOnDrop;

mod error;
mod shared_parts;
mod sockets;

pub use error::StartError;
use shared_parts::SharedParts;
use sockets::Sockets;

/// A running node, which shuts down at SIGTERM.
pub struct Node {
    shutdown: Shutdown,
}

impl Node {
    /// Builds the node and starts its tasks on the current local set.
    ///
    /// The start does not wait for discovery or a server: until discovery responds, the node uses the endpoint list
    /// of its configuration (`tests/ready.rs`).
    ///
    /// # Errors
    ///
    /// A socket can't be bound, a signal handler can't be installed, or the process may open too few file
    /// descriptors.
    pub async fn start(
        config: Config,
        config_path: PathBuf,
        inherited: Option<std::net::TcpListener>,
    ) -> Result<Node, StartError> {
        // Installed before the listener accepts: without a handler, SIGTERM would abort accepted connections.
        let terminate = signal(SignalKind::terminate()).map_err(StartError::SignalHandler)?;
        let hangup = signal(SignalKind::hangup()).map_err(StartError::SignalHandler)?;
        let sockets = Sockets::open(&config, inherited).await?;
        let (messages, received) = mpsc::unbounded_channel();
        let parts = SharedParts::build(&config, sockets.listener_is_shared, messages)?;
        let mut event_loop = parts.event_loop(&config, sockets.peers.clone());
        let cordoned = open_cordons(&config);
        let run_once = open_run_once(&config, sockets.listener_is_shared);
        log_cached_list_problem(&config);
        event_loop.start(config.cached_list, cordoned, run_once);
        let clients = parts.clients(config.runtime);
        let admin_server = match config.admin_listen {
            Some(address) => Some(parts.start_admin_server(address, &clients).await?),
            None => None,
        };
        let reloader = Reloader {
            path: config_path,
            discovery: config.discovery,
            clients: clients.clone(),
            metrics: parts.metrics,
            messages: parts.messages.clone(),
        };
        spawn_local(reloader.run(hangup));
        let receiver = sockets.peers.map(|peers| PeerReceiver {
            task: AbortOnDrop::spawn(receive_datagrams(peers.clone(), parts.messages)),
            peers,
        });
        spawn_local(event_loop.run(received));
        spawn_local(clients.clone().accept(sockets.listener));
        spawn_local(clients.clone().reclaim_memory());
        log::line(format_args!(
            "{} listens on {}",
            config.name, sockets.listen_address
        ));
        let shutdown = Shutdown {
            node_name: config.name,
            terminate,
            listener_is_shared: sockets.listener_is_shared,
            clients,
            admin_server,
            receiver,
        };
        Ok(Node { shutdown })
    }

    /// Runs until SIGTERM and returns once the node has drained.
    pub async fn run_until_terminated(self) {
        self.shutdown.wait_and_drain().await;
    }
}

/// Passes the datagrams of other nodes to the event loop until the process ends.
async fn receive_datagrams(peers: Rc<Peers>, messages: mpsc::UnboundedSender<Message>) {
    loop {
        let datagram: PeerDatagram = peers.receive().await;
        let _ = messages.send(Message::PeerDatagram(datagram));
    }
}

/// Logs what is wrong with the endpoint list in the configuration, if anything is.
fn log_cached_list_problem(config: &Config) {
    if let Some(problem) = &config.cached_list_problem {
        log::line(format_args!(
            "endpoint list in the configuration: {problem}; the node starts with its {} valid entries",
            config.cached_list.entries.len()
        ));
    }
}

/// Opens the ids of requests that must not run twice, shared with other processes that accept from the same listener.
fn open_run_once(config: &Config, listener_is_shared: bool) -> RunOnce {
    match &config.state_folder {
        Some(folder) if listener_is_shared => RunOnce::shared(folder, &config.name),
        _ => RunOnce::unshared(),
    }
}

/// Loads the cordoned servers; `None` if the operators' interface is off.
fn open_cordons(config: &Config) -> Option<CordonedServers> {
    config.admin_listen?;
    let folder = config.state_folder.as_deref();
    Some(CordonedServers::open(folder, &config.name))
}
