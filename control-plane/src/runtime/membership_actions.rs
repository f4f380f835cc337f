//! Passes events to membership and carries out its actions.

use std::net::SocketAddr;

use tracing::warn;

use super::{agent_calls, change_log, AgentHost, Exit, HostEvent};
use crate::coordinator::{CoordinatorEvent, Member};
use crate::membership::{CallId, MembershipAction, MembershipEvent, Record};

impl AgentHost {
    /// Passes an event to membership and carries out its actions, in order.
    pub(super) fn on_membership(&mut self, event: MembershipEvent) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        self.membership.on_event(now, event, &mut actions);
        let mut changed = false;
        for action in actions {
            match action {
                MembershipAction::Send { to, bytes } => self.send_datagram(to, &bytes),
                MembershipAction::Call { call, to, bytes } => self.start_call(call, to, bytes),
                MembershipAction::Answer { conn, bytes } => {
                    if let Some(answer) = self.callers.remove(&conn) {
                        // The caller may have disconnected.
                        let _ = answer.send(bytes);
                    }
                }
                MembershipAction::Deliver { conn, message } => self.deliver(conn, *message),
                MembershipAction::Report(change) => {
                    change_log::log_change(&self.config.name, &change);
                    changed = true;
                }
                MembershipAction::NameRejected(holder) => self.on_name_rejected(holder),
                MembershipAction::Left => self.exit = Some(Exit::Left),
            }
        }
        if changed {
            self.update_coordinator_members();
        }
    }

    /// Sends a datagram. One that the socket does not accept is counted and lost, which the protocols tolerate.
    pub(super) fn send_datagram(&mut self, to: SocketAddr, bytes: &[u8]) {
        if self.udp.try_send_to(bytes, to).is_err() {
            self.unsent_datagrams += 1;
        }
    }

    fn start_call(&self, call: CallId, to: SocketAddr, bytes: Vec<u8>) {
        let from = self.config.listen.ip();
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let answer = agent_calls::call(from, to, bytes).await;
            // The receiver is closed once the main task has ended.
            let _ = events.send(HostEvent::CallEnded { call, answer }).await;
        });
    }

    /// Passes the members that are present to the coordinator.
    fn update_coordinator_members(&mut self) {
        let members = self
            .membership
            .view()
            .present()
            .map(|entry| Member {
                name: entry.identity.name.clone(),
                process: entry.identity.process,
                zone: entry
                    .record
                    .as_ref()
                    .map(|record| record.zone.clone())
                    .unwrap_or_default(),
            })
            .collect();
        self.coordinate(CoordinatorEvent::Members(members));
    }

    /// An older process has this agent's name: the agent ends at once, without leaving the fleet under that name.
    fn on_name_rejected(&mut self, holder: Box<Record>) {
        warn!(
            name = %self.config.name,
            holder = %holder.addr,
            started_ms = holder.started_ms,
            "refused: an older process holds this name; ending this agent and its node"
        );
        self.stopping = true;
        self.exit = Some(Exit::NameRejected(holder));
        if let Some(node) = &mut self.node {
            // The node serves under a name that belongs to another agent: it is killed without draining.
            node.kill_now();
        }
    }
}
