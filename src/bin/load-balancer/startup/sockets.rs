//! The sockets that a node opens at its start.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;

use super::StartError;
use crate::config::Config;
use crate::log;
use crate::peers::Peers;

/// The node's sockets, but for the operators' listener.
pub struct Sockets {
    /// Where clients connect.
    pub listener: TcpListener,
    /// Its address.
    pub listen_address: SocketAddr,
    /// Whether the listener is inherited: another process may accept from it too.
    pub listener_is_shared: bool,
    /// For datagrams of other nodes.
    pub peers: Option<Rc<Peers>>,
}

impl Sockets {
    /// Opens the sockets; `inherited` takes the place of a listener of the node's own.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub async fn open(
        config: &Config,
        inherited: Option<std::net::TcpListener>,
    ) -> Result<Sockets, StartError> {
        let listener_is_shared = inherited.is_some();
        let listener = match inherited {
            Some(listener) => TcpListener::from_std(listener).map_err(StartError::Listener)?,
            None => bind(config.listen).await?,
        };
        let listen_address = listener.local_addr().map_err(StartError::Listener)?;
        let peers = bind_peers(config, listener_is_shared).await?;
        Ok(Sockets {
            listener,
            listen_address,
            listener_is_shared,
            peers,
        })
    }
}

/// Binds a listener.
///
/// # Errors
///
/// The address can't be bound.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
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
    match Peers::bind(address, config.peers.clone(), config.peer_broadcast).await {
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
