//! A voter's settings, its events and actions, and its errors.

use std::time::Duration;

use super::{ConfigurationChange, LogEntry, LogSnapshot, VoterConfiguration, VoterId, WriteBatch};

/// A voter's identity and timing. Who else votes is part of its persisted state.
#[derive(Clone, Debug)]
pub struct ConsensusSettings {
    /// This voter.
    pub me: VoterId,
    /// The interval of the clock. A leader sends a heartbeat in each.
    pub tick: Duration,
    /// Ticks without a leader before an election: at least these, and less than twice as many, by voter.
    pub election_ticks: usize,
    /// Entries after which the log is compacted into a snapshot.
    pub compact_after: u64,
}

/// What a voter receives.
#[derive(Clone, Debug)]
pub enum ConsensusEvent {
    /// A message of another voter.
    Message(Vec<u8>),
    /// A command to commit. It may be lost: the proposer retries it.
    Propose(Vec<u8>),
    /// A change of a member. Only the leader attempts it, one at a time.
    ChangeConfiguration(ConfigurationChange),
    /// Transfer leadership to the voter with the longest log.
    TransferLeadership,
    /// The write batch of that number is durable.
    Persisted(u64),
    /// The state at an applied entry, with which the log may be compacted.
    Snapshot {
        /// The last entry that it includes.
        index: u64,
        /// The members from that entry on.
        configuration: VoterConfiguration,
        /// The serialized state.
        data: Vec<u8>,
    },
    /// The time of [`Voter::next_wake`](super::Voter::next_wake) has come.
    Wake,
}

/// What the host has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsensusAction {
    /// Send a message to another voter.
    Send {
        /// The receiver.
        to: VoterId,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Persist a batch, then report [`ConsensusEvent::Persisted`]. Batches are written in order.
    Persist {
        /// The batch's number.
        number: u64,
        /// The batch.
        batch: WriteBatch,
    },
    /// A committed entry: apply it, once and in order. Empty commands are left out. A configuration change is in force
    /// from here on.
    Apply(LogEntry),
    /// Replace the state by a snapshot's.
    Restore(LogSnapshot),
    /// The leader changed, or became unknown.
    LeaderChanged {
        /// The term.
        term: u64,
        /// The leader; `None` while there is none.
        leader: Option<VoterId>,
    },
    /// The log has grown, or its members changed: report [`ConsensusEvent::Snapshot`] with the last entry applied before this
    /// and with these members. A learner can only begin with a snapshot that includes it.
    Compact(VoterConfiguration),
    /// A proposal that can't be attempted: there is no leader, or it is too long. It has no effect.
    ProposalRejected(Vec<u8>),
}

/// Why a voter can't start.
#[derive(Debug, thiserror::Error)]
pub enum VoterError {
    /// The persisted state has a gap or contradicts itself: the voter must not vote again.
    #[error("the voter's persisted state is inconsistent")]
    InconsistentState,
    /// The settings are invalid.
    #[error("{0}")]
    Settings(#[from] raft::Error),
}

/// Messages that were dropped, by reason. The serialized names are part of the operators' interface.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DroppedMessages {
    /// Not a message of the log, or out of its bounds.
    pub unreadable: u64,
    /// Addressed to another voter.
    #[serde(rename = "stranger")]
    pub wrong_recipient: u64,
    /// Of a kind that is not accepted from the network.
    #[serde(rename = "kind")]
    pub forbidden_kind: u64,
    /// Refers to entries that this voter does not have.
    #[serde(rename = "beyond")]
    pub missing_entries: u64,
    /// Arrived while a batch was being persisted and the queue was full.
    #[serde(rename = "waiting")]
    pub queue_full: u64,
}
