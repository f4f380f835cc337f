//! The agreed log among the voters: Raft by the crate `raft`, which does no I/O. The room adds what the crate leaves
//! open: bounded messages that come in without its protobuf decoder, what must be kept before anything is said, and
//! guards against messages that it would panic on. Pure: ticks, messages and "saved" in; messages, what to save and
//! agreed entries out.

mod log;
mod message;
mod voter;

pub use log::{Change, Conf, Content, Hard, Item, Kept, Role, Save, SnapshotKept};
pub use message::{Fault as AgreementFault, LONGEST_COMMAND};
pub use voter::{Action, Dropped, Event, Settings, Voter, VoterError, VoterId};

#[cfg(test)]
mod tests;
