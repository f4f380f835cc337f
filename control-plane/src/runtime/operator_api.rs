//! The agent's HTTP interface for operators. Each request is passed to the main task, which owns the state.
//!
//! | request | effect |
//! | --- | --- |
//! | `GET /status` | answers 200 while the agent runs |
//! | `GET /fleet` | reports the members |
//! | `GET /duties` | reports roles, voters, cordoned servers and alarms |
//! | `GET /census` | reports the metrics of all nodes |
//! | `GET /metrics` | the agent's own metrics, for scrapers |
//! | `POST /out`, `POST /back` | cordons or uncordons a server |
//! | `POST /yield` | asks the holder of a role to release it |
//! | `POST /voter/remove` | removes a voter |

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
use super::{agent_calls, HostEvent};
use crate::coordinator::{CommandResult, OperatorCommand};
use crate::lease::{Cordon, Role, UnknownRole};
use crate::membership::{InvalidName, Name};

/// Maximum number of requests at a time. Further ones wait in the listening socket's queue; each open request ends
/// within [`REQUEST_TIMEOUT`].
const MAX_REQUESTS: usize = 8;
/// Timeout of a request. It leaves time for commands, which wait for the replicated log.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

// Maximum lengths of the values of parameters, in bytes.
const MAX_ROLE_BYTES: usize = 32;
const MAX_NAME_BYTES: usize = 64;
const MAX_SERVER_BYTES: usize = 128;
const MAX_OPERATOR_BYTES: usize = 64;
const MAX_REASON_BYTES: usize = 200;
const MAX_TIME_BYTES: usize = 20;

const TEXT: &str = "text/plain";
const JSON: &str = "application/json";
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type Reply = Response<Full<Bytes>>;

/// Why a command can't be parsed.
#[derive(Debug, thiserror::Error)]
enum InvalidCommand {
    #[error("{0} is said twice")]
    DuplicateParameter(String),
    #[error("{key} is longer than {max_bytes} bytes")]
    TooLong { key: &'static str, max_bytes: usize },
    #[error("server names none")]
    NoServer,
    #[error("until_ms: '{0}' is no time in milliseconds")]
    Time(String),
    #[error(transparent)]
    Role(#[from] UnknownRole),
    #[error(transparent)]
    Name(#[from] InvalidName),
}

/// Serves operators for as long as the agent runs.
pub async fn accept(listener: TcpListener, events: mpsc::Sender<HostEvent>) {
    let serve = |stream: TcpStream| {
        let events = events.clone();
        async move {
            let service = service_fn(move |request| {
                let events = events.clone();
                async move { Ok::<_, Infallible>(handle(request, events).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .keep_alive(false)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            // A client that disconnects or is too slow gets no response.
            let _ = timeout(REQUEST_TIMEOUT, connection).await;
        }
    };
    agent_calls::serve_each(listener, MAX_REQUESTS, serve).await;
}

async fn handle(request: Request<Incoming>, events: mpsc::Sender<HostEvent>) -> Reply {
    let path = request.uri().path();
    let allowed = match path {
        "/status" | "/fleet" | "/metrics" | "/duties" | "/census" => Method::GET,
        "/out" | "/back" | "/yield" | "/voter/remove" => Method::POST,
        _ => return reply(StatusCode::NOT_FOUND, "no such call\n", TEXT),
    };
    if request.method() != allowed {
        return method_not_allowed(&allowed);
    }
    match path {
        "/status" => reply(StatusCode::OK, "runs\n", TEXT),
        "/fleet" => json(request_from_host(&events, HostEvent::ReportRequested).await),
        "/duties" => json(request_from_host(&events, HostEvent::RolesRequested).await),
        "/census" => fleet_metrics(&events).await,
        "/metrics" => match request_from_host(&events, HostEvent::MetricsRequested).await {
            Some(text) => reply(StatusCode::OK, text, OPENMETRICS),
            None => unavailable(),
        },
        _ => match parse_command(path, request.uri().query().unwrap_or("")) {
            Ok(command) => {
                let event = |answer| HostEvent::CommandReceived { command, answer };
                command_reply(request_from_host(&events, event).await)
            }
            Err(error) => reply(StatusCode::BAD_REQUEST, format!("{error}\n"), TEXT),
        },
    }
}

fn method_not_allowed(allowed: &Method) -> Reply {
    let mut response = reply(StatusCode::METHOD_NOT_ALLOWED, format!("{allowed}\n"), TEXT);
    if let Ok(value) = HeaderValue::from_str(allowed.as_str()) {
        response.headers_mut().insert(ALLOW, value);
    }
    response
}

async fn fleet_metrics(events: &mpsc::Sender<HostEvent>) -> Reply {
    match request_from_host(events, HostEvent::FleetMetricsRequested).await {
        Some(Some(report)) => json(Some(report)),
        Some(None) => reply(
            StatusCode::SERVICE_UNAVAILABLE,
            "nobody is known to hold the census\n",
            TEXT,
        ),
        None => unavailable(),
    }
}

/// The query parameters of a command.
struct Parameters(BTreeMap<String, String>);

impl Parameters {
    fn parse(query: &str) -> Result<Parameters, InvalidCommand> {
        let mut parameters = BTreeMap::new();
        for (key, value) in form_urlencoded::parse(query.as_bytes()) {
            let previous = parameters.insert(key.clone().into_owned(), value.into_owned());
            if previous.is_some() {
                return Err(InvalidCommand::DuplicateParameter(key.into_owned()));
            }
        }
        Ok(Parameters(parameters))
    }

    /// Removes and returns a parameter; empty if it is missing.
    fn take(&mut self, key: &'static str, max_bytes: usize) -> Result<String, InvalidCommand> {
        let value = self.0.remove(key).unwrap_or_default();
        if value.len() > max_bytes {
            return Err(InvalidCommand::TooLong { key, max_bytes });
        }
        Ok(value)
    }
}

/// Parses a command: `/out?server=ID&who=..&why=..&until_ms=..`, `/back?server=ID`, `/yield?duty=NAME` or
/// `/voter/remove?name=NAME`.
fn parse_command(path: &str, query: &str) -> Result<OperatorCommand, InvalidCommand> {
    let mut parameters = Parameters::parse(query)?;
    match path {
        "/yield" => {
            let role: Role = parameters.take("duty", MAX_ROLE_BYTES)?.parse()?;
            return Ok(OperatorCommand::ReleaseRole(role));
        }
        "/voter/remove" => {
            let name: Name = parameters.take("name", MAX_NAME_BYTES)?.parse()?;
            return Ok(OperatorCommand::RemoveVoter(name));
        }
        _ => {}
    }
    let server = parameters.take("server", MAX_SERVER_BYTES)?;
    if server.is_empty() {
        return Err(InvalidCommand::NoServer);
    }
    if path == "/back" {
        return Ok(OperatorCommand::Uncordon { server });
    }
    let cordon = parse_cordon(&mut parameters)?;
    Ok(OperatorCommand::Cordon { server, cordon })
}

/// The parameters of `/out` besides the server. The cordon begins now, by this agent's wall clock.
fn parse_cordon(parameters: &mut Parameters) -> Result<Cordon, InvalidCommand> {
    let operator = parameters.take("who", MAX_OPERATOR_BYTES)?;
    let reason = parameters.take("why", MAX_REASON_BYTES)?;
    let until = parameters.take("until_ms", MAX_TIME_BYTES)?;
    let until_ms = if until.is_empty() {
        None
    } else {
        Some(until.parse().map_err(|_| InvalidCommand::Time(until))?)
    };
    Ok(Cordon {
        operator,
        reason,
        since_ms: wall_ms(),
        until_ms,
    })
}

/// Answers with status 200 if the command was committed, 409 if it was rejected and changed nothing, and 503 if its
/// result is unknown.
fn command_reply(result: Option<CommandResult>) -> Reply {
    let Some(result) = result else {
        return unavailable();
    };
    let status = match &result {
        CommandResult::Committed(_) => StatusCode::OK,
        CommandResult::Rejected(_) => StatusCode::CONFLICT,
        CommandResult::Unconfirmed(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let text = serde_json::to_vec(&result).unwrap_or_default();
    reply(status, text, JSON)
}

fn json<T: serde::Serialize>(value: Option<T>) -> Reply {
    match value.map(|value| serde_json::to_vec(&value)) {
        Some(Ok(text)) => reply(StatusCode::OK, text, JSON),
        _ => unavailable(),
    }
}

/// Passes a request to the main task; `None` if it has ended or dropped the request.
async fn request_from_host<T>(
    events: &mpsc::Sender<HostEvent>,
    event: impl FnOnce(oneshot::Sender<T>) -> HostEvent,
) -> Option<T> {
    let (answer, answered) = oneshot::channel();
    events.send(event(answer)).await.ok()?;
    answered.await.ok()
}

fn unavailable() -> Reply {
    reply(
        StatusCode::SERVICE_UNAVAILABLE,
        "the agent did not answer\n",
        TEXT,
    )
}

fn reply(status: StatusCode, body: impl Into<Bytes>, content_type: &'static str) -> Reply {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

#[cfg(test)]
mod tests;
