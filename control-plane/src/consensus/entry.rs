//! Entries, snapshots and configurations of the replicated log.
//!
//! They are stored and sent in `postcard`: the order of fields and variants must not change.

use serde::{Deserialize, Serialize};

/// Identifies a voter; never 0.
pub type VoterId = u64;

/// Estimated bytes of a configuration change besides its context.
const CONFIGURATION_CHANGE_BYTES: usize = 16;

/// The members of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterConfiguration {
    /// Members that vote.
    pub voters: Vec<VoterId>,
    /// Members that follow the log and do not count towards a majority.
    pub learners: Vec<VoterId>,
}

/// A change of one member. A second change is rejected until the first is applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// What becomes of the member.
    pub kind: ConfigurationChangeKind,
    /// The member.
    pub voter: VoterId,
    /// Opaque data of the proposer, which the log carries with the change.
    pub context: Vec<u8>,
}

/// What becomes of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationChangeKind {
    /// It follows the log without a vote.
    AddLearner,
    /// It votes.
    AddVoter,
    /// It is removed.
    Remove,
}

/// The payload of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// A command; empty in the first entry of a leader.
    Command(Vec<u8>),
    /// A change of a member.
    ConfigurationChange(ConfigurationChange),
}

impl EntryPayload {
    /// Approximate size in bytes.
    pub(super) fn size(&self) -> usize {
        match self {
            EntryPayload::Command(data) => data.len(),
            EntryPayload::ConfigurationChange(change) => {
                change.context.len() + CONFIGURATION_CHANGE_BYTES
            }
        }
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its position, from 1.
    pub index: u64,
    /// The term in which it was proposed.
    pub term: u64,
    /// Its payload.
    pub payload: EntryPayload,
}

/// The state that a voter must not lose: without its vote it could vote twice in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term seen.
    pub term: u64,
    /// The candidate voted for in that term; 0 for none.
    pub vote: u64,
    /// The last entry known to be committed.
    pub commit: u64,
}

/// The state at an entry, which replaces all entries up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSnapshot {
    /// The last entry that it includes.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The members at that entry.
    pub configuration: VoterConfiguration,
    /// The serialized state.
    pub data: Vec<u8>,
}
