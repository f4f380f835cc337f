//! Owns the loopback world of a scale run: a discovery that serves a long list and its changes, and a few sockets that
//! stand behind all of its entries. It counts what passes and decides nothing.

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

/// Sockets behind the entries, each on an address of its own, so that ports last.
const SOCKETS: usize = 16;
const KINDS: [&str; 3] = ["fast", "standard", "slow"];
/// Servers close connections that rest for so long.
pub const KEEPALIVE: Duration = Duration::from_secs(5);
/// A watch has an empty line so often while nothing changes.
const BEAT: Duration = Duration::from_secs(2);
/// Changes that a watch may lag behind.
const LAG: usize = 4_096;

/// What came to the servers.
#[derive(Debug, Default)]
pub struct Served {
    /// Connections.
    pub connections: AtomicU64,
    /// Requests that are no probes.
    pub requests: AtomicU64,
}

struct List {
    revision: u64,
    /// By place: whether it is listed.
    listed: Vec<bool>,
}

/// The world.
pub struct Loopback {
    sockets: Vec<SocketAddr>,
    discovery: SocketAddr,
    list: Mutex<List>,
    news: broadcast::Sender<Bytes>,
    /// What the servers saw.
    pub served: Served,
    /// Bytes of lists and changes that discovery wrote.
    pub told_bytes: AtomicU64,
}

impl Loopback {
    /// Opens a world with a list of so many servers.
    pub async fn open(servers: usize) -> std::io::Result<Arc<Loopback>> {
        let mut doors = Vec::new();
        for socket in 0..SOCKETS {
            doors.push(TcpListener::bind((Ipv4Addr::new(127, 60, 0, socket as u8 + 1), 0)).await?);
        }
        let discovery = TcpListener::bind((Ipv4Addr::new(127, 61, 0, 1), 0)).await?;
        let sockets = doors
            .iter()
            .map(TcpListener::local_addr)
            .collect::<Result<_, _>>()?;
        let (news, _) = broadcast::channel(LAG);
        let world = Arc::new(Loopback {
            sockets,
            discovery: discovery.local_addr()?,
            list: Mutex::new(List {
                revision: 1,
                listed: vec![true; servers],
            }),
            news,
            served: Served::default(),
            told_bytes: AtomicU64::new(0),
        });
        for door in doors {
            tokio::spawn(world.clone().accept(door, false));
        }
        tokio::spawn(world.clone().accept(discovery, true));
        Ok(world)
    }

    /// Where a node finds discovery.
    pub fn discovery(&self) -> SocketAddr {
        self.discovery
    }

    /// Where one of the servers is.
    pub fn server(&self) -> SocketAddr {
        self.sockets[0]
    }

    /// The servers of one zone of the target's, by their places.
    pub fn zone(&self) -> Vec<usize> {
        let servers = self
            .list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .listed
            .len();
        (0..servers)
            .filter(|place| place % target::ZONES == 0)
            .collect()
    }

    /// Takes servers off the list or puts them back, and tells of it; gives the bytes of the news.
    pub fn change(&self, places: &[usize], listed: bool) -> usize {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        list.revision += 1;
        for &place in places {
            list.listed[place] = listed;
        }
        let phase = if listed { "in_service" } else { "terminated" };
        let members: Vec<Value> = places
            .iter()
            .map(|place| self.entry(*place, phase))
            .collect();
        let text = format!(
            "{}\n",
            json!({"revision": list.revision, "complete": false, "members": members})
        );
        let bytes = text.len();
        // Without a watch there is nobody to tell: whoever comes has the whole list.
        let _ = self.news.send(text.into());
        bytes
    }

    fn entry(&self, place: usize, phase: &str) -> Value {
        json!({
            "id": format!("s-{place:05}"), "host_port": self.sockets[place % SOCKETS].to_string(),
            "locality": format!("zone-{}", place % target::ZONES), "flavor": KINDS[place % KINDS.len()],
            "cell": place / 8, "phase": phase, "size": 1.0, "up_since_ms": 0,
        })
    }

    /// The whole list as a line.
    pub fn whole(&self) -> String {
        let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        let places = (0..list.listed.len()).filter(|place| list.listed[*place]);
        let members: Vec<Value> = places
            .map(|place| self.entry(place, "in_service"))
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
            let world = self.clone();
            if !discovery {
                self.served.connections.fetch_add(1, Ordering::Relaxed);
            }
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let world = world.clone();
                    async move {
                        Ok::<_, Infallible>(if discovery {
                            world.list(&request)
                        } else {
                            world.serve(&request)
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
            self.served.requests.fetch_add(1, Ordering::Relaxed);
        }
        Response::new(Filled::new("served\n", 0).boxed())
    }

    fn list(self: &Arc<Self>, request: &Request<Incoming>) -> Response<BoxBody<Bytes, Infallible>> {
        let mut answer = Response::new(Filled::new("", 0).boxed());
        if request.uri().path() != "/api/targets" {
            *answer.status_mut() = StatusCode::NOT_FOUND;
            return answer;
        }
        // The watch is joined before the list is read: a change between would be told twice, never lost.
        let news = self.news.subscribe();
        let whole = self.whole();
        self.told_bytes
            .fetch_add(whole.len() as u64, Ordering::Relaxed);
        if request
            .uri()
            .query()
            .is_none_or(|query| !query.contains("stream=1"))
        {
            *answer.body_mut() = Filled::new(whole, 0).boxed();
            return answer;
        }
        let (tx, rx) = mpsc::channel(4);
        tokio::spawn(self.clone().watch(whole.into(), news, tx));
        *answer.body_mut() = Lines(rx).boxed();
        answer
    }

    async fn watch(
        self: Arc<Self>,
        whole: Bytes,
        mut news: broadcast::Receiver<Bytes>,
        tx: mpsc::Sender<Bytes>,
    ) {
        let mut line = whole;
        while tx.send(line).await.is_ok() {
            line = tokio::select! {
                told = news.recv() => match told {
                    Ok(line) => {
                        self.told_bytes.fetch_add(line.len() as u64, Ordering::Relaxed);
                        line
                    }
                    // It fell behind: the watch ends, and the node comes again for the whole list.
                    Err(_) => return,
                },
                () = tokio::time::sleep(BEAT) => Bytes::from_static(b"\n"),
                () = tx.closed() => return,
            };
        }
    }
}
