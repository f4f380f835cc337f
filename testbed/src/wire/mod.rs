//! Owns the simulator's wire (WIRE) as the lab writes and reads it: events as lines of a batch, actions
//! as lines of a reply, a program on the other end, and recorded streams that are played to one again.

mod child;
mod recorder;
mod replay;

use std::fmt::Write;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use load_balancer::{
    Action, DiscoveryMode, Endpoint, Event, Idempotency, Outcome, RequestId, ServerId, ServerState,
    Settings, TimerId, UpdateKind,
};

use crate::world::Micros;

pub use child::Child;
pub use recorder::Recorder;
pub use replay::{replay, Replayed};

/// What went wrong on a wire.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The program could not be started, or its pipes broke.
    #[error("{command}: {error}")]
    Io {
        /// Which program.
        command: String,
        /// Why.
        error: std::io::Error,
    },
    /// It ended, or closed its output, before its reply was whole.
    #[error("{command}: it ended in the middle of the reply to batch {batch}")]
    Ended {
        /// Which program.
        command: String,
        /// The batch.
        batch: u64,
    },
    /// A line that is none of the wire's.
    #[error("line '{0}' is no line of a reply")]
    Line(String),
    /// An event that the wire has no word for.
    #[error("the wire has no word for {0}; record another scenario")]
    NoWord(&'static str),
    /// A recorded stream that can't be read.
    #[error("{file}:{line}: {what}")]
    Stream {
        /// Which file.
        file: String,
        /// Its line.
        line: usize,
        /// What was expected.
        what: &'static str,
    },
}

fn text(id: &RequestId) -> String {
    String::from_utf8_lossy(&id.0).into_owned()
}

/// The settings as the pairs of a `SPAWN` line; `names` are those of the classes.
pub fn settings_line(settings: &Settings, names: &[String]) -> String {
    let s = settings;
    let mut line = format!(
        "group-size={} over-share-worth={} worth-by=work weight-source=rough registry-mode={} \
         domain.warm-keys={} bounds.cancelling={} bounds.may-probe={} bounds.second-copies={} \
         bounds.max-attempts={} bounds.retry-after={} bounds.max-retry-after={} bounds.dial-timeout={} \
         deductions.handshake={} deductions.connection={} rules.start-capacity={} rules.ramp-time={} \
         rules.fall-multiple={} rules.overload-for={} rules.ask-within={} classes.count={}",
        s.node_count,
        s.over_quota_value,
        if s.discovery_mode == DiscoveryMode::Poll { "ask" } else { "push" },
        s.key_affinity,
        s.may_cancel,
        s.may_health_check,
        s.may_hedge,
        s.max_attempts,
        s.retry_after,
        s.max_retry_after,
        s.connect_timeout,
        s.connection_setup_cost,
        s.open_connection_cost,
        s.cold_capacity,
        s.slow_start_time,
        s.cold_overload_factor,
        s.cold_overload_window,
        s.max_poll_interval,
        s.classes.len(),
    );
    if let Some(me) = s.node_index {
        let _ = write!(line, " me={me}");
    }
    for (i, (class, name)) in s.classes.iter().zip(names).enumerate() {
        let semantics = if class.idempotency == Idempotency::Idempotent {
            "safe"
        } else {
            "unsafe"
        };
        let _ = write!(
            line,
            " classes.{i}.name={name} classes.{i}.aim={} classes.{i}.deadline={} classes.{i}.points={} \
             classes.{i}.late-share={} classes.{i}.semantics={semantics}",
            class.latency_objective, class.deadline, class.priority_weight, class.late_value
        );
    }
    line
}

fn outcome(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Overloaded => "full",
        Outcome::Timeout => "timeout",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "moot",
    }
}

fn pool(members: &[Endpoint], out: &mut String) {
    let _ = writeln!(out, "POOL 0 {}", members.len());
    for m in members {
        let state = match m.state {
            ServerState::InService => "in_service",
            ServerState::Draining => "terminating",
            ServerState::Removed => "terminated",
        };
        let (zone, kind) = (m.zone.0, m.kind.0);
        let _ = writeln!(
            out,
            "M {} z{zone} k{kind} {} {state} {} {}",
            m.server.0, m.cell.0, m.weight, m.started_at
        );
    }
}

/// The lines of an event; `names` are those of the classes.
pub fn event_lines(event: &Event, names: &[String], out: &mut String) -> Result<(), WireError> {
    let done = match event {
        Event::EndpointUpdate {
            kind,
            endpoints: members,
        } => {
            let how = match kind {
                UpdateKind::Delta => 'D',
                UpdateKind::Full => 'F',
                UpdateKind::Cached => 'C',
                UpdateKind::Failed => 'X',
            };
            pool(members, out);
            writeln!(out, "SYNC 1 {how} 0")
        }
        Event::Request(r) => {
            let class = names.get(r.class.0).map_or("-", String::as_str);
            let cost = r.cost.map_or("-".into(), |cost| cost.to_string());
            let key = r.key.map_or("-".into(), |key| key.0.to_string());
            let repeat = u8::from(r.is_retry);
            writeln!(
                out,
                "QUERY {} 0 {} {class} {cost} {repeat} - {key}",
                text(&r.id),
                r.remaining_timeout
            )
        }
        Event::AttemptEnded(c) => {
            let (reason, done) = (outcome(c.outcome), u8::from(c.request_ended));
            let (id, attempt, server, spent) = (text(&c.id), c.attempt, c.server.0, c.elapsed);
            writeln!(
                out,
                "CLOSED_ATTEMPT {id} {attempt} {server} {reason} {spent} {done} -"
            )
        }
        Event::RequestAbandoned(id) => writeln!(out, "LAPSED {}", text(id)),
        Event::HealthCheckEnded {
            server,
            outcome: end,
            elapsed: spent,
            ..
        } => {
            writeln!(out, "STATUS_BACK {} {} {spent} -", server.0, outcome(*end))
        }
        Event::Timer(timer) => writeln!(out, "TIMEOUT_FIRED {}", timer.0),
        Event::RequestComplete { .. } => {
            return Err(WireError::NoWord("a body that comes in pieces"))
        }
        Event::Cordon { .. } => return Err(WireError::NoWord("a server taken out by operators")),
        Event::Settings(_) => return Err(WireError::NoWord("settings that change")),
        Event::ResponseStarted { .. } => return Err(WireError::NoWord("a streamed answer")),
        Event::PeerMessage { .. } => return Err(WireError::NoWord("a message between nodes")),
    };
    done.map_err(|_| WireError::Line("an event".into()))
}

/// The line of an action.
pub fn action_line(action: &Action) -> String {
    match action {
        Action::Send {
            id,
            server,
            timeout: limit,
        } => format!("DELIVER {} {} {limit}", text(id), server.0),
        Action::Cancel { id, attempt } => format!("CALL_OFF {} {attempt}", text(id)),
        Action::Reject { id, retry_after } => format!("DECLINE {} {retry_after}", text(id)),
        Action::Fail { id } => format!("GIVE_UP {}", text(id)),
        Action::HealthCheck(server) => format!("INSPECT {}", server.0),
        Action::CloseIdleConnections(server) => format!("FREE_LINKS {}", server.0),
        Action::SetTimer { delay, timer } => format!("SET_ALARM {delay} {}", timer.0),
        Action::Subscribe => "STREAM_CHANGES 1".into(),
        Action::SendToPeer { peer, data } => {
            let data = if data.is_empty() {
                "-".into()
            } else {
                STANDARD.encode(data)
            };
            format!("SAY {} {data}", peer.map_or(-1, i64::from))
        }
        Action::Log(line) => format!("REMARK {}", line.replace('\n', " ")),
    }
}

/// The action of a line.
pub fn action(line: &str) -> Result<Action, WireError> {
    let wrong = || WireError::Line(line.to_owned());
    let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
    let mut parts = rest.split(' ');
    let mut part = || parts.next().ok_or_else(wrong);
    let id = |text: &str| {
        text.as_bytes()
            .try_into()
            .map(RequestId)
            .map_err(|_| wrong())
    };
    fn number<T: std::str::FromStr>(text: &str, line: &str) -> Result<T, WireError> {
        text.parse().map_err(|_| WireError::Line(line.to_owned()))
    }
    let time = |text: &str| -> Result<Micros, WireError> {
        Ok(number::<i64>(text, line)?.max(0) as Micros)
    };
    Ok(match word {
        "DELIVER" => Action::Send {
            id: id(part()?)?,
            server: ServerId(number(part()?, line)?),
            timeout: part().map_or(Ok(0), time)?,
        },
        "CALL_OFF" => Action::Cancel {
            id: id(part()?)?,
            attempt: number(part()?, line)?,
        },
        "DECLINE" => Action::Reject {
            id: id(part()?)?,
            retry_after: part().map_or(Ok(0), time)?,
        },
        "GIVE_UP" => Action::Fail { id: id(part()?)? },
        "INSPECT" => Action::HealthCheck(ServerId(number(part()?, line)?)),
        "FREE_LINKS" => Action::CloseIdleConnections(ServerId(number(part()?, line)?)),
        "SET_ALARM" => Action::SetTimer {
            delay: time(part()?)?,
            timer: TimerId(number(part()?, line)?),
        },
        // Nodes share nothing, and the list comes unasked.
        "STREAM_CHANGES" | "REFRESH" => Action::Subscribe,
        "SAY" => Action::SendToPeer {
            peer: None,
            data: Vec::new(),
        },
        "REMARK" => Action::Log(rest.to_owned()),
        _ => return Err(wrong()),
    })
}

#[cfg(test)]
mod tests;
