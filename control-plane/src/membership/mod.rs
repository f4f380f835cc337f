//! Membership: which agents are present, have left or have failed, and whether all views of it agree. SWIM by the crate
//! `foca`, with Lifeguard's extensions (local health multiplier, dynamic suspicion timeouts, buddy system) and
//! anti-entropy by exchanges of full views. Pure: no I/O, no clock, random numbers from a seed; the host carries out
//! the actions.
//!
//! How a member is declared failed:
//!
//! 1. Probe: the member answers neither a direct probe in time nor an indirect probe through other members
//!    (`protocol/effects.rs`). The member that probed it is its accuser and broadcasts a suspicion notice.
//! 2. Suspicion: each agent that learns of it gives the suspect a deadline, which each further independent accuser
//!    brings forward (`suspicion.rs`, `timers.rs`). A suspect that is alive refutes under a higher incarnation before
//!    the deadline. It learns of the suspicion by gossip, from each datagram that a suspecting agent sends it, and from
//!    direct queries (`protocol/datagrams.rs`).
//! 3. Failure: at its deadline, each agent declares the suspect failed (`protocol/periodic.rs`). Gossip disseminates
//!    this to the agents that have not done so yet.
//!
//! A present member that is failed in another agent's full view becomes a suspect first (`protocol/view_exchange.rs`).
//! A member whose record says that it leaves counts as left, whatever the probes of it say (`view.rs`).

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
