//! The front ends: the layer-4 load balancers that spread clients' connections over the nodes of their zone and
//! that notice the failure of a node with a delay.

use rand::{Rng, RngExt};

use super::{Micros, NodeId};
use crate::scenario::Scenario;

/// Time for which a node that reports not ready still gets new connections (DAYS).
const NOT_READY_DELAY: Micros = 200_000;

/// The state of a node as the front ends know it.
#[derive(Clone, Copy, Debug)]
enum NodeState {
    /// It has not reported ready since the start of the run.
    New,
    Ready,
    /// It is not ready or does not respond, and gets new connections until this time.
    ReadyUntil(Micros),
}

/// The front ends of all zones.
#[derive(Debug)]
pub struct FrontEnd {
    zones: usize,
    states: Vec<NodeState>,
    detection_time: Micros,
    /// Cache of the nodes that get connections, by zone: each try reads one list, and the lists seldom change.
    targets: Vec<Vec<NodeId>>,
    targets_valid_until: Micros,
}

impl FrontEnd {
    /// The front ends of a scenario. Their detection time is the middle of the configured range.
    pub fn for_scenario(scenario: &Scenario, nodes: usize) -> FrontEnd {
        let range = scenario.clients.front_end_detection_s;
        let detection_time = (range.low + range.high) / 2.0 * 1e6;
        FrontEnd::new(scenario.fleet.zones.len(), nodes, detection_time as Micros)
    }

    /// Front ends that notice after `detection_time` that a node is dead.
    pub fn new(zones: usize, nodes: usize, detection_time: Micros) -> FrontEnd {
        FrontEnd {
            zones,
            states: vec![NodeState::New; nodes],
            detection_time,
            targets: Vec::new(),
            targets_valid_until: 0,
        }
    }

    /// Records the answer of a node to the readiness check.
    pub fn set_ready(&mut self, now: Micros, node: NodeId, ready: bool) {
        self.targets_valid_until = 0;
        self.states[node] = match (ready, self.states[node]) {
            (true, _) => NodeState::Ready,
            (false, NodeState::Ready) => NodeState::ReadyUntil(now + NOT_READY_DELAY),
            (false, other) => other,
        };
    }

    /// Records that a node does not answer the readiness check. The front ends stop using it after their detection
    /// time.
    pub fn set_unresponsive(&mut self, now: Micros, node: NodeId) {
        if let NodeState::Ready = self.states[node] {
            self.targets_valid_until = 0;
            self.states[node] = NodeState::ReadyUntil(now + self.detection_time);
        }
    }

    /// Whether a node gets new connections.
    pub fn routes_to(&self, now: Micros, node: NodeId) -> bool {
        match self.states[node] {
            NodeState::New => false,
            NodeState::Ready => true,
            NodeState::ReadyUntil(end) => now < end,
        }
    }

    /// The nodes of a zone that get new connections; where there are none, those of all zones.
    pub fn nodes(&mut self, now: Micros, zone: usize) -> &[NodeId] {
        if now >= self.targets_valid_until {
            self.update_targets(now);
        }
        &self.targets[zone]
    }

    fn update_targets(&mut self, now: Micros) {
        let all: Vec<NodeId> = (0..self.states.len())
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
        self.targets = (0..self.zones).map(list).collect();
        let ends = self.states.iter().filter_map(|state| match state {
            NodeState::ReadyUntil(end) if *end > now => Some(*end),
            _ => None,
        });
        self.targets_valid_until = ends.min().unwrap_or(Micros::MAX);
    }

    /// A random one of these nodes; `None` where there are none.
    pub fn pick(nodes: &[NodeId], rng: &mut impl Rng) -> Option<NodeId> {
        (!nodes.is_empty()).then(|| nodes[rng.random_range(0..nodes.len())])
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_dead_node_is_noticed_after_the_detection_time_and_a_draining_one_sooner() {
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
            "clients of a zone without nodes go to the nodes of other zones"
        );
        front.set_ready(3_000_000, 0, true);
        assert_eq!(front.nodes(3_000_000, 0), [0]);
    }
}
