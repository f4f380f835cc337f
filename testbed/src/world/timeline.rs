//! The timeline: the faults of a scenario as single steps with their times. The servers and nodes affected are
//! drawn from the seed.

use std::collections::BTreeMap;

use rand_pcg::Pcg64;

use super::{sample_indices, Micros, NodeCommand, NodeId, ServerIx};
use crate::scenario::{Fault, FaultKind, Outage, Scenario};

/// A single change to a server, a zone, discovery or a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A server fails this share of its requests without work.
    FailRequests(ServerIx, f64),
    /// A server is slower by this factor.
    SlowDown(ServerIx, f64),
    /// A server stops responding (true), or responds again.
    Silence(ServerIx, bool),
    /// A server's process stops.
    StopProcess(ServerIx),
    /// A server's process starts.
    StartProcess(ServerIx),
    /// A server drains and a new machine takes its place.
    Replace(ServerIx),
    /// A draining server rejects new requests from now on.
    RejectNew(ServerIx),
    /// All servers of a zone come back (true) or go down.
    Zone(usize, bool),
    /// An outage of discovery begins, or ends (`None`).
    Discovery(Option<Outage>),
    /// Discovery lists a running server as terminated (true), or corrects that.
    FalseRemoval(ServerIx, bool),
    /// Operators cordon a server (true), or uncordon it.
    Cordon(ServerIx, bool),
    /// A command to a node.
    Node(NodeId, NodeCommand),
}

/// The steps by time. Steps of the same time keep the order in which they were added.
#[derive(Debug, Default)]
pub struct Timeline {
    steps: BTreeMap<(Micros, u64), Step>,
    added: u64,
}

impl Timeline {
    pub(super) fn new(
        scenario: &Scenario,
        servers: usize,
        nodes: usize,
        rng: &mut Pcg64,
    ) -> Timeline {
        let mut timeline = Timeline::default();
        for fault in &scenario.faults {
            timeline.expand(fault.get_ref(), scenario, servers, nodes, rng);
        }
        timeline
    }

    pub(super) fn push(&mut self, at: Micros, step: Step) {
        self.added += 1;
        self.steps.insert((at, self.added), step);
    }

    pub(super) fn next_at(&self) -> Option<Micros> {
        self.steps.keys().next().map(|(at, _)| *at)
    }

    /// Removes the first step that is due at `now`.
    pub(super) fn pop(&mut self, now: Micros) -> Option<(Micros, Step)> {
        let entry = self
            .steps
            .first_entry()
            .filter(|entry| entry.key().0 <= now)?;
        let at = entry.key().0;
        Some((at, entry.remove()))
    }

    /// Adds the steps of a fault.
    fn expand(
        &mut self,
        fault: &Fault,
        scenario: &Scenario,
        servers: usize,
        nodes: usize,
        rng: &mut Pcg64,
    ) {
        use FaultKind::*;
        let at = fault.at_s.micros();
        let end = at + fault.for_s.map_or(0, |seconds| seconds.micros());
        let stagger = fault.stagger_s.map_or(0, |seconds| seconds.micros());
        let share = fault.share.map_or(1.0, |share| share.0);
        let magnitude = fault.magnitude.map_or(1.0, |magnitude| magnitude.0);
        // Draws the servers or nodes affected, and adds the steps for each, one `stagger` after the other.
        let mut on = |count: usize, steps: &[(Micros, &dyn Fn(usize) -> Step)]| {
            for (nth, index) in sample_indices(count, share, rng).into_iter().enumerate() {
                for (at, make) in steps {
                    self.push(at + nth as Micros * stagger, make(index));
                }
            }
        };
        let node = |command: NodeCommand| move |n: usize| Step::Node(n, command);
        match fault.kind {
            FastErrors => on(
                servers,
                &[
                    (at, &|s| Step::FailRequests(s, magnitude)),
                    (end, &|s| Step::FailRequests(s, 0.0)),
                ],
            ),
            Slow => on(
                servers,
                &[
                    (at, &|s| Step::SlowDown(s, magnitude.max(1.0))),
                    (end, &|s| Step::SlowDown(s, 1.0)),
                ],
            ),
            Silent => on(
                servers,
                &[
                    (at, &|s| Step::Silence(s, true)),
                    (end, &|s| Step::Silence(s, false)),
                ],
            ),
            Restart => on(
                servers,
                &[(at, &Step::StopProcess), (end, &Step::StartProcess)],
            ),
            Replace => on(servers, &[(at, &Step::Replace)]),
            DiscoveryWrong => on(
                servers,
                &[
                    (at, &|s| Step::FalseRemoval(s, true)),
                    (end, &|s| Step::FalseRemoval(s, false)),
                ],
            ),
            Cordon => on(
                servers,
                &[
                    (at, &|s| Step::Cordon(s, true)),
                    (end, &|s| Step::Cordon(s, false)),
                ],
            ),
            NodeCrash => on(
                nodes,
                &[
                    (at, &node(NodeCommand::Kill)),
                    (end, &node(NodeCommand::Start)),
                ],
            ),
            NodeRoll => on(
                nodes,
                &[
                    (at, &node(NodeCommand::Stop)),
                    (end, &node(NodeCommand::Start)),
                ],
            ),
            Upgrade => on(nodes, &[(at, &node(NodeCommand::Upgrade))]),
            Drain => on(
                nodes,
                &[
                    (at, &node(NodeCommand::Standby(true))),
                    (end, &node(NodeCommand::Standby(false))),
                ],
            ),
            LostZone => {
                let zone = scenario
                    .fleet
                    .zones
                    .iter()
                    .position(|zone| Some(zone) == fault.zone.as_ref());
                let zone = zone.unwrap_or(0);
                self.push(at, Step::Zone(zone, false));
                self.push(end, Step::Zone(zone, true));
            }
            DiscoveryAway | DiscoveryHangs | DiscoveryResets | DiscoveryErrors => {
                self.push(at, Step::Discovery(fault.kind.outage()));
                self.push(end, Step::Discovery(None));
            }
            DiscoveryMoves => (0..nodes)
                .for_each(|node| self.push(at, Step::Node(node, NodeCommand::MoveDiscovery))),
            // `Demand` raises the rate itself.
            Burst => {}
        }
    }
}
