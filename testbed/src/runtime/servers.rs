//! Owns the servers' sockets: an address for each server and node, so that a server knows which node
//! asks. What comes is handed to the world, and answered as the world says (PROTOCOL, "Nodes to servers").

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_body_util::combinators::BoxBody;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::http::{read, Filled};
use super::stage::{Gate, Stage};
use crate::scenario::Scenario;
use crate::world::{Admission, ClientRequest, Job, JobId, JobOutcome, Micros, NodeId, ServerIx};

/// A delay shorter than this is below what the runtime's timers can tell apart.
const SHORTEST_DELAY: Micros = 500;
/// Messages each way that a new connection costs its first request (BENCH: 2 to 3 round trips).
const HANDSHAKE_WAYS: u64 = 5;

/// Connections that wait to be accepted, as the system's own default has it.
const BACKLOG: i32 = 1024;
/// More connections of our own than the shortest queue takes.
const PLUGS: usize = 8;
/// A connection to this machine that has not come up by now will not.
const PLUGGED: Duration = Duration::from_millis(50);

type Answer = Response<BoxBody<bytes::Bytes, Infallible>>;

/// What a server must know of a try before it comes: the client writes it down first.
#[derive(Debug, Default)]
pub struct Slips(Mutex<HashMap<String, ClientRequest>>);

impl Slips {
    /// A try is about to be sent.
    pub fn write(&self, txn: &str, ask: &ClientRequest) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(txn.to_owned(), ask.clone());
    }

    fn find(&self, txn: &str) -> Option<ClientRequest> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(txn)
            .cloned()
    }
}

/// The servers' sockets.
#[derive(Debug)]
pub struct Servers {
    stage: Arc<Stage>,
    nodes: usize,
    idle_close: Duration,
    addresses: Mutex<HashMap<(ServerIx, NodeId), SocketAddr>>,
    ids: Mutex<HashMap<String, ServerIx>>,
}

impl Servers {
    /// The sockets of a world's servers, none open yet.
    pub fn new(stage: Arc<Stage>, nodes: usize, scenario: &Scenario) -> Arc<Servers> {
        let idle_close = Duration::from_secs_f64(scenario.fleet.idle_timeout_s.0);
        Arc::new(Servers {
            stage,
            nodes,
            idle_close,
            addresses: Mutex::default(),
            ids: Mutex::default(),
        })
    }

    /// Opens all servers that the world has now.
    pub fn open_all(self: &Arc<Self>) -> std::io::Result<()> {
        let servers = self.stage.world(|world, _, _| world.servers().len());
        (0..servers).try_for_each(|server| self.try_open(server))
    }

    /// Opens a server that has just started, at the addresses it had before.
    pub fn open(self: &Arc<Self>, server: ServerIx) {
        if let Err(error) = self.try_open(server) {
            tracing::error!(server, %error, "a server's address can't be opened again");
        }
    }

    fn try_open(self: &Arc<Self>, server: ServerIx) -> std::io::Result<()> {
        let id = self
            .stage
            .world(|world, _, _| world.servers()[server].id.clone());
        self.ids
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id.clone(), server);
        for node in 0..self.nodes {
            let mut addresses = self
                .addresses
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let known = addresses.get(&(server, node)).copied();
            let (block, host) = (server / 200, server % 200 + 1);
            let fresh = Ipv4Addr::new(127, 10 + block as u8, node as u8, host as u8);
            let listener = std::net::TcpListener::bind(known.unwrap_or((fresh, 0).into()))?;
            listener.set_nonblocking(true)?;
            addresses.insert((server, node), listener.local_addr()?);
            let own = Door {
                servers: self.clone(),
                server,
                node,
                id: id.clone(),
            };
            tokio::spawn(Arc::new(own).accept(TcpListener::from_std(listener)?));
        }
        Ok(())
    }

    /// Where a node finds a server; `None` before its first start.
    pub fn address(&self, id: &str, node: NodeId) -> Option<SocketAddr> {
        let server = *self
            .ids
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(id)?;
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&(server, node))
            .copied()
    }
}

/// One server's address for one node.
#[derive(Debug)]
struct Door {
    servers: Arc<Servers>,
    server: ServerIx,
    node: NodeId,
    id: String,
}

impl Door {
    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let stage = &self.servers.stage;
        let mut gate = stage.gate(self.server);
        loop {
            let state = *gate.borrow_and_update();
            if state == Gate::Shut {
                return;
            }
            if state == Gate::Silent {
                let plugs = plug(&listener).await;
                let _ = gate.wait_for(|gate| *gate != Gate::Silent).await;
                let _ = SockRef::from(&listener).listen(BACKLOG);
                plugs.iter().for_each(|plug| drop(plug.set_zero_linger()));
                continue;
            }
            let taken = tokio::select! {
                taken = listener.accept() => taken,
                _ = gate.changed() => continue,
            };
            let Ok((stream, _)) = taken else { continue };
            if stage.disturb(|world, now, out| world.connect(now, self.server, out)) {
                tokio::spawn(self.clone().serve(stream, gate.clone()));
            } else {
                let _ = stream.set_zero_linger();
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, mut gate: watch::Receiver<Gate>) {
        let _ = stream.set_nodelay(true);
        let _place = Place(&self);
        let first = std::sync::atomic::AtomicBool::new(true);
        let service = service_fn(|request| {
            let first = first.swap(false, std::sync::atomic::Ordering::Relaxed);
            let door = self.clone();
            Box::pin(async move { Ok::<_, Infallible>(door.answer(request, first).await) })
        });
        let mut connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.servers.idle_close)
            .serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = &mut connection => return,
            _ = gate.wait_for(|gate| *gate != Gate::Open) => {}
        }
        // Silent: nothing is read or written until the machine is back; then, as when its process
        // ends, what was open is reset.
        let _ = gate.wait_for(|gate| *gate != Gate::Silent).await;
        let _ = connection.into_parts().io.into_inner().set_zero_linger();
    }

    async fn answer(&self, request: Request<Incoming>, first: bool) -> Answer {
        let stage = &self.servers.stage;
        let arrived = stage.now();
        let way = stage.world(|world, _, _| world.delay(self.node, self.server));
        if request.uri().path() == "/-/healthy" {
            let well = stage.disturb(|world, now, out| world.probe(now, self.server, out));
            travel(2 * way).await;
            return plain(if well {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            });
        }
        let txn = request
            .headers()
            .get("x-txn")
            .and_then(|txn| txn.to_str().ok())
            .map(str::to_owned);
        let method = request.method().clone();
        let query = request.uri().query().unwrap_or("").to_owned();
        let Ok(body) = read(request.into_body(), 0).await else {
            return plain(StatusCode::BAD_REQUEST);
        };
        travel(way * if first { HANDSHAKE_WAYS } else { 1 }).await;
        let Some(txn) = txn else {
            return plain(StatusCode::NOT_FOUND);
        };
        let ask = stage
            .slips
            .find(&txn)
            .filter(|ask| is_as_sent(ask, &method, &query, body.length));
        let now = stage.now();
        let name = if ask.is_some() {
            txn.clone()
        } else {
            format!("{txn} (none of a client's)")
        };
        let attempt = stage.referee(|r| r.sent(Some(&name), self.node, &self.id, arrived, now));
        let (Some(ask), Some(attempt)) = (ask, attempt) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        let (job, ending) = stage.job();
        let _job = Working { door: self, job };
        let work = Job {
            id: job,
            work: ask.work,
            io_wait: ask.io_wait,
            key: Some(ask.key),
        };
        let verdict =
            stage.disturb(|world, now, out| world.offer(now, self.node, self.server, work, out));
        let answer = match verdict {
            Admission::Rejected => {
                stage.referee(|referee| referee.ended(&txn, attempt, false, true));
                let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
                answer.headers_mut().insert(
                    "x-turned-away",
                    hyper::header::HeaderValue::from_static("1"),
                );
                answer
            }
            Admission::Failed => plain(StatusCode::INTERNAL_SERVER_ERROR),
            Admission::Accepted => match ending.await {
                Ok(JobOutcome::Served) => {
                    stage.referee(|referee| referee.ended(&txn, attempt, true, false));
                    Response::new(Filled::new(format!("{txn}\n"), ask.response_bytes).boxed())
                }
                Ok(JobOutcome::Failed) => plain(StatusCode::INTERNAL_SERVER_ERROR),
                // The process ended with it; the gate resets the connection.
                Err(_) => std::future::pending().await,
            },
        };
        travel(way).await;
        answer
    }
}

/// Method, query and body of an attempt must be those that the client sent.
fn is_as_sent(ask: &ClientRequest, method: &Method, query: &str, body: usize) -> bool {
    let post = ask.retry_safety == crate::scenario::RetrySafety::Unsafe;
    *method == if post { Method::POST } else { Method::GET }
        && query == format!("key={:016x}", ask.key)
        && body == ask.body_bytes
}

async fn travel(span: Micros) {
    if span >= SHORTEST_DELAY {
        tokio::time::sleep(Duration::from_micros(span)).await;
    }
}

fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(Filled::new("", 0).boxed());
    *answer.status_mut() = status;
    answer
}

/// Makes a listener one at which connections never come up, as at a machine that is cut off: with the
/// shortest queue, filled by connections of our own, the system drops what else wants to connect.
async fn plug(listener: &TcpListener) -> Vec<TcpStream> {
    let mut plugs = Vec::new();
    let Ok(addr) = listener.local_addr() else {
        return plugs;
    };
    if SockRef::from(listener).listen(0).is_err() {
        return plugs;
    }
    while plugs.len() < PLUGS {
        match tokio::time::timeout(PLUGGED, TcpStream::connect(addr)).await {
            Ok(Ok(plug)) => plugs.push(plug),
            // It hangs: the queue is full.
            _ => break,
        }
    }
    plugs
}

/// A connection's place in the server's table.
struct Place<'a>(&'a Door);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0
            .servers
            .stage
            .world(|world, _, _| world.disconnect(self.0.server));
    }
}

/// A job that is given up when nobody waits for it any more: its connection was closed.
struct Working<'a> {
    door: &'a Door,
    job: JobId,
}

impl Drop for Working<'_> {
    fn drop(&mut self) {
        let stage = &self.door.servers.stage;
        stage.forget_job(self.job);
        stage.disturb(|world, now, out| world.cancel(now, self.door.server, self.job, out));
    }
}
