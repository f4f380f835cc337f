//! Passes events to the supervisor and carries out its actions on the node's process.

use tracing::info;

use super::AgentHost;
use crate::membership::{self, NodeState};
use crate::supervisor::{Action, Event};

impl AgentHost {
    pub(super) fn supervise(&mut self, event: Event) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        self.supervisor.on_event(now, event, &mut actions);
        for action in actions {
            let Some(node) = &mut self.node else { return };
            match action {
                Action::Start => self.start_node(),
                Action::QueryStatus => node.query_status(),
                Action::Terminate => node.terminate(),
                Action::Kill => node.kill(),
                Action::CloseListener => node.close_listener(),
                Action::ReportState { state, note } => self.on_node_state(state, note),
                Action::Finished => {
                    self.drained = true;
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
                Event::Started(pid)
            }
            Err(error) => Event::StartFailed(error.to_string()),
        };
        self.supervise(event);
    }

    fn on_node_state(&mut self, state: NodeState, note: String) {
        info!(node = state.as_str(), note, "node");
        self.node_state = state;
        self.on_membership(membership::Event::NodeStateChanged { state, note });
    }
}
