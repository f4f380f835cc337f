//! The sockets that a node opens at its start.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;

use super::StartError;
use crate::config::Config;
use crate::log;
use crate::peers::Peers;

/// The sockets that the node opens at its start, except the operators' listener.
pub struct Sockets {
    /// The listener for client connections.
    pub listener: TcpListener,
    /// The address of `listener`.
    pub listen_address: SocketAddr,
    /// Whether the listener is inherited, so that another process may accept from it too.
    pub listener_is_shared: bool,
    /// The socket for datagrams of other nodes; `None` if the node exchanges none.
    pub peers: Option<Rc<Peers>>,
}

impl Sockets {
    /// Opens the sockets. An `inherited` listener is used in place of a new one.
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

/// Binds a TCP listener.
///
/// # Errors
///
/// The address can't be bound.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Bind { address, source })
}

/// Binds the socket for datagrams of other nodes. `None` if the configuration has no address for it, or if the
/// process that this one replaces still uses the address.
async fn bind_peers(
    config: &Config,
    replaces_process: bool,
) -> Result<Option<Rc<Peers>>, StartError> {
    let Some(address) = config.peer_listen else {
        return Ok(None);
    };
    match Peers::bind(address, config.peers.clone(), config.peer_broadcast).await {
        Ok(peers) => Ok(Some(peers)),
        // Datagrams are an optimization: the node works without them.
        Err(error) if replaces_process && error.kind() == io::ErrorKind::AddrInUse => {
            log::line(format_args!(
                "can't bind {address} for datagrams of other nodes, the previous process uses it: {error}; \
                 this process exchanges none"
            ));
            Ok(None)
        }
        Err(source) => Err(StartError::Bind { address, source }),
    }
}
