//! Owns discovery's agents: one address for each node, the list and its watch (PROTOCOL, "Discovery").
//! What an agent has to say is the world's affair; what it has written is told to the referee.

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
use super::servers::Servers;
use super::stage::Stage;
use crate::scenario::Outage;
use crate::world::registry::unix_ms;
use crate::world::{Entry, NodeId};

/// A watch sends an empty line this often while nothing changes.
const KEEP: Duration = Duration::from_secs(2);
/// How often an agent that says nothing looks whether it may speak again.
const AWAY: Duration = Duration::from_millis(50);
/// After a move the old address closes its open connections this much later (TERMS).
const OLD_ENDS: Duration = Duration::from_millis(1_500);

/// All agents.
#[derive(Debug)]
pub struct Agents {
    stage: Arc<Stage>,
    servers: Arc<Servers>,
    /// For each node its agent's address, and the end of it.
    doors: Mutex<Vec<(SocketAddr, watch::Sender<bool>)>>,
}

/// Resolves when discovery resets its connections.
async fn resets(outage: &mut watch::Receiver<Option<Outage>>) {
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
        stage: Arc<Stage>,
        servers: Arc<Servers>,
        nodes: usize,
    ) -> std::io::Result<Arc<Agents>> {
        let agents = Arc::new(Agents {
            stage,
            servers,
            doors: Mutex::default(),
        });
        for node in 0..nodes {
            let door = agents.door(node)?;
            agents
                .doors
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(door);
        }
        Ok(agents)
    }

    fn door(self: &Arc<Self>, node: NodeId) -> std::io::Result<(SocketAddr, watch::Sender<bool>)> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::new(127, 3, node as u8, 1), 0))?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let (closed, close) = watch::channel(false);
        tokio::spawn(
            self.clone()
                .accept(node, TcpListener::from_std(listener)?, close),
        );
        Ok((addr, closed))
    }

    /// Where a node finds its agent now.
    pub fn address(&self, node: NodeId) -> SocketAddr {
        self.doors.lock().unwrap_or_else(PoisonError::into_inner)[node].0
    }

    /// A node's agent moves to another address; the old one takes no more connections.
    pub fn move_on(self: &Arc<Self>, node: NodeId) -> std::io::Result<()> {
        let door = self.door(node)?;
        let mut doors = self.doors.lock().unwrap_or_else(PoisonError::into_inner);
        let (_, closed) = std::mem::replace(&mut doors[node], door);
        let _ = closed.send(true);
        Ok(())
    }

    async fn accept(
        self: Arc<Self>,
        node: NodeId,
        listener: TcpListener,
        mut close: watch::Receiver<bool>,
    ) {
        loop {
            let taken = tokio::select! {
                taken = listener.accept() => taken,
                _ = close.changed() => return,
            };
            let Ok((stream, _)) = taken else { continue };
            let _ = stream.set_nodelay(true);
            let mut outage = self.stage.outage();
            let (agents, mut close) = (self.clone(), close.clone());
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let agents = agents.clone();
                    async move { Ok::<_, Infallible>(agents.answer(node, request).await) }
                });
                let mut connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    _ = &mut connection => {}
                    _ = close.changed() => tokio::time::sleep(OLD_ENDS).await,
                    () = resets(&mut outage) => {
                        let _ = connection.into_parts().io.into_inner().set_zero_linger();
                    }
                }
            });
        }
    }

    async fn answer(
        self: Arc<Self>,
        node: NodeId,
        request: Request<Incoming>,
    ) -> Response<BoxBody<Bytes, Infallible>> {
        let mut answer = Response::new(Filled::new("", 0).boxed());
        if request.uri().path() != "/api/targets" {
            *answer.status_mut() = StatusCode::NOT_FOUND;
            return answer;
        }
        loop {
            match self.stage.world(|world, _, _| world.registry().outage()) {
                None => break,
                Some(Outage::Silent) => tokio::time::sleep(AWAY).await,
                // To the end of the connection.
                Some(Outage::Hangs | Outage::Resets) => std::future::pending().await,
                Some(Outage::Errors) => {
                    *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                    return answer;
                }
            }
        }
        let field = |name: &str| {
            let fields = request
                .uri()
                .query()?
                .split('&')
                .filter_map(|field| field.split_once('='));
            fields
                .into_iter()
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        if field("stream").as_deref() == Some("1") {
            let index = field("index")
                .and_then(|index| index.parse().ok())
                .unwrap_or(0);
            let (tx, rx) = mpsc::channel(4);
            tokio::spawn(self.watch(node, index, tx));
            *answer.body_mut() = Lines(rx).boxed();
        } else {
            let list = self.whole(node);
            *answer.body_mut() = Filled::new(list.to_string(), 0).boxed();
        }
        answer
    }

    /// Writes what changes until the node has closed the watch.
    async fn watch(self: Arc<Self>, node: NodeId, mut revision: u64, tx: mpsc::Sender<Bytes>) {
        let news = self.stage.news(node);
        loop {
            let told = news.notified();
            tokio::pin!(told);
            told.as_mut().enable();
            let (outage, changes) = self.changes(node, &mut revision);
            match outage {
                None | Some(Outage::Silent) => {}
                Some(Outage::Hangs | Outage::Resets) => return tx.closed().await,
                Some(Outage::Errors) => return,
            }
            let away = outage.is_some();
            let line = changes.map_or("\n".to_owned(), |changes| format!("{changes}\n"));
            // While discovery is away its agents say nothing at all.
            if !away && tx.send(line.into()).await.is_err() {
                return;
            }
            tokio::select! {
                () = told => {}
                () = tokio::time::sleep(if away { AWAY } else { KEEP }) => {}
                () = tx.closed() => return,
            }
        }
    }

    /// How discovery is out of reach, if it is, and else what changed after a revision, which moves on. Both
    /// are of one look: what is taken while it is away would never be said.
    fn changes(&self, node: NodeId, revision: &mut u64) -> (Option<Outage>, Option<Value>) {
        let (outage, newest, changed) = self.stage.world(|world, _, _| {
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
            return (outage, Some(self.whole(node)));
        };
        self.tell(node, &changed);
        (outage, Some(self.list(node, newest, false, &changed)))
    }

    fn tell(&self, node: NodeId, entries: &[Entry]) {
        let now = self.stage.now();
        self.stage.referee(|referee| {
            entries
                .iter()
                .for_each(|entry| referee.server_phase_known(node, &entry.id, entry.phase, now));
        });
    }

    /// The whole list as a node's agent has it.
    pub fn whole(&self, node: NodeId) -> Value {
        let (revision, entries) = self.stage.world(|world, _, _| {
            let registry = world.registry();
            (registry.revision(node), registry.snapshot(node))
        });
        self.tell(node, &entries);
        self.list(node, revision, true, &entries)
    }

    fn list(&self, node: NodeId, revision: u64, complete: bool, entries: &[Entry]) -> Value {
        let began = self.stage.began_unix_ms();
        let members: Vec<Value> = entries
            .iter()
            .filter_map(|entry| {
                let addr = self.servers.address(&entry.id, node)?;
                Some(json!({
                    "id": entry.id, "host_port": addr.to_string(), "locality": entry.zone,
                    "flavor": entry.kind, "cell": entry.cell, "phase": entry.phase.as_str(),
                    "size": entry.size, "up_since_ms": unix_ms(entry.started_at, began),
                }))
            })
            .collect();
        json!({"revision": revision, "complete": complete, "members": members})
    }
}
