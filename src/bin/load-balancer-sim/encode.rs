//! Encodes actions as lines of the simulator's protocol.

use std::io::{self, Write};

use base64::{engine::general_purpose::STANDARD, Engine};
use load_balancer::{Action, RequestId};

/// Stands for all peers in a `SAY` line.
const ALL_PEERS: i64 = -1;

/// Writes an action as one line.
pub fn write_action<W: Write>(out: &mut W, action: &Action) -> io::Result<()> {
    match action {
        Action::Send {
            id,
            server,
            timeout,
            ..
        } => writeln!(out, "DELIVER {} {} {timeout}", text(id), server.0),
        Action::Cancel { id, attempt } => writeln!(out, "CALL_OFF {} {attempt}", text(id)),
        Action::Reject { id, retry_after } => writeln!(out, "DECLINE {} {retry_after}", text(id)),
        Action::Fail { id } => writeln!(out, "GIVE_UP {}", text(id)),
        Action::HealthCheck(server) => writeln!(out, "INSPECT {}", server.0),
        Action::CloseIdleConnections(server) => writeln!(out, "FREE_LINKS {}", server.0),
        Action::SetTimer { delay, timer } => writeln!(out, "SET_ALARM {delay} {}", timer.0),
        Action::Subscribe => writeln!(out, "STREAM_CHANGES 1"),
        Action::SendToPeer { peer, data } => {
            let peer = peer.map_or(ALL_PEERS, i64::from);
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
