//! Events that the host reports to membership, and actions that membership requests from the host.

use std::net::SocketAddr;

use crate::membership::{CallMessage, Change, NodeState, Record};

/// Identifies a call made by this agent, until its answer.
pub type CallId = u64;
/// Identifies a call made to this agent, until it is answered.
pub type ConnId = u64;

/// The input from which membership is created.
#[derive(Clone, Debug)]
pub struct MembershipStart {
    /// The agent's record. Its generation and version are set by [`Membership::new`](super::Membership::new).
    pub record: Record,
    /// Addresses of the agents to join through. The agent's own address is ignored.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// An event that the host reports to membership.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// The agent is ready to send and receive. This is the first event and occurs once.
    Start,
    /// A datagram was received.
    Datagram(Vec<u8>),
    /// Another agent has made a call. It is answered with [`MembershipAction::Answer`] or not at all.
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
    /// The time of [`Membership::next_wake`](super::Membership::next_wake) has come. The host first reports what has
    /// arrived from the network.
    Wake,
    /// The state of the agent's node has changed, or there is a new note about it.
    NodeStateChanged {
        /// The node's state now.
        state: NodeState,
        /// Latest notable event of the node, for operators.
        note: String,
    },
    /// The agent is shutting down and is to leave the fleet.
    Leave,
}

/// An action that the host is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The encoded datagram.
        bytes: Vec<u8>,
    },
    /// Call another agent. The host answers with [`MembershipEvent::Answered`] or [`MembershipEvent::CallFailed`].
    Call {
        /// Identifies the call.
        call: CallId,
        /// Address of the agent to call.
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
    /// Handle a message that is not for membership.
    Deliver {
        /// The call to answer; `None` if the message arrived by datagram.
        conn: Option<ConnId>,
        /// The call, or the consensus message that arrived by datagram.
        message: Box<CallMessage>,
    },
    /// Report a change of membership.
    Report(Change),
    /// A process that started earlier, whose record this is, has this agent's name: the agent must shut down.
    NameRejected(Box<Record>),
    /// The agent has left and may shut down.
    Left,
}
