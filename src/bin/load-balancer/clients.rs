//! The downstream side: client connections, their requests and the responses to them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use load_balancer::{ClassId, Idempotency, TenantId};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use crate::body::{
    discard, ArrivalClock, BodyError, BufferedBody, Payload, ResponseBody, Upload, MAX_BODY_BYTES,
};
use crate::client_liveness::ClientLiveness;
use crate::config::RuntimeConfig;
use crate::connection::ConnectionState;
use crate::connection_memory::ConnectionMemory;
use crate::descriptors::Descriptors;
use crate::event_loop::{ClientResponse, Message, RequestArrived, RequestComplete, RequestNumber};
use crate::memory_budget::MemoryReservation;
use crate::metrics::{Metrics, Refusal, RequestOutcome};
use crate::servers::{Servers, UpstreamRequest, UpstreamResponse};
use crate::shutdown_deadline::ShutdownDeadline;
use crate::task::{AbortOnDrop, Budget};
use crate::write_stall::time_at_min_rate;

mod accept;
mod guards;
mod messages;
mod serve;

use guards::{RequestGuard, RequestIdentity};
use messages::{
    body_error_response, remove_hop_by_hop_headers, routing_key, text_response, upstream_response,
};

/// Subtracted from the client's remaining time, so that a response reaches the client before it gives up:
/// the client counts from when it sent the request, the node from when it read it, and the response takes
/// time to travel back.
pub const RESPONSE_MARGIN: Duration = Duration::from_millis(12);
/// Time from the start of a drain until idle connections are closed: the platform's front end still sends
/// new connections and requests for up to 0.4 s after the drain has begun.
const DRAIN_DELAY: Duration = Duration::from_millis(600);
/// The `Retry-After` of a request that was rejected because the node has no room for it.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The state that all client connections share.
pub struct Clients {
    config: RefCell<Arc<RuntimeConfig>>,
    servers: Rc<Servers>,
    /// Sockets of clients that are served.
    budget: Rc<Budget>,
    /// Sockets of clients that are only rejected, once `budget` is used up.
    overflow: Rc<Budget>,
    /// Requests whose body is streamed to a server.
    uploads: Rc<Budget>,
    /// Memory of connections and requests.
    memory: Rc<ConnectionMemory>,
    metrics: Rc<Metrics>,
    messages: mpsc::UnboundedSender<Message>,
    /// The next number of a connection or a request.
    next_id: Cell<u64>,
    /// Number of requests accepted and not ended.
    pending_requests: Cell<usize>,
    /// Number of pending requests whose body is still being streamed from the client.
    uploading_requests: Cell<usize>,
    /// The connections that are served, by their numbers.
    open_connections: RefCell<HashMap<u64, Rc<ConnectionState>>>,
    /// The connections that are only rejected, by their numbers, the oldest first.
    rejected_connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    /// Number of connections accepted and not ended.
    connection_count: Cell<usize>,
    /// Whether the node sends its clients away: it stands by or shuts down.
    draining: Cell<bool>,
    /// Whether the process is shutting down: its drain can't be undone.
    shutting_down: Cell<bool>,
    shutdown_deadline: Rc<ShutdownDeadline>,
    /// The task that closes idle connections some time after a drain has begun.
    closing_task: RefCell<Option<AbortOnDrop>>,
    /// Whether the drain has got to the point where idle connections are closed.
    closing_idle: Cell<bool>,
    /// Notifies all connections when `closing_idle` is set.
    close_idle: Notify,
    /// Notifies [`Clients::accept`] to return.
    stop_accept: Notify,
    /// Notified whenever a connection ends.
    connection_ended: Notify,
}

impl Clients {
    pub fn new(
        config: Arc<RuntimeConfig>,
        servers: Rc<Servers>,
        descriptors: &Descriptors,
        memory: Rc<ConnectionMemory>,
        metrics: Rc<Metrics>,
        messages: mpsc::UnboundedSender<Message>,
    ) -> Rc<Self> {
        Rc::new(Clients {
            config: RefCell::new(config),
            servers,
            budget: descriptors.clients.clone(),
            overflow: descriptors.overflow.clone(),
            uploads: descriptors.uploads.clone(),
            memory,
            metrics,
            messages,
            next_id: Cell::new(1),
            pending_requests: Cell::new(0),
            uploading_requests: Cell::new(0),
            connection_count: Cell::new(0),
            open_connections: RefCell::default(),
            rejected_connections: RefCell::default(),
            draining: Cell::new(false),
            shutting_down: Cell::new(false),
            shutdown_deadline: Rc::default(),
            closing_task: RefCell::default(),
            closing_idle: Cell::new(false),
            close_idle: Notify::new(),
            stop_accept: Notify::new(),
            connection_ended: Notify::new(),
        })
    }

    /// The configuration in force, for requests that arrive now.
    pub fn config(&self) -> Arc<RuntimeConfig> {
        self.config.borrow().clone()
    }

    /// Replaces the configuration. The settings are queued for the balancer before the first request that
    /// uses them.
    pub fn reload(&self, config: Arc<RuntimeConfig>) {
        self.metrics
            .register_classes(config.balancer.names.classes());
        self.servers.reload(config.node.clone());
        let settings = Box::new(config.balancer.settings.clone());
        let _ = self.messages.send(Message::SettingsChanged(settings));
        *self.config.borrow_mut() = config;
    }

    fn next_number(&self) -> u64 {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        number
    }

    /// Starts a drain: the readiness check fails and each response closes its connection. Later, when the
    /// platform's front end has had time to notice, idle connections are closed too.
    pub fn stand_by(self: &Rc<Self>) {
        if self.draining.replace(true) {
            return;
        }
        let clients = self.clone();
        *self.closing_task.borrow_mut() = Some(AbortOnDrop::spawn(async move {
            sleep(DRAIN_DELAY).await;
            clients.closing_idle.set(true);
            clients.close_idle.notify_waiters();
        }));
    }

    /// Ends a drain; returns `false`, and changes nothing, if the process is shutting down.
    pub fn activate(&self) -> bool {
        if self.shutting_down.get() {
            return false;
        }
        *self.closing_task.borrow_mut() = None;
        self.draining.set(false);
        self.closing_idle.set(false);
        true
    }

    /// Whether the node is ready for requests: it is not draining.
    pub fn is_ready(&self) -> bool {
        !self.draining.get()
    }

    /// Number of requests that have arrived completely and not ended.
    pub fn outstanding(&self) -> usize {
        self.pending_requests.get() - self.uploading_requests.get()
    }

    /// Number of connections accepted and not ended.
    pub fn connection_count(&self) -> usize {
        self.connection_count.get()
    }

    /// Shuts down after SIGTERM: drains, and returns once all connections have ended or the time of the slowest request is
    /// over. By then all accepted requests have been answered. What remains are connections on which a long body is under
    /// way: [`Clients::finish_transfers`] waits for them.
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
        self.shutting_down.set(true);
        self.shutdown_deadline.start(Duration::from_micros(longest));
        self.stand_by();
        sleep(DRAIN_DELAY).await;
        let slowest_request = Duration::from_micros(longest) + DRAIN_DELAY;
        let _ = timeout(slowest_request, self.all_connections_ended()).await;
    }

    /// Waits for the connections that remain after [`Clients::drain`]. Each of them ends by itself: a body has no
    /// deadline, but a side that moves nothing of it is given up. Only a response that never ends is cut off.
    pub async fn finish_transfers(&self) {
        let _ = timeout(longest_transfer(), self.all_connections_ended()).await;
    }

    async fn all_connections_ended(&self) {
        while self.connection_count.get() > 0 {
            self.connection_ended.notified().await;
        }
    }

    async fn handle(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client_connection: &Rc<ConnectionState>,
        socket: &Rc<TcpStream>,
    ) -> Response<ResponseBody> {
        client_connection.request_started();
        if client_connection.has_conflicting_framing() {
            self.metrics.requests_malformed.increment();
            return text_response(StatusCode::BAD_REQUEST, "two framings\n");
        }
        let id = request.headers().get("x-txn").cloned();
        match request.uri().path() {
            "/-/ready" if [Method::GET, Method::HEAD].contains(request.method()) => {
                let ready = self.is_ready();
                text_response(
                    if ready {
                        StatusCode::OK
                    } else {
                        StatusCode::SERVICE_UNAVAILABLE
                    },
                    "",
                )
            }
            "/api" => self
                .handle_api_request(request, client_connection, socket)
                .await
                .unwrap_or_else(|(status, why)| {
                    self.metrics.requests_malformed.increment();
                    let id = id.as_ref().and_then(|id| id.to_str().ok());
                    crate::log::request_line(format_args!(
                        "request ({}) answered {status} by the node: {}",
                        id.unwrap_or("without id"),
                        why.trim_end()
                    ));
                    text_response(status, why)
                }),
            _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    async fn handle_api_request(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client_connection: &Rc<ConnectionState>,
        socket: &Rc<TcpStream>,
    ) -> Result<Response<ResponseBody>, (StatusCode, &'static str)> {
        let head_received_at = Instant::now();
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
        let class_settings = &config.balancer.settings.classes[class];
        let keyed = matches!(
            class_settings.idempotency,
            Idempotency::IdempotencyKey { .. }
        );
        if keyed && !head.headers.contains_key("idempotency-key") {
            return Err(bad("Idempotency-Key is missing\n"));
        }
        if ![Method::GET, Method::HEAD, Method::POST].contains(&head.method) {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "GET or POST\n"));
        }
        let class_deadline = Duration::from_micros(class_settings.deadline);
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
        let remaining_timeout = remaining_timeout.saturating_sub(RESPONSE_MARGIN);
        let body = self
            .read_body(body, remaining_timeout, client_connection, socket)
            .await
            .map_err(body_error_response)?;
        // The client counts its timeout from the last byte that it sends; a buffered request was read shortly
        // after that.
        let (upload, deadline) = match &body {
            Payload::Streaming(upload) => (Some(upload.clone()), None),
            Payload::Buffered(_) => (
                None,
                Some(
                    self.shutdown_deadline
                        .deadline(remaining_timeout, head_received_at),
                ),
            ),
        };
        // A streamed request holds a server's socket for as long as its client takes to send the body.
        let upload_permit = upload.as_ref().map(|_| self.uploads.take());
        let memory = self.memory_for_request(&head.headers, upload.is_some());
        let refusal = if self.pending_requests.get() >= config.node.max_open_requests {
            Some(Refusal::TooManyRequests)
        } else if matches!(upload_permit, Some(None)) {
            Some(Refusal::TooManyUploads)
        } else if memory.is_none() {
            Some(Refusal::NoMemory)
        } else {
            None
        };
        if let Some(reason) = refusal {
            self.metrics.refused(Some(class), reason);
            upload
                .into_iter()
                .for_each(|upload| drop(spawn_local(upload.discard())));
            return Ok(self.rejection(Some(OVERLOAD_RETRY_AFTER)));
        }
        let key = head.uri.query().and_then(routing_key);
        let is_retry = text("x-resent").ok().flatten() == Some("1");
        let cost = text("x-estimate")
            .ok()
            .flatten()
            .and_then(|text| text.trim().parse().ok());
        let target = match head.uri.path_and_query() {
            Some(target) => Uri::from(target.clone()),
            None => return Err(bad("no path\n")),
        };
        let client_id = text("x-txn").ok().flatten().unwrap_or_default().into();
        let mut headers = head.headers;
        remove_hop_by_hop_headers(&mut headers);
        let number = RequestNumber(self.next_number());
        let (reply, response_receiver) = oneshot::channel();
        let client_liveness = ClientLiveness::new(socket, upload.is_some());
        let arrived = RequestArrived {
            number,
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
                _memory: memory,
            }),
            reply,
        };
        let request_guard = RequestGuard::new(
            self,
            RequestIdentity {
                number,
                client_id,
                class,
            },
            upload_permit.flatten(),
            client_connection,
            client_liveness,
            upload.clone(),
        );
        let client_response = match self
            .messages
            .send(Message::RequestArrived(Box::new(arrived)))
        {
            Ok(()) => self
                .wait_for_response(response_receiver, &request_guard, upload)
                .await
                .map_err(body_error_response)?,
            Err(_) => ClientResponse::Rejected {
                retry_after: Some(OVERLOAD_RETRY_AFTER),
            },
        };
        let (outcome, response) = match client_response {
            ClientResponse::Served(UpstreamResponse {
                headers,
                body: ResponseBody::Streamed(mut streamed),
            }) => {
                match self.memory.reserve_response() {
                    Some(memory) => client_connection.hold_until_flushed(memory),
                    None => streamed.pass_on_part_by_part(),
                }
                streamed.pass_on_to(client_connection.clone());
                request_guard.streaming_begins();
                let client_connection = client_connection.clone();
                streamed.on_end(move |outcome| {
                    if outcome != RequestOutcome::Served {
                        client_connection.mark_response_broken();
                    }
                    client_connection.request_answered();
                    request_guard.streaming_ended(outcome);
                });
                return Ok(upstream_response(headers, ResponseBody::Streamed(streamed)));
            }
            ClientResponse::Served(UpstreamResponse { headers, mut body }) => {
                body.take_reservations()
                    .into_iter()
                    .for_each(|memory| client_connection.hold_until_flushed(memory));
                (RequestOutcome::Served, upstream_response(headers, body))
            }
            ClientResponse::Rejected { retry_after } => {
                (RequestOutcome::Rejected, self.rejection(retry_after))
            }
            ClientResponse::Failed => (
                RequestOutcome::Failed,
                text_response(StatusCode::BAD_GATEWAY, "failed\n"),
            ),
            ClientResponse::Repeated => (
                RequestOutcome::Failed,
                text_response(StatusCode::CONFLICT, "this id has come before\n"),
            ),
            ClientResponse::DeadlineExceeded => {
                self.metrics.deadlines_exceeded.increment();
                (
                    RequestOutcome::Failed,
                    text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
                )
            }
        };
        request_guard.end(outcome);
        Ok(response)
    }

    /// Reserves the memory for a request. If there is none, closes idle connections to servers to free some.
    fn memory_for_request(
        &self,
        headers: &HeaderMap,
        is_upload: bool,
    ) -> Option<MemoryReservation> {
        loop {
            let reserved = self.memory.reserve_request(headers, is_upload);
            if reserved.is_some() || !self.servers.evict_idle_connection() {
                return reserved;
            }
        }
    }

    /// Reads a request's body if it is short; a longer one is streamed to a server.
    async fn read_body(
        &self,
        body: Incoming,
        remaining_timeout: Duration,
        client_connection: &Rc<ConnectionState>,
        socket: &Rc<TcpStream>,
    ) -> Result<Payload, BodyError> {
        if body.is_end_stream() {
            return Ok(Payload::Buffered(BufferedBody::from("")));
        }
        let upload = match body.size_hint().exact() {
            Some(length) if length > MAX_BODY_BYTES => {
                spawn_local(discard(body));
                return Err(BodyError::TooLong);
            }
            _ => Upload::new(
                body,
                self.servers.body_memory(),
                remaining_timeout,
                self.shutdown_deadline.clone(),
                ArrivalClock::new(client_connection, socket),
                client_connection.waiting_since(),
            ),
        };
        Ok(match upload.try_buffer().await? {
            Some(body) => Payload::Buffered(body),
            None => Payload::Streaming(upload),
        })
    }

    /// Waits for the event loop's response to a request. If its body is streamed, also reports the last byte
    /// to the event loop; a response that arrives before that byte ends the upload.
    async fn wait_for_response(
        &self,
        mut response: oneshot::Receiver<ClientResponse>,
        request_guard: &RequestGuard,
        upload: Option<Rc<Upload>>,
    ) -> Result<ClientResponse, BodyError> {
        let Some(upload) = upload else {
            return Ok(response.await.unwrap_or(ClientResponse::DeadlineExceeded));
        };
        tokio::select! {
            biased;
            early = &mut response => {
                spawn_local(upload.discard());
                return Ok(early.unwrap_or(ClientResponse::DeadlineExceeded));
            }
            completed = upload.receive() => {
                // The caller counts a failed upload as malformed: it is no disconnected client.
                let deadline = completed.inspect_err(|_| request_guard.ended.set(true))?;
                request_guard.upload_ended();
                let number = request_guard.request.number;
                let message = RequestComplete { number, deadline };
                let _ = self.messages.send(Message::RequestComplete(message));
            }
        }
        let response = response.await.unwrap_or(ClientResponse::DeadlineExceeded);
        if !upload.is_complete() {
            spawn_local(upload.discard());
        }
        Ok(response)
    }

    /// The index of the class that a request names in `X-Lane`; `None` if it names no class in use.
    fn class_of(&self, headers: &HeaderMap) -> Option<usize> {
        self.config
            .borrow()
            .balancer
            .names
            .class(headers.get("x-lane")?.to_str().ok()?)
    }

    /// The response to a rejected request: it did not run or may run again, so a retry is
    /// harmless. `retry_after` is sent as `Retry-After` if the settings allow that.
    fn rejection(&self, retry_after: Option<Duration>) -> Response<ResponseBody> {
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
        let header_value = retry_after
            .filter(|_| self.config.borrow().balancer.settings.retry_after)
            .map(|delay| format!("{:.3}", delay.as_secs_f64()));
        if let Some(value) = header_value.and_then(|text| HeaderValue::from_str(&text).ok()) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

/// Longest time for which a body that keeps moving can be under way.
fn longest_transfer() -> Duration {
    time_at_min_rate(MAX_BODY_BYTES)
}
