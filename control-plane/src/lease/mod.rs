//! Leases on singleton roles: the replicated state, when a holder may act, when a role may be granted anew, and the
//! fencing token check at the target of an action.
//!
//! All of it is pure: it takes applied log entries and the time.
//!
//! Who may act for the fleet, and from when on:
//!
//! 1. A [`LeaseHolder`] acts in its role until a lease after it *proposed* its last renewal that was applied.
//!    Renewals are log entries: while no leader is elected a lease can expire, and the next renewal that is
//!    applied continues it under the same fencing token.
//! 2. The [`LeaseGrantor`] of the leader waits a lease, stretched by the drift of both clocks, from the last
//!    renewal that it applied, and from the beginning of its own leadership, before it grants a role to another
//!    voter. A role that was released may be granted immediately.
//! 3. The new holder acts from its first applied renewal on. Its fencing token is the log index of the grant, so
//!    that every target rejects what the old holder still sends ([`FencingTokens`]).

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
