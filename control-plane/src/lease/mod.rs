//! Leases on singleton roles: the replicated state, when a holder may act, when a role may be granted anew, and the
//! fencing token check at the target of an action.
//!
//! All of it is pure: it takes applied log entries and the time.

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
pub use state::{LeaseRecord, ReplicatedState};
