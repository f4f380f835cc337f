//! Commands of the replicated log and their outcomes. [`ReplicatedState`](super::ReplicatedState) applies them.
//!
//! Commands are stored and sent in `postcard` encoding, which identifies variants and fields by position: their order
//! must not change.

use serde::{Deserialize, Serialize};

use super::{Alarm, HandoverReason, RaisedAlarm, Role};
use crate::membership::Name;

/// Identifies a command. A retry has the same identifier, so that the command takes effect only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId {
    /// The agent process that issued the command.
    pub process: u64,
    /// The command's sequence number in that process.
    pub sequence: u64,
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// The identifier, by which retries are recognized.
    pub id: CommandId,
    /// What the command does.
    pub operation: Operation,
}

/// A role with the fencing token of its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoleToken {
    /// The role.
    pub role: Role,
    /// The fencing token of the role's lease.
    pub token: u64,
}

/// What a [`Command`] does to the replicated state when it is applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Operation {
    /// Grants the lease of a role to a process, unless the lease has changed since the grantor read it.
    GrantLease {
        /// The role to grant.
        role: Role,
        /// The name of the new holder.
        to: Name,
        /// The process of the new holder: a restarted agent is another process.
        process: u64,
        /// The role's last fencing token that the grantor read; 0 if the role was never granted.
        observed_token: u64,
        /// The number of renewals under that token that the grantor read; 0 if the lease was released.
        observed_renewals: u64,
        /// The grantor's wall clock in milliseconds, for display.
        at_ms: u64,
    },
    /// Renews all leases of the holder that have these tokens.
    RenewLeases(Vec<RoleToken>),
    /// Releases a role. Only its holder proposes this, after it has stopped acting under the token.
    ReleaseLease {
        /// The role to release.
        role: Role,
        /// The fencing token of the lease.
        token: u64,
        /// Why the role is released.
        reason: HandoverReason,
        /// The holder's wall clock in milliseconds, for display.
        at_ms: u64,
    },
    /// Cordons a server at all nodes.
    Cordon {
        /// The server's identifier in discovery.
        server: String,
        /// Who cordoned the server, why and until when.
        cordon: Cordon,
    },
    /// Uncordons a server.
    Uncordon {
        /// The server's identifier in discovery.
        server: String,
    },
    /// Changes nothing. When it is applied, the proposer reads the state at the command's position in the log, which a
    /// majority has agreed on.
    ReadBarrier,
    /// Raises an alarm, or clears it.
    UpdateAlarm {
        /// The alarm to raise or clear.
        alarm: Alarm,
        /// The alarm's details; `None` clears it.
        raised: Option<RaisedAlarm>,
    },
}

/// Who cordoned a server, why and until when.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cordon {
    /// The name of the operator, for display.
    #[serde(rename = "who")]
    pub operator: String,
    /// The operator's reason, for display.
    #[serde(rename = "why")]
    pub reason: String,
    /// When the cordon began, in milliseconds of the wall clock of the agent that received the command, for display.
    pub since_ms: u64,
    /// When the cordon ends, in milliseconds of the wall clock; `None` if only an operator ends it.
    pub until_ms: Option<u64>,
}

/// The outcome of a command that was applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The command took effect.
    Applied,
    /// The command took effect on a server. The value is the server's previous cordon, if it had one.
    ServerUpdated(Option<Cordon>),
    /// An earlier command had changed the state on which this one depends: nothing changed.
    Superseded,
    /// Too many servers are cordoned: nothing changed.
    LimitReached,
    /// An earlier entry with the same identifier took effect, with this outcome.
    Duplicate(Box<Outcome>),
}
