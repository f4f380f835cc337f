//! The simulated discovery agents. Each node has one, with an address of its own, that serves the endpoint list
//! and a watch of its changes (PROTOCOL, "Discovery"). The list is kept in the world's registry. The invariant
//! checker is given the server phases that an agent has delivered.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::http::{Filled, Lines};
use super::run_state::RunState;
use super::servers::Servers;
use crate::scenario::Outage;
use crate::world::registry::unix_ms;
use crate::world::{Entry, NodeId};

/// Interval at which a watch without changes sends an empty line.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which a silent agent checks whether the outage is over.
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time from a move to another address to the close of the connections at the old one (TERMS).
const OLD_ADDRESS_CLOSE_DELAY: Duration = Duration::from_millis(1_500);

/// The discovery agents of all nodes.
#[derive(Debug)]
pub struct Agents {
    run_state: Arc<RunState>,
    servers: Arc<Servers>,
    /// Per node: the address of its agent, and the sender that closes that address.
    addresses: Mutex<Vec<(SocketAddr, watch::Sender<bool>)>>,
}

/// Resolves as soon as there is an outage in which discovery resets its connections; at once if there is one now.
async fn connection_reset(outage: &mut watch::Receiver<Option<Outage>>) {
    if outage
        .wait_for(|outage| *outage == Some(Outage::Resets))
        .await
        .is_err()
    {
        std::future::pending().await
    }
}

impl Agents {
    /// Opens an agent for each node.
    pub fn open(
        run_state: Arc<RunState>,
        servers: Arc<Servers>,
        nodes: usize,
    ) -> std::io::Result<Arc<Agents>> {
        let agents = Arc::new(Agents {
            run_state,
            servers,
            addresses: Mutex::default(),
        });
        for node in 0..nodes {
            let address = agents.open_address(node)?;
            agents
                .addresses
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(address);
        }
        Ok(agents)
    }

    fn open_address(
        self: &Arc<Self>,
        node: NodeId,
    ) -> std::io::Result<(SocketAddr, watch::Sender<bool>)> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::new(127, 3, node as u8, 1), 0))?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let (close, closed) = watch::channel(false);
        tokio::spawn(
            self.clone()
                .accept(node, TcpListener::from_std(listener)?, closed),
        );
        Ok((addr, close))
    }

    /// Current address of a node's agent.
    pub fn address(&self, node: NodeId) -> SocketAddr {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)[node]
            .0
    }

    /// Moves a node's agent to another address. The old one accepts no more connections.
    pub fn move_to_new_address(self: &Arc<Self>, node: NodeId) -> std::io::Result<()> {
        let address = self.open_address(node)?;
        let mut addresses = self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (_, close) = std::mem::replace(&mut addresses[node], address);
        let _ = close.send(true);
        Ok(())
    }

    async fn accept(
        self: Arc<Self>,
        node: NodeId,
        listener: TcpListener,
        mut closed: watch::Receiver<bool>,
    ) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = closed.changed() => return,
            };
            let Ok((stream, _)) = accepted else { continue };
            let _ = stream.set_nodelay(true);
            let mut outage = self.run_state.outage();
            let (agents, mut closed) = (self.clone(), closed.clone());
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let agents = agents.clone();
                    async move { Ok::<_, Infallible>(agents.respond(node, request).await) }
                });
                let mut connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    _ = &mut connection => {}
                    _ = closed.changed() => tokio::time::sleep(OLD_ADDRESS_CLOSE_DELAY).await,
                    () = connection_reset(&mut outage) => {
                        let _ = connection.into_parts().io.into_inner().set_zero_linger();
                    }
                }
            });
        }
    }

    async fn respond(
        self: Arc<Self>,
        node: NodeId,
        request: Request<Incoming>,
    ) -> Response<BoxBody<Bytes, Infallible>> {
        let mut response = Response::new(Filled::new("", 0).boxed());
        if request.uri().path() != "/api/targets" {
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        loop {
            match self
                .run_state
                .with_world(|world, _, _| world.registry().outage())
            {
                None => break,
                Some(Outage::Silent) => tokio::time::sleep(OUTAGE_POLL_INTERVAL).await,
                // The request gets no response for as long as its connection lives.
                Some(Outage::Hangs | Outage::Resets) => std::future::pending().await,
                Some(Outage::Errors) => {
                    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                    return response;
                }
            }
        }
        let parameter = |name: &str| {
            let parameters = request
                .uri()
                .query()?
                .split('&')
                .filter_map(|parameter| parameter.split_once('='));
            parameters
                .into_iter()
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        if parameter("stream").as_deref() == Some("1") {
            let index = parameter("index")
                .and_then(|index| index.parse().ok())
                .unwrap_or(0);
            let (tx, rx) = mpsc::channel(4);
            tokio::spawn(self.watch(node, index, tx));
            *response.body_mut() = Lines(rx).boxed();
        } else {
            let list = self.full_list(node);
            *response.body_mut() = Filled::new(list.to_string(), 0).boxed();
        }
        response
    }

    /// Sends the changes after `revision` until the node closes the watch or an outage ends it with an error.
    async fn watch(self: Arc<Self>, node: NodeId, mut revision: u64, tx: mpsc::Sender<Bytes>) {
        let endpoint_updates = self.run_state.endpoint_updates(node);
        loop {
            let updated = endpoint_updates.notified();
            tokio::pin!(updated);
            updated.as_mut().enable();
            let (outage, changes) = self.changes(node, &mut revision);
            match outage {
                None | Some(Outage::Silent) => {}
                Some(Outage::Hangs | Outage::Resets) => return tx.closed().await,
                Some(Outage::Errors) => return,
            }
            let unavailable = outage.is_some();
            let line = changes.map_or("\n".to_owned(), |changes| format!("{changes}\n"));
            // During a silent outage not even the empty lines are sent.
            if !unavailable && tx.send(line.into()).await.is_err() {
                return;
            }
            tokio::select! {
                () = updated => {}
                () = tokio::time::sleep(if unavailable { OUTAGE_POLL_INTERVAL } else { KEEP_ALIVE_INTERVAL }) => {}
                () = tx.closed() => return,
            }
        }
    }

    /// The current outage, if any; otherwise the changes after `revision`, which is advanced. One call on the
    /// world reads the outage together with the changes: the watch sends nothing during an outage, so changes
    /// past which `revision` had been advanced at that time would never be sent.
    fn changes(&self, node: NodeId, revision: &mut u64) -> (Option<Outage>, Option<Value>) {
        let (outage, newest, changed) = self.run_state.with_world(|world, _, _| {
            let registry = world.registry();
            (
                registry.outage(),
                registry.revision(node),
                registry.changes_since(node, *revision),
            )
        });
        if outage.is_some() || newest == *revision {
            return (outage, None);
        }
        *revision = newest;
        let Some(changed) = changed else {
            return (outage, Some(self.full_list(node)));
        };
        self.record_delivered(node, &changed);
        (outage, Some(self.list(node, newest, false, &changed)))
    }

    fn record_delivered(&self, node: NodeId, entries: &[Entry]) {
        let now = self.run_state.now();
        self.run_state.with_checker(|checker| {
            entries
                .iter()
                .for_each(|entry| checker.server_phase_known(node, &entry.id, entry.phase, now));
        });
    }

    /// The full endpoint list of a node's agent.
    pub fn full_list(&self, node: NodeId) -> Value {
        let (revision, entries) = self.run_state.with_world(|world, _, _| {
            let registry = world.registry();
            (registry.revision(node), registry.snapshot(node))
        });
        self.record_delivered(node, &entries);
        self.list(node, revision, true, &entries)
    }

    fn list(&self, node: NodeId, revision: u64, complete: bool, entries: &[Entry]) -> Value {
        let load_start = self.run_state.load_start_unix_ms();
        let members: Vec<Value> = entries
            .iter()
            .filter_map(|entry| {
                let addr = self.servers.address(&entry.id, node)?;
                Some(json!({
                    "id": entry.id, "host_port": addr.to_string(), "locality": entry.zone,
                    "flavor": entry.kind, "cell": entry.cell, "phase": entry.phase.as_str(),
                    "size": entry.size, "up_since_ms": unix_ms(entry.started_at, load_start),
                }))
            })
            .collect();
        json!({"revision": revision, "complete": complete, "members": members})
    }
}
