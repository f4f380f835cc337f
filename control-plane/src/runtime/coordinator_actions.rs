//! Carries out the coordinator's actions: messages between voters, calls to other agents, answers, and updates of this
//! agent's node.

use tokio::sync::oneshot;
use tracing::{info, warn};

use super::coordinator_host::Caller;
use super::{agent_calls, change_log, AgentHost, HostEvent};
use crate::coordinator::{
    CommandRequest, CommandResult, CoordinatorAction, CoordinatorEvent, FleetUpdate,
};
use crate::lease::{FencingTokens, Handover, StaleToken};
use crate::membership::{CallMessage, ConnId, MembershipAction, Name};
use crate::metrics::MetricsQuery;

/// Logged instead of a name while a role has no holder, or the replicated log no leader.
const NOBODY: &str = "nobody";

impl AgentHost {
    /// Handles a message or a call from another agent that is for the coordinator or the metrics. `conn` is `None` for
    /// a message that came in a datagram; it gets no answer.
    pub(super) fn deliver(&mut self, conn: Option<ConnId>, message: CallMessage) {
        let answer = conn.and_then(|conn| self.callers.remove(&conn));
        match (message, answer) {
            (CallMessage::Consensus(bytes), _) => self.coordinate(CoordinatorEvent::Message(bytes)),
            (CallMessage::ForwardCommand(request), Some(answer)) => {
                let call = self.coordinator.register(Caller::Agent(answer));
                self.coordinate(CoordinatorEvent::RequestReceived { call, request });
            }
            (CallMessage::QueryMetrics(query), Some(answer)) => self.answer_query(&query, answer),
            (CallMessage::QueryFleetMetrics(hops), Some(answer)) => {
                self.on_fleet_metrics_called(hops, answer)
            }
            (CallMessage::ApplyUpdate(update), Some(answer)) => {
                let call = self.coordinator.register(Caller::Agent(answer));
                self.coordinate(CoordinatorEvent::UpdateReceived { call, update });
            }
            _ => {}
        }
    }

    /// Answers a query of the metrics of this agent's node. A query under a stale fencing token gets no answer.
    fn answer_query(&mut self, query: &MetricsQuery, answer: oneshot::Sender<Vec<u8>>) {
        if let Err(stale) = self.coordinator.core.check_token(query.role, query.token) {
            warn!(
                token = stale.token,
                seen = stale.seen,
                "metrics query rejected: a newer fencing token of the role has been seen"
            );
            return;
        }
        let message = CallMessage::NodeMetrics(self.answer_metrics_query(query));
        // The caller may have disconnected.
        let _ = answer.send(self.membership.encode_call(&message));
    }

    /// Passes an event to the coordinator, and carries out its actions.
    pub(super) fn coordinate(&mut self, event: CoordinatorEvent) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        self.coordinator.core.on_event(now, event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: CoordinatorAction) {
        match action {
            CoordinatorAction::Send { to, bytes } => self.send_to_voter(&to, bytes),
            CoordinatorAction::Persist { number, batch } => self.coordinator.persist(number, batch),
            CoordinatorAction::Forward { call, to, request } => self.forward(call, &to, request),
            CoordinatorAction::Reply { call, result } => self.reply(call, result),
            CoordinatorAction::SendUpdate { to, update } => self.send_update(to, update),
            CoordinatorAction::ApplyUpdate {
                call,
                update,
                fencing,
            } => self.apply_update(call, &update, fencing),
            CoordinatorAction::RejectUpdate { call, stale } => self.reject_update(call, stale),
            CoordinatorAction::RoleHandedOver(handover) => log_handover(&handover),
            CoordinatorAction::AlarmChanged { alarm, raised } => {
                change_log::log_alarm(&alarm, raised.as_ref())
            }
            CoordinatorAction::VoteLost(reason) => {
                warn!(
                    why = reason.as_str(),
                    "this agent has lost its vote; it forwards commands to other voters"
                );
            }
            CoordinatorAction::HandoverComplete => {
                self.handed_over = true;
                self.leave_if_done();
            }
            CoordinatorAction::LeaderChanged { term, leader, .. } => {
                let leader = leader.as_ref().map_or(NOBODY, Name::as_str);
                info!(term, leader, "leader of the replicated log changed");
            }
        }
    }

    fn forward(&mut self, call: u64, to: &Name, request: CommandRequest) {
        let is_known = self.call(to, CallMessage::ForwardCommand(request), move |answer| {
            let result = match answer {
                Some(CallMessage::CommandResult(result)) => Some(result),
                _ => None,
            };
            Some(HostEvent::Coordinator(CoordinatorEvent::ForwardCompleted {
                call,
                result,
            }))
        });
        if !is_known {
            self.coordinate(CoordinatorEvent::ForwardCompleted { call, result: None });
        }
    }

    fn send_update(&mut self, to: Name, update: FleetUpdate) {
        let version = update.version;
        let receiver = to.clone();
        self.call(&receiver, CallMessage::ApplyUpdate(update), move |answer| {
            let result = match answer {
                Some(CallMessage::UpdateResult(result)) => Some(result),
                _ => None,
            };
            Some(HostEvent::Coordinator(CoordinatorEvent::UpdateCompleted {
                to,
                version,
                result,
            }))
        });
    }

    fn apply_update(&mut self, call: u64, update: &FleetUpdate, fencing: FencingTokens) {
        match self.coordinator.apply_update(update, fencing) {
            Ok(()) => self.reply_to_agent(call, CallMessage::UpdateResult(Ok(()))),
            Err(error) => {
                warn!(%error, "update could not be applied; waiting for the role's holder to retry it");
                // The call gets no answer, so that the holder retries the update.
                drop(self.coordinator.take_caller(call));
            }
        }
    }

    fn reject_update(&mut self, call: u64, stale: StaleToken) {
        warn!(
            token = stale.token,
            seen = stale.seen,
            "update rejected: a newer fencing token of the role has been seen"
        );
        self.reply_to_agent(call, CallMessage::UpdateResult(Err(stale)));
    }

    /// Answers a command. The caller may have disconnected.
    fn reply(&mut self, call: u64, result: CommandResult) {
        match self.coordinator.take_caller(call) {
            Some(Caller::Operator(operator)) => {
                let _ = operator.send(result);
            }
            Some(Caller::Agent(agent)) => {
                let message = CallMessage::CommandResult(result);
                let _ = agent.send(self.membership.encode_call(&message));
            }
            None => {}
        }
    }

    /// Answers an update. The caller may have disconnected.
    fn reply_to_agent(&mut self, call: u64, message: CallMessage) {
        if let Some(Caller::Agent(agent)) = self.coordinator.take_caller(call) {
            let _ = agent.send(self.membership.encode_call(&message));
        }
    }

    /// Sends a message to another voter: in a datagram if it fits into one, otherwise as a call.
    fn send_to_voter(&mut self, to: &Name, bytes: Vec<u8>) {
        let mut actions = Vec::new();
        let sent = self.membership.send_consensus(to, &bytes, &mut actions);
        if sent.is_none() {
            // The message is too long for a datagram, or membership does not count the voter as present.
            self.call(to, CallMessage::Consensus(bytes), |_| None);
        }
        for action in actions {
            if let MembershipAction::Send { to, bytes } = action {
                self.send_datagram(to, &bytes);
            }
        }
    }

    /// Calls another agent. `to_event` converts the answer, or `None` if the call fails, into an event for the main
    /// task. Returns `false`, and does not call `to_event`, if the agent is not known.
    pub(super) fn call<F>(&mut self, to: &Name, message: CallMessage, to_event: F) -> bool
    where
        F: FnOnce(Option<CallMessage>) -> Option<HostEvent> + 'static,
    {
        let Some(addr) = self
            .membership
            .view()
            .get(to)
            .map(|entry| entry.identity.addr)
        else {
            return false;
        };
        let from = self.config.listen.ip();
        let events = self.events.clone();
        let bytes = self.membership.encode_call(&message);
        let fleet = self.membership.fleet_id();
        tokio::task::spawn_local(async move {
            let answer = agent_calls::call(from, addr, bytes).await;
            let answer = answer.and_then(|bytes| CallMessage::decode(&bytes, fleet).ok());
            if let Some(event) = to_event(answer) {
                // The receiver is closed once the main task has ended.
                let _ = events.send(event).await;
            }
        });
        true
    }
}

fn log_handover(handover: &Handover) {
    let to = handover.to.as_ref().map_or(NOBODY, Name::as_str);
    info!(
        duty = handover.role.name(),
        to,
        token = handover.token,
        why = handover.reason.name(),
        "holder of a role changed"
    );
}
