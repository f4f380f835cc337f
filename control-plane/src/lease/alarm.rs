//! Alarms of the fleet, as agreed in the replicated log.

use serde::{Deserialize, Serialize};

use crate::membership::Name;

/// The condition that an alarm reports. Its serialized names are part of the operators' interface.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Alarm {
    /// The fleet sheds too large a part of its requests.
    #[serde(rename = "jam")]
    Overload,
    /// Nodes use different lists of servers.
    #[serde(rename = "discovery")]
    DiscoveryMismatch,
    /// The node of that member restarts repeatedly.
    #[serde(rename = "flaps")]
    RestartLoop(Name),
}

/// Details of an alarm that is raised.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RaisedAlarm {
    /// Description for operators.
    #[serde(rename = "words")]
    pub message: String,
    /// When it was raised, in milliseconds of the wall clock of the agent that raised it.
    pub since_ms: u64,
}

#[cfg(test)]
mod tests;
