//! The clients' side: connections, requests in, answers out.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use load_balancer::{ClassId, Idempotency, Key, TenantId};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::body::{discard, BufferedBody, Fault, Payload, ResponseBody, Upload, MAX_BODY_BYTES};
use crate::client_liveness::ClientLiveness;
use crate::config::RuntimeConfig;
use crate::connection::{ConnectionState, Socket, FIRST_REQUEST_TIMEOUT};
use crate::descriptors::Descriptors;
use crate::event_loop::{ClientResponse, Message, RequestArrived, RequestComplete, RequestNumber};
use crate::metrics::{Metrics, RequestOutcome};
use crate::servers::{Servers, UpstreamRequest, UpstreamResponse};
use crate::shutdown_deadline::ShutdownDeadline;
use crate::task::{AbortOnDrop, Budget, Permit};

/// Most bytes and fields of a request's head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;
/// The longest wait for a head, idle time between requests included.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// An answer must reach the client before it gives up: the client counts from its send, the node
/// from its read, and the way back takes time too.
pub const MARGIN: Duration = Duration::from_millis(12);
/// While a drain begins new connections and requests still come for up to 0.4 s.
const DRAIN: Duration = Duration::from_millis(600);
/// A connection past the budget gets this long to hear that it is refused.
const REFUSAL: Duration = Duration::from_secs(1);
/// When to come back to a node that has no room.
const OVERFULL: Duration = Duration::from_millis(500);

/// What all client connections share.
pub struct Clients {
    config: RefCell<Arc<RuntimeConfig>>,
    servers: Rc<Servers>,
    /// Sockets of clients, and of clients that are only told to go.
    budget: Rc<Budget>,
    overflow: Rc<Budget>,
    /// Requests whose body passes as it comes.
    uploads: Rc<Budget>,
    metrics: Rc<Metrics>,
    messages: mpsc::UnboundedSender<Message>,
    next_id: Cell<u64>,
    held: Cell<usize>,
    /// Those of them whose body is still coming.
    coming: Cell<usize>,
    /// The connections that have a place, by the numbers they were given.
    open_connections: RefCell<HashMap<u64, Rc<ConnectionState>>>,
    /// Those that have none and are only told to go, the oldest first.
    turned_away: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    connections: Cell<usize>,
    draining: Cell<bool>,
    /// The process is to end: nobody can undo this drain.
    ending: Cell<bool>,
    shutdown_deadline: Rc<ShutdownDeadline>,
    /// Closes idle connections once a drain has begun.
    drain: RefCell<Option<AbortOnDrop>>,
    /// Set once idle connections are to go as well.
    closing: Cell<bool>,
    close: Notify,
    /// Told when nothing more is to be accepted.
    stop: Notify,
    /// Told whenever a connection ends.
    ended: Notify,
}

impl Clients {
    pub fn new(
        config: Arc<RuntimeConfig>,
        servers: Rc<Servers>,
        descriptors: &Descriptors,
        metrics: Rc<Metrics>,
        messages: mpsc::UnboundedSender<Message>,
    ) -> Rc<Self> {
        Rc::new(Clients {
            config: RefCell::new(config),
            servers,
            budget: descriptors.clients.clone(),
            overflow: descriptors.overflow.clone(),
            uploads: descriptors.uploads.clone(),
            metrics,
            messages,
            next_id: Cell::new(1),
            held: Cell::new(0),
            coming: Cell::new(0),
            connections: Cell::new(0),
            open_connections: RefCell::default(),
            turned_away: RefCell::default(),
            draining: Cell::new(false),
            ending: Cell::new(false),
            shutdown_deadline: Rc::default(),
            drain: RefCell::default(),
            closing: Cell::new(false),
            close: Notify::new(),
            stop: Notify::new(),
            ended: Notify::new(),
        })
    }

    /// The configuration of requests that arrive now.
    pub fn config(&self) -> Arc<RuntimeConfig> {
        self.config.borrow().clone()
    }

    /// Replaces the configuration. The balancer receives it before any request that depends on it.
    pub fn reload(&self, config: Arc<RuntimeConfig>) {
        self.metrics
            .register_classes(config.balancer.names.classes());
        self.servers.reload(config.node.clone());
        let settings = Box::new(config.balancer.settings.clone());
        let _ = self.messages.send(Message::SettingsChanged(settings));
        *self.config.borrow_mut() = config;
    }

    /// Accepts until it is told to stop, after SIGTERM too: what is written to a connection in the
    /// backlog counts as taken. Nobody is waited for meanwhile: how long a request lay in the backlog
    /// is told nowhere, so its client's remaining time would be taken for longer than it is.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            // Stopped here only: one that was accepted is served.
            let accepted = tokio::select! {
                biased;
                () = self.stop.notified() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let permits = match self.connection_permits().await {
                        Some(own) => self
                            .servers
                            .permit()
                            .await
                            .map(|socket| (own, Some(socket))),
                        None => None,
                    };
                    let refuse = permits.is_none();
                    if refuse {
                        self.metrics.connections_rejected.increment();
                    } else {
                        self.metrics.connections_accepted.increment();
                    }
                    let permits = match permits {
                        Some(permits) => Some(permits),
                        None => self.rejection_permit().await.map(|own| (own, None)),
                    };
                    // Without any the connection is shut unread.
                    if let Some(permits) = permits {
                        // Held from here on: the process does not end before it is served.
                        let place = Place::new(&self, permits);
                        spawn_local(self.clone().serve(stream, place, refuse));
                    }
                }
                Err(error) => {
                    // Out of descriptors, accept fails at once and the connection stays: without
                    // a pause this loop would take the core that could close some.
                    crate::log::line(format_args!("accept: {error}"));
                    self.servers.evict_idle_connection();
                    sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// Leaves what connects from now on to another process that holds the listener.
    pub fn stop_accepting(&self) {
        self.stop.notify_one();
    }

    /// A client's place, at the cost of a connection without an open request where all are taken.
    async fn connection_permits(&self) -> Option<Permit> {
        loop {
            if let Some(permit) = self.budget.take() {
                return Some(permit);
            }
            if !self.dismiss() {
                return None;
            }
            // The place is free when the connection's task is next run.
            tokio::task::yield_now().await;
        }
    }

    /// A place among those that are only told to go, at the cost of the one of them that has sent nothing
    /// for longest; `None` where each of them has asked.
    async fn rejection_permit(&self) -> Option<Permit> {
        loop {
            if let Some(permit) = self.overflow.take() {
                return Some(permit);
            }
            // What they have sent by now is read first.
            tokio::task::yield_now().await;
            if !self.overflow.is_full() {
                continue;
            }
            let mut turned_away = self.turned_away.borrow_mut();
            let silent = turned_away
                .iter()
                .filter(|(_, client_connection)| !client_connection.has_sent_request());
            let first = silent
                .min_by_key(|(&number, client_connection)| {
                    (client_connection.is_sending_head(), number)
                })
                .map(|(&n, _)| n)?;
            turned_away.remove(&first)?.leave.notify_one();
        }
    }

    /// Closes the connection that can best be spared; `false` if none can.
    fn dismiss(&self) -> bool {
        let mut open_connections = self.open_connections.borrow_mut();
        let spare = open_connections
            .iter()
            .filter(|(_, client_connection)| client_connection.may_be_closed());
        let first = spare
            .min_by_key(|(_, client_connection)| {
                (
                    client_connection.has_sent_request(),
                    client_connection.idle_since(),
                )
            })
            .map(|(&n, _)| n);
        first
            .and_then(|number| open_connections.remove(&number))
            .map(|client_connection| client_connection.leave.notify_one())
            .is_some()
    }

    /// Serves a connection until it ends; past the budget only to say so.
    async fn serve(self: Rc<Self>, stream: TcpStream, place: Place, refuse: bool) {
        // One that comes this late still gets its one request answered: it counts as taken.
        let last = self.closing.get();
        let client_connection = Rc::new(ConnectionState::new());
        let number = self.next_number();
        if refuse {
            self.turned_away
                .borrow_mut()
                .insert(number, client_connection.clone());
        } else {
            self.open_connections
                .borrow_mut()
                .insert(number, client_connection.clone());
        }
        let stream = Rc::new(stream);
        let (clients, asks, socket) = (self.clone(), client_connection.clone(), stream.clone());
        let service = service_fn(move |request| {
            let (clients, client_connection, socket) =
                (clients.clone(), asks.clone(), socket.clone());
            async move {
                let mut response = if refuse {
                    if let Some(class) = clients.class_of(request.headers()) {
                        clients
                            .metrics
                            .request_ended(class, RequestOutcome::Rejected);
                    }
                    clients.refusal(Some(OVERFULL))
                } else {
                    clients.handle(request, &client_connection, &socket).await
                };
                // One that passes in pieces says so itself at its end.
                if matches!(response.body(), ResponseBody::Buffered(_)) {
                    client_connection.request_answered();
                }
                if refuse || clients.draining.get() || response.status().is_client_error() {
                    response
                        .headers_mut()
                        .insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(if refuse || last {
                REFUSAL
            } else {
                HEAD_TIMEOUT
            })
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS)
            .serve_connection(
                TokioIo::new(Socket::new(stream.clone(), client_connection.clone())),
                service,
            );
        let mut connection = std::pin::pin!(connection);
        let mut left = std::pin::pin!(client_connection.client_closed(&stream));
        let ended = tokio::select! {
            () = serving(connection.as_mut(), left.as_mut()) => true,
            () = client_connection.first_request_timed_out() => {
                self.metrics.head_timeouts.increment();
                true
            }
            () = client_connection.leave.notified() => !client_connection.has_sent_request(),
            () = self.close.notified(), if !last => false,
        };
        // A head on its way is let in: its answer closes the connection.
        let let_in = !ended && client_connection.is_sending_head();
        let ended = ended
            || (let_in
                && timeout(
                    FIRST_REQUEST_TIMEOUT,
                    serving(connection.as_mut(), left.as_mut()),
                )
                .await
                .is_ok());
        if !ended {
            // Idle ones end at once, others with their answer.
            connection.as_mut().graceful_shutdown();
            serving(connection, left).await;
        }
        self.open_connections.borrow_mut().remove(&number);
        self.turned_away.borrow_mut().remove(&number);
        drop(place);
    }

    fn next_number(&self) -> u64 {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        number
    }

    /// Sends clients away: readiness says no, each answer closes its connection, and once the front
    /// has had time to notice, what is idle closes too.
    pub fn stand_by(self: &Rc<Self>) {
        if self.draining.replace(true) {
            return;
        }
        let clients = self.clone();
        *self.drain.borrow_mut() = Some(AbortOnDrop::spawn(async move {
            sleep(DRAIN).await;
            clients.closing.set(true);
            clients.close.notify_waiters();
        }));
    }

    /// Ends a drain; `false` where the process is to end.
    pub fn activate(&self) -> bool {
        if self.ending.get() {
            return false;
        }
        *self.drain.borrow_mut() = None;
        self.draining.set(false);
        self.closing.set(false);
        true
    }

    /// Whether clients are welcome.
    pub fn is_ready(&self) -> bool {
        !self.draining.get()
    }

    /// Requests taken and not ended.
    pub fn outstanding(&self) -> usize {
        self.held.get() - self.coming.get()
    }

    /// After SIGTERM: drains, and returns once nothing is held.
    pub async fn drain(self: &Rc<Self>) {
        let longest = self
            .config()
            .balancer
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(0);
        self.ending.set(true);
        self.shutdown_deadline.start(Duration::from_micros(longest));
        self.stand_by();
        sleep(DRAIN).await;
        // A client that trickles a request must not keep the node up: all that was taken has had
        // its answer by the longest deadline.
        let all_ended = async {
            while self.connections.get() > 0 {
                self.ended.notified().await;
            }
        };
        let _ = timeout(Duration::from_micros(longest) + DRAIN, all_ended).await;
    }

    async fn handle(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client_connection: &Rc<ConnectionState>,
        socket: &Rc<TcpStream>,
    ) -> Response<ResponseBody> {
        client_connection.request_started();
        if client_connection.has_two_framings() {
            self.metrics.requests_malformed.increment();
            return plain(StatusCode::BAD_REQUEST, "two framings\n");
        }
        match request.uri().path() {
            "/-/ready" if [Method::GET, Method::HEAD].contains(request.method()) => {
                let ready = self.is_ready();
                plain(
                    if ready {
                        StatusCode::OK
                    } else {
                        StatusCode::SERVICE_UNAVAILABLE
                    },
                    "",
                )
            }
            "/api" => self
                .call(request, client_connection, socket)
                .await
                .unwrap_or_else(|(status, why)| {
                    self.metrics.requests_malformed.increment();
                    plain(status, why)
                }),
            _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    async fn call(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client_connection: &Rc<ConnectionState>,
        socket: &Rc<TcpStream>,
    ) -> Result<Response<ResponseBody>, (StatusCode, &'static str)> {
        let bad = |why| (StatusCode::BAD_REQUEST, why);
        let (head, body) = request.into_parts();
        let text = |name: &str| head.headers.get(name).map(HeaderValue::to_str).transpose();
        if text("x-txn")
            .map_err(|_| bad("X-Txn is not text\n"))?
            .is_none_or(str::is_empty)
        {
            return Err(bad("X-Txn is missing\n"));
        }
        let config = self.config();
        let class = self
            .class_of(&head.headers)
            .ok_or(bad("X-Lane names no known class\n"))?;
        let tenant = match text("x-org").map_err(|_| bad("X-Org is not text\n"))? {
            None => None,
            Some(name) => Some(
                config
                    .balancer
                    .names
                    .tenant(name)
                    .ok_or(bad("X-Org names no known tenant\n"))?,
            ),
        };
        let class_of = &config.balancer.settings.classes[class];
        let keyed = matches!(class_of.idempotency, Idempotency::IdempotencyKey { .. });
        if keyed && !head.headers.contains_key("idempotency-key") {
            return Err(bad("Idempotency-Key is missing\n"));
        }
        if ![Method::GET, Method::HEAD, Method::POST].contains(&head.method) {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "GET or POST\n"));
        }
        let class_deadline = Duration::from_micros(class_of.deadline);
        let remaining_timeout =
            match text("x-remaining-ms").map_err(|_| bad("X-Remaining-Ms is not text\n"))? {
                None => class_deadline,
                Some(text) => {
                    let ms: u64 = text
                        .trim()
                        .parse()
                        .map_err(|_| bad("X-Remaining-Ms is no whole number\n"))?;
                    Duration::from_millis(ms).min(class_deadline)
                }
            };
        let remaining_timeout = remaining_timeout.saturating_sub(MARGIN);
        let body = self
            .payload(body, remaining_timeout, client_connection)
            .await
            .map_err(fault)?;
        // The client's clock runs from its last byte, which a complete request was read soon after.
        let (upload, deadline) = match &body {
            Payload::Streaming(upload) => (Some(upload.clone()), None),
            Payload::Buffered(_) => (
                None,
                Some(self.shutdown_deadline.deadline(remaining_timeout)),
            ),
        };
        // One that passes as it comes keeps a server's socket for as long as its client likes.
        let passing = upload.as_ref().map(|_| self.uploads.take());
        if self.held.get() >= config.node.max_open_requests || matches!(passing, Some(None)) {
            self.metrics.request_ended(class, RequestOutcome::Rejected);
            upload
                .into_iter()
                .for_each(|upload| drop(spawn_local(upload.discard())));
            return Ok(self.refusal(Some(OVERFULL)));
        }
        let key = head.uri.query().and_then(key_of);
        let is_retry = text("x-resent").ok().flatten() == Some("1");
        let cost = text("x-estimate")
            .ok()
            .flatten()
            .and_then(|text| text.trim().parse().ok());
        let target = match head.uri.path_and_query() {
            Some(target) => Uri::from(target.clone()),
            None => return Err(bad("no path\n")),
        };
        let mut headers = head.headers;
        drop_hop_headers(&mut headers);
        let id = self.next_number();
        let (reply, answer) = oneshot::channel();
        let client_liveness = ClientLiveness::new(socket);
        let arrived = RequestArrived {
            number: RequestNumber(id),
            class: ClassId(class),
            tenant: tenant.map(TenantId),
            key,
            is_retry,
            cost,
            deadline,
            upstream: Rc::new(UpstreamRequest {
                method: head.method,
                target,
                headers,
                body,
                client: client_liveness.view(),
            }),
            reply,
        };
        let waiting = Waiting::new(self, id, class, passing.flatten(), client_liveness);
        let answer = match self
            .messages
            .send(Message::RequestArrived(Box::new(arrived)))
        {
            Ok(()) => self.answer(answer, &waiting, upload).await.map_err(fault)?,
            Err(_) => ClientResponse::Rejected {
                retry_after: Some(OVERFULL),
            },
        };
        let (end, response) = match answer {
            ClientResponse::Served(UpstreamResponse {
                headers,
                body: ResponseBody::Streamed(mut passing),
            }) => {
                let client_connection = client_connection.clone();
                passing.on_end(move |end| {
                    if end != RequestOutcome::Served {
                        client_connection.mark_response_broken();
                    }
                    client_connection.request_answered();
                    waiting.end(end);
                });
                return Ok(served(headers, ResponseBody::Streamed(passing)));
            }
            ClientResponse::Served(UpstreamResponse { headers, body }) => {
                (RequestOutcome::Served, served(headers, body))
            }
            ClientResponse::Rejected { retry_after } => {
                (RequestOutcome::Rejected, self.refusal(retry_after))
            }
            ClientResponse::Failed => (
                RequestOutcome::Failed,
                plain(StatusCode::BAD_GATEWAY, "failed\n"),
            ),
            ClientResponse::DeadlineExceeded => {
                self.metrics.deadlines_exceeded.increment();
                (
                    RequestOutcome::Failed,
                    plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
                )
            }
        };
        waiting.end(end);
        Ok(response)
    }

    /// A request's body: buffered if it is short, else streamed.
    async fn payload(
        &self,
        body: Incoming,
        remaining_timeout: Duration,
        client_connection: &ConnectionState,
    ) -> Result<Payload, Fault> {
        if body.is_end_stream() {
            return Ok(Payload::Buffered(BufferedBody::from("")));
        }
        let upload = match body.size_hint().exact() {
            Some(length) if length > MAX_BODY_BYTES => {
                spawn_local(discard(body));
                return Err(Fault::TooLong);
            }
            _ => Upload::new(
                body,
                remaining_timeout,
                self.shutdown_deadline.clone(),
                client_connection.waiting_since(),
            ),
        };
        Ok(match upload.gather(self.servers.body_memory()).await? {
            Some(kept) => Payload::Buffered(kept),
            None => Payload::Streaming(upload),
        })
    }

    /// Waits for the module's answer, and for the last byte of a request that is still coming.
    async fn answer(
        &self,
        mut answer: oneshot::Receiver<ClientResponse>,
        waiting: &Waiting,
        upload: Option<Rc<Upload>>,
    ) -> Result<ClientResponse, Fault> {
        let Some(upload) = upload else {
            return Ok(answer.await.unwrap_or(ClientResponse::DeadlineExceeded));
        };
        tokio::select! {
            biased;
            early = &mut answer => {
                spawn_local(upload.discard());
                return Ok(early.unwrap_or(ClientResponse::DeadlineExceeded));
            }
            completed = upload.complete() => {
                // One that can't be had is counted as malformed.
                let deadline = completed.inspect_err(|_| waiting.ended.set(true))?;
                waiting.is_complete();
                let number = RequestNumber(waiting.id);
                let message = RequestComplete { number, deadline };
                let _ = self.messages.send(Message::RequestComplete(message));
            }
        }
        Ok(answer.await.unwrap_or(ClientResponse::DeadlineExceeded))
    }

    fn class_of(&self, headers: &HeaderMap) -> Option<usize> {
        self.config
            .borrow()
            .balancer
            .names
            .class(headers.get("x-lane")?.to_str().ok()?)
    }

    /// A refusal: trying again is harmless.
    fn refusal(&self, wait: Option<Duration>) -> Response<ResponseBody> {
        let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
        let advice = wait
            .filter(|_| self.config.borrow().balancer.settings.retry_after)
            .map(|wait| format!("{:.3}", wait.as_secs_f64()));
        if let Some(value) = advice.and_then(|text| HeaderValue::from_str(&text).ok()) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

/// An accepted connection's place among those that the node holds.
struct Place {
    clients: Rc<Clients>,
    permits: Option<(Permit, Option<Permit>)>,
}

impl Place {
    fn new(clients: &Rc<Clients>, permits: (Permit, Option<Permit>)) -> Self {
        clients.connections.set(clients.connections.get() + 1);
        Place {
            clients: clients.clone(),
            permits: Some(permits),
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.permits = None;
        self.clients
            .connections
            .set(self.clients.connections.get() - 1);
        self.clients.ended.notify_waiters();
    }
}

/// A request that waits for its answer, or passes it on. The connection's future drops it when the
/// client goes.
struct Waiting {
    clients: Rc<Clients>,
    id: u64,
    class: usize,
    /// Its body is coming.
    coming: RefCell<Option<Permit>>,
    /// It has had its ending, which is counted.
    ended: Cell<bool>,
    /// Lets attempts be written.
    _presence: ClientLiveness,
}

impl Waiting {
    fn new(
        clients: &Rc<Clients>,
        id: u64,
        class: usize,
        coming: Option<Permit>,
        client_liveness: ClientLiveness,
    ) -> Self {
        clients.held.set(clients.held.get() + 1);
        clients
            .coming
            .set(clients.coming.get() + usize::from(coming.is_some()));
        let clients = clients.clone();
        let (coming, ended) = (RefCell::new(coming), Cell::new(false));
        Waiting {
            clients,
            id,
            class,
            coming,
            ended,
            _presence: client_liveness,
        }
    }

    fn is_complete(&self) {
        if self.coming.take().is_some() {
            self.clients.coming.set(self.clients.coming.get() - 1);
        }
    }

    fn end(&self, end: RequestOutcome) {
        self.ended.set(true);
        self.clients.metrics.request_ended(self.class, end);
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.clients.metrics.clients_disconnected.increment();
        }
        self.is_complete();
        self.clients.held.set(self.clients.held.get() - 1);
        // The event loop ignores this for a request that it has answered.
        let message = Message::ClientDisconnected(RequestNumber(self.id));
        let _ = self.clients.messages.send(message);
    }
}

/// Serves a connection until it ends or its client leaves a request.
async fn serving(connection: Pin<&mut impl Future>, left: Pin<&mut impl Future>) {
    tokio::select! {
        biased;
        _ = connection => {}
        _ = left => {}
    }
}

/// What a client hears whose body can't be had.
fn fault(fault: Fault) -> (StatusCode, &'static str) {
    match fault {
        Fault::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n"),
        Fault::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the body did not come\n"),
        Fault::Broken => (StatusCode::BAD_REQUEST, "the body is broken\n"),
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Buffered(BufferedBody::from(text)));
    *response.status_mut() = status;
    response
}

fn served(mut headers: HeaderMap, body: ResponseBody) -> Response<ResponseBody> {
    drop_hop_headers(&mut headers);
    headers.remove("x-pressure");
    let mut response = Response::new(body);
    *response.headers_mut() = headers;
    response
}

/// Leaves out what belongs to one connection, and the framing, which is made anew.
fn drop_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    ] {
        headers.remove(name);
    }
}

/// The key of a query, folded to below 2^53 in the same way at every node.
fn key_of(query: &str) -> Option<Key> {
    let key = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("key="))?;
    (!key.is_empty()).then(|| Key(xxh3_64(key.as_bytes()) >> 11))
}
