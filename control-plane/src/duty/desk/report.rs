//! Owns what staff are told of the duties.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Desk;
use crate::consensus::Dropped;
use crate::duty::{Alarm, Change, Duty, Out, Raised, DUTIES};
use crate::membership::Name;
use crate::Micros;

/// A duty, as told to staff.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyReport {
    /// Which.
    pub duty: Duty,
    /// Who holds it, as far as this agent knows.
    pub holder: Option<Name>,
    /// The newest token.
    pub token: u64,
    /// How much longer this agent may act under it, in milliseconds; 0 where it is another's.
    pub lease_ms: u64,
}

/// An alarm that stands, as told to staff.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AlarmReport {
    /// Which.
    pub alarm: Alarm,
    /// What, and since when.
    pub raised: Raised,
}

/// What staff are told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeskReport {
    /// Whether this agent votes.
    pub votes: bool,
    /// The voters.
    pub voters: Vec<Name>,
    /// Those that follow the log and do not vote yet.
    pub learners: Vec<Name>,
    /// Voters that are not present.
    pub missing: Vec<Name>,
    /// Who leads the agreed log.
    pub leader: Option<Name>,
    /// The last agreed entry that this agent has; of one without a vote, the last that was brought to it.
    pub index: u64,
    /// The duties.
    pub duties: Vec<DutyReport>,
    /// Servers out.
    pub out: BTreeMap<String, Out>,
    /// Its version: the entry that last changed it, or the voters.
    pub version: u64,
    /// Servers that staff took out at this agent's node alone.
    pub by_hand: Vec<String>,
    /// Alarms that stand.
    pub alarms: Vec<AlarmReport>,
    /// Acts that were refused here, as their token was old.
    pub refused: u64,
    /// Messages of the agreed log that were dropped here.
    pub dropped: Dropped,
    /// The last changes of hands, the newest last.
    pub changes: Vec<Change>,
}

impl Desk {
    /// What staff are told. What the node was told by hand, the host adds.
    pub fn report(&self, now: Micros) -> DeskReport {
        let duty = |duty: Duty| DutyReport {
            duty,
            holder: self.state.held.get(&duty).map(|held| held.holder.clone()),
            token: self.state.token(duty),
            lease_ms: self.holder.left(now, duty) / 1_000,
        };
        let (out, version) = if self.voter.is_some() {
            (self.state.out.clone(), self.state.version)
        } else {
            self.acts.enforced()
        };
        let alarm = |(alarm, raised): (&Alarm, &Raised)| AlarmReport {
            alarm: alarm.clone(),
            raised: raised.clone(),
        };
        DeskReport {
            votes: self.voter.is_some(),
            voters: self.voters(),
            learners: self.state.learners.values().cloned().collect(),
            missing: self.missing(),
            leader: self.leader(),
            index: if self.voter.is_some() {
                self.state.index
            } else {
                version
            },
            duties: DUTIES.into_iter().map(duty).collect(),
            out,
            version,
            by_hand: Vec::new(),
            alarms: self.state.alarms.iter().map(alarm).collect(),
            refused: self.fence.refused,
            dropped: self
                .voter
                .as_ref()
                .map(|(_, voter)| voter.dropped())
                .unwrap_or_default(),
            changes: self.state.changes.iter().cloned().collect(),
        }
    }
}
