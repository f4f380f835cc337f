//! Logs changes of the fleet, each at the severity that it has for operators: a warning for what may need them, such as a
//! failed member, information for the rest. Names of log fields are read by tools and stay.

use tracing::{info, warn};

use crate::lease::{Alarm, RaisedAlarm};
use crate::membership::{Change, Difference, MemberState, Name};

/// Logs a change of membership. Changes of this agent itself are not logged.
pub fn log_change(me: &Name, change: &Change) {
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
                .map(|difference| {
                    let Difference { name, here, there } = difference;
                    format!("{name}: here {here}; there {there}")
                })
                .collect();
            warn!(peer = %peer, names = names.join(" | "), "views differ");
        }
    }
}

/// Logs that an alarm was raised, or has ended. The replicated log ensures that one agent logs it, once.
pub fn log_alarm(alarm: &Alarm, raised: Option<&RaisedAlarm>) {
    match raised {
        Some(raised) => warn!(?alarm, words = raised.message, "alarm"),
        None => info!(?alarm, "alarm is over"),
    }
}
