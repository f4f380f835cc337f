//! Alarms of the fleet, as recorded in the replicated log.

use serde::{Deserialize, Serialize};

use crate::membership::Name;

/// The condition that an alarm reports. Its serialized names are part of the operators' interface.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Alarm {
    /// The fleet sheds too large a fraction of its requests.
    #[serde(rename = "jam")]
    Overload,
    /// Nodes use different server lists from discovery.
    #[serde(rename = "discovery")]
    DiscoveryMismatch,
    /// The node of the named member restarts repeatedly.
    #[serde(rename = "flaps")]
    RestartLoop(Name),
}

/// Details of a raised alarm.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RaisedAlarm {
    /// Description for operators.
    #[serde(rename = "words")]
    pub message: String,
    /// When the alarm was raised, in milliseconds of the wall clock of the agent that raised it.
    pub since_ms: u64,
}

#[cfg(test)]
mod tests;
