//! The wire's lines: events in, actions out.

use std::collections::HashMap;
use std::io::{self, Write};
use std::rc::Rc;
use std::str::FromStr;

use base64::{engine::general_purpose::STANDARD, Engine};
use load_balancer::{
    Action, AttemptResult, CellId, ClassId, Endpoint, Event, Key, Outcome, Request, RequestId,
    ServerId, TenantId, TimerId, UpdateKind,
};

use load_balancer::settings::{finite, number, server_state, NameIds, Names, SettingsError};

/// The parts of a line, taken from the left.
pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub fn new(line: &'a str) -> Self {
        Fields { rest: Some(line) }
    }

    /// The next part, whatever it holds; `-` is an absent one.
    fn part(&mut self, name: &str) -> Result<Option<&'a str>, SettingsError> {
        let rest = self
            .rest
            .ok_or_else(|| SettingsError::new(format!("field '{name}' is missing")))?;
        let (part, rest) = match rest.split_once(' ') {
            Some((part, rest)) => (part, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        Ok((part != "-" && !part.is_empty()).then_some(part))
    }

    pub fn text(&mut self, name: &str) -> Result<&'a str, SettingsError> {
        self.part(name)?
            .ok_or_else(|| SettingsError::new(format!("field '{name}' is empty")))
    }

    pub fn optional<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, SettingsError> {
        self.part(name)?.map(|text| number(text, name)).transpose()
    }

    pub fn number<T: FromStr>(&mut self, name: &str) -> Result<T, SettingsError> {
        number(self.text(name)?, name)
    }

    fn flag(&mut self, name: &str) -> Result<bool, SettingsError> {
        match self.part(name)? {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(SettingsError::new(format!(
                "field '{name}': '{other}' is not a bool"
            ))),
        }
    }

    fn request(&mut self) -> Result<RequestId, SettingsError> {
        let text = self.text("msg-id")?;
        let bytes = text.as_bytes().try_into().map_err(|_| {
            SettingsError::new(format!("field 'msg-id': '{text}' has not 36 characters"))
        })?;
        Ok(RequestId(bytes))
    }

    fn load(&mut self) -> Result<Vec<f64>, SettingsError> {
        match self.part("load")? {
            None => Ok(Vec::new()),
            Some(text) => text.split(',').map(|part| finite(part, "load")).collect(),
        }
    }

    /// All that is left.
    pub fn rest(&mut self) -> &'a str {
        self.rest.take().unwrap_or("")
    }

    pub fn end(&mut self) -> Result<(), SettingsError> {
        match self.rest.take() {
            None => Ok(()),
            Some(rest) => Err(SettingsError::new(format!(
                "more fields than expected: '{rest}'"
            ))),
        }
    }
}

/// An `M` line.
pub fn member(line: &str, places: &mut NameIds) -> Result<Endpoint, SettingsError> {
    let mut f = Fields::new(line);
    match f.text("message")? {
        "M" => {}
        other => {
            return Err(SettingsError::new(format!(
                "'{other}' where a list entry is due"
            )))
        }
    }
    let server = ServerId(f.number("server")?);
    let zone = places.zone(f.part("campus")?.unwrap_or(""));
    let kind = places.kind(f.part("kind")?.unwrap_or(""));
    let cell = CellId(f.optional("cluster")?.unwrap_or(0));
    let state = f.text("state")?;
    let state = server_state(state)
        .ok_or_else(|| SettingsError::new(format!("field 'state': '{state}' is unknown")))?;
    let size = f
        .part("size")?
        .map_or(Ok(1.0), |text| finite(text, "size"))?;
    let since = f.optional("since")?.unwrap_or(0);
    f.end()?;
    Ok(Endpoint {
        server,
        zone,
        kind,
        cell,
        state,
        weight: size,
        started_at: since,
    })
}

fn outcome(text: &str) -> Result<Outcome, SettingsError> {
    Ok(match text {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        "full" => Outcome::Overloaded,
        "timeout" => Outcome::Timeout,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "moot" => Outcome::NotSent,
        other => {
            return Err(SettingsError::new(format!(
                "field 'reason': '{other}' is unknown"
            )))
        }
    })
}

/// An event of an instance; the message name is read already.
pub fn event(
    word: &str,
    f: &mut Fields<'_>,
    names: &Names,
    pools: &HashMap<u64, Rc<Vec<Endpoint>>>,
) -> Result<Event, SettingsError> {
    Ok(match word {
        "QUERY" => Event::Request(request(f, names)?),
        "CLOSED_ATTEMPT" => Event::AttemptEnded(AttemptResult {
            id: f.request()?,
            attempt: f.number("n")?,
            server: ServerId(f.number("server")?),
            outcome: outcome(f.text("reason")?)?,
            elapsed: f.optional("spent")?.unwrap_or(0),
            request_ended: f.flag("done-flag")?,
            load_report: f.load()?,
        }),
        "TIMEOUT_FIRED" => Event::Timer(TimerId(f.number("ctx")?)),
        "LAPSED" => Event::RequestAbandoned(f.request()?),
        "SYNC" => sync(f, pools)?,
        "STATUS_BACK" => Event::HealthCheckEnded {
            server: ServerId(f.number("server")?),
            outcome: outcome(f.text("reason")?)?,
            elapsed: f.optional("spent")?.unwrap_or(0),
            load_report: f.load()?,
        },
        "STARTED" => {
            let (id, attempt) = (f.request()?, f.number("n")?);
            let _: u32 = f.number("server")?;
            let _: Option<u64> = f.optional("spent")?;
            Event::ResponseStarted { id, attempt }
        }
        "MAIL" => Event::PeerMessage {
            from: f.number("origin-peer")?,
            data: bytes(f)?,
        },
        other => return Err(SettingsError::new(format!("unknown message '{other}'"))),
    })
}

fn request(f: &mut Fields<'_>, names: &Names) -> Result<Request, SettingsError> {
    let id = f.request()?;
    f.flag("write")?;
    let patience = f.number::<i64>("patience-left")?.max(0) as u64;
    let class = f.text("category")?;
    let class = names.class(class).map(ClassId).ok_or_else(|| {
        SettingsError::new(format!(
            "field 'category': '{class}' is not in the settings"
        ))
    })?;
    let cost = f.optional("cost-guess")?;
    let repeat = f.flag("repeat")?;
    let tenant = match f.part("party")? {
        None | Some("0") => None,
        Some(name) => Some(names.tenant(name).map(TenantId).ok_or_else(|| {
            SettingsError::new(format!("field 'party': '{name}' is not in the settings"))
        })?),
    };
    let key = f.optional("resource")?.map(Key);
    Ok(Request {
        id,
        remaining_timeout: patience,
        class,
        cost,
        is_retry: repeat,
        tenant,
        key,
        body_pending: false,
    })
}

fn sync(
    f: &mut Fields<'_>,
    pools: &HashMap<u64, Rc<Vec<Endpoint>>>,
) -> Result<Event, SettingsError> {
    let _: Option<u64> = f.optional("rev")?;
    let kind = match f.text("how")? {
        "D" => UpdateKind::Delta,
        "F" => UpdateKind::Full,
        "C" => UpdateKind::Cached,
        "X" => UpdateKind::Failed,
        other => {
            return Err(SettingsError::new(format!(
                "field 'how': '{other}' is unknown"
            )))
        }
    };
    let list: Option<u64> = f.optional("list")?;
    let members = match (kind, list) {
        (UpdateKind::Failed, _) => Vec::new(),
        (_, Some(list)) => match pools.get(&list) {
            Some(members) => members.as_ref().clone(),
            None => return Err(SettingsError::new(format!("field 'list': no list {list}"))),
        },
        (_, None) => return Err(SettingsError::new("field 'list' is empty".into())),
    };
    Ok(Event::EndpointUpdate {
        kind,
        endpoints: members,
    })
}

fn bytes(f: &mut Fields<'_>) -> Result<Vec<u8>, SettingsError> {
    match f.part("contents")? {
        None => Ok(Vec::new()),
        Some(text) => STANDARD
            .decode(text)
            .map_err(|e| SettingsError::new(format!("field 'contents': {e}"))),
    }
}

/// An action, as its line.
pub fn write_action<W: Write>(out: &mut W, action: &Action) -> io::Result<()> {
    match action {
        Action::Send {
            id,
            server,
            timeout: limit,
        } => {
            writeln!(out, "DELIVER {} {} {limit}", text(id), server.0)
        }
        Action::Cancel { id, attempt } => writeln!(out, "CALL_OFF {} {attempt}", text(id)),
        Action::Reject { id, retry_after } => writeln!(out, "DECLINE {} {retry_after}", text(id)),
        Action::Fail { id } => writeln!(out, "GIVE_UP {}", text(id)),
        Action::HealthCheck(server) => writeln!(out, "INSPECT {}", server.0),
        Action::CloseIdleConnections(server) => writeln!(out, "FREE_LINKS {}", server.0),
        Action::SetTimer { delay, timer } => writeln!(out, "SET_ALARM {delay} {}", timer.0),
        Action::Subscribe => writeln!(out, "STREAM_CHANGES 1"),
        Action::SendToPeer { peer, data } => {
            let peer = peer.map_or(-1, i64::from);
            let data = if data.is_empty() {
                "-".into()
            } else {
                STANDARD.encode(data)
            };
            writeln!(out, "SAY {peer} {data}")
        }
        Action::Log(line) => writeln!(out, "REMARK {}", line.replace('\n', " ")),
    }
}

fn text(id: &RequestId) -> &str {
    std::str::from_utf8(&id.0).unwrap_or("-")
}
