//! Entries, snapshots and configurations of the replicated log.
//!
//! They are stored and sent in `postcard` encoding, which identifies fields and variants by position: their order must
//! not change.

use serde::{Deserialize, Serialize};

/// Identifies a voter; never 0.
pub type VoterId = u64;

/// Estimated size of an encoded configuration change without its context, in bytes.
const CONFIGURATION_CHANGE_OVERHEAD_BYTES: usize = 16;

/// The members that replicate the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterConfiguration {
    /// Members that vote and count towards a majority.
    pub voters: Vec<VoterId>,
    /// Members that replicate the log, but neither vote nor count towards a majority.
    pub learners: Vec<VoterId>,
}

/// A configuration change of a single member. A second change is rejected until the first is applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// Whether the member becomes a learner, becomes a voter or is removed.
    pub kind: ConfigurationChangeKind,
    /// The member that is added, promoted or removed.
    pub voter: VoterId,
    /// Opaque data that the proposer attaches to the change.
    pub context: Vec<u8>,
}

/// The kind of a configuration change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationChangeKind {
    /// Adds a learner, which replicates the log without a vote.
    AddLearner,
    /// Adds a voter, or promotes a learner to voter.
    AddVoter,
    /// Removes a voter or learner.
    Remove,
}

/// The payload of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// A command for the replicated state machine; empty in the first entry that a new leader appends.
    Command(Vec<u8>),
    /// A configuration change.
    ConfigurationChange(ConfigurationChange),
}

impl EntryPayload {
    /// Approximate encoded size in bytes.
    pub(super) fn size(&self) -> usize {
        match self {
            EntryPayload::Command(data) => data.len(),
            EntryPayload::ConfigurationChange(change) => {
                change.context.len() + CONFIGURATION_CHANGE_OVERHEAD_BYTES
            }
        }
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The position in the log; the first one is 1.
    pub index: u64,
    /// The term in which a leader appended the entry.
    pub term: u64,
    /// A command or a configuration change.
    pub payload: EntryPayload,
}

/// Raft's hard state, which a voter must not lose: a voter that forgot its vote could vote twice in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that the voter has seen.
    pub term: u64,
    /// The candidate that the voter voted for in that term; 0 for none.
    pub vote: u64,
    /// The index of the last entry known to be committed.
    pub commit: u64,
}

/// A snapshot of the replicated state machine, which replaces all entries up to and including `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSnapshot {
    /// The index of the last included entry.
    pub index: u64,
    /// The term of the last included entry.
    pub term: u64,
    /// The members as of the last included entry.
    pub configuration: VoterConfiguration,
    /// The serialized state machine.
    pub data: Vec<u8>,
}
