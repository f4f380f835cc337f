//! What membership is informed of, and what it asks its host to do.

use std::net::SocketAddr;

use crate::membership::{CallMessage, Change, NodeState, Record};

/// Identifies a call made by this agent, until its answer.
pub type CallId = u64;
/// Identifies a call made to this agent, until it is answered.
pub type ConnId = u64;

/// What membership starts with.
#[derive(Clone, Debug)]
pub struct MembershipStart {
    /// Its record. Generation and version are set by [`Membership::new`](super::Membership::new).
    pub record: Record,
    /// Addresses to join by. The agent's own is ignored.
    pub seeds: Vec<SocketAddr>,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// What membership is informed of.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// The agent is ready to send and receive. Once, and first.
    Start,
    /// A datagram was received.
    Datagram(Vec<u8>),
    /// Another agent calls. The call is answered with [`MembershipAction::Answer`] or not at all.
    Called {
        /// Identifies the call.
        conn: ConnId,
        /// The encoded [`CallMessage`].
        bytes: Vec<u8>,
    },
    /// A call of this agent was answered.
    Answered {
        /// Identifies the call.
        call: CallId,
        /// The encoded [`CallMessage`].
        bytes: Vec<u8>,
    },
    /// A call of this agent failed, or was not answered in time.
    CallFailed(CallId),
    /// The time of [`Membership::next_wake`](super::Membership::next_wake) has come. Hosts deliver what has arrived over
    /// the network first.
    Wake,
    /// The state of the node beside the agent changed, or there is a new note about it.
    NodeStateChanged {
        /// Its state.
        state: NodeState,
        /// The latest notable event, for operators.
        note: String,
    },
    /// The agent shuts down and leaves the fleet.
    Leave,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The encoded datagram.
        bytes: Vec<u8>,
    },
    /// Call another agent. The host answers with [`MembershipEvent::Answered`] or [`MembershipEvent::CallFailed`].
    Call {
        /// Identifies the call.
        call: CallId,
        /// The receiver.
        to: SocketAddr,
        /// The encoded [`CallMessage`].
        bytes: Vec<u8>,
    },
    /// Answer a call.
    Answer {
        /// Identifies the call.
        conn: ConnId,
        /// The encoded [`CallMessage`].
        bytes: Vec<u8>,
    },
    /// Deliver a message that is not for membership, with the call to answer where it came by one.
    Deliver {
        /// Identifies the call.
        conn: Option<ConnId>,
        /// The message.
        message: Box<CallMessage>,
    },
    /// Report a change of membership.
    Report(Change),
    /// An older process has this agent's name: the agent must shut down.
    NameRejected(Box<Record>),
    /// The agent has left and may shut down.
    Left,
}
