//! The upstream side: the listed servers, the pooled connections to them, attempts and health checks.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use load_balancer::settings::NameIds;
use load_balancer::{Endpoint, Outcome, ServerId, ServerState};
use tokio::task::yield_now;
use tokio::time::{timeout_at, Instant};

use crate::body::{BodyMemory, BufferedBody, Payload, ReceivedBody, ResponseBody};
use crate::client_liveness::Client;
use crate::config::NodeSettings;
use crate::connection_memory::ConnectionMemory;
use crate::memory_budget::MemoryReservation;
use crate::metrics::{Metrics, RequestOutcome};
use crate::task::Budget;

mod attempt_clock;
mod exchange;
mod listed;
mod pool;

pub use attempt_clock::{AttemptClock, AttemptDeadline, AttemptLimits};
use exchange::{exchange, parse_load_report, response_outcome, Exchange};
use pool::{PooledConnection, ServerConnectionRoom};

/// Most ids of listed servers that are remembered after the servers have left the list.
const MAX_REMEMBERED_IDS: usize = 1 << 16;

/// A client's request as it is forwarded to servers, without hop-by-hop headers.
pub struct UpstreamRequest {
    pub method: Method,
    pub target: Uri,
    pub headers: HeaderMap,
    pub body: Payload,
    /// The client that waits for the response.
    pub client: Client,
    /// The memory of the request; `None` for one of the node itself.
    pub _memory: Option<MemoryReservation>,
}

/// A server's response, which is forwarded to the client.
pub struct UpstreamResponse {
    pub headers: HeaderMap,
    pub body: ResponseBody,
}

/// How an attempt or a health check ended.
pub struct UpstreamResult {
    pub outcome: Outcome,
    /// The fields of the server's load report, in the order of the settings; empty if the response has no valid
    /// report.
    pub load_report: Vec<f64>,
    /// The response; `None` unless the outcome is `Ok`.
    pub response: Option<UpstreamResponse>,
}

impl From<Outcome> for UpstreamResult {
    fn from(outcome: Outcome) -> Self {
        UpstreamResult {
            outcome,
            load_report: Vec::new(),
            response: None,
        }
    }
}

/// A connection on which a request can be sent now.
struct ReadyConnection {
    connection: PooledConnection,
    addr: SocketAddr,
    /// Whether it has carried earlier requests.
    reused: bool,
}

/// A listed server.
struct ServerEntry {
    /// The endpoint as last passed to the balancer.
    endpoint: Endpoint,
    state: ServerState,
    addr: SocketAddr,
    started_at_ms: u64,
    /// Changes when the server restarts, changes its address or returns to the list. Connections of an earlier
    /// epoch lead to a process that has ended and are not used.
    epoch: u64,
    /// Idle connections, the most recently used last.
    idle: Vec<PooledConnection>,
    /// Since when the server is draining or cordoned and accepts no new requests; `None` while it accepts them.
    unavailable_since: Option<Instant>,
    /// When the server last responded.
    last_response_at: Option<Instant>,
}

impl ServerEntry {
    /// Sets `unavailable_since` by the server's state. A server that is already draining or cordoned keeps its earlier
    /// time.
    fn update_availability(&mut self, cordoned: bool) {
        if self.state == ServerState::InService && !cordoned {
            self.unavailable_since = None;
        } else {
            self.unavailable_since.get_or_insert_with(Instant::now);
            self.idle.clear();
        }
    }
}

/// The servers on the endpoint list and the connections to them.
pub struct Servers {
    settings: RefCell<Rc<NodeSettings>>,
    /// Sockets shared with the client connections.
    shared_sockets: Rc<Budget>,
    /// Sockets reserved for health checks.
    health_check_sockets: Rc<Budget>,
    memory: Rc<BodyMemory>,
    connection_memory: Rc<ConnectionMemory>,
    metrics: Rc<Metrics>,
    entries: RefCell<HashMap<ServerId, ServerEntry>>,
    /// The ids of listed and cordoned servers, by number.
    ids: RefCell<HashMap<u32, String>>,
    /// Cordoned servers, whether or not they are listed.
    cordoned: RefCell<HashSet<ServerId>>,
    /// Hashes of the ids that are or were listed, at most [`MAX_REMEMBERED_IDS`] of them.
    seen_ids: RefCell<HashSet<u64>>,
    /// The epoch that was assigned last.
    last_epoch: Cell<u64>,
    /// The numbers of zones and machine kinds.
    zone_and_kind_ids: RefCell<NameIds>,
}

impl Servers {
    /// Replaces the settings; attempts in flight use the new ones from here on.
    pub fn reload(&self, settings: NodeSettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    fn settings(&self) -> Rc<NodeSettings> {
        self.settings.borrow().clone()
    }

    pub fn new(
        settings: NodeSettings,
        (shared_sockets, health_check_sockets): (Rc<Budget>, Rc<Budget>),
        (memory, connection_memory): (Rc<BodyMemory>, Rc<ConnectionMemory>),
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        Rc::new(Servers {
            settings: RefCell::new(Rc::new(settings)),
            shared_sockets,
            health_check_sockets,
            memory,
            connection_memory,
            metrics,
            entries: RefCell::default(),
            ids: RefCell::default(),
            cordoned: RefCell::default(),
            seen_ids: RefCell::default(),
            last_epoch: Cell::new(0),
            zone_and_kind_ids: RefCell::default(),
        })
    }

    /// The memory for buffered bodies, of requests and responses alike.
    pub fn body_memory(&self) -> &Rc<BodyMemory> {
        &self.memory
    }

    /// The memory of connections and requests.
    pub fn connection_memory(&self) -> &Rc<ConnectionMemory> {
        &self.connection_memory
    }

    // Attempts and health checks: sending requests and receiving responses.

    /// Sends a request and returns how the attempt ended. Dropping the future closes the connection.
    ///
    /// The attempt times out at its deadline (see [`AttemptClock`]). Without a deadline, the request's body is still arriving, and the attempt
    /// times out at the deadline that the request has once its body is complete. At any time it times out if the server
    /// has stopped reading the request.
    pub async fn attempt(
        self: &Rc<Self>,
        server: ServerId,
        request: &UpstreamRequest,
        limits: impl Into<AttemptLimits>,
    ) -> UpstreamResult {
        self.attempt_with_room(server, request, limits.into(), None)
            .await
    }

    /// Like [`Servers::attempt`]; `room` is used if a connection has to be opened.
    async fn attempt_with_room(
        self: &Rc<Self>,
        server: ServerId,
        request: &UpstreamRequest,
        limits: AttemptLimits,
        room: Option<ServerConnectionRoom>,
    ) -> UpstreamResult {
        let clock = AttemptClock::new(limits);
        let expired = async {
            match (&request.body, limits.deadline) {
                (Payload::Streaming(upload), None) => upload.response_timed_out().await,
                _ => clock.timed_out().await,
            }
        };
        let sent_at = Instant::now();
        let result = tokio::select! {
            biased;
            ended = self.send_and_receive(server, request, &clock, room) => ended,
            () = expired => Outcome::Timeout.into(),
        };
        if result.outcome == Outcome::Timeout {
            self.close_idle_if_unresponsive(server, sent_at);
        }
        result
    }

    /// Sends a request on pooled or new connections until one of them has taken it completely, and receives the
    /// response.
    async fn send_and_receive(
        self: &Rc<Self>,
        server: ServerId,
        request: &UpstreamRequest,
        clock: &Rc<AttemptClock>,
        mut room: Option<ServerConnectionRoom>,
    ) -> UpstreamResult {
        let mut reconnected = false;
        loop {
            let body_consumed =
                matches!(&request.body, Payload::Streaming(upload) if upload.is_partly_sent());
            if body_consumed {
                // The part of the body that was already forwarded is gone, so the request can't be sent again. No
                // server has received the whole request.
                return Outcome::NotSent.into();
            }
            // Nothing is written for a client that disconnected while its request waited for a connection, even
            // where the settings do not allow an attempt to be cancelled once it was sent.
            let ready = tokio::select! {
                biased;
                () = request.client.disconnected() => return Outcome::NotSent.into(),
                ready = self.ready_connection(server, clock, &mut room) => ready,
            };
            let ReadyConnection {
                mut connection,
                addr,
                reused,
            } = match ready {
                Ok(ready) => ready,
                Err(outcome) => return outcome.into(),
            };
            // The unused connection can serve another request.
            if request.client.has_disconnected() {
                self.return_to_pool(server, connection);
                return Outcome::NotSent.into();
            }
            match exchange(&mut connection, request, addr, clock, &self.memory).await {
                // The client disconnected after the check above and before the first byte was written.
                Exchange::Unsent if request.client.has_disconnected() => {
                    return Outcome::NotSent.into()
                }
                Exchange::Unsent if connection.progress.has_stalled() => {
                    return Outcome::Timeout.into()
                }
                // The time to write ended after the connection was ready.
                Exchange::Unsent if !clock.may_begin() => return Outcome::Withheld.into(),
                // The server may have closed a reused connection, and one new connection may break by chance. If a
                // second new one breaks, the attempt counts as the server's failure.
                Exchange::Unsent if reused || !std::mem::replace(&mut reconnected, true) => {
                    continue
                }
                Exchange::Unsent => return Outcome::ConnectFailed.into(),
                Exchange::Broken => return Outcome::Reset.into(),
                // The system holds the last bytes, by all that is known.
                Exchange::Withdrawn if connection.progress.is_fully_written() => {
                    return Outcome::Cancelled.into()
                }
                Exchange::Withdrawn if request.client.has_disconnected() => {
                    return Outcome::NotSent.into()
                }
                Exchange::Withdrawn => return Outcome::Withheld.into(),
                Exchange::Response(status, headers, body) => {
                    self.record_response(server);
                    let load_report =
                        parse_load_report(&headers, &self.settings().load_report_fields);
                    let outcome = response_outcome(status, &headers);
                    let body = self.response_body(server, connection, body);
                    let response = UpstreamResponse { headers, body };
                    let response = (outcome == Outcome::Ok).then_some(response);
                    return UpstreamResult {
                        outcome,
                        load_report,
                        response,
                    };
                }
            }
        }
    }

    /// A connection on which a request can be sent now, reused or new.
    ///
    /// # Errors
    ///
    /// `ConnectFailed` if no connection is established in time, or if the server must receive no new request;
    /// `Withheld` if it would come too late for the request, or if another process has taken the server's place, and
    /// `NotSent` if the node has no room for a connection: both say nothing about the server.
    async fn ready_connection(
        &self,
        server: ServerId,
        clock: &AttemptClock,
        room: &mut Option<ServerConnectionRoom>,
    ) -> Result<ReadyConnection, Outcome> {
        let connect_deadline = || {
            let connect_deadline = Instant::now() + self.settings().connect_timeout;
            let ready_by = clock.ready_by();
            ready_by.map_or(connect_deadline, |ready_by| ready_by.min(connect_deadline))
        };
        let not_connected = || match clock.is_write_limit_over() {
            true => Outcome::Withheld,
            false => Outcome::ConnectFailed,
        };
        loop {
            let (addr, epoch) = self.address(server).ok_or(Outcome::ConnectFailed)?;
            if !clock.is_for_epoch(epoch) {
                return Err(Outcome::Withheld);
            }
            let (mut connection, reused) = match self.take_idle_connection(server) {
                Some(connection) => {
                    // The server may have closed the connection without its task having read that yet, so the
                    // task runs first: a request written to a closed connection is lost, and a non-idempotent
                    // one can't be retried.
                    yield_now().await;
                    (connection, true)
                }
                None => {
                    let room = match room.take() {
                        Some(room) => room,
                        None => self.room_for_connection().await.ok_or(Outcome::NotSent)?,
                    };
                    match timeout_at(connect_deadline(), self.connect(addr, epoch, room)).await {
                        Ok(Ok(connection)) => (connection, false),
                        _ => return Err(not_connected()),
                    }
                }
            };
            if !matches!(
                timeout_at(connect_deadline(), connection.sender.ready()).await,
                Ok(Ok(()))
            ) {
                if reused {
                    continue;
                }
                return Err(not_connected());
            }
            // The endpoint list may have changed during the wait.
            match self.address(server) {
                Some((_, epoch)) if epoch != connection.epoch => continue,
                Some(_) if clock.may_begin() => {
                    return Ok(ReadyConnection {
                        connection,
                        addr,
                        reused,
                    });
                }
                _ => {
                    self.return_to_pool(server, connection);
                    return Err(not_connected());
                }
            }
        }
    }

    /// The body of a response. The connection returns to the pool once the request was completely written and the
    /// response completely received.
    fn response_body(
        self: &Rc<Self>,
        server: ServerId,
        connection: PooledConnection,
        body: ReceivedBody,
    ) -> ResponseBody {
        let request_written = connection.progress.is_fully_written();
        match body {
            ReceivedBody::Buffered(buffered) => {
                if request_written {
                    self.return_to_pool(server, connection);
                }
                ResponseBody::Buffered(buffered)
            }
            ReceivedBody::Streamed(mut streamed) => {
                let servers = self.clone();
                streamed.on_end(move |end| {
                    if request_written && end == RequestOutcome::Served {
                        servers.record_response(server);
                        servers.return_to_pool(server, connection);
                    }
                });
                ResponseBody::Streamed(streamed)
            }
        }
    }

    /// Checks a server's health. If requests hold all shared sockets, a reserved one is used; the wait for it does
    /// not count against the check's timeout.
    pub async fn check_health(self: &Rc<Self>, server: ServerId) -> UpstreamResult {
        let room = match self.room_for_connection().await {
            Some(room) => room,
            None => ServerConnectionRoom {
                permit: self.health_check_sockets.wait().await,
                memory: None,
            },
        };
        let request = UpstreamRequest {
            method: Method::GET,
            target: Uri::from_static("/-/healthy"),
            headers: HeaderMap::new(),
            body: Payload::Buffered(BufferedBody::from("")),
            client: Client::node(),
            _memory: None,
        };
        // A health check does not wait as long as a request with a distant deadline may.
        let deadline = Instant::now() + self.settings().connect_timeout * 2;
        self.attempt_with_room(
            server,
            &request,
            Some(AttemptDeadline::at(deadline)).into(),
            Some(room),
        )
        .await
    }
}

/// Interval between two calls of [`Servers::close_expired_idle`].
pub const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

#[cfg(test)]
mod tests;
