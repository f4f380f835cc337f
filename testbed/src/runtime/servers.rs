//! The sockets of the simulated servers. Each pair of server and node has its own address, which tells the
//! server which node sends. The world decides how each request is answered (PROTOCOL, "Nodes to servers").

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

use super::http::{read_body, Filled};
use super::run_state::{RunState, SocketState};
use crate::scenario::Scenario;
use crate::world::{Admission, ClientRequest, Job, JobId, JobOutcome, Micros, NodeId, ServerIx};

/// Shortest simulated delay, in microseconds; shorter ones are below the resolution of the runtime's timers.
const MIN_DELAY_US: Micros = 500;
/// One-way trips that the first request of a connection takes, handshake included (BENCH: 2 to 3 round trips).
const FIRST_REQUEST_TRIPS: u64 = 5;

/// Length of the accept queue, as the system's default.
const ACCEPT_QUEUE: i32 = 1024;
/// Most connections opened to fill an accept queue; more than the shortest queue holds.
const MAX_FILLERS: usize = 8;
/// Time after which a connection attempt that is to fill an accept queue counts as dropped: the queue is full.
const FILLER_TIMEOUT: Duration = Duration::from_millis(50);

type ServerResponse = Response<BoxBody<bytes::Bytes, Infallible>>;

/// Requests by transaction id, recorded by the clients before each try and looked up by the servers.
#[derive(Debug, Default)]
pub struct SentRequests(Mutex<HashMap<String, ClientRequest>>);

impl SentRequests {
    /// Records a try that is about to be sent.
    pub fn record(&self, txn: &str, request: &ClientRequest) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(txn.to_owned(), request.clone());
    }

    fn find(&self, txn: &str) -> Option<ClientRequest> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(txn)
            .cloned()
    }
}

/// The sockets of all servers.
#[derive(Debug)]
pub struct Servers {
    run_state: Arc<RunState>,
    nodes: usize,
    idle_timeout: Duration,
    addresses: Mutex<HashMap<(ServerIx, NodeId), SocketAddr>>,
    ids: Mutex<HashMap<String, ServerIx>>,
}

impl Servers {
    /// Creates the state without opening any socket.
    pub fn new(run_state: Arc<RunState>, nodes: usize, scenario: &Scenario) -> Arc<Servers> {
        let idle_timeout = Duration::from_secs_f64(scenario.fleet.idle_timeout_s.0);
        Arc::new(Servers {
            run_state,
            nodes,
            idle_timeout,
            addresses: Mutex::default(),
            ids: Mutex::default(),
        })
    }

    /// Opens the sockets of all servers that the world has now.
    pub fn open_all(self: &Arc<Self>) -> std::io::Result<()> {
        let servers = self
            .run_state
            .with_world(|world, _, _| world.servers().len());
        (0..servers).try_for_each(|server| self.try_open(server))
    }

    /// Opens the sockets of a server that has just started; a restarted one keeps its addresses.
    pub fn open(self: &Arc<Self>, server: ServerIx) {
        if let Err(error) = self.try_open(server) {
            tracing::error!(server, %error, "cannot open a server's addresses; the server stays unreachable");
        }
    }

    fn try_open(self: &Arc<Self>, server: ServerIx) -> std::io::Result<()> {
        let id = self
            .run_state
            .with_world(|world, _, _| world.servers()[server].id.clone());
        self.ids
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id.clone(), server);
        for node in 0..self.nodes {
            let mut addresses = self
                .addresses
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let previous = addresses.get(&(server, node)).copied();
            let (block, host) = (server / 200, server % 200 + 1);
            let new_ip = Ipv4Addr::new(127, 10 + block as u8, node as u8, host as u8);
            let listener = std::net::TcpListener::bind(previous.unwrap_or((new_ip, 0).into()))?;
            listener.set_nonblocking(true)?;
            addresses.insert((server, node), listener.local_addr()?);
            let server_listener = ServerListener {
                servers: self.clone(),
                server,
                node,
                id: id.clone(),
            };
            tokio::spawn(Arc::new(server_listener).accept(TcpListener::from_std(listener)?));
        }
        Ok(())
    }

    /// Address of a server for a node; `None` before its first start.
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

/// Listener of one server for one node.
#[derive(Debug)]
struct ServerListener {
    servers: Arc<Servers>,
    server: ServerIx,
    node: NodeId,
    id: String,
}

impl ServerListener {
    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let run_state = &self.servers.run_state;
        let mut socket_state = run_state.socket_state(self.server);
        loop {
            let state = *socket_state.borrow_and_update();
            if state == SocketState::Closed {
                return;
            }
            if state == SocketState::Silent {
                let fillers = fill_accept_queue(&listener).await;
                let _ = socket_state
                    .wait_for(|socket_state| *socket_state != SocketState::Silent)
                    .await;
                let _ = SockRef::from(&listener).listen(ACCEPT_QUEUE);
                fillers
                    .iter()
                    .for_each(|filler| drop(filler.set_zero_linger()));
                continue;
            }
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = socket_state.changed() => continue,
            };
            let Ok((stream, _)) = accepted else { continue };
            if run_state.with_world_and_wake(|world, now, out| world.connect(now, self.server, out))
            {
                tokio::spawn(self.clone().serve(stream, socket_state.clone()));
            } else {
                let _ = stream.set_zero_linger();
            }
        }
    }

    async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        mut socket_state: watch::Receiver<SocketState>,
    ) {
        let _ = stream.set_nodelay(true);
        let _guard = ConnectionGuard(&self);
        let first = std::sync::atomic::AtomicBool::new(true);
        let service = service_fn(|request| {
            let first = first.swap(false, std::sync::atomic::Ordering::Relaxed);
            let listener = self.clone();
            Box::pin(async move { Ok::<_, Infallible>(listener.respond(request, first).await) })
        });
        let mut connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.servers.idle_timeout)
            .serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = &mut connection => return,
            _ = socket_state.wait_for(|socket_state| *socket_state != SocketState::Open) => {}
        }
        // While silent, nothing is read or written. When the machine is back, or its process has ended, the
        // connection is reset.
        let _ = socket_state
            .wait_for(|socket_state| *socket_state != SocketState::Silent)
            .await;
        let _ = connection.into_parts().io.into_inner().set_zero_linger();
    }

    async fn respond(&self, request: Request<Incoming>, first: bool) -> ServerResponse {
        let run_state = &self.servers.run_state;
        let arrived = run_state.now();
        let one_way_delay = run_state.with_world(|world, _, _| world.delay(self.node, self.server));
        if request.uri().path() == "/-/healthy" {
            let healthy =
                run_state.with_world_and_wake(|world, now, out| world.probe(now, self.server, out));
            simulate_delay(2 * one_way_delay).await;
            return empty_response(if healthy {
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
        let Ok(body) = read_body(request.into_body(), 0).await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        simulate_delay(one_way_delay * if first { FIRST_REQUEST_TRIPS } else { 1 }).await;
        let Some(txn) = txn else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let sent = run_state
            .sent_requests
            .find(&txn)
            .filter(|sent| matches_request(sent, &method, &query, body.length));
        let now = run_state.now();
        let label = if sent.is_some() {
            txn.clone()
        } else {
            format!("{txn} (not as any client sent it)")
        };
        let attempt =
            run_state.with_checker(|r| r.sent(Some(&label), self.node, &self.id, arrived, now));
        let (Some(sent), Some(attempt)) = (sent, attempt) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let (job, outcome) = run_state.job();
        let _job_guard = JobGuard {
            listener: self,
            job,
        };
        let new_job = Job {
            id: job,
            work: sent.work,
            io_wait: sent.io_wait,
            key: Some(sent.key),
        };
        let admission = run_state.with_world_and_wake(|world, now, out| {
            world.offer(now, self.node, self.server, new_job, out)
        });
        let response = match admission {
            Admission::Rejected => {
                run_state.with_checker(|checker| checker.ended(&txn, attempt, false, true));
                let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
                response.headers_mut().insert(
                    "x-turned-away",
                    hyper::header::HeaderValue::from_static("1"),
                );
                response
            }
            Admission::Failed => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
            Admission::Accepted => match outcome.await {
                Ok(JobOutcome::Served) => {
                    run_state.with_checker(|checker| checker.ended(&txn, attempt, true, false));
                    Response::new(Filled::new(format!("{txn}\n"), sent.response_bytes).boxed())
                }
                Ok(JobOutcome::Failed) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
                // The server process ended during the job; the change of its socket state resets the connection.
                Err(_) => std::future::pending().await,
            },
        };
        simulate_delay(one_way_delay).await;
        response
    }
}

/// Whether method, query and body length of an attempt are those of the client's request.
fn matches_request(request: &ClientRequest, method: &Method, query: &str, body: usize) -> bool {
    let post = request.retry_safety == crate::scenario::RetrySafety::Unsafe;
    *method == if post { Method::POST } else { Method::GET }
        && query == format!("key={:016x}", request.key)
        && body == request.body_bytes
}

async fn simulate_delay(delay: Micros) {
    if delay >= MIN_DELAY_US {
        tokio::time::sleep(Duration::from_micros(delay)).await;
    }
}

fn empty_response(status: StatusCode) -> ServerResponse {
    let mut response = Response::new(Filled::new("", 0).boxed());
    *response.status_mut() = status;
    response
}

/// Makes connection attempts to a listener time out, as for a machine that is cut off from the network: the
/// accept queue is set to its shortest length and filled, and the system drops further attempts.
async fn fill_accept_queue(listener: &TcpListener) -> Vec<TcpStream> {
    let mut fillers = Vec::new();
    let Ok(addr) = listener.local_addr() else {
        return fillers;
    };
    if SockRef::from(listener).listen(0).is_err() {
        return fillers;
    }
    while fillers.len() < MAX_FILLERS {
        match tokio::time::timeout(FILLER_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Ok(filler)) => fillers.push(filler),
            // The attempt was dropped or failed: the queue is full.
            _ => break,
        }
    }
    fillers
}

/// Guard of an open connection: reports its end to the world.
struct ConnectionGuard<'a>(&'a ServerListener);

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0
            .servers
            .run_state
            .with_world(|world, _, _| world.disconnect(self.0.server));
    }
}

/// Guard of a job: cancels the job when its connection is closed or its response is complete.
struct JobGuard<'a> {
    listener: &'a ServerListener,
    job: JobId,
}

impl Drop for JobGuard<'_> {
    fn drop(&mut self) {
        let run_state = &self.listener.servers.run_state;
        run_state.forget_job(self.job);
        run_state.with_world_and_wake(|world, now, out| {
            world.cancel(now, self.listener.server, self.job, out)
        });
    }
}
