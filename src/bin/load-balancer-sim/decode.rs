//! Decodes lines of the simulator's protocol to events, and the names on the wire to the code's terms.

use std::collections::HashMap;
use std::rc::Rc;

use base64::{engine::general_purpose::STANDARD, Engine};
use load_balancer::settings::{server_state, NameIds, Names};
use load_balancer::{
    AttemptResult, CellId, ClassId, Endpoint, Event, Key, Outcome, Request, ServerId, TenantId,
    TimerId, UpdateKind,
};

use crate::error::{FieldProblem, WireError};
use crate::fields::Fields;

/// The endpoint lists received so far, by their numbers on the wire. All nodes share them.
pub type EndpointLists = HashMap<u64, Rc<Vec<Endpoint>>>;

/// Weight of a server whose entry has no weight.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Decodes an entry of an endpoint list, an `M` line.
pub fn endpoint(line: &str, names: &mut NameIds) -> Result<Endpoint, WireError> {
    let mut fields = Fields::new(line);
    let message = fields.text("message")?;
    if message != "M" {
        return Err(WireError::Protocol(format!(
            "expected a list entry 'M', got '{message}'"
        )));
    }
    let server = ServerId(fields.number("server")?);
    let zone = names.zone(fields.value("campus")?.unwrap_or(""));
    let kind = names.kind(fields.value("kind")?.unwrap_or(""));
    let cell = CellId(fields.optional("cluster")?.unwrap_or(0));
    let state = fields.text("state")?;
    let state = server_state(state)
        .ok_or_else(|| WireError::invalid("state", format!("'{state}' is unknown")))?;
    let weight = match fields.value("size")? {
        Some(text) => load_balancer::settings::finite(text, "size")?,
        None => DEFAULT_WEIGHT,
    };
    let started_at = fields.optional("since")?.unwrap_or(0);
    fields.end()?;
    Ok(Endpoint {
        server,
        zone,
        kind,
        cell,
        state,
        weight,
        started_at,
    })
}

/// Decodes an event of a node. `message` is the line's first field, `fields` are the others.
pub fn event(
    message: &str,
    fields: &mut Fields<'_>,
    names: &Names,
    lists: &EndpointLists,
) -> Result<Event, WireError> {
    match message {
        "QUERY" => Ok(Event::Request(request(fields, names)?)),
        "CLOSED_ATTEMPT" => Ok(Event::AttemptEnded(attempt_result(fields)?)),
        "TIMEOUT_FIRED" => Ok(Event::Timer(TimerId(fields.number("ctx")?))),
        "LAPSED" => Ok(Event::RequestAbandoned(fields.request_id()?)),
        "SYNC" => endpoint_update(fields, lists),
        "STATUS_BACK" => health_check_ended(fields),
        "STARTED" => response_started(fields),
        "MAIL" => peer_message(fields),
        other => Err(WireError::Protocol(format!("unknown message '{other}'"))),
    }
}

fn request(fields: &mut Fields<'_>, names: &Names) -> Result<Request, WireError> {
    let id = fields.request_id()?;
    fields.flag("write")?;
    let remaining_timeout = fields.number::<i64>("patience-left")?.max(0) as u64;
    let class = fields.text("category")?;
    let class = names
        .class(class)
        .map(ClassId)
        .ok_or_else(|| not_in_settings("category", class))?;
    let cost = fields.optional("cost-guess")?;
    let is_retry = fields.flag("repeat")?;
    let tenant = match fields.value("party")? {
        None | Some("0") => None,
        Some(name) => {
            let index = names.tenant(name);
            let index = index.ok_or_else(|| not_in_settings("party", name))?;
            Some(TenantId(index))
        }
    };
    let key = fields.optional("resource")?.map(Key);
    Ok(Request {
        id,
        remaining_timeout,
        class,
        cost,
        is_retry,
        tenant,
        key,
        body_pending: false,
    })
}

fn not_in_settings(field: &'static str, name: &str) -> WireError {
    WireError::invalid(field, format!("'{name}' is not in the settings"))
}

fn attempt_result(fields: &mut Fields<'_>) -> Result<AttemptResult, WireError> {
    Ok(AttemptResult {
        id: fields.request_id()?,
        attempt: fields.number("n")?,
        server: ServerId(fields.number("server")?),
        outcome: outcome(fields.text("reason")?)?,
        elapsed: fields.optional("spent")?.unwrap_or(0),
        request_ended: fields.flag("done-flag")?,
        load_report: fields.load_report()?,
    })
}

fn outcome(text: &str) -> Result<Outcome, WireError> {
    match text {
        "ok" => Ok(Outcome::Ok),
        "error" => Ok(Outcome::Error),
        "full" => Ok(Outcome::Overloaded),
        "timeout" => Ok(Outcome::Timeout),
        "connect_failed" => Ok(Outcome::ConnectFailed),
        "reset" => Ok(Outcome::Reset),
        "cancelled" => Ok(Outcome::Cancelled),
        "moot" => Ok(Outcome::NotSent),
        other => Err(WireError::invalid(
            "reason",
            format!("'{other}' is unknown"),
        )),
    }
}

fn health_check_ended(fields: &mut Fields<'_>) -> Result<Event, WireError> {
    Ok(Event::HealthCheckEnded {
        server: ServerId(fields.number("server")?),
        outcome: outcome(fields.text("reason")?)?,
        elapsed: fields.optional("spent")?.unwrap_or(0),
        load_report: fields.load_report()?,
    })
}

fn response_started(fields: &mut Fields<'_>) -> Result<Event, WireError> {
    let id = fields.request_id()?;
    let attempt = fields.number("n")?;
    let _server: u32 = fields.number("server")?;
    let _elapsed: Option<u64> = fields.optional("spent")?;
    Ok(Event::ResponseStarted { id, attempt })
}

fn peer_message(fields: &mut Fields<'_>) -> Result<Event, WireError> {
    let from = fields.number("origin-peer")?;
    let data = match fields.value("contents")? {
        None => Vec::new(),
        Some(text) => STANDARD
            .decode(text)
            .map_err(|error| WireError::invalid("contents", error.to_string()))?,
    };
    Ok(Event::PeerMessage { from, data })
}

fn endpoint_update(fields: &mut Fields<'_>, lists: &EndpointLists) -> Result<Event, WireError> {
    let _revision: Option<u64> = fields.optional("rev")?;
    let kind = match fields.text("how")? {
        "D" => UpdateKind::Delta,
        "F" => UpdateKind::Full,
        "C" => UpdateKind::Cached,
        "X" => UpdateKind::Failed,
        other => return Err(WireError::invalid("how", format!("'{other}' is unknown"))),
    };
    let list: Option<u64> = fields.optional("list")?;
    if kind == UpdateKind::Failed {
        let endpoints = Vec::new();
        return Ok(Event::EndpointUpdate { kind, endpoints });
    }
    let list = list.ok_or(WireError::Field {
        name: "list",
        problem: FieldProblem::Empty,
    })?;
    let endpoints = lists
        .get(&list)
        .ok_or_else(|| WireError::invalid("list", format!("no list {list}")))?;
    Ok(Event::EndpointUpdate {
        kind,
        endpoints: endpoints.as_ref().clone(),
    })
}
