//! Changes of membership that an agent reports, for logs and metrics.

use super::{Difference, MemberState, Name, NodeState, Record};
use crate::Micros;

/// A change of membership.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member's state, or its identity, changed.
    Member {
        /// The member.
        name: Name,
        /// Its previous state; `None` for a new member.
        from: Option<MemberState>,
        /// Its state now.
        to: MemberState,
        /// Its generation.
        generation: u64,
        /// What its latest record says of its node.
        note: String,
    },
    /// The state of a member's node changed.
    Node {
        /// The member.
        name: Name,
        /// The node's state now.
        to: NodeState,
    },
    /// A failed or left member was forgotten, as its time was up.
    Forgotten(Name),
    /// This process was paused for this long.
    Paused(Micros),
    /// This agent was declared failed by others and rejoined under this generation.
    Rejoined(u64),
    /// This agent joined a fleet through a seed.
    Joined {
        /// Members known then.
        members: usize,
    },
    /// No seed answered. The agent goes on alone and keeps trying.
    NoSeedAnswered,
    /// A newer process of this agent's name was rejected.
    DuplicateNameRejected(Box<Record>),
    /// A member's view differs lastingly.
    ViewsDiffer {
        /// The member.
        peer: Name,
        /// The first few differences.
        differences: Vec<Difference>,
    },
}
