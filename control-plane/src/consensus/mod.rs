//! Consensus among the voters: a log that is replicated with Raft.
//!
//! The crate `raft` implements the algorithm without I/O. This module adds bounded messages that do not pass through
//! the crate's protobuf decoder, the order in which state is persisted and messages are sent, and guards against
//! messages on which the crate would panic. It does no I/O and reads no clock: it takes events and the current time,
//! and returns messages to send, batches to write and committed entries to apply.

mod convert;
mod entry;
mod events;
mod log;
mod message;
mod persisted;
mod raft_config;
mod voter;

pub use entry::{
    ConfigurationChange, ConfigurationChangeKind, EntryPayload, HardState, LogEntry, LogSnapshot,
    VoterConfiguration, VoterId,
};
pub use events::{ConsensusAction, ConsensusEvent, ConsensusSettings, DroppedMessages, VoterError};
pub use message::{MessageError, MAX_COMMAND_BYTES};
pub use persisted::{PersistedState, WriteBatch};
pub use voter::Voter;

#[cfg(test)]
mod tests;
