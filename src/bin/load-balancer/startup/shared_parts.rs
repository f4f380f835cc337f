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
use crate::descriptors::{self, Descriptors};
use crate::event_loop::{EventLoop, Message};
use crate::log;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::servers::Servers;
use crate::task::AbortOnDrop;

/// Buffered bodies may take the memory limit divided by this. The rest is for the connections' own buffers and for
/// an overlapping process of this node.
const BODY_MEMORY_DIVISOR: usize = 6;

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
        messages: mpsc::UnboundedSender<Message>,
    ) -> Result<SharedParts, StartError> {
        let descriptors = share_descriptors(config)?;
        let metrics = Metrics::new(config.runtime.balancer.names.classes());
        let servers = Servers::new(
            config.runtime.node.clone(),
            (descriptors.shared.clone(), descriptors.probes.clone()),
            BodyMemory::new(config.memory_limit / BODY_MEMORY_DIVISOR),
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
