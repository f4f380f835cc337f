//! Compatibility with an earlier build, from before the types and fields were renamed. Agents of both builds run in one
//! fleet and take over each other's files, so this build has to read what that one wrote and sent, and has to write,
//! send and answer the same.

mod agents;
mod configuration;
mod consensus_transcript;
mod membership_transcript;
mod messages;
mod state_files;
mod stores;
mod transcript;
mod virtual_time;
