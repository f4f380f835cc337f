//! Logs changes of the fleet: as a warning where operators may have to act, such as for a failed member, otherwise as
//! information. The names of log fields must not change, because operators' tools read them.

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
            info!(member = %name, from, to = to.as_str(), generation, words = note, "member changed state");
        }
        Change::Node { name, to } => {
            info!(member = %name, node = to.as_str(), "member's node changed state")
        }
        Change::Forgotten(name) => info!(member = %name, "member forgotten"),
        Change::Paused(span) => warn!(
            ms = span / 1_000,
            "this process was paused; its deadlines are postponed by that time"
        ),
        Change::Rejoined(generation) => {
            warn!(generation, "continuing under a new generation: other agents had declared this one failed, or a process of the same name was seen")
        }
        Change::Joined { members } => info!(members, "joined the fleet"),
        Change::NoSeedAnswered => {
            warn!("no seed answered; continuing alone and retrying the seeds")
        }
        Change::DuplicateNameRejected(rival) => {
            warn!(rival = %rival.addr, started_ms = rival.started_ms, "a newer process of this name was refused; this agent keeps the name");
        }
        Change::ViewsDiffer { peer, differences } => {
            let names: Vec<String> = differences
                .iter()
                .map(|difference| {
                    let Difference { name, here, there } = difference;
                    format!("{name}: here {here}; there {there}")
                })
                .collect();
            warn!(peer = %peer, names = names.join(" | "), "a member's view of the fleet has differed from this agent's for longer than convergence-timeout");
        }
    }
}

/// Logs that an alarm was raised or has ended. The replicated log ensures that only one agent logs this, and only once.
pub fn log_alarm(alarm: &Alarm, raised: Option<&RaisedAlarm>) {
    match raised {
        Some(raised) => warn!(?alarm, words = raised.message, "alarm raised"),
        None => info!(?alarm, "alarm is over"),
    }
}
