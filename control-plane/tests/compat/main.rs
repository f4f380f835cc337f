//! What an agent of the last build under the old names wrote, sent and answered has to be read, answered and written
//! alike by this one: agents of both builds stand beside each other in one fleet, and take over each other's files.

mod agents;
mod configuration;
mod consensus_transcript;
mod membership_transcript;
mod messages;
mod state_files;
mod stores;
mod transcript;
mod virtual_time;
