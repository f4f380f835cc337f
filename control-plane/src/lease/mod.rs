//! Leases on singleton roles: the replicated state, when a holder may act, when a role may be granted to another
//! process, and the fencing token check at the target of an action.
//!
//! This module does no I/O and reads no clock: it takes applied log entries and the current time.
//!
//! These rules ensure that at most one process acts in a role at a time:
//!
//! 1. A [`LeaseHolder`] acts in its role for one lease duration after it *proposed* the last of its renewals that was
//!    applied. Renewals are log entries, so a lease can expire while there is no leader. The next renewal that is
//!    applied then continues it under the same fencing token.
//! 2. Before the [`LeaseGrantor`] of the leader grants a role to another voter, it waits for one lease duration,
//!    extended by the drift of both clocks, after the last renewal that it applied and after the beginning of its own
//!    leadership. A role that was released may be granted immediately.
//! 3. The new holder acts from its first applied renewal on. Its fencing token is the log index of the grant and so
//!    higher than any earlier one: every target rejects what the previous holder still sends ([`FencingTokens`]).

mod alarm;
mod command;
mod fencing;
mod grantor;
mod handover;
mod holder;
mod role;
mod settings;
mod state;

pub use alarm::{Alarm, RaisedAlarm};
pub use command::{Command, CommandId, Cordon, Operation, Outcome, RoleToken};
pub use fencing::{FencingTokens, StaleToken};
pub use grantor::{Candidate, LeaseGrantor};
pub use handover::{Handover, HandoverReason};
pub use holder::LeaseHolder;
pub use role::{Role, UnknownRole};
pub use settings::LeaseSettings;
pub(crate) use state::VoterChangeContext;
pub use state::{AppliedCommand, LeaseRecord, ReplicatedState};
