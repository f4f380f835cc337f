//! How many nodes share the load, and whether that count is reliable: only while a majority of the last membership that
//! all members agreed on is present. Otherwise a partitioned minority would take itself for the whole fleet.

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
    /// Members of the last agreed membership, except those that have left since.
    pub agreed: usize,
    /// Whether more than half of the agreed membership is present. Otherwise the counts must not be used.
    pub majority: bool,
    /// Milliseconds since the last message or view from another member arrived; 0 if no other member is present.
    pub age_ms: u64,
}

/// The last membership that all members agreed on.
#[derive(Clone, Debug, Default)]
pub struct Quorum {
    agreed: BTreeSet<Name>,
    last_contact: Option<Micros>,
}

impl Quorum {
    /// Records that another member's message or view has arrived.
    pub fn record_contact(&mut self, now: Micros) {
        self.last_contact = Some(now);
    }

    /// Adopts a view on which all members have agreed for a while, if it contains a majority of the previously adopted
    /// membership or there was none.
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

    /// The current size of the fleet.
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
            now.saturating_sub(self.last_contact.unwrap_or(0))
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
