//! Owns the count of nodes that others may go by, and whether it may be believed: only by a majority of the last
//! membership that all agreed on, so that a cut-off part doesn't take itself for the fleet.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{Name, NodeState, Presence, View};
use crate::Micros;

/// How many nodes share the work, as far as this agent knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Present {
    /// Nodes that serve.
    pub nodes: usize,
    /// Members present.
    pub members: usize,
    /// Members of the last membership that all agreed on, without those that left.
    pub agreed: usize,
    /// More than half of those are present. Without it the count is not to be used.
    pub majority: bool,
    /// Milliseconds since another member was last heard of; 0 where there is no other.
    pub age_ms: u64,
}

/// The last agreed membership.
#[derive(Clone, Debug, Default)]
pub struct Quorum {
    agreed: BTreeSet<Name>,
    heard: Option<Micros>,
}

impl Quorum {
    /// A member was heard.
    pub fn heard(&mut self, now: Micros) {
        self.heard = Some(now);
    }

    /// All views have agreed for a while. Taken over where it holds a majority of the membership before it.
    pub fn agree(&mut self, view: &View) {
        self.leave(view);
        if self.agreed.is_empty() || self.majority(view) {
            self.agreed = view
                .present()
                .map(|entry| entry.identity.name.clone())
                .collect();
        }
    }

    /// Who left on purpose is not missed.
    pub fn leave(&mut self, view: &View) {
        self.agreed.retain(|name| {
            view.get(name)
                .is_none_or(|entry| entry.presence != Presence::Left)
        });
    }

    fn majority(&self, view: &View) -> bool {
        !self.agreed.is_empty()
            && self.agreed.iter().filter(|name| view.has(name)).count() * 2 > self.agreed.len()
    }

    /// The count, and whether it may be used.
    pub fn present(&self, now: Micros, view: &View) -> Present {
        let serves = |node: Option<NodeState>| node == Some(NodeState::Serving);
        let nodes = view
            .present()
            .filter(|entry| serves(entry.record.as_ref().map(|record| record.node)))
            .count();
        let members = view.present().count();
        let age = match (members, self.heard) {
            (0..=1, _) => 0,
            (_, heard) => now - heard.unwrap_or(0).min(now),
        };
        Present {
            nodes,
            members,
            agreed: self.agreed.len(),
            majority: self.majority(view),
            age_ms: age / 1_000,
        }
    }
}
