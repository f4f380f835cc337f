//! How many nodes share the load, and whether that count may be relied on: only with a majority of the last membership
//! that all members agreed on, so that a partitioned minority does not take itself for the whole fleet.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{MemberState, Name, NodeState, View};
use crate::Micros;

/// The size of the fleet as this agent knows it. Field names are those of the JSON report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSize {
    /// Nodes that serve.
    pub nodes: usize,
    /// Members present.
    pub members: usize,
    /// Members of the last agreed membership, without those that left.
    pub agreed: usize,
    /// Whether more than half of the agreed membership is present. Otherwise the counts must not be used.
    pub majority: bool,
    /// Milliseconds since another member was last heard from; 0 where there is none.
    pub age_ms: u64,
}

/// Tracks the last agreed membership.
#[derive(Clone, Debug, Default)]
pub struct Quorum {
    agreed: BTreeSet<Name>,
    last_heard: Option<Micros>,
}

impl Quorum {
    /// Another member was heard from.
    pub fn record_heard(&mut self, now: Micros) {
        self.last_heard = Some(now);
    }

    /// All views have agreed for a while: adopts this membership if it contains a majority of the previous one.
    pub fn adopt(&mut self, view: &View) {
        self.remove_left(view);
        if self.agreed.is_empty() || self.has_majority(view) {
            self.agreed = view
                .present()
                .map(|entry| entry.identity.name.clone())
                .collect();
        }
    }

    /// Removes members that left on purpose from the agreed membership.
    pub fn remove_left(&mut self, view: &View) {
        self.agreed.retain(|name| {
            view.get(name)
                .is_none_or(|entry| entry.state != MemberState::Left)
        });
    }

    fn has_majority(&self, view: &View) -> bool {
        let present = self
            .agreed
            .iter()
            .filter(|name| view.is_present(name))
            .count();
        present * 2 > self.agreed.len()
    }

    /// The current counts.
    pub fn fleet_size(&self, now: Micros, view: &View) -> FleetSize {
        let serves = |node: Option<NodeState>| node == Some(NodeState::Serving);
        let nodes = view
            .present()
            .filter(|entry| serves(entry.node_state()))
            .count();
        let members = view.present().count();
        let age = if members <= 1 {
            0
        } else {
            now.saturating_sub(self.last_heard.unwrap_or(0))
        };
        FleetSize {
            nodes,
            members,
            agreed: self.agreed.len(),
            majority: self.has_majority(view),
            age_ms: age / 1_000,
        }
    }
}
