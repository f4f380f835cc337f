//! The commands of operators, and their results.
//!
//! They are sent in `postcard`, where the order of variants and fields must not change, and shown as JSON, where the
//! serialized names must not.

use serde::{Deserialize, Serialize};

use crate::consensus::VoterId;
use crate::lease::{CommandId, Cordon, Outcome, Role};
use crate::membership::Name;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// Cordons a server at all nodes.
    Cordon {
        /// Its identifier in discovery.
        server: String,
        /// Who cordons it, why and until when.
        cordon: Cordon,
    },
    /// Uncordons a server.
    Uncordon {
        /// Its identifier in discovery.
        server: String,
    },
    /// Has the holder release a role, so that another process takes it.
    ReleaseRole(Role),
    /// Adds a voter. Its own agent requests this, after it has created its database.
    AddVoter {
        /// The new voter.
        voter: VoterId,
        /// Its name.
        name: Name,
    },
    /// Removes a voter.
    RemoveVoter(Name),
}

/// A command with its identifier: it takes effect once, wherever it is retried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandRequest {
    /// Issued by the agent that the operator called.
    pub id: CommandId,
    /// The command.
    pub command: OperatorCommand,
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandResult {
    /// A majority has persisted it. For a server, the cordon that it had before.
    #[serde(rename = "done")]
    Committed(Option<Cordon>),
    /// It changed nothing, for this reason.
    #[serde(rename = "refused")]
    Rejected(String),
    /// It was not confirmed in time, and may or may not take effect. A retry is harmless.
    #[serde(rename = "tried")]
    Unconfirmed(String),
}

impl CommandResult {
    /// Whether it took effect.
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

/// Why a command is rejected: it changed nothing, and a retry is rejected too until the cause is gone. Operators see the
/// text, and scripts may search it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Rejection {
    /// Neither the configuration, an update received nor the replicated state names a voter.
    #[error("this fleet has no voters: nothing can be agreed on")]
    NoVoters,
    /// Too few voters are present, as membership sees it: the command is not attempted.
    #[error("no majority: {present} of {total} voters present, missing {missing}")]
    NoMajority {
        present: usize,
        total: usize,
        missing: String,
    },
    /// Too many commands have no result yet.
    #[error("too many calls at a time")]
    TooManyCalls,
    /// Another command took effect first.
    #[error("overtaken by another")]
    Superseded,
    /// The replicated state holds no more cordoned servers.
    #[error("too many servers are out")]
    TooManyCordoned,
    /// The identifier of this voter's database was removed: it never votes again.
    #[error("this store of {0} was removed: make a new one")]
    VoterWasRemoved(Name),
    /// A voter of the same name and another database is a member.
    #[error("{0} votes already, with another store: remove it first")]
    NameVotesAlready(Name),
    /// Without it nothing could be committed any more.
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
