//! Membership: which agents are present, have left or have failed, and whether all agree on it. SWIM by `foca`, with
//! Lifeguard's extensions. Pure: no I/O, no clock, random numbers from a seed; the host carries out the actions.
//!
//! How a member comes to be called failed:
//!
//! 1. A direct probe of it is not answered in time, nor an indirect one through other members (`protocol/effects.rs`).
//!    Its accuser broadcasts a suspicion notice.
//! 2. Each agent that learns of it has a suspicion with a deadline, earlier with each independent accuser
//!    (`suspicion.rs`, `timers.rs`). Until then the suspect refutes under a higher incarnation if it is alive: gossip tells
//!    it, and so does each datagram to it, and direct queries (`protocol/datagrams.rs`).
//! 3. At the deadline the agent declares it failed (`protocol/periodic.rs`), and gossip tells those that have not.
//!
//! A present member that another agent's full view has as failed becomes a suspect first (`protocol/view_exchange.rs`).
//! One whose record says that it leaves has left, whatever its probes say (`view.rs`).

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
pub use protocol::{
    CallId, ConnId, Membership, MembershipAction, MembershipEvent, MembershipStart,
};
pub use quorum::FleetSize;
pub use record::{FormatRange, NodeState, Record, RecordVersion};
pub use report::{DifferingPeer, MemberReport, Report, ViewAgreement};
pub use settings::{InvalidSetting, MembershipSettings, RateLimit, SuspicionTimeout};
pub use view::{Entry, MemberState, View};
