//! The report of a coordinator for operators. Its serialized names are part of the operators' interface.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Coordinator;
use crate::consensus::DroppedMessages;
use crate::lease::{Alarm, Cordon, Handover, RaisedAlarm, Role};
use crate::membership::Name;
use crate::Micros;

/// A role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleReport {
    /// The role.
    #[serde(rename = "duty")]
    pub role: Role,
    /// Its holder, as far as this agent knows.
    pub holder: Option<Name>,
    /// The newest fencing token.
    pub token: u64,
    /// How much longer this agent may act under it, in milliseconds; 0 where another agent holds it.
    pub lease_ms: u64,
}

/// A raised alarm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AlarmReport {
    /// The alarm.
    pub alarm: Alarm,
    /// Its details.
    pub raised: RaisedAlarm,
}

/// What an agent knows of the fleet's coordination.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorReport {
    /// Whether this agent votes.
    pub votes: bool,
    /// The voters.
    pub voters: Vec<Name>,
    /// Members that follow the log and have no vote yet.
    pub learners: Vec<Name>,
    /// Voters that are not present.
    pub missing: Vec<Name>,
    /// The leader of the replicated log.
    pub leader: Option<Name>,
    /// The last entry applied here; in an agent without a vote, the version last received.
    pub index: u64,
    /// The roles.
    #[serde(rename = "duties")]
    pub roles: Vec<RoleReport>,
    /// Cordoned servers, by identifier.
    #[serde(rename = "out")]
    pub cordoned: BTreeMap<String, Cordon>,
    /// The entry that last changed the cordoned servers or the voters.
    pub version: u64,
    /// Servers that were cordoned at this agent's node alone.
    #[serde(rename = "by_hand")]
    pub cordoned_locally: Vec<String>,
    /// Raised alarms.
    pub alarms: Vec<AlarmReport>,
    /// Actions that were rejected here because of a stale fencing token.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Messages of the replicated log that were dropped here.
    pub dropped: DroppedMessages,
    /// The latest handovers of roles, the newest last.
    #[serde(rename = "changes")]
    pub handovers: Vec<Handover>,
}

/// The agreed content that an agent knows, and how new it is.
struct KnownContent {
    index: u64,
    version: u64,
    cordoned: BTreeMap<String, Cordon>,
}

impl Coordinator {
    /// The report. The host adds [`CoordinatorReport::cordoned_locally`].
    pub fn report(&self, now: Micros) -> CoordinatorReport {
        let local = self.voter.as_ref();
        let KnownContent {
            index,
            version,
            cordoned,
        } = self.known_content();
        CoordinatorReport {
            votes: local.is_some(),
            voters: self.voters(),
            learners: self.state.learners.values().cloned().collect(),
            missing: self.missing_voters(),
            leader: self.leader(),
            index,
            roles: Role::ALL.map(|role| self.role_report(now, role)).to_vec(),
            cordoned,
            version,
            cordoned_locally: Vec::new(),
            alarms: self.alarm_reports(),
            rejected: self.fencing.rejected,
            dropped: local.map(|local| local.voter.dropped()).unwrap_or_default(),
            handovers: self.state.handovers.iter().cloned().collect(),
        }
    }

    /// By the replicated state at a voter; by the last update received at an agent without a vote.
    fn known_content(&self) -> KnownContent {
        if self.voter.is_some() {
            return KnownContent {
                index: self.state.index,
                version: self.state.version,
                cordoned: self.state.cordoned.clone(),
            };
        }
        let version = self.updates.version();
        KnownContent {
            index: version,
            version,
            cordoned: self.updates.cordoned(),
        }
    }

    fn role_report(&self, now: Micros, role: Role) -> RoleReport {
        let lease = self.state.leases.get(&role);
        RoleReport {
            role,
            holder: lease.map(|lease| lease.holder.clone()),
            token: self.state.last_token(role),
            lease_ms: self.holder.remaining(now, role) / 1_000,
        }
    }

    fn alarm_reports(&self) -> Vec<AlarmReport> {
        let report = |(alarm, raised): (&Alarm, &RaisedAlarm)| AlarmReport {
            alarm: alarm.clone(),
            raised: raised.clone(),
        };
        self.state.alarms.iter().map(report).collect()
    }
}
