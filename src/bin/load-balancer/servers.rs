//! The servers' side: connections, attempts and probes, and what became of them.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::{Method, Request, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use load_balancer::settings::NameIds;
use load_balancer::{CellId, Endpoint, Outcome, ServerId, ServerState, UpdateKind};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout_at, Instant};
use xxhash_rust::xxh3::xxh3_64;

use crate::body::{
    receive_response_body, BodyMemory, BufferedBody, OutgoingBody, Payload, ReceivedBody,
    ResponseBody,
};
use crate::client_liveness::Client;
use crate::config::NodeSettings;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::server_number;
use crate::metrics::{Metrics, RequestOutcome};
use crate::stream::{RequestProgress, UpstreamSocket};
use crate::task::{AbortOnDrop, Budget, Permit};

/// What a connection holds of what it reads or writes, at the most.
const BUFFER: usize = 16 * 1024;
/// Connections are reused for this part of the time that servers keep them: a request that meets
/// the server's close on its way ends as a reset, and an unsafe one can't be sent again.
const REUSE: f64 = 0.6;
/// After an answer a connection rests for so long: a second answer that comes some milliseconds late would
/// be taken for that of the next request, and a close that follows its answer would meet it on its way.
const REST: Duration = Duration::from_millis(30);

/// Ids that are remembered past their time on the list.
const EVER: usize = 1 << 16;

/// A client's request as it is forwarded to servers, without hop-by-hop headers.
pub struct UpstreamRequest {
    pub method: Method,
    pub target: Uri,
    pub headers: HeaderMap,
    pub body: Payload,
    /// Who waits for the answer.
    pub client: Client,
}

/// A server's response, passed on to the client.
pub struct UpstreamResponse {
    pub headers: HeaderMap,
    pub body: ResponseBody,
}

/// How an attempt or a health check ended.
pub struct UpstreamResult {
    pub outcome: Outcome,
    /// The server's load report, in the order of the settings; empty without one.
    pub load_report: Vec<f64>,
    /// `None` unless the outcome is `Ok`.
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

/// A connection to a server. Closed when dropped.
struct PooledConnection {
    sender: SendRequest<OutgoingBody>,
    /// How far the request at hand has gone out.
    progress: Rc<RequestProgress>,
    _connection: AbortOnDrop,
    /// The server's epoch when it was opened.
    epoch: u64,
    idle_since: Instant,
}

/// A connection that is ready for a request, and whether it carried others before.
struct Ready {
    link: PooledConnection,
    addr: SocketAddr,
    reused: bool,
}

struct Entry {
    /// As the module was last told.
    member: Endpoint,
    state: ServerState,
    addr: SocketAddr,
    since_ms: u64,
    /// New with each restart, change of address or return to the list: connections of another epoch
    /// lead to a process that is gone and are not used.
    epoch: u64,
    /// The most recently used last.
    idle: Vec<PooledConnection>,
    /// Since when it wants nothing new.
    barred: Option<Instant>,
    /// When it last answered.
    heard: Option<Instant>,
}

impl Entry {
    /// Bars a server that drains or that operators have taken out, from when it first was.
    fn bar(&mut self, out: bool) {
        if self.state == ServerState::InService && !out {
            self.barred = None;
        } else {
            self.barred.get_or_insert_with(Instant::now);
            self.idle.clear();
        }
    }
}

/// All servers on the list.
pub struct Servers {
    settings: RefCell<Rc<NodeSettings>>,
    /// The sockets shared with clients, and those for probes alone.
    budget: Rc<Budget>,
    probes: Rc<Budget>,
    memory: Rc<BodyMemory>,
    metrics: Rc<Metrics>,
    entries: RefCell<HashMap<ServerId, Entry>>,
    names: RefCell<HashMap<u32, String>>,
    /// Servers that operators have taken out, on the list or not.
    out: RefCell<HashSet<ServerId>>,
    /// Hashes of the ids that were ever listed.
    ever: RefCell<HashSet<u64>>,
    epochs: Cell<u64>,
    places: RefCell<NameIds>,
}

/// What a request on a connection came to.
enum Exchange {
    /// Its last byte was never written.
    Unsent,
    /// The connection broke; it may have run.
    Broken,
    Answer(StatusCode, HeaderMap, ReceivedBody),
}

impl Servers {
    /// Replaces the settings.
    pub fn reload(&self, settings: NodeSettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    fn settings(&self) -> Rc<NodeSettings> {
        self.settings.borrow().clone()
    }

    pub fn new(
        settings: NodeSettings,
        (budget, probes): (Rc<Budget>, Rc<Budget>),
        memory: Rc<BodyMemory>,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        Rc::new(Servers {
            settings: RefCell::new(Rc::new(settings)),
            budget,
            probes,
            memory,
            metrics,
            entries: RefCell::default(),
            names: RefCell::default(),
            out: RefCell::default(),
            ever: RefCell::default(),
            epochs: Cell::new(0),
            places: RefCell::default(),
        })
    }

    // The list.

    /// Takes over a list and puts it in the module's words. One of before the list that is held, from an
    /// address that is behind or counts anew, adds what is new in it and takes back nothing: what was told
    /// to drain or gone stays so until it starts again.
    pub fn apply(&self, list: &EndpointList, older: bool) -> (UpdateKind, Vec<Endpoint>) {
        let mut entries = self.entries.borrow_mut();
        let mut names = self.names.borrow_mut();
        let mut places = self.places.borrow_mut();
        let (out, mut ever) = (self.out.borrow(), self.ever.borrow_mut());
        let mut members = Vec::with_capacity(list.entries.len());
        for entry in &list.entries {
            let number = server_number(&entry.id, &names);
            let server = ServerId(number);
            let hash = xxh3_64(entry.id.as_bytes());
            let overtaken = match entries.get(&server) {
                Some(known) => {
                    let returns = entry.state == ServerState::InService
                        && known.state != ServerState::InService;
                    entry.started_at_ms < known.since_ms
                        || (returns && entry.started_at_ms == known.since_ms)
                }
                None => ever.contains(&hash),
            };
            if older && overtaken {
                continue;
            }
            let member = Endpoint {
                server,
                zone: places.zone(&entry.zone),
                kind: places.kind(&entry.kind),
                cell: CellId(entry.cell),
                state: entry.state,
                weight: entry.weight,
                started_at: entry.started_at_ms.saturating_mul(1000),
            };
            members.push(member.clone());
            if ever.len() < EVER {
                ever.insert(hash);
            }
            if entry.state == ServerState::Removed {
                entries.remove(&server);
                if !out.contains(&server) {
                    names.remove(&number);
                }
                continue;
            }
            names.insert(number, entry.id.clone());
            let known = entries.entry(server).or_insert_with(|| Entry {
                member: member.clone(),
                state: entry.state,
                addr: entry.address,
                since_ms: entry.started_at_ms,
                epoch: self.next_epoch(),
                idle: Vec::new(),
                barred: None,
                heard: None,
            });
            // A restarted process, or one that moved, knows nothing of the old connections.
            if (known.addr, known.since_ms) != (entry.address, entry.started_at_ms) {
                (known.addr, known.since_ms) = (entry.address, entry.started_at_ms);
                known.epoch = self.next_epoch();
                known.idle.clear();
            }
            (known.state, known.member) = (entry.state, member);
            known.bar(out.contains(&server));
        }
        if list.complete && !older {
            // Of an entry that can't be read, what was known stands.
            for id in &list.skipped.ids {
                let known = entries.get(&ServerId(server_number(id, &names)));
                members.extend(known.map(|known| known.member.clone()));
            }
            let listed: HashSet<ServerId> = members.iter().map(|m| m.server).collect();
            entries.retain(|server, _| listed.contains(server));
            let kept = |server| listed.contains(&server) || out.contains(&server);
            names.retain(|&number, _| kept(ServerId(number)));
            return (UpdateKind::Full, members);
        }
        (UpdateKind::Delta, members)
    }

    /// Whether a server of this id is or was on the list.
    pub fn was_listed(&self, id: &str) -> bool {
        let names = self.names.borrow();
        let listed = names
            .get(&server_number(id, &names))
            .is_some_and(|name| name == id);
        listed || self.ever.borrow().contains(&xxh3_64(id.as_bytes()))
    }

    /// Cordons or uncordons a server; its number, which is reserved for it while it is cordoned.
    pub fn set_cordoned(&self, id: &str, cordoned: bool) -> ServerId {
        let mut names = self.names.borrow_mut();
        let number = server_number(id, &names);
        let server = ServerId(number);
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&server);
        if cordoned {
            self.out.borrow_mut().insert(server);
            names.insert(number, id.to_owned());
        } else {
            self.out.borrow_mut().remove(&server);
            if entry.is_none() {
                names.remove(&number);
            }
        }
        if let Some(entry) = entry {
            entry.bar(cordoned);
        }
        server
    }

    /// What whole bodies share, those of requests too.
    pub fn body_memory(&self) -> &Rc<BodyMemory> {
        &self.memory
    }

    /// How many servers are on the list.
    pub fn listed(&self) -> usize {
        self.entries.borrow().len()
    }

    /// The listed ids in one number, whatever their order: nodes that differ in it go by different lists. Below 2^52, so
    /// that readers of figures keep it whole; 0 for no list.
    pub fn digest(&self) -> u64 {
        let entries = self.entries.borrow();
        entries
            .keys()
            .fold(0, |sum, server| sum ^ xxh3_64(&server.0.to_le_bytes()))
            & ((1 << 52) - 1)
    }

    fn next_epoch(&self) -> u64 {
        self.epochs.set(self.epochs.get() + 1);
        self.epochs.get()
    }

    /// Where a server listens, unless it went or drains for so long that nothing may be sent.
    /// Guards against a send that waited for its connection while the server began to drain.
    fn address(&self, server: ServerId) -> Option<(SocketAddr, u64)> {
        let entries = self.entries.borrow();
        let entry = entries.get(&server)?;
        let late = entry
            .barred
            .is_some_and(|since| since.elapsed() > self.settings().drain_grace / 2);
        (!late).then_some((entry.addr, entry.epoch))
    }

    // Connections.

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&server) {
            entry.idle.clear();
        }
    }

    /// Closes the idle connections to a server that has answered nobody since an attempt that got no
    /// answer was sent: its machine may be gone, and they would swallow what is sent next, where a new
    /// one would tell. One that answers others is only slow, and new connections would cost it more.
    pub fn close_idle_if_unresponsive(&self, server: ServerId, sent: Instant) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&server) {
            if entry.heard.is_none_or(|heard| heard < sent) {
                entry.idle.clear();
            }
        }
    }

    fn hear(&self, server: ServerId) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&server) {
            entry.heard = Some(Instant::now());
        }
    }

    /// Closes what has been idle for long or was closed by its server. To be called now and then.
    pub fn close_expired_idle(&self) {
        let longest = self.settings().keepalive.mul_f64(REUSE);
        for entry in self.entries.borrow_mut().values_mut() {
            entry
                .idle
                .retain(|link| !link.sender.is_closed() && link.idle_since.elapsed() < longest);
        }
    }

    /// Closes the connection that has been idle for longest; `false` if there is none.
    pub fn evict_idle_connection(&self) -> bool {
        let mut entries = self.entries.borrow_mut();
        let oldest = entries
            .values_mut()
            .filter(|e| !e.idle.is_empty())
            .min_by_key(|e| e.idle[0].idle_since);
        oldest.map(|entry| drop(entry.idle.remove(0))).is_some()
    }

    fn idle_link(&self, server: ServerId) -> Option<PooledConnection> {
        let longest = self.settings().keepalive.mul_f64(REUSE);
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&server)?;
        let rested = |link: &PooledConnection| link.idle_since.elapsed() >= REST;
        while let Some(last) = entry.idle.iter().rposition(rested) {
            let link = entry.idle.remove(last);
            if !link.sender.is_closed() && link.idle_since.elapsed() < longest {
                return Some(link);
            }
        }
        None
    }

    fn keep(&self, server: ServerId, mut link: PooledConnection) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&server) else {
            return;
        };
        if entry.epoch == link.epoch && entry.barred.is_none() && !link.sender.is_closed() {
            link.idle_since = Instant::now();
            entry.idle.push(link);
        }
    }

    /// A place for one more socket, at the cost of an idle connection where all are taken.
    pub async fn permit(&self) -> Option<Permit> {
        loop {
            if let Some(permit) = self.budget.take() {
                return Some(permit);
            }
            if !self.evict_idle_connection() {
                return None;
            }
            // The socket closes when its task is next run.
            yield_now().await;
        }
    }

    async fn dial(
        &self,
        addr: SocketAddr,
        epoch: u64,
        permit: Permit,
    ) -> io::Result<PooledConnection> {
        self.metrics.connections_opened.increment();
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let progress = Rc::new(RequestProgress::default());
        let stream = UpstreamSocket::new(stream, progress.clone(), self.metrics.clone());
        let (sender, connection) = http1::Builder::new()
            .max_headers(64)
            .max_buf_size(BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let connection = AbortOnDrop::spawn(async move {
            let _permit = permit;
            let _ = connection.await;
        });
        Ok(PooledConnection {
            sender,
            progress,
            _connection: connection,
            epoch,
            idle_since: Instant::now(),
        })
    }

    // Attempts.

    /// Sends a request and tells how it ended. Dropped, it closes its connection. It has until `until`,
    /// or if its body is coming, for as long as that says.
    pub async fn attempt(
        self: &Rc<Self>,
        server: ServerId,
        call: &UpstreamRequest,
        until: Option<Instant>,
    ) -> UpstreamResult {
        self.attempt_on(server, call, until, None).await
    }

    /// Likewise, with a place for a socket that was had before.
    async fn attempt_on(
        self: &Rc<Self>,
        server: ServerId,
        call: &UpstreamRequest,
        until: Option<Instant>,
        permit: Option<Permit>,
    ) -> UpstreamResult {
        let expired = async {
            match (&call.body, until) {
                (_, Some(until)) => sleep_until(until).await,
                (Payload::Streaming(upload), None) => upload.server_timed_out().await,
                (Payload::Buffered(_), None) => std::future::pending().await,
            }
        };
        let sent = Instant::now();
        tokio::select! {
            biased;
            ended = self.exchange_with(server, call, until, permit) => ended,
            () = expired => {
                self.close_idle_if_unresponsive(server, sent);
                Outcome::Timeout.into()
            }
        }
    }

    async fn exchange_with(
        self: &Rc<Self>,
        server: ServerId,
        call: &UpstreamRequest,
        until: Option<Instant>,
        mut permit: Option<Permit>,
    ) -> UpstreamResult {
        let mut redialled = false;
        loop {
            let begun = matches!(&call.body, Payload::Streaming(upload) if upload.is_partly_sent());
            if begun {
                // A body that passed can't be had again: this was never sent whole, and won't be.
                return Outcome::NotSent.into();
            }
            // Nothing is written for a client that left while its request waited for a connection, whether
            // or not the settings let one that was sent be cancelled.
            let ready = tokio::select! {
                biased;
                () = call.client.disconnected() => return Outcome::NotSent.into(),
                ready = self.ready(server, until, &mut permit) => ready,
            };
            let Ready {
                mut link,
                addr,
                reused,
            } = match ready {
                Ok(ready) => ready,
                Err(outcome) => return outcome.into(),
            };
            // The connection may yet serve another.
            if call.client.has_disconnected() {
                self.keep(server, link);
                return Outcome::NotSent.into();
            }
            match exchange(&mut link, call, addr, until, &self.memory).await {
                // Its client left between that look and the first byte.
                Exchange::Unsent if call.client.has_disconnected() => {
                    return Outcome::NotSent.into()
                }
                // A new connection may break by chance; a second one that does tells of the server.
                Exchange::Unsent if reused || !std::mem::replace(&mut redialled, true) => continue,
                Exchange::Unsent => return Outcome::ConnectFailed.into(),
                Exchange::Broken => return Outcome::Reset.into(),
                Exchange::Answer(status, headers, content) => {
                    self.hear(server);
                    let load_report = load(&headers, &self.settings().load_report_fields);
                    let outcome = outcome(status, &headers);
                    let reply = self.reply(server, link, content);
                    let response = UpstreamResponse {
                        headers,
                        body: reply,
                    };
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

    /// A connection that a request may be written to now. It can't be had where none comes up in time or the
    /// server is to have nothing new, or where the node has no socket for it: that tells nothing of the server.
    async fn ready(
        &self,
        server: ServerId,
        until: Option<Instant>,
        permit: &mut Option<Permit>,
    ) -> Result<Ready, Outcome> {
        loop {
            let (addr, epoch) = self.address(server).ok_or(Outcome::ConnectFailed)?;
            let dial_by = Instant::now() + self.settings().connect_timeout;
            let dial_by = until.map_or(dial_by, |until| until.min(dial_by));
            let (mut link, reused) = match self.idle_link(server) {
                Some(link) => {
                    // Its close may have come and not been read yet: the connection's task first, for what
                    // is written to a closed one is lost, and an unsafe request with it.
                    yield_now().await;
                    (link, true)
                }
                None => {
                    let permit = match permit.take() {
                        Some(permit) => permit,
                        None => self.permit().await.ok_or(Outcome::NotSent)?,
                    };
                    match timeout_at(dial_by, self.dial(addr, epoch, permit)).await {
                        Ok(Ok(link)) => (link, false),
                        _ => return Err(Outcome::ConnectFailed),
                    }
                }
            };
            let ready_by = Instant::now() + self.settings().connect_timeout;
            let ready_by = until.map_or(ready_by, |until| until.min(ready_by));
            if !matches!(timeout_at(ready_by, link.sender.ready()).await, Ok(Ok(()))) {
                if reused {
                    continue;
                }
                return Err(Outcome::ConnectFailed);
            }
            // The list may have changed meanwhile.
            match self.address(server) {
                Some((_, now)) if now != link.epoch => continue,
                Some(_) if until.is_none_or(|until| Instant::now() < until) => {
                    return Ok(Ready { link, addr, reused });
                }
                _ => {
                    self.keep(server, link);
                    return Err(Outcome::ConnectFailed);
                }
            }
        }
    }

    /// The body of an answer; its connection is kept once all of it has come and all was sent.
    fn reply(
        self: &Rc<Self>,
        server: ServerId,
        link: PooledConnection,
        content: ReceivedBody,
    ) -> ResponseBody {
        let whole = link.progress.is_fully_written();
        match content {
            ReceivedBody::Buffered(kept) => {
                if whole {
                    self.keep(server, link);
                }
                ResponseBody::Buffered(kept)
            }
            ReceivedBody::Streamed(mut passing) => {
                let servers = self.clone();
                passing.on_end(move |end| {
                    if whole && end == RequestOutcome::Served {
                        servers.hear(server);
                        servers.keep(server, link);
                    }
                });
                ResponseBody::Streamed(passing)
            }
        }
    }

    /// Checks a server's health, however many requests are out: sockets are kept for that, and the wait for one of them
    /// is none of the server's time.
    pub async fn check_health(self: &Rc<Self>, server: ServerId) -> UpstreamResult {
        let permit = match self.permit().await {
            Some(permit) => permit,
            None => self.probes.wait().await,
        };
        let call = UpstreamRequest {
            method: Method::GET,
            target: Uri::from_static("/-/healthy"),
            headers: HeaderMap::new(),
            body: Payload::Buffered(BufferedBody::from("")),
            client: Client::node(),
        };
        // A probe waits like a request, but not like a patient one.
        let until = Instant::now() + self.settings().connect_timeout * 2;
        self.attempt_on(server, &call, Some(until), Some(permit))
            .await
    }
}

fn request(
    call: &UpstreamRequest,
    addr: SocketAddr,
    until: Option<Instant>,
    progress: Rc<RequestProgress>,
) -> Request<OutgoingBody> {
    let mut request = Request::new(call.body.outgoing(progress));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = call.headers.clone();
    let left = match (&call.body, until) {
        (_, Some(until)) => until.saturating_duration_since(Instant::now()),
        (Payload::Streaming(upload), None) => upload.remaining_timeout(),
        (Payload::Buffered(_), None) => Duration::MAX,
    };
    let headers = request.headers_mut();
    headers.insert(
        "x-remaining-ms",
        HeaderValue::from((left.as_millis() as u64).max(1)),
    );
    if !headers.contains_key(HOST) {
        if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
            headers.insert(HOST, host);
        }
    }
    request
}

async fn exchange(
    link: &mut PooledConnection,
    call: &UpstreamRequest,
    addr: SocketAddr,
    until: Option<Instant>,
    memory: &Rc<BodyMemory>,
) -> Exchange {
    link.progress.begin(&call.client);
    let request = request(call, addr, until, link.progress.clone());
    let response = match link.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(_) if !link.progress.is_fully_written() => return Exchange::Unsent,
        Err(_) => return Exchange::Broken,
    };
    let (head, body) = response.into_parts();
    match receive_response_body(body, memory).await {
        Some(content) => Exchange::Answer(head.status, head.headers, content),
        // One that broke before all was sent: the server can't have begun.
        None if !link.progress.is_fully_written() => Exchange::Unsent,
        None => Exchange::Broken,
    }
}

/// What an answer means. Only the header proves that a request was turned away unseen: 503 and
/// 504 without it may come from a request that ran.
fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let turned_away = headers
        .get("x-turned-away")
        .is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => {
            Outcome::Overloaded
        }
        _ => Outcome::Error,
    }
}

/// A load report, in the order of the settings; one that can't be read whole is none.
fn load(headers: &HeaderMap, fields: &[String]) -> Vec<f64> {
    let Some(text) = headers.get("x-pressure") else {
        return Vec::new();
    };
    let report: HashMap<String, f64> = serde_json::from_slice(text.as_bytes()).unwrap_or_default();
    fields
        .iter()
        .map_while(|field| report.get(field).copied())
        .collect()
}

/// Interval between two calls of [`Servers::close_expired_idle`].
pub const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

#[cfg(test)]
mod tests;
