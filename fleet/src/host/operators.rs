//! Owns staff's address: routes each call to the main task, which owns the facts.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::time::{sleep, timeout};

use super::Msg;

/// Callers at a time; more wait in the socket's queue, and none for longer than [`STUCK`] each.
const CALLERS: usize = 8;
/// A caller waits a second; one that is here for longer is stuck.
const STUCK: Duration = Duration::from_millis(1_500);
const LONGEST_HEAD: usize = 8 * 1024;

type Reply = Response<Full<Bytes>>;

/// Answers staff for as long as the agent lives.
pub async fn accept(listener: TcpListener, tx: mpsc::Sender<Msg>) {
    let places = Arc::new(Semaphore::new(CALLERS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let tx = tx.clone();
        tokio::task::spawn_local(async move {
            let _place = place;
            let service = service_fn(move |request| {
                let tx = tx.clone();
                async move { Ok::<_, Infallible>(answer(request, tx).await) }
            });
            let serve = http1::Builder::new()
                .timer(TokioTimer::new())
                .keep_alive(false)
                .max_buf_size(LONGEST_HEAD)
                .serve_connection(TokioIo::new(stream), service);
            // A caller that breaks off or dawdles is its own loss.
            let _ = timeout(STUCK, serve).await;
        });
    }
}

async fn answer(request: Request<Incoming>, tx: mpsc::Sender<Msg>) -> Reply {
    let path = request.uri().path();
    if !matches!(path, "/status" | "/fleet" | "/metrics") {
        return reply(StatusCode::NOT_FOUND, "no such call\n", "text/plain");
    }
    if request.method() != Method::GET {
        let mut refusal = reply(StatusCode::METHOD_NOT_ALLOWED, "GET\n", "text/plain");
        refusal.headers_mut().insert(ALLOW, HeaderValue::from_static("GET"));
        return refusal;
    }
    match path {
        "/status" => reply(StatusCode::OK, "runs\n", "text/plain"),
        "/fleet" => match ask(&tx, Msg::Report).await.map(|report| serde_json::to_vec(&report)) {
            Some(Ok(json)) => reply(StatusCode::OK, json, "application/json"),
            _ => busy(),
        },
        _ => match ask(&tx, Msg::Figures).await {
            Some(text) => {
                reply(StatusCode::OK, text, "application/openmetrics-text; version=1.0.0; charset=utf-8")
            }
            None => busy(),
        },
    }
}

async fn ask<T>(tx: &mpsc::Sender<Msg>, question: impl FnOnce(oneshot::Sender<T>) -> Msg) -> Option<T> {
    let (answer, answered) = oneshot::channel();
    tx.send(question(answer)).await.ok()?;
    answered.await.ok()
}

fn busy() -> Reply {
    reply(StatusCode::SERVICE_UNAVAILABLE, "the agent did not answer\n", "text/plain")
}

fn reply(status: StatusCode, body: impl Into<Bytes>, kind: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}
