//! The operators' HTTP interface: readiness, draining, cordons and metrics.
//!
//! One call per connection. Each call is routed to the part of the node that owns the fact and is
//! answered once the change holds.

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
use crate::metrics::{Gauges, Metrics};
use crate::servers::Servers;
use crate::task::{AbortOnDrop, Budget};

mod query;

/// Connections served at a time. One more closes the oldest.
pub const MAX_CONNECTIONS: usize = 8;
/// Longest time from accepting a connection to the end of its response. Callers wait one second.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Pause after a failed accept, which would fail at once if repeated.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

type AdminResponse = Response<Full<Bytes>>;

/// The operators' calls.
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
    /// The route of a path. The paths are an interface that operators' tools call.
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
    /// Whether the node is ready, and its drain.
    pub clients: Rc<Clients>,
    /// The listed servers.
    pub servers: Rc<Servers>,
    /// The counters to export.
    pub metrics: Rc<Metrics>,
    /// Sockets for the callers, [`MAX_CONNECTIONS`] of them.
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
        // The oldest first.
        let connections: Rc<RefCell<Vec<ActiveConnection>>> = Rc::default();
        for number in 0.. {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    crate::log::line(format_args!("accept an operator: {error}"));
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                    continue;
                }
            };
            if connections.borrow().len() >= MAX_CONNECTIONS {
                connections.borrow_mut().remove(0);
            }
            // The evicted connection frees its permit when its task is next polled: callers that send
            // nothing keep no other out (test `operators::stuck_callers_keep_no_operator_out_and_are_closed`).
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
            listed_servers: self.servers.listed(),
            endpoint_digest: self.servers.digest(),
            avoided_servers,
        };
        let mut answer = response(StatusCode::OK, self.metrics.prometheus_text(gauges));
        let format = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
        answer.headers_mut().insert(header::CONTENT_TYPE, format);
        answer
    }

    /// Sends the event loop a message and waits for its reply; `None` if the event loop ended.
    async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.messages.send(message(reply)).ok()?;
        answer.await.ok()
    }
}

fn response(status: StatusCode, text: impl Into<Bytes>) -> AdminResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

fn method_not_allowed(allowed: &Method) -> AdminResponse {
    let mut refusal = response(StatusCode::METHOD_NOT_ALLOWED, format!("{allowed}\n"));
    if let Ok(value) = HeaderValue::from_str(allowed.as_str()) {
        refusal.headers_mut().insert(header::ALLOW, value);
    }
    refusal
}

fn event_loop_ended() -> AdminResponse {
    response(
        StatusCode::INTERNAL_SERVER_ERROR,
        "the node did not answer\n",
    )
}
