//! Operators' commands and their results.
//!
//! Agents send them in `postcard` encoding, which identifies variants and fields by position: their order must not
//! change. Operators see them as JSON: the serialized names must not change either.

use serde::{Deserialize, Serialize};

use crate::consensus::VoterId;
use crate::lease::{CommandId, Cordon, Outcome, Role};
use crate::membership::Name;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// Cordons a server at all nodes.
    Cordon {
        /// The server's identifier in discovery.
        server: String,
        /// Who cordons the server, why and until when.
        cordon: Cordon,
    },
    /// Uncordons a server.
    Uncordon {
        /// The server's identifier in discovery.
        server: String,
    },
    /// Makes the holder of a role release it, so that it is granted to another process.
    ReleaseRole(Role),
    /// Adds a voter. The new voter's own agent requests this, after the voter's database was created.
    AddVoter {
        /// The identifier of the new voter.
        voter: VoterId,
        /// The name of the new voter's agent.
        name: Name,
    },
    /// Removes the voter of the agent with this name.
    RemoveVoter(Name),
}

/// A command with its identifier, so that it takes effect only once, whichever agents retry it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandRequest {
    /// The identifier, issued by the agent that received the command from the operator.
    pub id: CommandId,
    /// The command.
    pub command: OperatorCommand,
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandResult {
    /// A majority of the voters has persisted the command. For a command on a server, the value is the server's
    /// previous cordon, if it had one.
    #[serde(rename = "done")]
    Committed(Option<Cordon>),
    /// The command changed nothing, for this reason.
    #[serde(rename = "refused")]
    Rejected(String),
    /// The command was not confirmed in time, and may or may not take effect. A retry is harmless.
    #[serde(rename = "tried")]
    Unconfirmed(String),
}

impl CommandResult {
    /// Whether the command took effect.
    pub fn is_committed(&self) -> bool {
        matches!(self, CommandResult::Committed(_))
    }
}

impl From<Outcome> for CommandResult {
    fn from(outcome: Outcome) -> Self {
        let outcome = match outcome {
            Outcome::Duplicate(first) => *first,
            outcome => outcome,
        };
        match outcome {
            Outcome::ServerUpdated(previous) => CommandResult::Committed(previous),
            Outcome::Applied | Outcome::Duplicate(_) => CommandResult::Committed(None),
            Outcome::Superseded => Rejection::Superseded.into(),
            Outcome::LimitReached => Rejection::TooManyCordoned.into(),
        }
    }
}

/// Why a command is rejected. The command changed nothing, and a retry is rejected too until the cause is gone.
/// Operators see the text, and their scripts may match it, so it must not change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Rejection {
    /// Neither the configuration, a received update nor the replicated state names a voter.
    #[error("this fleet has no voters: nothing can be agreed on")]
    NoVoters,
    /// By membership, no majority of the voters is present: the command is not attempted.
    #[error("no majority: {present} of {total} voters present, missing {missing}")]
    NoMajority {
        present: usize,
        total: usize,
        missing: String,
    },
    /// Too many commands are pending at this agent.
    #[error("too many calls at a time")]
    TooManyCalls,
    /// An earlier command had changed the state on which this one depends.
    #[error("overtaken by another")]
    Superseded,
    /// The replicated state has the maximum number of cordoned servers.
    #[error("too many servers are out")]
    TooManyCordoned,
    /// A voter with the identifier of this database was removed: the database never votes again.
    #[error("this store of {0} was removed: make a new one")]
    VoterWasRemoved(Name),
    /// The voter can't be added, because another voter with its name, but with another database, has not been removed.
    #[error("{0} votes already, with another store: remove it first")]
    NameVotesAlready(Name),
    /// The voter to remove is the only one: without it nothing could be committed any more.
    #[error("{0} is the last voter")]
    LastVoter(Name),
}

impl From<Rejection> for CommandResult {
    fn from(rejection: Rejection) -> Self {
        CommandResult::Rejected(rejection.to_string())
    }
}

#[cfg(test)]
mod tests;
