//! Owns how changes of the fleet are logged: once, at the level that staff would give them.

use tracing::{info, warn};

use crate::lease::{Alarm, RaisedAlarm};
use crate::membership::{Change, MemberState, Name};

/// Logs a change that membership tells.
pub fn change(me: &Name, change: &Change) {
    match change {
        Change::Member { name, .. } if name == me => {}
        Change::Member {
            name,
            to: MemberState::Failed,
            generation,
            note,
            ..
        } => {
            warn!(member = %name, generation, last_words = note, "member failed");
        }
        Change::Member {
            name,
            from,
            to,
            generation,
            note,
        } => {
            let from = from.map_or("unknown", MemberState::as_str);
            info!(member = %name, from, to = to.as_str(), generation, words = note, "member");
        }
        Change::Node { name, to } => info!(member = %name, node = to.as_str(), "member's node"),
        Change::Forgotten(name) => info!(member = %name, "member forgotten"),
        Change::Paused(span) => warn!(ms = span / 1_000, "this process did not run for a while"),
        Change::Rejoined(generation) => {
            warn!(generation, "others had called this agent failed: back")
        }
        Change::Joined { members } => info!(members, "joined"),
        Change::NoSeedAnswered => warn!("no seed answers: alone for now"),
        Change::DuplicateNameRejected(rival) => {
            warn!(rival = %rival.addr, started_ms = rival.started_ms, "a newer process of this name was refused");
        }
        Change::ViewsDiffer { peer, differences } => {
            let names: Vec<String> = differences
                .iter()
                .map(|d| format!("{}: here {}; there {}", d.name, d.here, d.there))
                .collect();
            warn!(peer = %peer, names = names.join(" | "), "views differ");
        }
    }
}

/// Logs an alarm, or its end. One process of the fleet does, once.
pub fn alarm(alarm: &Alarm, raised: Option<&RaisedAlarm>) {
    match raised {
        Some(raised) => warn!(?alarm, words = raised.message, "alarm"),
        None => info!(?alarm, "alarm is over"),
    }
}
