//! Discovery and servers of a capacity run on loopback: a discovery service with a long endpoint list and its updates, and
//! a few listening sockets that serve all listed endpoints. Counts connections, requests and bytes.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::{broadcast, mpsc};

use super::target;
use crate::runtime::http::{Filled, Lines};

/// Sockets that serve all endpoints. Each has its own address so that the node doesn't run out of ephemeral ports.
const SOCKETS: usize = 16;
const KINDS: [&str; 3] = ["fast", "standard", "slow"];
/// Idle time after which servers close a connection.
pub const KEEPALIVE: Duration = Duration::from_secs(5);
/// Interval of empty lines on a watch while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Updates that a watch may lag behind before it is closed.
const UPDATE_BACKLOG: usize = 4_096;

/// Connections and requests that reached the servers.
#[derive(Debug, Default)]
pub struct ServerCounts {
    /// Accepted connections.
    pub connections: AtomicU64,
    /// Requests other than health checks.
    pub requests: AtomicU64,
}

struct List {
    revision: u64,
    /// Whether each server, by its index, is in the list.
    listed: Vec<bool>,
}

/// Discovery and servers on loopback addresses.
pub struct Loopback {
    sockets: Vec<SocketAddr>,
    discovery: SocketAddr,
    list: Mutex<List>,
    updates: broadcast::Sender<Bytes>,
    /// Counts of the servers.
    pub counts: ServerCounts,
    /// Bytes of lists and updates that discovery sent.
    pub discovery_bytes: AtomicU64,
}

impl Loopback {
    /// Starts discovery with a list of `servers` servers, and the sockets that serve them.
    pub async fn open(servers: usize) -> std::io::Result<Arc<Loopback>> {
        let mut listeners = Vec::new();
        for socket in 0..SOCKETS {
            listeners
                .push(TcpListener::bind((Ipv4Addr::new(127, 60, 0, socket as u8 + 1), 0)).await?);
        }
        let discovery = TcpListener::bind((Ipv4Addr::new(127, 61, 0, 1), 0)).await?;
        let sockets = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<Result<_, _>>()?;
        let (updates, _) = broadcast::channel(UPDATE_BACKLOG);
        let loopback = Arc::new(Loopback {
            sockets,
            discovery: discovery.local_addr()?,
            list: Mutex::new(List {
                revision: 1,
                listed: vec![true; servers],
            }),
            updates,
            counts: ServerCounts::default(),
            discovery_bytes: AtomicU64::new(0),
        });
        for listener in listeners {
            tokio::spawn(loopback.clone().accept(listener, false));
        }
        tokio::spawn(loopback.clone().accept(discovery, true));
        Ok(loopback)
    }

    /// Address of discovery.
    pub fn discovery(&self) -> SocketAddr {
        self.discovery
    }

    /// Address of one of the servers.
    pub fn server(&self) -> SocketAddr {
        self.sockets[0]
    }

    /// Indices of the servers of one zone.
    pub fn zone(&self) -> Vec<usize> {
        let servers = self
            .list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .listed
            .len();
        (0..servers)
            .filter(|index| index % target::ZONES == 0)
            .collect()
    }

    /// Removes servers from the list or adds them again, sends the update to all watches and returns its size in bytes.
    pub fn set_listed(&self, indices: &[usize], listed: bool) -> usize {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        list.revision += 1;
        for &index in indices {
            list.listed[index] = listed;
        }
        let phase = if listed { "in_service" } else { "terminated" };
        let members: Vec<Value> = indices
            .iter()
            .map(|index| self.entry(*index, phase))
            .collect();
        let text = format!(
            "{}\n",
            json!({"revision": list.revision, "complete": false, "members": members})
        );
        let bytes = text.len();
        // The send fails only while no watch is open; a new watch starts with the full list.
        let _ = self.updates.send(text.into());
        bytes
    }

    fn entry(&self, index: usize, phase: &str) -> Value {
        json!({
            "id": format!("s-{index:05}"), "host_port": self.sockets[index % SOCKETS].to_string(),
            "locality": format!("zone-{}", index % target::ZONES), "flavor": KINDS[index % KINDS.len()],
            "cell": index / 8, "phase": phase, "size": 1.0, "up_since_ms": 0,
        })
    }

    /// Full list as one line of JSON.
    pub fn full_list(&self) -> String {
        let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        let indices = (0..list.listed.len()).filter(|index| list.listed[*index]);
        let members: Vec<Value> = indices
            .map(|index| self.entry(index, "in_service"))
            .collect();
        format!(
            "{}\n",
            json!({"revision": list.revision, "complete": true, "members": members})
        )
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, discovery: bool) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let loopback = self.clone();
            if !discovery {
                self.counts.connections.fetch_add(1, Ordering::Relaxed);
            }
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let loopback = loopback.clone();
                    async move {
                        Ok::<_, Infallible>(if discovery {
                            loopback.list(&request)
                        } else {
                            loopback.serve(&request)
                        })
                    }
                });
                let mut builder = hyper::server::conn::http1::Builder::new();
                if !discovery {
                    builder
                        .timer(TokioTimer::new())
                        .header_read_timeout(KEEPALIVE);
                }
                let _ = builder
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    fn serve(&self, request: &Request<Incoming>) -> Response<BoxBody<Bytes, Infallible>> {
        if request.uri().path() != "/-/healthy" {
            self.counts.requests.fetch_add(1, Ordering::Relaxed);
        }
        Response::new(Filled::new("served\n", 0).boxed())
    }

    fn list(self: &Arc<Self>, request: &Request<Incoming>) -> Response<BoxBody<Bytes, Infallible>> {
        let mut response = Response::new(Filled::new("", 0).boxed());
        if request.uri().path() != "/api/targets" {
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        // Subscribes before it reads the list: an update in between is then sent twice rather than lost.
        let updates = self.updates.subscribe();
        let full_list = self.full_list();
        self.discovery_bytes
            .fetch_add(full_list.len() as u64, Ordering::Relaxed);
        if request
            .uri()
            .query()
            .is_none_or(|query| !query.contains("stream=1"))
        {
            *response.body_mut() = Filled::new(full_list, 0).boxed();
            return response;
        }
        let (lines, rx) = mpsc::channel(4);
        tokio::spawn(self.clone().watch(full_list.into(), updates, lines));
        *response.body_mut() = Lines(rx).boxed();
        response
    }

    async fn watch(
        self: Arc<Self>,
        full_list: Bytes,
        mut updates: broadcast::Receiver<Bytes>,
        lines: mpsc::Sender<Bytes>,
    ) {
        let mut line = full_list;
        while lines.send(line).await.is_ok() {
            line = tokio::select! {
                update = updates.recv() => match update {
                    Ok(line) => {
                        self.discovery_bytes.fetch_add(line.len() as u64, Ordering::Relaxed);
                        line
                    }
                    // The watch lagged too far behind: it ends, and the node reconnects and reads the full list.
                    Err(_) => return,
                },
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => Bytes::from_static(b"\n"),
                () = lines.closed() => return,
            };
        }
    }
}
