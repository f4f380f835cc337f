//! Owns how changes of the fleet are logged: once, at the level that staff would give them.

use tracing::{info, warn};

use crate::lease::{Alarm, RaisedAlarm};
use crate::membership::{Change, Name, Presence};

/// Logs a change that membership tells.
pub fn change(me: &Name, change: &Change) {
    match change {
        Change::Member { name, .. } if name == me => {}
        Change::Member {
            name,
            to: Presence::Failed,
            generation,
            words,
            ..
        } => {
            warn!(member = %name, generation, last_words = words, "member failed");
        }
        Change::Member {
            name,
            from,
            to,
            generation,
            words,
        } => {
            let from = from.map_or("unknown", Presence::word);
            info!(member = %name, from, to = to.word(), generation, words, "member");
        }
        Change::Node { name, to } => info!(member = %name, node = to.word(), "member's node"),
        Change::Forgotten(name) => info!(member = %name, "member forgotten"),
        Change::Paused(span) => warn!(ms = span / 1_000, "this process did not run for a while"),
        Change::Rejoined(generation) => {
            warn!(generation, "others had called this agent failed: back")
        }
        Change::Joined { members } => info!(members, "joined"),
        Change::Alone => warn!("no seed answers: alone for now"),
        Change::RivalRefused(rival) => {
            warn!(rival = %rival.addr, started_ms = rival.started_ms, "a newer process of this name was refused");
        }
        Change::Differs(peer, names) => {
            let names: Vec<String> = names
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
