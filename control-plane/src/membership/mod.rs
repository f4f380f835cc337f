//! Membership: which agents are present, have left or have failed, and whether all agree on it. SWIM by `foca`, with
//! Lifeguard's extensions. Pure: no I/O, no clock, random numbers from a seed; the host carries out the actions.

mod broadcast;
mod change;
mod foca_adapter;
mod identity;
mod local_health;
mod message;
mod peer_digests;
mod protocol;
mod quorum;
mod rate_limiter;
mod reachability;
mod record;
mod report;
mod settings;
mod suspicion;
mod timers;
mod view;

pub use change::Change;
pub use identity::{join_names, Identity, InvalidName, Name};
pub use message::{
    fleet_id, CallMessage, Datagram, FullView, MemberRow, MessageCounts, MessageError,
    PiggybackedMessage, RowState, MAX_CALL_BYTES, MAX_DATAGRAM_BYTES, SUPPORTED_FORMATS,
};
pub use peer_digests::Difference;
pub use protocol::{CallId, ConnId, Membership, MembershipAction, MembershipEvent, Start};
pub use quorum::FleetSize;
pub use record::{FormatRange, NodeState, Record, RecordVersion};
pub use report::{DifferingPeer, MemberReport, Report, ViewAgreement};
pub use settings::{InvalidSetting, MembershipSettings, RateLimit, SuspicionTimeout};
pub use view::{Entry, MemberState, View};
