//! Changes of membership that an agent reports, for logs and metrics.

use super::{Difference, MemberState, Name, NodeState, Record};
use crate::Micros;

/// A change of membership.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member's state, or its identity, changed.
    Member {
        /// Name of the member.
        name: Name,
        /// The member's previous state; `None` for a new member.
        from: Option<MemberState>,
        /// The member's state now.
        to: MemberState,
        /// The member's generation.
        generation: u64,
        /// State and latest note of its node; empty while its record is not known.
        note: String,
    },
    /// The state of a member's node changed.
    Node {
        /// Name of the member.
        name: Name,
        /// The node's state now.
        to: NodeState,
    },
    /// A failed or left member is no longer remembered: its `forget-after` time is over.
    Forgotten(Name),
    /// This process was paused for this many microseconds.
    Paused(Micros),
    /// This agent was declared failed by others and rejoined under this generation.
    Rejoined(u64),
    /// This agent joined a fleet through a seed.
    Joined {
        /// Number of members after the join, this agent included.
        members: usize,
    },
    /// No seed answered. The agent continues alone and keeps calling its seeds.
    NoSeedAnswered,
    /// A newer process of this agent's name was rejected.
    DuplicateNameRejected(Box<Record>),
    /// A member's view has differed from this agent's for the convergence timeout or longer.
    ViewsDiffer {
        /// Name of that member.
        peer: Name,
        /// The first few differences.
        differences: Vec<Difference>,
    },
}
