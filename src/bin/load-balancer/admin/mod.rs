//! The operators' HTTP interface: readiness, draining, cordons and metrics.
//!
//! Each connection serves one call. A call that changes something is answered once the change is in effect.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use crate::clients::Clients;
use crate::event_loop::{CordonResult, CountAvoidedServers, Message, SetCordon};
use crate::metrics::{resident_bytes, Gauges, Metrics};
use crate::servers::Servers;
use crate::task::{AbortOnDrop, Budget};

mod query;

/// Connections served concurrently. A further one closes the oldest.
pub const MAX_CONNECTIONS: usize = 8;
/// Longest time from accepting a connection to the end of its response. Callers give up after one second.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Delay before the next accept after a failed one: without it, accept would fail again at once.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

type AdminResponse = Response<Full<Bytes>>;

/// The calls of the operators' interface.
#[derive(Clone, Copy)]
enum Route {
    Status,
    Standby,
    Active,
    Metrics,
    Cordon,
    Uncordon,
}

impl Route {
    /// The route of a path. Operators' tools depend on the paths.
    fn of(path: &str) -> Option<Route> {
        match path {
            "/status" => Some(Route::Status),
            "/status/metrics" => Some(Route::Metrics),
            "/standby" => Some(Route::Standby),
            "/active" => Some(Route::Active),
            "/maintenance/enter" => Some(Route::Cordon),
            "/maintenance/exit" => Some(Route::Uncordon),
            _ => None,
        }
    }

    fn method(self) -> Method {
        match self {
            Route::Status | Route::Metrics => Method::GET,
            Route::Standby | Route::Active | Route::Cordon | Route::Uncordon => Method::POST,
        }
    }
}

/// Serves the operators' interface.
pub struct AdminServer {
    /// The clients' side, which knows whether the node is ready and can drain it.
    pub clients: Rc<Clients>,
    /// The listed servers.
    pub servers: Rc<Servers>,
    /// The metrics to export.
    pub metrics: Rc<Metrics>,
    /// Sockets reserved for operators' connections, [`MAX_CONNECTIONS`] of them.
    pub sockets: Rc<Budget>,
    /// Sends messages to the event loop.
    pub messages: mpsc::UnboundedSender<Message>,
}

/// A connection being served. Dropping it closes the connection.
struct ActiveConnection {
    number: u64,
    _task: AbortOnDrop,
}

impl AdminServer {
    /// Accepts and serves connections until the process ends.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        // In the order they were accepted, the oldest first.
        let connections: Rc<RefCell<Vec<ActiveConnection>>> = Rc::default();
        for number in 0.. {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    crate::log::line(format_args!(
                        "can't accept an operator's connection: {error}; retrying in {} ms",
                        ACCEPT_RETRY_INTERVAL.as_millis()
                    ));
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                    continue;
                }
            };
            if connections.borrow().len() >= MAX_CONNECTIONS {
                connections.borrow_mut().remove(0);
            }
            // The connection that was closed frees its permit when its task is next polled. Callers that send
            // nothing therefore do not keep others out (test
            // `operators::stuck_admin_connections_are_closed_and_block_no_operator`).
            let permit = self.sockets.wait().await;
            let (server, active) = (self.clone(), connections.clone());
            let task = AbortOnDrop::spawn(async move {
                let _permit = permit;
                let _ = timeout(CALL_TIMEOUT, server.serve(stream)).await;
                active
                    .borrow_mut()
                    .retain(|connection| connection.number != number);
            });
            connections.borrow_mut().push(ActiveConnection {
                number,
                _task: task,
            });
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(move |request| {
            let server = self.clone();
            async move { Ok::<_, Infallible>(server.handle(request).await) }
        });
        let _ = http1::Builder::new()
            .timer(TokioTimer::new())
            .keep_alive(false)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn handle(&self, request: Request<Incoming>) -> AdminResponse {
        let Some(route) = Route::of(request.uri().path()) else {
            return response(StatusCode::NOT_FOUND, "no such call\n");
        };
        if request.method() != route.method() {
            return method_not_allowed(&route.method());
        }
        let query = request.uri().query().unwrap_or("");
        match route {
            Route::Status if self.clients.is_ready() => response(StatusCode::OK, "ready\n"),
            Route::Status => response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            Route::Standby => {
                self.clients.stand_by();
                response(StatusCode::OK, "standing by\n")
            }
            Route::Active if self.clients.activate() => response(StatusCode::OK, "active\n"),
            Route::Active => response(StatusCode::CONFLICT, "this process is ending\n"),
            Route::Metrics => self.export_metrics().await,
            Route::Cordon => self.set_cordon(query, true).await,
            Route::Uncordon => self.set_cordon(query, false).await,
        }
    }

    async fn set_cordon(&self, query: &str, cordoned: bool) -> AdminResponse {
        let Some(server_id) = query::member(query) else {
            return response(StatusCode::BAD_REQUEST, "member names no server\n");
        };
        let result = self
            .ask(|reply| {
                Message::SetCordon(SetCordon {
                    server_id,
                    cordoned,
                    reply,
                })
            })
            .await;
        match result {
            Some(CordonResult::Done) if cordoned => response(StatusCode::OK, "left out\n"),
            Some(CordonResult::Done) => response(StatusCode::OK, "put back\n"),
            Some(CordonResult::UnknownServer) => {
                response(StatusCode::NOT_FOUND, "no such server was ever listed\n")
            }
            Some(CordonResult::NotPersisted(error)) => response(
                StatusCode::INTERNAL_SERVER_ERROR,
                format!("not done: {error}\n"),
            ),
            None => event_loop_ended(),
        }
    }

    async fn export_metrics(&self) -> AdminResponse {
        let avoided_servers = self
            .ask(|reply| Message::CountAvoidedServers(CountAvoidedServers { reply }))
            .await;
        let Some(avoided_servers) = avoided_servers else {
            return event_loop_ended();
        };
        let gauges = Gauges {
            outstanding_requests: self.clients.outstanding(),
            listed_servers: self.servers.listed_count(),
            endpoint_digest: self.servers.endpoint_digest(),
            avoided_servers,
            resident_bytes: resident_bytes(),
            body_bytes: self.servers.body_memory().used() as u64,
        };
        let mut response = response(StatusCode::OK, self.metrics.prometheus_text(gauges));
        let content_type = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        response
    }

    /// Sends a message to the event loop and waits for the reply; `None` if the event loop has ended.
    async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (reply, received) = oneshot::channel();
        self.messages.send(message(reply)).ok()?;
        received.await.ok()
    }
}

fn response(status: StatusCode, text: impl Into<Bytes>) -> AdminResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

fn method_not_allowed(allowed: &Method) -> AdminResponse {
    let mut response = response(StatusCode::METHOD_NOT_ALLOWED, format!("{allowed}\n"));
    if let Ok(value) = HeaderValue::from_str(allowed.as_str()) {
        response.headers_mut().insert(header::ALLOW, value);
    }
    response
}

fn event_loop_ended() -> AdminResponse {
    response(
        StatusCode::INTERNAL_SERVER_ERROR,
        "the node did not answer\n",
    )
}
