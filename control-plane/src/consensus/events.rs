//! A voter's settings, its events and actions, and its errors.

use std::time::Duration;

use super::{ConfigurationChange, LogEntry, LogSnapshot, VoterConfiguration, VoterId, WriteBatch};

/// A voter's identity and timing. The other members are part of its persisted state.
#[derive(Clone, Debug)]
pub struct ConsensusSettings {
    /// The identifier of this voter.
    pub me: VoterId,
    /// The interval of Raft's logical clock. A leader sends heartbeats in every tick.
    pub tick: Duration,
    /// The minimum election timeout, in ticks. Each voter's own timeout is at least this, and less than twice as long.
    pub election_ticks: usize,
    /// Number of applied entries after which the log is compacted into a snapshot.
    pub compact_after: u64,
}

/// An input of a [`Voter`](super::Voter).
#[derive(Clone, Debug)]
pub enum ConsensusEvent {
    /// A message from another voter.
    Message(Vec<u8>),
    /// Proposes a command. A proposal may be lost: the proposer retries it until the command is applied.
    Propose(Vec<u8>),
    /// Proposes a configuration change. It has no effect unless this voter is the leader and no earlier change is
    /// pending.
    ChangeConfiguration(ConfigurationChange),
    /// Transfers leadership to the voter with the longest log. It has no effect unless this voter is the leader.
    TransferLeadership,
    /// The write batch with that number is durable.
    Persisted(u64),
    /// A snapshot of the state machine at an applied entry, with which the log may be compacted.
    Snapshot {
        /// The index of the last included entry.
        index: u64,
        /// The members from that entry on.
        configuration: VoterConfiguration,
        /// The serialized state machine.
        data: Vec<u8>,
    },
    /// The time given by [`Voter::next_wake`](super::Voter::next_wake) has been reached.
    Wake,
}

/// An output of a [`Voter`](super::Voter), which its host has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsensusAction {
    /// Send a message to another voter.
    Send {
        /// The receiver.
        to: VoterId,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Persist a batch, then report [`ConsensusEvent::Persisted`]. Batches are written in order.
    Persist {
        /// The number to report once the batch is durable.
        number: u64,
        /// The changes to write in one transaction.
        batch: WriteBatch,
    },
    /// Apply a committed entry. Entries come once each and in log order; those with an empty command are omitted. A
    /// configuration change is in force from this action on.
    Apply(LogEntry),
    /// Replace the state machine by that of a snapshot.
    Restore(LogSnapshot),
    /// The term or its leader changed, or the leader became unknown.
    LeaderChanged {
        /// The current term.
        term: u64,
        /// The leader; `None` while it is unknown.
        leader: Option<VoterId>,
    },
    /// Report [`ConsensusEvent::Snapshot`] with the last entry applied before this action and with these members.
    /// Requested when the log has grown by [`ConsensusSettings::compact_after`] entries, and after each configuration
    /// change: a new learner can start only from a snapshot whose configuration includes it.
    Compact(VoterConfiguration),
    /// A command was not proposed and has no effect: there is no leader, the command is too long, or too many proposals
    /// are waiting.
    ProposalRejected(Vec<u8>),
}

/// Why a voter can't start.
#[derive(Debug, thiserror::Error)]
pub enum VoterError {
    /// The persisted log has a gap, its terms or commit index are inconsistent, or its snapshot can't be read. The
    /// voter must not vote again.
    #[error("the voter's persisted state is inconsistent")]
    InconsistentState,
    /// The crate `raft` rejected the settings.
    #[error("{0}")]
    Settings(#[from] raft::Error),
}

/// Counts of received messages that were dropped, by reason. The serialized names are part of the operators' interface.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DroppedMessages {
    /// Messages that do not decode or exceed a bound.
    pub unreadable: u64,
    /// Messages that are addressed to another voter, or claim to come from this one.
    #[serde(rename = "stranger")]
    pub wrong_recipient: u64,
    /// Messages of a kind that is not accepted from the network.
    #[serde(rename = "kind")]
    pub forbidden_kind: u64,
    /// Messages that refer to entries that this voter does not have.
    #[serde(rename = "beyond")]
    pub missing_entries: u64,
    /// Events other than proposals that arrived while a batch was being persisted and the queue was full.
    #[serde(rename = "waiting")]
    pub queue_full: u64,
}
