//! The report of a coordinator to operators. Its serialized names are part of the operators' interface.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Coordinator;
use crate::consensus::DroppedMessages;
use crate::lease::{Alarm, Cordon, Handover, RaisedAlarm, Role};
use crate::membership::Name;
use crate::Micros;

/// The lease on a role, as an agent knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleReport {
    /// The role.
    #[serde(rename = "duty")]
    pub role: Role,
    /// The holder; `None` if this agent knows of none.
    pub holder: Option<Name>,
    /// The role's newest fencing token.
    pub token: u64,
    /// How much longer this agent may act in the role, in milliseconds; 0 if it may not.
    pub lease_ms: u64,
}

/// A raised alarm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AlarmReport {
    /// The condition that the alarm reports.
    pub alarm: Alarm,
    /// The alarm's message, and since when it is raised.
    pub raised: RaisedAlarm,
}

/// The state of the fleet's coordination, as an agent knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorReport {
    /// Whether this agent votes.
    pub votes: bool,
    /// The names of the voters.
    pub voters: Vec<Name>,
    /// The names of the learners, which replicate the log and have no vote yet.
    pub learners: Vec<Name>,
    /// Voters that are not present.
    pub missing: Vec<Name>,
    /// The leader of the replicated log; `None` if this agent knows of none.
    pub leader: Option<Name>,
    /// The index of the last entry applied here; at an agent without a vote, the version that it received last.
    pub index: u64,
    /// The lease on each singleton role.
    #[serde(rename = "duties")]
    pub roles: Vec<RoleReport>,
    /// Cordoned servers, by identifier.
    #[serde(rename = "out")]
    pub cordoned: BTreeMap<String, Cordon>,
    /// The index of the entry that last changed the cordoned servers or the voters.
    pub version: u64,
    /// Servers that operators cordoned only at this agent's node.
    #[serde(rename = "by_hand")]
    pub cordoned_locally: Vec<String>,
    /// Raised alarms.
    pub alarms: Vec<AlarmReport>,
    /// Number of actions that this agent rejected because of a stale fencing token.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Counts of the messages of the replicated log that this agent dropped.
    pub dropped: DroppedMessages,
    /// The latest handovers of roles, the newest last.
    #[serde(rename = "changes")]
    pub handovers: Vec<Handover>,
}

/// The replicated content that an agent knows, and how new it is.
struct KnownContent {
    index: u64,
    version: u64,
    cordoned: BTreeMap<String, Cordon>,
}

impl Coordinator {
    /// Returns the report. The host fills in [`CoordinatorReport::cordoned_locally`].
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

    /// Taken from the replicated state at a voter, and from the last update received at an agent without a vote.
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
