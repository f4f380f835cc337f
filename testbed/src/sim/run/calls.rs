//! Owns the nodes' calls to discovery where the list is asked for: whether one is out or answered, and what
//! becomes of it while discovery is out of reach.

use super::*;
use crate::scenario::{Mode, Outage};

/// How long a host waits for an answer to a call.
const PATIENCE: Micros = 3_500_000;
/// A subscription silent for this long is broken.
const SILENCE: Micros = 2_750_000;
/// From a call to its answer.
const ROUND_TRIP: Micros = 1_000;

/// A process and discovery. Calls are numbered, so that the end of one is not taken for that of another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Call {
    #[default]
    None,
    /// Called, and not answered yet; or answered once and silent.
    Out(u64),
    /// Subscribed.
    Answered(u64),
}

impl Call {
    fn number(self) -> u64 {
        match self {
            Call::None => 0,
            Call::Out(number) | Call::Answered(number) => number,
        }
    }
}

impl Run<'_> {
    /// Whether what is new comes to a process.
    pub(super) fn hears(&self, process: ProcessIx) -> bool {
        let pushed = self.plan.scenario.discovery.mode == Mode::Push;
        pushed || matches!(self.processes[process].call, Call::Answered(_))
    }

    /// A process subscribes: once, however often it says so.
    pub(super) fn call(&mut self, process: ProcessIx) {
        if self.plan.scenario.discovery.mode == Mode::Push
            || self.processes[process].call != Call::None
        {
            return;
        }
        self.calls += 1;
        self.processes[process].call = Call::Out(self.calls);
        let (after, answered) = match self.world.registry().outage() {
            None => (ROUND_TRIP, true),
            Some(Outage::Silent | Outage::Hangs) => (PATIENCE, false),
            Some(Outage::Resets | Outage::Errors) => (ROUND_TRIP, false),
        };
        self.queue
            .push(self.now + after, Due::Call(process, self.calls, answered));
    }

    /// A call is answered, or it or its subscription has failed.
    pub(super) fn end_call(&mut self, process: ProcessIx, number: u64, answered: bool) {
        if !self.processes[process].alive || self.processes[process].call.number() != number {
            return;
        }
        if answered && self.world.registry().outage().is_none() {
            self.processes[process].call = Call::Answered(number);
            return self.bring(process);
        }
        self.processes[process].call = Call::None;
        self.deliver(
            process,
            Event::EndpointUpdate {
                kind: UpdateKind::Failed,
                endpoints: Vec::new(),
            },
        );
    }

    /// Discovery goes out of reach: subscriptions break, at once or once they have been silent.
    pub(super) fn lose_discovery(&mut self, outage: Outage) {
        let after = match outage {
            Outage::Silent | Outage::Hangs => SILENCE,
            Outage::Resets | Outage::Errors => 0,
        };
        for (process, state) in self.processes.iter().enumerate() {
            if let Call::Answered(number) = state.call {
                self.queue
                    .push(self.now + after, Due::Call(process, number, false));
            }
        }
    }

    /// A process gets what changed since what it has.
    fn bring(&mut self, process: ProcessIx) {
        let (node, known) = (
            self.processes[process].node,
            self.processes[process].revision,
        );
        let registry = self.world.registry();
        let (newest, changed) = (
            registry.revision(node),
            registry.changes_since(node, known).unwrap_or_default(),
        );
        self.processes[process].revision = newest;
        for entry in &changed {
            self.checker
                .server_phase_known(node, &entry.id, entry.phase, self.now);
        }
        let members = self.members(&changed);
        self.deliver(
            process,
            Event::EndpointUpdate {
                kind: UpdateKind::Delta,
                endpoints: members,
            },
        );
    }

    /// A node's agent has something new: it counts as told later in any case.
    pub(super) fn tell(&mut self, node: NodeId) {
        let changed = self
            .world
            .registry()
            .changes_since(node, 1)
            .unwrap_or_default();
        for entry in changed
            .iter()
            .filter(|entry| entry.phase != Phase::InService)
        {
            self.checker.server_phase_known(
                node,
                &entry.id,
                entry.phase,
                self.now + DISCOVERY_GRACE,
            );
        }
        let of_node = |p: &ProcessIx| self.processes[*p].node == node && self.processes[*p].alive;
        let told: Vec<ProcessIx> = (0..self.processes.len())
            .filter(|p| of_node(p) && self.hears(*p))
            .collect();
        told.into_iter().for_each(|process| self.bring(process));
    }
}
