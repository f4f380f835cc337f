//! Resources that several components of the node share, and the components that are built from them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::mpsc;

use super::{sockets, StartError};
use crate::admin::AdminServer;
use crate::body::BodyMemory;
use crate::clients::Clients;
use crate::config::{Config, RuntimeConfig};
use crate::connection_memory::ConnectionMemory;
use crate::descriptors::{self, Descriptors};
use crate::event_loop::{EventLoop, Message};
use crate::log;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::servers::Servers;
use crate::task::AbortOnDrop;

/// Buffered bodies may take the memory limit divided by this.
const BODY_MEMORY_DIVISOR: usize = 6;
/// Memory of the program itself, with the list of servers, rejected connections and files, in bytes.
const PROGRAM_BYTES: usize = 7 << 20;
/// Connections and requests may take these parts in ten of what the program leaves. The rest is for bodies, and for what
/// the allocator can't use again.
const CONNECTION_MEMORY_TENTHS: usize = 5;
/// Least memory of connections and requests, in bytes, for limits below those of the platform.
const MIN_CONNECTION_MEMORY: usize = 4 << 20;
/// Processes of a node that may run at the same time where it inherits its listener: they share the memory limit.
const OVERLAPPING_PROCESSES: usize = 2;

/// Resources that several components of the node share.
pub struct SharedParts {
    servers: Rc<Servers>,
    descriptors: Descriptors,
    /// The node's counters.
    pub metrics: Rc<Metrics>,
    /// Sends messages to the event loop.
    pub messages: mpsc::UnboundedSender<Message>,
}

impl SharedParts {
    /// Builds the shared resources; none of them opens a socket.
    ///
    /// # Errors
    ///
    /// The process may open too few file descriptors.
    pub fn build(
        config: &Config,
        listener_is_shared: bool,
        messages: mpsc::UnboundedSender<Message>,
    ) -> Result<SharedParts, StartError> {
        let descriptors = share_descriptors(config)?;
        let memory_limit = match listener_is_shared {
            true => config.memory_limit / OVERLAPPING_PROCESSES,
            false => config.memory_limit,
        };
        let metrics = Metrics::new(config.runtime.balancer.names.classes());
        let servers = Servers::new(
            config.runtime.node.clone(),
            (descriptors.shared.clone(), descriptors.probes.clone()),
            (
                BodyMemory::new(memory_limit / BODY_MEMORY_DIVISOR),
                ConnectionMemory::new(connection_memory(memory_limit)),
            ),
            metrics.clone(),
        );
        Ok(SharedParts {
            servers,
            descriptors,
            metrics,
            messages,
        })
    }

    /// Creates the event loop, which is not started yet.
    pub fn event_loop(&self, config: &Config, peers: Option<Rc<Peers>>) -> EventLoop {
        EventLoop::new(
            config,
            self.servers.clone(),
            peers,
            self.metrics.clone(),
            self.descriptors.watches.clone(),
            self.messages.clone(),
        )
    }

    /// Creates the clients' side, which does not accept connections yet.
    pub fn clients(&self, runtime: RuntimeConfig) -> Rc<Clients> {
        Clients::new(
            Arc::new(runtime),
            self.servers.clone(),
            &self.descriptors,
            self.servers.connection_memory().clone(),
            self.metrics.clone(),
            self.messages.clone(),
        )
    }

    /// Starts to serve the operators' interface at `address`, until the returned task is dropped.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start_admin_server(
        &self,
        address: SocketAddr,
        clients: &Rc<Clients>,
    ) -> Result<AbortOnDrop, StartError> {
        let admin = Rc::new(AdminServer {
            clients: clients.clone(),
            servers: self.servers.clone(),
            metrics: self.metrics.clone(),
            sockets: self.descriptors.admin.clone(),
            messages: self.messages.clone(),
        });
        let listener = sockets::bind(address).await?;
        let local_address = listener.local_addr().map_err(StartError::Listener)?;
        log::line(format_args!("operators call at {local_address}"));
        Ok(AbortOnDrop::spawn(admin.accept(listener)))
    }
}

/// The memory of connections and requests in a process with this memory limit, in bytes.
fn connection_memory(memory_limit: usize) -> usize {
    let left = memory_limit.saturating_sub(PROGRAM_BYTES);
    (left / 10 * CONNECTION_MEMORY_TENTHS).max(MIN_CONNECTION_MEMORY)
}

/// Divides the file descriptors that the configuration and the system allow among the components.
fn share_descriptors(config: &Config) -> Result<Descriptors, StartError> {
    let configured = config.max_descriptors;
    let allowed = descriptors::soft_limit().unwrap_or(configured);
    if allowed < configured {
        log::line(format_args!(
            "limits.sockets is {configured}, but the system allows {allowed} descriptors: \
             the node uses {allowed}"
        ));
    }
    let admin_enabled = config.admin_listen.is_some();
    Ok(Descriptors::allocate(
        configured.min(allowed),
        admin_enabled,
    )?)
}
