//! Owns the clients' side: the open loop, the clients' connections, the fronts' questions. How a client
//! behaves is asked of the world's `Client`; what it saw is told to the referee.

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

use super::http::{read, Filled};
use super::operator;
use super::stage::Stage;
use crate::checker::LOST_AFTER;
use crate::scenario::RetrySafety;
use crate::world::{Client, ClientRequest, Demand, FrontEnd, Micros, NodeId, Try, TryOutcome};

/// How often a front asks a node whether it is ready.
const FRONT_ASKS: Duration = Duration::from_millis(100);
/// A connection that a node closes between requests is no fault; a client looks for another so often.
const FRESH_TRIES: usize = 4;
/// Requests that are due and not yet taken up.
const DUE: usize = 1024;
/// The first bytes of an answer tell whose it is.
const HEAD: usize = 32;

/// Hands each request on at its time, on a thread of its own: the runtime's timers step by a
/// millisecond, which would be the load's own lateness. Ends with the receiver.
fn send_when_due(stage: &Stage, demand: Demand, tx: &mpsc::Sender<ClientRequest>) {
    for ask in demand {
        std::thread::sleep(Duration::from_micros(
            ask.first_try_at.saturating_sub(stage.now()),
        ));
        if tx.blocking_send(ask).is_err() {
            return;
        }
    }
}

/// Asks a node whether it is ready, as its zone's front does.
pub async fn watch_ready(stage: Arc<Stage>, node: NodeId, addr: SocketAddr) {
    let mut ticks = tokio::time::interval(FRONT_ASKS);
    loop {
        ticks.tick().await;
        let answer = operator::call(addr, Method::GET, "/-/ready").await;
        let now = stage.now();
        stage.front(|front| match answer {
            Some(yes) => front.set_ready(now, node, yes),
            None => front.set_unresponsive(now, node),
        });
    }
}

/// A client's connection to a node.
struct Link {
    node: NodeId,
    sender: SendRequest<Filled>,
    /// It has carried a request before.
    used: bool,
    /// Nothing is asked on it now.
    idle: Arc<AtomicBool>,
    driver: AbortHandle,
    _place: OwnedSemaphorePermit,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// How an exchange on a connection ended.
enum End {
    /// An answer; whether it is the one that a server made for this try.
    Answered(TryOutcome, bool),
    /// The connection had closed before anything was written to it.
    NotSent,
    /// It ended with no whole answer.
    Closed,
}

/// All clients.
pub struct Load {
    stage: Arc<Stage>,
    nodes: Vec<SocketAddr>,
    classes: Vec<String>,
    /// Idle connections by zone and node.
    idle: Vec<Mutex<Vec<Link>>>,
    /// Connections that clients may hold to each node.
    places: Vec<Arc<Semaphore>>,
    lateness: Mutex<Histogram<u64>>,
    crossed: AtomicU64,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Load {
    /// Clients of so many zones, for nodes at these addresses.
    pub fn new(
        stage: Arc<Stage>,
        nodes: Vec<SocketAddr>,
        classes: Vec<String>,
        zones: usize,
        places: usize,
    ) -> Arc<Load> {
        Arc::new(Load {
            stage,
            idle: (0..zones * nodes.len()).map(|_| Mutex::default()).collect(),
            places: nodes
                .iter()
                .map(|_| Arc::new(Semaphore::new(places.max(1))))
                .collect(),
            lateness: Mutex::new(crate::checker::latencies()),
            crossed: AtomicU64::new(0),
            nodes,
            classes,
        })
    }

    /// Sends all requests at their times and waits for their ends. Gives the lab's own lateness (p50,
    /// p99 and most) and how many requests crossed the close of their connection.
    pub async fn run(self: Arc<Self>, demand: Demand) -> ([Micros; 3], u64) {
        let mut clients = JoinSet::new();
        let (tx, mut due) = mpsc::channel(DUE);
        let stage = self.stage.clone();
        tokio::task::spawn_blocking(move || send_when_due(&stage, demand, &tx));
        while let Some(ask) = due.recv().await {
            self.stage.referee(|referee| referee.asked(&ask));
            clients.spawn(self.clone().serve(ask));
            while clients.try_join_next().is_some() {}
        }
        while clients.join_next().await.is_some() {}
        let lateness = locked(&self.lateness);
        let at = |part| lateness.value_at_quantile(part);
        (
            [at(0.5), at(0.99), lateness.max()],
            self.crossed.load(Ordering::Relaxed),
        )
    }

    async fn serve(self: Arc<Self>, ask: ClientRequest) {
        let mut client = Client::new(ask);
        let mut rng = Pcg64::seed_from_u64(client.request().serial);
        while let Some(attempt) = client.begin_try(self.stage.now()) {
            let answer = self
                .clone()
                .make(client.request().clone(), attempt, &mut rng)
                .await;
            let Some(again) = client.retry_at(self.stage.now(), answer) else {
                return;
            };
            sleep_until(self.stage.instant(again)).await;
        }
    }

    /// Makes a try: what the client knows at its answer, or when it gives the try up.
    async fn make(
        self: Arc<Self>,
        ask: ClientRequest,
        attempt: Try,
        rng: &mut Pcg64,
    ) -> TryOutcome {
        let until = self.stage.instant(attempt.ends_at);
        let Some(link) = self.link(&ask, until, rng).await else {
            self.stage.referee(|referee| referee.unreachable());
            return TryOutcome::Unreachable;
        };
        let again = Pcg64::seed_from_u64(rng.random());
        let (tx, rx) = oneshot::channel();
        // The try is followed beyond its time, as the referee has to see whether it is answered at all.
        tokio::spawn(async move {
            let answer = self.follow(link, &ask, attempt, again).await;
            let _ = tx.send(answer);
        });
        match timeout_at(until, rx).await {
            Ok(Ok(answer)) => answer,
            _ => TryOutcome::TimedOut,
        }
    }

    async fn follow(
        &self,
        mut link: Link,
        ask: &ClientRequest,
        attempt: Try,
        mut rng: Pcg64,
    ) -> TryOutcome {
        let stage = &self.stage;
        let txn = format!("{:012x}{:04x}", ask.serial, attempt.number);
        stage.slips.write(&txn, ask);
        let until = stage.instant(attempt.ends_at);
        let ends = if ask.abandons_after.is_some() {
            until
        } else {
            stage.instant(attempt.ends_at + LOST_AFTER)
        };
        loop {
            let node = link.node;
            stage.referee(|referee| referee.taken(&txn, ask, node, attempt.ends_at));
            if attempt.number == 0 {
                let late = stage.now().saturating_sub(ask.first_try_at);
                locked(&self.lateness).saturating_record(late.max(1));
            }
            let used = link.used;
            let Ok(end) = timeout_at(ends, self.exchange(&mut link, &txn, ask, attempt)).await
            else {
                let now = stage.now();
                stage.referee(|referee| match ask.abandons_after {
                    Some(_) => referee.left(&txn, now),
                    None => referee.unanswered(&txn, now),
                });
                return TryOutcome::TimedOut;
            };
            let now = stage.now();
            match end {
                End::Answered(answer, ours) => {
                    stage.referee(|referee| referee.answered(&txn, ask, answer, now, ours));
                    self.keep(link, ask.zone);
                    return answer;
                }
                End::Closed if !used || stage.referee(|referee| referee.reached_server(&txn)) => {
                    return stage
                        .referee(|r| Some(r.closed(&txn, ask, !used, now)))
                        .unwrap_or(TryOutcome::Failed);
                }
                // The close crossed the request: it is sent once more, on a connection of its own.
                End::Closed | End::NotSent => {
                    if matches!(end, End::Closed) {
                        self.crossed.fetch_add(1, Ordering::Relaxed);
                    }
                    let Some(other) = self.dial_any(ask, until, &mut rng).await else {
                        stage.referee(|referee| referee.unreachable());
                        return TryOutcome::Unreachable;
                    };
                    link = other;
                }
            }
        }
    }

    async fn exchange(&self, link: &mut Link, txn: &str, ask: &ClientRequest, attempt: Try) -> End {
        link.idle.store(false, Ordering::Relaxed);
        if link.sender.ready().await.is_err() {
            return End::NotSent;
        }
        let left = attempt.announced_end.saturating_sub(self.stage.now()) / 1_000;
        let method = if ask.retry_safety == RetrySafety::Unsafe {
            Method::POST
        } else {
            Method::GET
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("/api?key={:016x}", ask.key))
            .header("host", "service.internal")
            .header("x-txn", txn)
            .header("x-lane", &self.classes[ask.class])
            .header("x-remaining-ms", left)
            .header("x-estimate", ask.cost_hint)
            .body(Filled::new("", ask.body_bytes));
        let Ok(request) = request else {
            return End::NotSent;
        };
        match link.sender.send_request(request).await {
            Ok(response) => {
                link.used = true;
                self.take(response, txn, ask).await
            }
            Err(error) if error.is_canceled() => End::NotSent,
            Err(_) => End::Closed,
        }
    }

    async fn take(
        &self,
        response: Response<hyper::body::Incoming>,
        txn: &str,
        ask: &ClientRequest,
    ) -> End {
        let status = response.status();
        let advice = response
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok());
        let advice = advice
            .and_then(|text| text.parse::<f64>().ok())
            .filter(|s| (0.0..1e6).contains(s));
        // An answer that is not whole, and can be told from a whole one, has failed.
        let Ok(body) = read(response.into_body(), HEAD).await else {
            return End::Answered(TryOutcome::Failed, false);
        };
        match status {
            StatusCode::OK => {
                let ours = body.head.starts_with(format!("{txn}\n").as_bytes())
                    && body.length == ask.response_bytes.max(txn.len() + 1);
                End::Answered(TryOutcome::Served, ours)
            }
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => End::Answered(
                TryOutcome::Refused(advice.map(|s| (s * 1e6) as Micros)),
                false,
            ),
            _ => End::Answered(TryOutcome::Failed, false),
        }
    }

    /// Looks whether nodes that were told to send their clients away have done so.
    pub async fn judge_drains(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(FRONT_ASKS);
        loop {
            ticks.tick().await;
            for node in self.stage.due_drains() {
                let now = self.stage.now();
                let ready = self.stage.front(|front| front.routes_to(now, node));
                let zones = self.idle.len() / self.nodes.len();
                let open = |zone| {
                    locked(self.slot(zone, node))
                        .iter()
                        .filter(|l| !l.sender.is_closed())
                        .count()
                };
                let idle = (0..zones).map(open).sum();
                self.stage
                    .referee(|referee| referee.drained(node, ready, idle, now));
            }
        }
    }

    fn slot(&self, zone: usize, node: NodeId) -> &Mutex<Vec<Link>> {
        &self.idle[zone * self.nodes.len() + node]
    }

    fn keep(&self, link: Link, zone: usize) {
        link.idle.store(true, Ordering::Relaxed);
        if !link.sender.is_closed() {
            locked(self.slot(zone, link.node)).push(link);
        }
    }

    /// A connection for a try: one that stands idle, or a new one where the front deals one.
    async fn link(
        &self,
        ask: &ClientRequest,
        until: tokio::time::Instant,
        rng: &mut Pcg64,
    ) -> Option<Link> {
        for _ in 0..FRESH_TRIES {
            let now = self.stage.now();
            let dealt = self
                .stage
                .front(|front| front.nodes(now, ask.zone).to_vec());
            let mut nodes = dealt.clone();
            for node in 0..self.nodes.len() {
                if !nodes.contains(&node) && !locked(self.slot(ask.zone, node)).is_empty() {
                    nodes.push(node);
                }
            }
            let node = FrontEnd::pick(&nodes, rng)?;
            let idle = locked(self.slot(ask.zone, node)).pop();
            match idle {
                Some(link) if !link.sender.is_closed() => return Some(link),
                Some(_) => {}
                None if dealt.contains(&node) => return self.dial(node, until).await,
                None => {}
            }
        }
        self.dial_any(ask, until, rng).await
    }

    async fn dial_any(
        &self,
        ask: &ClientRequest,
        until: tokio::time::Instant,
        rng: &mut Pcg64,
    ) -> Option<Link> {
        let now = self.stage.now();
        let nodes = self
            .stage
            .front(|front| front.nodes(now, ask.zone).to_vec());
        self.dial(FrontEnd::pick(&nodes, rng)?, until).await
    }

    async fn dial(&self, node: NodeId, until: tokio::time::Instant) -> Option<Link> {
        let place = timeout_at(until, self.places[node].clone().acquire_owned())
            .await
            .ok()?
            .ok()?;
        let stream = timeout_at(until, TcpStream::connect(self.nodes[node]))
            .await
            .ok()?
            .ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        let idle = Arc::new(AtomicBool::new(true));
        let (stage, quiet) = (self.stage.clone(), idle.clone());
        let driver = tokio::spawn(async move {
            let Err(error) = connection.await else { return };
            let of_socket = std::error::Error::source(&error)
                .is_some_and(|source| source.is::<std::io::Error>());
            // Whatever else ends an idle connection with a fault is something that nobody asked for.
            let plain = of_socket
                || error.is_incomplete_message()
                || error.is_closed()
                || error.is_canceled();
            if quiet.load(Ordering::Relaxed) && !plain {
                let now = stage.now();
                stage.referee(|referee| referee.unsolicited_bytes(node, now));
            }
        });
        Some(Link {
            node,
            sender,
            used: false,
            idle,
            driver: driver.abort_handle(),
            _place: place,
        })
    }
}
