//! The processes' subscriptions with discovery in [`Mode::Poll`], and how they fail during an outage of discovery.

use super::*;
use crate::scenario::{Mode, Outage};

/// Time-out of a call to discovery.
const CALL_TIMEOUT: Micros = 3_500_000;
/// A subscription without data for this time is considered broken.
const SUBSCRIPTION_TIMEOUT: Micros = 2_750_000;
/// Time from a call to its answer.
const ROUND_TRIP: Micros = 1_000;

/// The subscription of a process with discovery. Calls are numbered, so that the end of an old call is not taken for
/// that of the current one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Call {
    #[default]
    None,
    /// A call is pending.
    Pending(u64),
    /// The call with this number was answered and is now the subscription.
    Subscribed(u64),
}

impl Call {
    fn number(self) -> u64 {
        match self {
            Call::None => 0,
            Call::Pending(number) | Call::Subscribed(number) => number,
        }
    }
}

impl Run<'_> {
    /// Whether a process gets changes of the endpoint list.
    pub(super) fn receives_updates(&self, process: ProcessIx) -> bool {
        let push = self.plan.scenario.discovery.mode == Mode::Push;
        push || matches!(self.processes[process].call, Call::Subscribed(_))
    }

    /// Sends the call by which a process subscribes. Does nothing if the list is pushed, or if the process has
    /// subscribed or has a pending call.
    pub(super) fn call(&mut self, process: ProcessIx) {
        if self.plan.scenario.discovery.mode == Mode::Push
            || self.processes[process].call != Call::None
        {
            return;
        }
        self.calls += 1;
        self.processes[process].call = Call::Pending(self.calls);
        let (after, answered) = match self.world.registry().outage() {
            None => (ROUND_TRIP, true),
            Some(Outage::Silent | Outage::Hangs) => (CALL_TIMEOUT, false),
            Some(Outage::Resets | Outage::Errors) => (ROUND_TRIP, false),
        };
        self.queue.push(
            self.now + after,
            QueuedEvent::CallEnded(process, self.calls, answered),
        );
    }

    /// Handles the answer to a call, or the failure of a call or of its subscription. Ignores the end of an old call.
    pub(super) fn end_call(&mut self, process: ProcessIx, number: u64, answered: bool) {
        if !self.processes[process].alive || self.processes[process].call.number() != number {
            return;
        }
        if answered && self.world.registry().outage().is_none() {
            self.processes[process].call = Call::Subscribed(number);
            return self.send_update(process);
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

    /// Breaks all subscriptions as an outage of discovery begins: at once where it closes connections, otherwise after
    /// `SUBSCRIPTION_TIMEOUT`.
    pub(super) fn discovery_outage(&mut self, outage: Outage) {
        let after = match outage {
            Outage::Silent | Outage::Hangs => SUBSCRIPTION_TIMEOUT,
            Outage::Resets | Outage::Errors => 0,
        };
        for (process, state) in self.processes.iter().enumerate() {
            if let Call::Subscribed(number) = state.call {
                self.queue.push(
                    self.now + after,
                    QueuedEvent::CallEnded(process, number, false),
                );
            }
        }
    }

    /// Sends a process the changes since the version that it has.
    fn send_update(&mut self, process: ProcessIx) {
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
        let endpoints = self.endpoints(&changed);
        self.deliver(
            process,
            Event::EndpointUpdate {
                kind: UpdateKind::Delta,
                endpoints,
            },
        );
    }

    /// Passes a new version of the list from a node's agent to the node's processes that receive updates. The checker
    /// expects the node to know of servers that drain or have ended at the latest after `DISCOVERY_GRACE`, even if it
    /// has not subscribed.
    pub(super) fn endpoints_updated(&mut self, node: NodeId) {
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
        let receivers: Vec<ProcessIx> = (0..self.processes.len())
            .filter(|p| of_node(p) && self.receives_updates(*p))
            .collect();
        receivers
            .into_iter()
            .for_each(|process| self.send_update(process));
    }
}
