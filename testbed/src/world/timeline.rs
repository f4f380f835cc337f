//! Owns the time line: the troubles of a scenario, turned into single steps at their times, with those
//! whom they strike drawn from the seed. It carries out nothing.

use std::collections::BTreeMap;

use rand_pcg::Pcg64;

use super::{some_of, Micros, NodeCommand, NodeId, ServerIx};
use crate::scenario::{Fault, FaultKind, Outage, Scenario};

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A server fails this share of its requests at once.
    Failing(ServerIx, f64),
    /// A server is so many times slower.
    Slower(ServerIx, f64),
    /// A server falls silent, or is heard again.
    Silence(ServerIx, bool),
    /// A server's process ends.
    End(ServerIx),
    /// A server's process starts.
    Begin(ServerIx),
    /// A server drains and a new machine takes its place.
    Replace(ServerIx),
    /// A draining server takes nothing new from here on.
    TurnAway(ServerIx),
    /// A zone's servers are back (true) or away.
    Zone(usize, bool),
    /// Discovery goes out of reach, in this way, or is back.
    Discovery(Option<Outage>),
    /// Discovery calls a good server gone, or takes it back.
    Wrong(ServerIx, bool),
    /// Operators take a server out, or put it back.
    Cordon(ServerIx, bool),
    /// Something is done to a node.
    Node(NodeId, NodeCommand),
}

/// Steps by their times; those of one time in the order they were added.
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
        let mut line = Timeline::default();
        for trouble in &scenario.faults {
            line.expand(trouble.get_ref(), scenario, servers, nodes, rng);
        }
        line
    }

    pub(super) fn push(&mut self, at: Micros, step: Step) {
        self.added += 1;
        self.steps.insert((at, self.added), step);
    }

    pub(super) fn next_at(&self) -> Option<Micros> {
        self.steps.keys().next().map(|(at, _)| *at)
    }

    /// The first step due by `now`.
    pub(super) fn pop(&mut self, now: Micros) -> Option<(Micros, Step)> {
        let entry = self
            .steps
            .first_entry()
            .filter(|entry| entry.key().0 <= now)?;
        let at = entry.key().0;
        Some((at, entry.remove()))
    }

    fn expand(
        &mut self,
        t: &Fault,
        scenario: &Scenario,
        servers: usize,
        nodes: usize,
        rng: &mut Pcg64,
    ) {
        use FaultKind::*;
        let at = t.at_s.micros();
        let end = at + t.for_s.map_or(0, |span| span.micros());
        let step = t.step_s.map_or(0, |span| span.micros());
        let part = t.part.map_or(1.0, |part| part.0);
        let size = t.size.map_or(1.0, |size| size.0);
        let mut on = |of: usize, edges: &[(Micros, &dyn Fn(usize) -> Step)]| {
            for (nth, place) in some_of(of, part, rng).into_iter().enumerate() {
                for (at, make) in edges {
                    self.push(at + nth as Micros * step, make(place));
                }
            }
        };
        let node = |order: NodeCommand| move |n: usize| Step::Node(n, order);
        match t.kind {
            FastErrors => on(
                servers,
                &[
                    (at, &|s| Step::Failing(s, size)),
                    (end, &|s| Step::Failing(s, 0.0)),
                ],
            ),
            Slow => on(
                servers,
                &[
                    (at, &|s| Step::Slower(s, size.max(1.0))),
                    (end, &|s| Step::Slower(s, 1.0)),
                ],
            ),
            Silent => on(
                servers,
                &[
                    (at, &|s| Step::Silence(s, true)),
                    (end, &|s| Step::Silence(s, false)),
                ],
            ),
            Restart => on(servers, &[(at, &Step::End), (end, &Step::Begin)]),
            Replace => on(servers, &[(at, &Step::Replace)]),
            DiscoveryWrong => on(
                servers,
                &[
                    (at, &|s| Step::Wrong(s, true)),
                    (end, &|s| Step::Wrong(s, false)),
                ],
            ),
            Hand => on(
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
                    .position(|zone| Some(zone) == t.zone.as_ref());
                let zone = zone.unwrap_or(0);
                self.push(at, Step::Zone(zone, false));
                self.push(end, Step::Zone(zone, true));
            }
            DiscoveryAway | DiscoveryHangs | DiscoveryResets | DiscoveryErrors => {
                self.push(at, Step::Discovery(t.kind.outage()));
                self.push(end, Step::Discovery(None));
            }
            DiscoveryMoves => (0..nodes)
                .for_each(|node| self.push(at, Step::Node(node, NodeCommand::MoveDiscovery))),
            // The load itself swells: see `demand`.
            Burst => {}
        }
    }
}
