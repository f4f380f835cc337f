//! The simulator's wire protocol (WIRE): events as lines of a batch, actions as lines of a reply, the external program
//! that gets them, and the recording and replay of streams.

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

/// Why an exchange with an external program, a recording or a replay failed.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The program could not be started, or its pipes failed.
    #[error("{command}: {error}")]
    Io {
        /// Command of the program.
        command: String,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The program ended, or closed its output, before its reply was complete.
    #[error("{command}: the program ended before its reply to batch {batch} was complete")]
    Ended {
        /// Command of the program.
        command: String,
        /// Number of the batch.
        batch: u64,
    },
    /// A line of a reply that is not a valid action.
    #[error("invalid line in a reply: '{0}'")]
    Line(String),
    /// An event that the wire protocol cannot express.
    #[error("the wire protocol has no line for {0}; use another scenario")]
    Unsupported(&'static str),
    /// A recorded stream that is not valid.
    #[error("{file}:{line}: {problem}")]
    Stream {
        /// Path of the file.
        file: String,
        /// Line number, from 1.
        line: usize,
        /// What is wrong or was expected.
        problem: &'static str,
    },
}

fn id_text(id: &RequestId) -> String {
    String::from_utf8_lossy(&id.0).into_owned()
}

/// The settings as the key-value pairs of a `SPAWN` line.
pub fn settings_line(settings: &Settings, class_names: &[String]) -> String {
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
    if let Some(index) = s.node_index {
        let _ = write!(line, " me={index}");
    }
    for (i, (class, name)) in s.classes.iter().zip(class_names).enumerate() {
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

fn outcome_word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Overloaded => "full",
        Outcome::Timeout => "timeout",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent | Outcome::Withheld => "moot",
    }
}

fn write_endpoints(endpoints: &[Endpoint], out: &mut String) {
    let _ = writeln!(out, "POOL 0 {}", endpoints.len());
    for endpoint in endpoints {
        let state = match endpoint.state {
            ServerState::InService => "in_service",
            ServerState::Draining => "terminating",
            ServerState::Removed => "terminated",
        };
        let (zone, kind) = (endpoint.zone.0, endpoint.kind.0);
        let _ = writeln!(
            out,
            "M {} z{zone} k{kind} {} {state} {} {}",
            endpoint.server.0, endpoint.cell.0, endpoint.weight, endpoint.started_at
        );
    }
}

/// Appends the lines of an event to `out`.
pub fn event_lines(
    event: &Event,
    class_names: &[String],
    out: &mut String,
) -> Result<(), WireError> {
    let written = match event {
        Event::EndpointUpdate { kind, endpoints } => {
            let kind = match kind {
                UpdateKind::Delta => 'D',
                UpdateKind::Full => 'F',
                UpdateKind::Cached => 'C',
                UpdateKind::Failed => 'X',
            };
            write_endpoints(endpoints, out);
            writeln!(out, "SYNC 1 {kind} 0")
        }
        Event::Request(r) => {
            let class = class_names.get(r.class.0).map_or("-", String::as_str);
            let cost = r.cost.map_or("-".into(), |cost| cost.to_string());
            let key = r.key.map_or("-".into(), |key| key.0.to_string());
            let retry = u8::from(r.is_retry);
            writeln!(
                out,
                "QUERY {} 0 {} {class} {cost} {retry} - {key}",
                id_text(&r.id),
                r.remaining_timeout
            )
        }
        Event::AttemptEnded(c) => {
            let (outcome, request_ended) = (outcome_word(c.outcome), u8::from(c.request_ended));
            let (id, attempt, server, elapsed) = (id_text(&c.id), c.attempt, c.server.0, c.elapsed);
            writeln!(
                out,
                "CLOSED_ATTEMPT {id} {attempt} {server} {outcome} {elapsed} {request_ended} -"
            )
        }
        Event::RequestAbandoned(id) => writeln!(out, "LAPSED {}", id_text(id)),
        Event::HealthCheckEnded {
            server,
            outcome,
            elapsed,
            ..
        } => {
            writeln!(
                out,
                "STATUS_BACK {} {} {elapsed} -",
                server.0,
                outcome_word(*outcome)
            )
        }
        Event::Timer(timer) => writeln!(out, "TIMEOUT_FIRED {}", timer.0),
        Event::RequestComplete { .. } => {
            return Err(WireError::Unsupported("a streamed request body"))
        }
        Event::Cordon { .. } => return Err(WireError::Unsupported("a cordoned server")),
        Event::Settings(_) => return Err(WireError::Unsupported("a change of settings")),
        Event::ResponseStarted { .. } => return Err(WireError::Unsupported("a streamed response")),
        Event::PeerMessage { .. } => return Err(WireError::Unsupported("a message between nodes")),
    };
    written.map_err(|_| WireError::Line("an event".into()))
}

/// The line of an action.
pub fn action_line(action: &Action) -> String {
    match action {
        Action::Send {
            id,
            server,
            timeout,
            ..
        } => format!("DELIVER {} {} {timeout}", id_text(id), server.0),
        Action::Cancel { id, attempt } => format!("CALL_OFF {} {attempt}", id_text(id)),
        Action::Reject { id, retry_after } => format!("DECLINE {} {retry_after}", id_text(id)),
        Action::Fail { id } => format!("GIVE_UP {}", id_text(id)),
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

/// Parses a line of a reply.
pub fn action(line: &str) -> Result<Action, WireError> {
    let invalid = || WireError::Line(line.to_owned());
    let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
    let mut fields = rest.split(' ');
    let mut field = || fields.next().ok_or_else(invalid);
    let id = |text: &str| {
        text.as_bytes()
            .try_into()
            .map(RequestId)
            .map_err(|_| invalid())
    };
    fn number<T: std::str::FromStr>(text: &str, line: &str) -> Result<T, WireError> {
        text.parse().map_err(|_| WireError::Line(line.to_owned()))
    }
    let time = |text: &str| -> Result<Micros, WireError> {
        Ok(number::<i64>(text, line)?.max(0) as Micros)
    };
    Ok(match word {
        "DELIVER" => Action::Send {
            id: id(field()?)?,
            server: ServerId(number(field()?, line)?),
            timeout: field().map_or(Ok(0), time)?,
            write_within: None,
        },
        "CALL_OFF" => Action::Cancel {
            id: id(field()?)?,
            attempt: number(field()?, line)?,
        },
        "DECLINE" => Action::Reject {
            id: id(field()?)?,
            retry_after: field().map_or(Ok(0), time)?,
        },
        "GIVE_UP" => Action::Fail { id: id(field()?)? },
        "INSPECT" => Action::HealthCheck(ServerId(number(field()?, line)?)),
        "FREE_LINKS" => Action::CloseIdleConnections(ServerId(number(field()?, line)?)),
        "SET_ALARM" => Action::SetTimer {
            delay: time(field()?)?,
            timer: TimerId(number(field()?, line)?),
        },
        "STREAM_CHANGES" | "REFRESH" => Action::Subscribe,
        // The simulated nodes exchange no messages, so the data is not decoded.
        "SAY" => Action::SendToPeer {
            peer: None,
            data: Vec::new(),
        },
        "REMARK" => Action::Log(rest.to_owned()),
        _ => return Err(invalid()),
    })
}

#[cfg(test)]
mod tests;
