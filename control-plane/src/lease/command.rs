//! Commands of the replicated log and their outcomes. [`ReplicatedState`](super::ReplicatedState) applies them.
//!
//! Commands are stored and sent in `postcard`: the order of variants and fields must not change.

use serde::{Deserialize, Serialize};

use super::{Alarm, HandoverReason, RaisedAlarm, Role};
use crate::membership::Name;

/// Identifies a command. A retry keeps the identifier, so that the command takes effect once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId {
    /// The process that issued it.
    pub process: u64,
    /// Its sequence number in that process.
    pub sequence: u64,
}

/// A command to agree on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// Its identifier.
    pub id: CommandId,
    /// What it does.
    pub operation: Operation,
}

/// A role with the fencing token of its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoleToken {
    /// The role.
    pub role: Role,
    /// Its fencing token.
    pub token: u64,
}

/// What a command does.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Operation {
    /// Grants a role to a process, unless its lease has changed since the grantor read it.
    GrantLease {
        /// The role.
        role: Role,
        /// The new holder.
        to: Name,
        /// The new holder's process: a restarted agent is another process.
        process: u64,
        /// The token that the grantor read; 0 for none.
        observed_token: u64,
        /// The number of renewals that the grantor read.
        observed_renewals: u64,
        /// The grantor's wall clock in milliseconds, for display.
        at_ms: u64,
    },
    /// Renews all leases that the holder has under these tokens.
    RenewLeases(Vec<RoleToken>),
    /// Releases a role. Only its holder proposes this, after it has stopped acting under the token.
    ReleaseLease {
        /// The role.
        role: Role,
        /// The token of the lease.
        token: u64,
        /// Why it is released.
        reason: HandoverReason,
        /// The holder's wall clock in milliseconds, for display.
        at_ms: u64,
    },
    /// Cordons a server at all nodes.
    Cordon {
        /// Its identifier in discovery.
        server: String,
        /// Who cordoned it, why and until when.
        cordon: Cordon,
    },
    /// Uncordons a server.
    Uncordon {
        /// Its identifier in discovery.
        server: String,
    },
    /// Changes nothing. The proposer learns the state at the command's position in the log.
    ReadBarrier,
    /// Raises an alarm, or clears it.
    UpdateAlarm {
        /// The alarm.
        alarm: Alarm,
        /// Its details; `None` clears it.
        raised: Option<RaisedAlarm>,
    },
}

/// Why and until when a server is cordoned.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cordon {
    /// The operator.
    #[serde(rename = "who")]
    pub operator: String,
    /// The operator's reason, for display.
    #[serde(rename = "why")]
    pub reason: String,
    /// Since when, in milliseconds of the wall clock of the agent that was called, for display.
    pub since_ms: u64,
    /// Until when, in milliseconds of the wall clock; `None` until an operator uncordons it.
    pub until_ms: Option<u64>,
}

/// The outcome of a command that was applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It took effect.
    Applied,
    /// It took effect on a server, which had this cordon before; `None` where it had none.
    ServerUpdated(Option<Cordon>),
    /// Another command took effect first: nothing changed.
    Superseded,
    /// Too many servers are cordoned: nothing changed.
    LimitReached,
    /// An earlier entry with the same identifier took effect, with this outcome.
    Duplicate(Box<Outcome>),
}
