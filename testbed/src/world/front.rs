//! Owns the plain layer that deals out clients' connections among the nodes of their zone, and that
//! notices late what has happened to a node.

use rand::{Rng, RngExt};

use super::{Micros, NodeId};
use crate::scenario::Scenario;

/// New connections still come for this long after a node said that it is not ready (DAYS).
const STILL_COMES: Micros = 200_000;

/// What the front believes of a node.
#[derive(Clone, Copy, Debug)]
enum Belief {
    /// It has not yet said that it is ready.
    New,
    Ready,
    /// It gets new connections until then.
    Until(Micros),
}

/// The fronts of all zones.
#[derive(Debug)]
pub struct FrontEnd {
    zones: usize,
    beliefs: Vec<Belief>,
    notice: Micros,
    /// The lists of nodes, by zone, until then: tries ask for one each, and they change seldom.
    dealt: Vec<Vec<NodeId>>,
    until: Micros,
}

impl FrontEnd {
    /// The fronts of a scenario: they notice a death after the middle of its span.
    pub fn for_scenario(scenario: &Scenario, nodes: usize) -> FrontEnd {
        let notice = scenario.clients.front_notice_s;
        let notice = (notice.low + notice.high) / 2.0 * 1e6;
        FrontEnd::new(scenario.fleet.zones.len(), nodes, notice as Micros)
    }

    /// Fronts of so many zones and nodes that notice a death after `notice`.
    pub fn new(zones: usize, nodes: usize, notice: Micros) -> FrontEnd {
        FrontEnd {
            zones,
            beliefs: vec![Belief::New; nodes],
            notice,
            dealt: Vec::new(),
            until: 0,
        }
    }

    /// A node has answered whether it is ready.
    pub fn set_ready(&mut self, now: Micros, node: NodeId, ready: bool) {
        self.until = 0;
        self.beliefs[node] = match (ready, self.beliefs[node]) {
            (true, _) => Belief::Ready,
            (false, Belief::Ready) => Belief::Until(now + STILL_COMES),
            (false, other) => other,
        };
    }

    /// A node does not answer; the front believes it after its while.
    pub fn set_unresponsive(&mut self, now: Micros, node: NodeId) {
        if let Belief::Ready = self.beliefs[node] {
            self.until = 0;
            self.beliefs[node] = Belief::Until(now + self.notice);
        }
    }

    /// Whether it sends new connections to a node.
    pub fn routes_to(&self, now: Micros, node: NodeId) -> bool {
        match self.beliefs[node] {
            Belief::New => false,
            Belief::Ready => true,
            Belief::Until(end) => now < end,
        }
    }

    /// The nodes of a zone that it deals to; where there are none, those of all zones.
    pub fn nodes(&mut self, now: Micros, zone: usize) -> &[NodeId] {
        if now >= self.until {
            self.deal(now);
        }
        &self.dealt[zone]
    }

    fn deal(&mut self, now: Micros) {
        let all: Vec<NodeId> = (0..self.beliefs.len())
            .filter(|&node| self.routes_to(now, node))
            .collect();
        let list = |zone: usize| {
            let own: Vec<NodeId> = all
                .iter()
                .copied()
                .filter(|node| node % self.zones == zone)
                .collect();
            if own.is_empty() {
                all.clone()
            } else {
                own
            }
        };
        self.dealt = (0..self.zones).map(list).collect();
        let ends = self.beliefs.iter().filter_map(|belief| match belief {
            Belief::Until(end) if *end > now => Some(*end),
            _ => None,
        });
        self.until = ends.min().unwrap_or(Micros::MAX);
    }

    /// One of some nodes.
    pub fn pick(nodes: &[NodeId], rng: &mut impl Rng) -> Option<NodeId> {
        (!nodes.is_empty()).then(|| nodes[rng.random_range(0..nodes.len())])
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_dead_node_is_noticed_late_and_a_draining_one_soon() {
        let mut front = FrontEnd::new(2, 4, 2_000_000);
        assert!(front.nodes(0, 0).is_empty());
        (0..4).for_each(|node| front.set_ready(0, node, true));
        assert_eq!(front.nodes(0, 0), [0, 2]);
        front.set_unresponsive(1_000_000, 0);
        front.set_unresponsive(2_000_000, 0);
        front.set_ready(1_000_000, 2, false);
        assert_eq!(front.nodes(1_100_000, 0), [0, 2]);
        assert_eq!(front.nodes(1_300_000, 0), [0]);
        assert_eq!(
            front.nodes(3_000_000, 0),
            [1, 3],
            "a zone without nodes goes to the others"
        );
        front.set_ready(3_000_000, 0, true);
        assert_eq!(front.nodes(3_000_000, 0), [0]);
    }
}
