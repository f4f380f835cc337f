//! Builds a node from its configuration and starts its tasks.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::admin::AdminServer;
use crate::body::Memory;
use crate::clients::Clients;
use crate::config::Config;
use crate::cordon::CordonedServers;
use crate::descriptors::{self, Descriptors};
use crate::event_loop::{EventLoop, Message, PeerDatagram};
use crate::log;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::reload::Reloader;
use crate::servers::Servers;
use crate::shutdown::Shutdown;

mod error;

pub use error::StartError;

/// Buffered bodies may take this fraction of the memory limit (1 / `BODY_MEMORY_FRACTION`). The
/// rest is for the connections' own buffers and for an overlapping process.
const BODY_MEMORY_FRACTION: usize = 6;

/// A running node.
pub struct Node {
    shutdown: Shutdown,
}

impl Node {
    /// Builds the node and starts its tasks on the current local set.
    ///
    /// # Errors
    ///
    /// A socket can't be bound, or the process may open too few descriptors.
    pub async fn start(
        config: Config,
        config_path: PathBuf,
        inherited: Option<std::net::TcpListener>,
    ) -> Result<Node, StartError> {
        let terminate = signal(SignalKind::terminate())?;
        let hangup = signal(SignalKind::hangup())?;
        let listener_is_shared = inherited.is_some();
        let listener = match inherited {
            Some(listener) => TcpListener::from_std(listener)?,
            None => bind(config.listen).await?,
        };
        let listen_address = listener.local_addr()?;
        let peers = bind_peers(&config, listener_is_shared).await?;
        let (messages, received) = mpsc::unbounded_channel();
        let descriptors = share_descriptors(&config)?;
        let metrics = Metrics::new(config.runtime.balancer.names.classes());
        let servers = build_servers(&config, &descriptors, &metrics);
        let mut event_loop = EventLoop::new(
            &config,
            servers.clone(),
            peers.clone(),
            metrics.clone(),
            descriptors.watches.clone(),
            messages.clone(),
        );
        let cordoned = open_cordons(&config);
        if let Some(problem) = &config.known_problem {
            log::line(format_args!("the configuration's list: {problem}"));
        }
        event_loop.start(config.known, cordoned);
        let clients = Clients::new(
            Arc::new(config.runtime),
            servers.clone(),
            &descriptors,
            metrics.clone(),
            messages.clone(),
        );
        if let Some(address) = config.admin_listen {
            let admin = AdminServer::new(
                clients.clone(),
                servers,
                metrics.clone(),
                descriptors.admin.clone(),
                messages.clone(),
            );
            let listener = bind(address).await?;
            log::line(format_args!("operators call at {}", listener.local_addr()?));
            spawn_local(admin.accept(listener));
        }
        let reloader = Reloader {
            path: config_path,
            discovery: config.discovery,
            clients: clients.clone(),
            metrics,
            messages: messages.clone(),
        };
        spawn_local(reloader.run(hangup));
        if let Some(peers) = peers {
            spawn_local(receive_datagrams(peers, messages));
        }
        spawn_local(event_loop.run(received));
        spawn_local(clients.clone().accept(listener));
        log::line(format_args!("{} listens on {listen_address}", config.name));
        let shutdown = Shutdown {
            node_name: config.name,
            terminate,
            listener_is_shared,
            clients,
        };
        Ok(Node { shutdown })
    }

    /// Runs until SIGTERM and returns once the node has drained.
    pub async fn run_until_terminated(self) {
        self.shutdown.wait_and_drain().await;
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Bind { address, source })
}

/// The socket for datagrams of other nodes; `None` if there is none in the configuration, or if the
/// process that this one replaces still has it.
async fn bind_peers(
    config: &Config,
    replaces_process: bool,
) -> Result<Option<Rc<Peers>>, StartError> {
    let Some(address) = config.peer_listen else {
        return Ok(None);
    };
    match Peers::bind(address, config.peers.clone(), config.peers_all).await {
        Ok(peers) => Ok(Some(peers)),
        // Datagrams are an optimisation: the node serves without them.
        Err(error) if replaces_process && error.kind() == io::ErrorKind::AddrInUse => {
            log::line(format_args!(
                "no datagrams between nodes: {address}: {error}"
            ));
            Ok(None)
        }
        Err(source) => Err(StartError::Bind { address, source }),
    }
}

/// Shares out the descriptors that the configuration and the system allow.
fn share_descriptors(config: &Config) -> Result<Descriptors, StartError> {
    let configured = config.max_descriptors;
    let allowed = descriptors::allowed().unwrap_or(configured);
    if allowed < configured {
        log::line(format_args!(
            "limits.sockets is {configured}, the system allows {allowed} descriptors: \
             these are shared out"
        ));
    }
    let admin_enabled = config.admin_listen.is_some();
    Ok(Descriptors::share_out(
        configured.min(allowed),
        admin_enabled,
    )?)
}

/// Passes the datagrams of other nodes to the event loop until the process ends.
async fn receive_datagrams(peers: Rc<Peers>, messages: mpsc::UnboundedSender<Message>) {
    loop {
        let datagram: PeerDatagram = peers.receive().await;
        let _ = messages.send(Message::PeerDatagram(datagram));
    }
}

fn build_servers(config: &Config, descriptors: &Descriptors, metrics: &Rc<Metrics>) -> Rc<Servers> {
    Servers::new(
        config.runtime.node.clone(),
        (descriptors.shared.clone(), descriptors.probes.clone()),
        Memory::new(config.memory / BODY_MEMORY_FRACTION),
        metrics.clone(),
    )
}

/// The cordoned servers; `None` where the operators' interface is off.
fn open_cordons(config: &Config) -> Option<CordonedServers> {
    config.admin_listen?;
    let folder = config.state_folder.as_deref();
    Some(CordonedServers::open(folder, &config.name))
}
