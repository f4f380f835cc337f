//! The operators' address: routes each call to the part of the node that can answer it.

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
use crate::counts::{Counts, Gauges};
use crate::driver::{Maintained, Msg};
use crate::servers::Servers;
use crate::task::{AbortOnDrop, Budget};

/// Callers at a time. One more takes the place of the one that has been there for longest.
pub const CALLERS: usize = 8;
/// A caller waits a second; one that is here for longer is stuck.
const STUCK: Duration = Duration::from_millis(1_500);
const LONGEST_HEAD: usize = 8 * 1024;

type Reply = Response<Full<Bytes>>;

/// What the calls need of the node.
pub struct Operator {
    clients: Rc<Clients>,
    servers: Rc<Servers>,
    counts: Rc<Counts>,
    /// Callers' sockets, `CALLERS` of them.
    sockets: Rc<Budget>,
    tx: mpsc::UnboundedSender<Msg>,
}

impl Operator {
    pub fn new(
        clients: Rc<Clients>,
        servers: Rc<Servers>,
        counts: Rc<Counts>,
        sockets: Rc<Budget>,
        tx: mpsc::UnboundedSender<Msg>,
    ) -> Rc<Self> {
        Rc::new(Operator {
            clients,
            servers,
            counts,
            sockets,
            tx,
        })
    }

    /// Answers callers for as long as the node lives.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        // Dropped, a call's connection closes: the oldest goes first where there are too many.
        let calls: Rc<RefCell<Vec<(u64, AbortOnDrop)>>> = Rc::default();
        for number in 0.. {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    crate::log::line(format_args!("accept an operator: {error}"));
                    sleep(Duration::from_millis(10)).await;
                    continue;
                }
            };
            if calls.borrow().len() >= CALLERS {
                calls.borrow_mut().remove(0);
            }
            // The oldest gives its own back when its task is next run.
            let permit = self.sockets.wait().await;
            let (operator, ended) = (self.clone(), calls.clone());
            let call = AbortOnDrop::spawn(async move {
                let _permit = permit;
                let _ = timeout(STUCK, operator.serve(stream)).await;
                ended.borrow_mut().retain(|(n, _)| *n != number);
            });
            calls.borrow_mut().push((number, call));
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(move |request| {
            let operator = self.clone();
            async move { Ok::<_, Infallible>(operator.call(request).await) }
        });
        let _ = http1::Builder::new()
            .timer(TokioTimer::new())
            .keep_alive(false)
            .max_buf_size(LONGEST_HEAD)
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn call(&self, request: Request<Incoming>) -> Reply {
        let wanted = match request.uri().path() {
            "/status" | "/status/metrics" => Method::GET,
            "/standby" | "/active" | "/maintenance/enter" | "/maintenance/exit" => Method::POST,
            _ => return reply(StatusCode::NOT_FOUND, "no such call\n"),
        };
        if request.method() != wanted {
            let mut refusal = reply(StatusCode::METHOD_NOT_ALLOWED, format!("{wanted}\n"));
            if let Ok(value) = HeaderValue::from_str(wanted.as_str()) {
                refusal.headers_mut().insert(header::ALLOW, value);
            }
            return refusal;
        }
        match request.uri().path() {
            "/status" if self.clients.is_ready() => reply(StatusCode::OK, "ready\n"),
            "/status" => reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/standby" => {
                self.clients.stand_by();
                reply(StatusCode::OK, "standing by\n")
            }
            "/active" if self.clients.activate() => reply(StatusCode::OK, "active\n"),
            "/active" => reply(StatusCode::CONFLICT, "this process is ending\n"),
            "/status/metrics" => self.figures().await,
            path => {
                self.maintain(request.uri().query().unwrap_or(""), path.ends_with("enter"))
                    .await
            }
        }
    }

    async fn maintain(&self, query: &str, out: bool) -> Reply {
        let Some(id) = member(query) else {
            return reply(StatusCode::BAD_REQUEST, "member names no server\n");
        };
        match self.ask(|reply| Msg::Maintain { id, out, reply }).await {
            Some(Maintained::Done) => reply(
                StatusCode::OK,
                if out { "left out\n" } else { "put back\n" },
            ),
            Some(Maintained::Unknown) => {
                reply(StatusCode::NOT_FOUND, "no such server was ever listed\n")
            }
            Some(Maintained::NotKept(error)) => reply(
                StatusCode::INTERNAL_SERVER_ERROR,
                format!("not done: {error}\n"),
            ),
            None => not_answered(),
        }
    }

    async fn figures(&self) -> Reply {
        let Some(ejected) = self.ask(Msg::Avoided).await else {
            return not_answered();
        };
        let (outstanding, discovered) = (self.clients.outstanding(), self.servers.listed());
        let digest = self.servers.digest();
        let mut answer = reply(
            StatusCode::OK,
            self.counts.metrics(Gauges {
                outstanding,
                discovered,
                digest,
                ejected,
            }),
        );
        let format = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
        answer.headers_mut().insert(header::CONTENT_TYPE, format);
        answer
    }

    /// Asks the owner of the decisions.
    async fn ask<T>(&self, question: impl FnOnce(oneshot::Sender<T>) -> Msg) -> Option<T> {
        let (tx, answer) = oneshot::channel();
        self.tx.send(question(tx)).ok()?;
        answer.await.ok()
    }
}

fn reply(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

fn not_answered() -> Reply {
    reply(
        StatusCode::INTERNAL_SERVER_ERROR,
        "the node did not answer\n",
    )
}

/// The one server that a query names.
fn member(query: &str) -> Option<String> {
    let mut named = query
        .split('&')
        .filter_map(|pair| pair.strip_prefix("member="));
    let first = named.next()?;
    if named.next().is_some() {
        return None;
    }
    decoded(first)
}

/// The text of a query's value; `None` if it is empty or none.
fn decoded(value: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let digit = |byte: Option<u8>| char::from(byte?).to_digit(16);
                let (high, low) = (digit(rest.next())?, digit(rest.next())?);
                (high * 16 + low) as u8
            }
            b'+' => b' ',
            other => other,
        });
    }
    String::from_utf8(bytes)
        .ok()
        .filter(|text| !text.is_empty())
}

#[cfg(test)]
mod tests;
