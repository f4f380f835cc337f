//! Passes events to the supervisor and carries out its actions on the node's process.

use tracing::info;

use super::AgentHost;
use crate::membership::{MembershipEvent, NodeState};
use crate::supervisor::{SupervisorAction, SupervisorEvent};

impl AgentHost {
    /// Passes an event to the supervisor and carries out its actions, in order.
    pub(super) fn supervise(&mut self, event: SupervisorEvent) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        self.supervisor.on_event(now, event, &mut actions);
        for action in actions {
            let Some(node) = &mut self.node else { return };
            match action {
                SupervisorAction::Start => self.start_node(),
                SupervisorAction::QueryStatus => node.query_status(),
                SupervisorAction::Terminate => node.terminate(),
                SupervisorAction::Kill => node.kill(),
                SupervisorAction::CloseListener => node.close_listener(),
                SupervisorAction::ReportState { state, note } => self.on_node_state(state, note),
                SupervisorAction::Finished => {
                    self.node_ended = true;
                    self.leave_if_done();
                }
            }
        }
    }

    fn start_node(&mut self) {
        let Some(node) = &mut self.node else { return };
        let event = match node.start() {
            Ok(pid) => {
                self.metrics.record_node_start(self.clock.now());
                SupervisorEvent::Started(pid)
            }
            Err(error) => SupervisorEvent::StartFailed(error.to_string()),
        };
        self.supervise(event);
    }

    /// Logs the node's state and has membership publish it.
    fn on_node_state(&mut self, state: NodeState, note: String) {
        info!(node = state.as_str(), note, "node changed state");
        self.node_state = state;
        self.on_membership(MembershipEvent::NodeStateChanged { state, note });
    }
}
