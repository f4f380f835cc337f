//! Owns staff's address: routes each call to the main task, which owns the facts.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::coordinator_host::wall_ms;
use super::{wire, Msg};
use crate::coordinator::{CommandResult, OperatorCommand};
use crate::lease::{Cordon, Role};
use crate::membership::Name;

/// Callers at a time; more wait in the socket's queue, and none for longer than [`STUCK`] each.
const CALLERS: usize = 8;
/// One that is here for longer is stuck: an ask waits for the agreed log.
const STUCK: Duration = Duration::from_secs(5);
const LONGEST_HEAD: usize = 8 * 1024;

type Reply = Response<Full<Bytes>>;

/// Answers staff for as long as the agent lives.
pub async fn accept(listener: TcpListener, tx: mpsc::Sender<Msg>) {
    let serve = |stream: TcpStream| {
        let tx = tx.clone();
        async move {
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
        }
    };
    wire::each(listener, CALLERS, serve).await;
}

async fn answer(request: Request<Incoming>, tx: mpsc::Sender<Msg>) -> Reply {
    let wanted = match request.uri().path() {
        "/status" | "/fleet" | "/metrics" | "/duties" | "/census" => Method::GET,
        "/out" | "/back" | "/yield" | "/voter/remove" => Method::POST,
        _ => return reply(StatusCode::NOT_FOUND, "no such call\n", "text/plain"),
    };
    if request.method() != wanted {
        let mut refusal = reply(
            StatusCode::METHOD_NOT_ALLOWED,
            format!("{wanted}\n"),
            "text/plain",
        );
        if let Ok(value) = HeaderValue::from_str(wanted.as_str()) {
            refusal.headers_mut().insert(ALLOW, value);
        }
        return refusal;
    }
    match request.uri().path() {
        "/status" => reply(StatusCode::OK, "runs\n", "text/plain"),
        "/fleet" => json(ask(&tx, Msg::Report).await),
        "/duties" => json(ask(&tx, Msg::Duties).await),
        "/census" => match ask(&tx, Msg::Census).await {
            Some(Some(report)) => json(Some(report)),
            Some(None) => reply(
                StatusCode::SERVICE_UNAVAILABLE,
                "nobody is known to hold the census\n",
                "text/plain",
            ),
            None => busy(),
        },
        "/metrics" => match ask(&tx, Msg::Figures).await {
            Some(text) => reply(
                StatusCode::OK,
                text,
                "application/openmetrics-text; version=1.0.0; charset=utf-8",
            ),
            None => busy(),
        },
        path => {
            let command = asked(path, request.uri().query().unwrap_or(""));
            match command {
                Ok(command) => agreed(ask(&tx, |answer| Msg::Ask { command, answer }).await),
                Err(wrong) => reply(StatusCode::BAD_REQUEST, format!("{wrong}\n"), "text/plain"),
            }
        }
    }
}

/// What staff ask for: `/out?server=ID&who=..&why=..&until_ms=..`, `/back?server=ID`, `/yield?duty=NAME` or
/// `/voter/remove?name=NAME`.
fn asked(path: &str, query: &str) -> Result<OperatorCommand, String> {
    let mut fields: BTreeMap<String, String> = BTreeMap::new();
    for (key, value) in form_urlencoded::parse(query.as_bytes()) {
        if fields
            .insert(key.clone().into_owned(), value.into_owned())
            .is_some()
        {
            return Err(format!("{key} is said twice"));
        }
    }
    let mut take = |key: &str, most: usize| {
        let value = fields.remove(key).unwrap_or_default();
        if value.len() > most {
            return Err(format!("{key} is longer than {most} bytes"));
        }
        Ok(value)
    };
    match path {
        "/yield" => {
            return take("duty", 32)?
                .parse::<Role>()
                .map(OperatorCommand::ReleaseRole)
                .map_err(|error| error.to_string())
        }
        "/voter/remove" => {
            return take("name", 64)?
                .parse::<Name>()
                .map(OperatorCommand::RemoveVoter)
                .map_err(|fault| fault.to_string())
        }
        _ => {}
    }
    let server = take("server", 128)?;
    if server.is_empty() {
        return Err("server names none".into());
    }
    if path == "/back" {
        return Ok(OperatorCommand::Uncordon { server });
    }
    let (who, why, until) = (take("who", 64)?, take("why", 200)?, take("until_ms", 20)?);
    let until_ms = match until.as_str() {
        "" => None,
        text => Some(
            text.parse()
                .map_err(|_| format!("until_ms: '{text}' is no time in milliseconds"))?,
        ),
    };
    Ok(OperatorCommand::Cordon {
        server,
        cordon: Cordon {
            operator: who,
            reason: why,
            since_ms: wall_ms(),
            until_ms,
        },
    })
}

/// 200 yes, 409 no and nothing was changed, 503 tried and not known.
fn agreed(answer: Option<CommandResult>) -> Reply {
    let Some(answer) = answer else { return busy() };
    let status = match &answer {
        CommandResult::Committed(_) => StatusCode::OK,
        CommandResult::Rejected(_) => StatusCode::CONFLICT,
        CommandResult::Unconfirmed(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let text = serde_json::to_vec(&answer).unwrap_or_default();
    reply(status, text, "application/json")
}

fn json<T: serde::Serialize>(value: Option<T>) -> Reply {
    match value.map(|value| serde_json::to_vec(&value)) {
        Some(Ok(text)) => reply(StatusCode::OK, text, "application/json"),
        _ => busy(),
    }
}

async fn ask<T>(
    tx: &mpsc::Sender<Msg>,
    question: impl FnOnce(oneshot::Sender<T>) -> Msg,
) -> Option<T> {
    let (answer, answered) = oneshot::channel();
    tx.send(question(answer)).await.ok()?;
    answered.await.ok()
}

fn busy() -> Reply {
    reply(
        StatusCode::SERVICE_UNAVAILABLE,
        "the agent did not answer\n",
        "text/plain",
    )
}

fn reply(status: StatusCode, body: impl Into<Bytes>, kind: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}
