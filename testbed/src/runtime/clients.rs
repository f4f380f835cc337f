//! The client side: an open-loop load generator, the clients' connections, and the readiness checks of the
//! front ends. The world's `Client` decides how a client behaves; the invariant checker is given what the
//! client saw.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep_until, timeout_at};

use super::http::{read_body, Filled};
use super::operator;
use super::run_state::RunState;
use crate::checker::LOST_AFTER;
use crate::scenario::RetrySafety;
use crate::world::{Client, ClientRequest, Demand, FrontEnd, Micros, NodeId, Try, TryOutcome};

/// Interval between a front end's readiness checks of a node.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);
/// Attempts to pick a connection for a try. A node may close an idle connection at any time, so a pick can fail.
const CONNECTION_PICKS: usize = 4;
/// Capacity of the queue of requests that are due and not yet started.
const DUE_QUEUE: usize = 1024;
/// Bytes of a response body that are kept. They hold the transaction id of the request it belongs to.
const BODY_PREFIX: usize = 32;

/// Sends each request to the channel when it is due. Runs on a thread of its own, as the runtime's timers
/// have a resolution of a millisecond, which would make the load late. Returns after the last request, or
/// when the receiver is dropped.
fn send_when_due(run_state: &RunState, demand: Demand, tx: &mpsc::Sender<ClientRequest>) {
    for request in demand {
        std::thread::sleep(Duration::from_micros(
            request.first_try_at.saturating_sub(run_state.now()),
        ));
        if tx.blocking_send(request).is_err() {
            return;
        }
    }
}

/// Checks the readiness of a node for the front ends.
pub async fn watch_ready(run_state: Arc<RunState>, node: NodeId, addr: SocketAddr) {
    let mut ticks = tokio::time::interval(READINESS_INTERVAL);
    loop {
        ticks.tick().await;
        let response = operator::call(addr, Method::GET, "/-/ready").await;
        let now = run_state.now();
        run_state.with_front_end(|front_end| match response {
            Some(ready) => front_end.set_ready(now, node, ready),
            None => front_end.set_unresponsive(now, node),
        });
    }
}

/// A client's connection to a node.
struct ClientConnection {
    node: NodeId,
    sender: SendRequest<Filled>,
    /// Whether it has carried a request before.
    used: bool,
    /// Whether no request is in flight on it.
    idle: Arc<AtomicBool>,
    driver: AbortHandle,
    _permit: OwnedSemaphorePermit,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Result of an exchange on a connection.
enum ExchangeResult {
    /// A response, and whether it is complete and the one that a server made for this try.
    Answered(TryOutcome, bool),
    /// The connection was closed before anything was written to it.
    NotSent,
    /// The connection ended before the head of a response.
    Closed,
}

/// The clients of a run.
pub struct LoadGenerator {
    run_state: Arc<RunState>,
    nodes: Vec<SocketAddr>,
    classes: Vec<String>,
    /// Idle connections; the index is zone * nodes + node.
    idle: Vec<Mutex<Vec<ClientConnection>>>,
    /// Per node: limits the connections that clients hold to it.
    connection_limits: Vec<Arc<Semaphore>>,
    lateness: Mutex<Histogram<u64>>,
    resent_after_close: AtomicU64,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LoadGenerator {
    /// Creates the clients of `zones` zones for nodes at these addresses, with at most `max_connections` to
    /// each node.
    pub fn new(
        run_state: Arc<RunState>,
        nodes: Vec<SocketAddr>,
        classes: Vec<String>,
        zones: usize,
        max_connections: usize,
    ) -> Arc<LoadGenerator> {
        Arc::new(LoadGenerator {
            run_state,
            idle: (0..zones * nodes.len()).map(|_| Mutex::default()).collect(),
            connection_limits: nodes
                .iter()
                .map(|_| Arc::new(Semaphore::new(max_connections.max(1))))
                .collect(),
            lateness: Mutex::new(crate::checker::latencies()),
            resent_after_close: AtomicU64::new(0),
            nodes,
            classes,
        })
    }

    /// Sends all requests when they are due and waits until each has ended. Returns how late the testbed
    /// itself sent them, in microseconds (p50, p99 and maximum), and how many requests were sent again
    /// because the node closed their idle connection while they were being sent.
    pub async fn run(self: Arc<Self>, demand: Demand) -> ([Micros; 3], u64) {
        let mut clients = JoinSet::new();
        let (tx, mut due) = mpsc::channel(DUE_QUEUE);
        let run_state = self.run_state.clone();
        tokio::task::spawn_blocking(move || send_when_due(&run_state, demand, &tx));
        while let Some(request) = due.recv().await {
            self.run_state
                .with_checker(|checker| checker.asked(&request));
            clients.spawn(self.clone().run_client(request));
            while clients.try_join_next().is_some() {}
        }
        while clients.join_next().await.is_some() {}
        let lateness = locked(&self.lateness);
        let at = |quantile| lateness.value_at_quantile(quantile);
        (
            [at(0.5), at(0.99), lateness.max()],
            self.resent_after_close.load(Ordering::Relaxed),
        )
    }

    async fn run_client(self: Arc<Self>, request: ClientRequest) {
        let mut client = Client::new(request);
        let mut rng = Pcg64::seed_from_u64(client.request().serial);
        while let Some(attempt) = client.begin_try(self.run_state.now()) {
            let outcome = self
                .clone()
                .make_try(client.request().clone(), attempt, &mut rng)
                .await;
            let Some(retry_at) = client.retry_at(self.run_state.now(), outcome) else {
                return;
            };
            sleep_until(self.run_state.instant(retry_at)).await;
        }
    }

    /// Makes a try. Returns what the client knows when the response arrives or when it gives the try up.
    async fn make_try(
        self: Arc<Self>,
        request: ClientRequest,
        attempt: Try,
        rng: &mut Pcg64,
    ) -> TryOutcome {
        let deadline = self.run_state.instant(attempt.ends_at);
        let Some(connection) = self.connection(&request, deadline, rng).await else {
            self.run_state.with_checker(|checker| checker.unreachable());
            return TryOutcome::Unreachable;
        };
        let retry_rng = Pcg64::seed_from_u64(rng.random());
        let (tx, rx) = oneshot::channel();
        // The try is followed beyond its time limit, so that the checker learns whether it is answered at all.
        tokio::spawn(async move {
            let outcome = self
                .follow_try(connection, &request, attempt, retry_rng)
                .await;
            let _ = tx.send(outcome);
        });
        match timeout_at(deadline, rx).await {
            Ok(Ok(outcome)) => outcome,
            _ => TryOutcome::TimedOut,
        }
    }

    async fn follow_try(
        &self,
        mut connection: ClientConnection,
        request: &ClientRequest,
        attempt: Try,
        mut rng: Pcg64,
    ) -> TryOutcome {
        let run_state = &self.run_state;
        let txn = format!("{:012x}{:04x}", request.serial, attempt.number);
        run_state.sent_requests.record(&txn, request);
        let deadline = run_state.instant(attempt.ends_at);
        let give_up_at = if request.abandons_after.is_some() {
            deadline
        } else {
            run_state.instant(attempt.ends_at + LOST_AFTER)
        };
        loop {
            let node = connection.node;
            run_state.with_checker(|checker| checker.taken(&txn, request, node, attempt.ends_at));
            if attempt.number == 0 {
                let late = run_state.now().saturating_sub(request.first_try_at);
                locked(&self.lateness).saturating_record(late.max(1));
            }
            let used = connection.used;
            let Ok(end) = timeout_at(
                give_up_at,
                self.exchange(&mut connection, &txn, request, attempt),
            )
            .await
            else {
                let now = run_state.now();
                run_state.with_checker(|checker| match request.abandons_after {
                    Some(_) => checker.left(&txn, now),
                    None => checker.unanswered(&txn, now),
                });
                return TryOutcome::TimedOut;
            };
            let now = run_state.now();
            match end {
                ExchangeResult::Answered(outcome, is_own) => {
                    run_state.with_checker(|checker| {
                        checker.answered(&txn, request, outcome, now, is_own)
                    });
                    self.return_connection(connection, request.zone);
                    return outcome;
                }
                ExchangeResult::Closed
                    if !used || run_state.with_checker(|checker| checker.reached_server(&txn)) =>
                {
                    return run_state
                        .with_checker(|r| Some(r.closed(&txn, request, !used, now)))
                        .unwrap_or(TryOutcome::Failed);
                }
                // The node closed the idle connection before the request reached a server, so the request is sent
                // again on a new connection.
                ExchangeResult::Closed | ExchangeResult::NotSent => {
                    if matches!(end, ExchangeResult::Closed) {
                        self.resent_after_close.fetch_add(1, Ordering::Relaxed);
                    }
                    let Some(other) = self.dial_any(request, deadline, &mut rng).await else {
                        run_state.with_checker(|checker| checker.unreachable());
                        return TryOutcome::Unreachable;
                    };
                    connection = other;
                }
            }
        }
    }

    async fn exchange(
        &self,
        connection: &mut ClientConnection,
        txn: &str,
        request: &ClientRequest,
        attempt: Try,
    ) -> ExchangeResult {
        connection.idle.store(false, Ordering::Relaxed);
        if connection.sender.ready().await.is_err() {
            return ExchangeResult::NotSent;
        }
        let remaining_ms = attempt.announced_end.saturating_sub(self.run_state.now()) / 1_000;
        let method = if request.retry_safety == RetrySafety::Unsafe {
            Method::POST
        } else {
            Method::GET
        };
        let http_request = Request::builder()
            .method(method)
            .uri(format!("/api?key={:016x}", request.key))
            .header("host", "service.internal")
            .header("x-txn", txn)
            .header("x-lane", &self.classes[request.class])
            .header("x-remaining-ms", remaining_ms)
            .header("x-estimate", request.cost_hint)
            .body(Filled::new("", request.body_bytes));
        let Ok(http_request) = http_request else {
            return ExchangeResult::NotSent;
        };
        match connection.sender.send_request(http_request).await {
            Ok(response) => {
                connection.used = true;
                self.read_response(response, txn, request).await
            }
            Err(error) if error.is_canceled() => ExchangeResult::NotSent,
            Err(_) => ExchangeResult::Closed,
        }
    }

    async fn read_response(
        &self,
        response: Response<hyper::body::Incoming>,
        txn: &str,
        request: &ClientRequest,
    ) -> ExchangeResult {
        let status = response.status();
        let retry_after = response
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok());
        let retry_after = retry_after
            .and_then(|text| text.parse::<f64>().ok())
            .filter(|s| (0.0..1e6).contains(s));
        // A truncated response that is recognizable as such counts as a failure.
        let Ok(body) = read_body(response.into_body(), BODY_PREFIX).await else {
            return ExchangeResult::Answered(TryOutcome::Failed, false);
        };
        match status {
            StatusCode::OK => {
                let is_own = body.head.starts_with(format!("{txn}\n").as_bytes())
                    && body.length == request.response_bytes.max(txn.len() + 1);
                ExchangeResult::Answered(TryOutcome::Served, is_own)
            }
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                ExchangeResult::Answered(
                    TryOutcome::Refused(retry_after.map(|s| (s * 1e6) as Micros)),
                    false,
                )
            }
            _ => ExchangeResult::Answered(TryOutcome::Failed, false),
        }
    }

    /// Checks that nodes in standby have released their clients in time.
    pub async fn check_drains(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(READINESS_INTERVAL);
        loop {
            ticks.tick().await;
            for node in self.run_state.due_drains() {
                let now = self.run_state.now();
                let ready = self
                    .run_state
                    .with_front_end(|front_end| front_end.routes_to(now, node));
                let zones = self.idle.len() / self.nodes.len();
                let open = |zone| {
                    locked(self.idle_connections(zone, node))
                        .iter()
                        .filter(|l| !l.sender.is_closed())
                        .count()
                };
                let idle = (0..zones).map(open).sum();
                self.run_state
                    .with_checker(|checker| checker.drained(node, ready, idle, now));
            }
        }
    }

    fn idle_connections(&self, zone: usize, node: NodeId) -> &Mutex<Vec<ClientConnection>> {
        &self.idle[zone * self.nodes.len() + node]
    }

    fn return_connection(&self, connection: ClientConnection, zone: usize) {
        connection.idle.store(true, Ordering::Relaxed);
        if !connection.sender.is_closed() {
            locked(self.idle_connections(zone, connection.node)).push(connection);
        }
    }

    /// Picks a connection for a try: an idle one, or a new one to a node that the front end routes to.
    async fn connection(
        &self,
        request: &ClientRequest,
        deadline: tokio::time::Instant,
        rng: &mut Pcg64,
    ) -> Option<ClientConnection> {
        for _ in 0..CONNECTION_PICKS {
            let now = self.run_state.now();
            let routed = self
                .run_state
                .with_front_end(|front_end| front_end.nodes(now, request.zone).to_vec());
            let mut nodes = routed.clone();
            for node in 0..self.nodes.len() {
                if !nodes.contains(&node)
                    && !locked(self.idle_connections(request.zone, node)).is_empty()
                {
                    nodes.push(node);
                }
            }
            let node = FrontEnd::pick(&nodes, rng)?;
            let idle = locked(self.idle_connections(request.zone, node)).pop();
            match idle {
                Some(connection) if !connection.sender.is_closed() => return Some(connection),
                Some(_) => {}
                None if routed.contains(&node) => return self.dial(node, deadline).await,
                None => {}
            }
        }
        self.dial_any(request, deadline, rng).await
    }

    async fn dial_any(
        &self,
        request: &ClientRequest,
        deadline: tokio::time::Instant,
        rng: &mut Pcg64,
    ) -> Option<ClientConnection> {
        let now = self.run_state.now();
        let nodes = self
            .run_state
            .with_front_end(|front_end| front_end.nodes(now, request.zone).to_vec());
        self.dial(FrontEnd::pick(&nodes, rng)?, deadline).await
    }

    async fn dial(&self, node: NodeId, deadline: tokio::time::Instant) -> Option<ClientConnection> {
        let permit = timeout_at(
            deadline,
            self.connection_limits[node].clone().acquire_owned(),
        )
        .await
        .ok()?
        .ok()?;
        let stream = timeout_at(deadline, TcpStream::connect(self.nodes[node]))
            .await
            .ok()?
            .ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        let idle = Arc::new(AtomicBool::new(true));
        let (run_state, is_idle) = (self.run_state.clone(), idle.clone());
        let driver = tokio::spawn(async move {
            let Err(error) = connection.await else { return };
            let is_io_error = std::error::Error::source(&error)
                .is_some_and(|source| source.is::<std::io::Error>());
            // Any other error on an idle connection means that the node sent bytes without a request.
            let is_expected = is_io_error
                || error.is_incomplete_message()
                || error.is_closed()
                || error.is_canceled();
            if is_idle.load(Ordering::Relaxed) && !is_expected {
                let now = run_state.now();
                run_state.with_checker(|checker| checker.unsolicited_bytes(node, now));
            }
        });
        Some(ClientConnection {
            node,
            sender,
            used: false,
            idle,
            driver: driver.abort_handle(),
            _permit: permit,
        })
    }
}
