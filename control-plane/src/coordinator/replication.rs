//! Drives this agent's voter, and applies the committed entries.
//!
//! Invariant: the replicated state changes only here, by a committed entry or by a snapshot from the leader.

use std::collections::VecDeque;

use super::{Coordinator, CoordinatorAction, VoteLostReason};
use crate::consensus::{ConsensusAction, ConsensusEvent, LogEntry, LogSnapshot, VoterId};
use crate::lease::{AppliedCommand, Command, Operation, Outcome, ReplicatedState};
use crate::Micros;

impl Coordinator {
    /// Proposes a command. It is lost if there is no leader: the caller has to retry it.
    pub(super) fn propose(
        &mut self,
        now: Micros,
        command: &Command,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        // Serializing plain data into memory does not fail.
        let bytes = postcard::to_stdvec(command).unwrap_or_default();
        self.step_voter(now, ConsensusEvent::Propose(bytes), actions);
    }

    /// Passes an event to the voter, and carries out its actions.
    pub(super) fn step_voter(
        &mut self,
        now: Micros,
        event: ConsensusEvent,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        // Events that follow from the voter's actions wait until all of these are passed on: batches have to keep their
        // order.
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let Some(local) = &mut self.voter else {
                return;
            };
            let me = local.id;
            let mut voter_actions = Vec::new();
            local.voter.on_event(now, event, &mut voter_actions);
            for action in voter_actions {
                self.on_voter_action(now, me, action, &mut events, actions);
                if self.voter.is_none() {
                    return;
                }
            }
        }
    }

    fn on_voter_action(
        &mut self,
        now: Micros,
        me: VoterId,
        action: ConsensusAction,
        events: &mut VecDeque<ConsensusEvent>,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        match action {
            ConsensusAction::Send { to, bytes } => self.send_message(me, to, bytes, actions),
            ConsensusAction::Persist { number, batch } => {
                actions.push(CoordinatorAction::Persist { number, batch });
            }
            ConsensusAction::Apply(entry) => {
                self.apply(now, &entry, actions);
            }
            ConsensusAction::Restore(snapshot) => self.restore(now, &snapshot, actions),
            ConsensusAction::LeaderChanged { term, leader } => {
                actions.push(CoordinatorAction::LeaderChanged {
                    term,
                    is_self: leader == Some(me),
                    leader: leader.and_then(|id| self.name_of(id)),
                });
            }
            ConsensusAction::Compact(configuration) => {
                events.push_back(ConsensusEvent::Snapshot {
                    index: self.state.index,
                    configuration,
                    data: self.state.to_bytes(),
                });
            }
            // Every proposer retries its commands in later ticks.
            ConsensusAction::ProposalRejected(_) => {}
        }
    }

    fn restore(
        &mut self,
        now: Micros,
        snapshot: &LogSnapshot,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        match ReplicatedState::from_bytes(&snapshot.data) {
            Some(state) => {
                self.state = state;
                self.grantor.on_applied(now, &self.state);
            }
            // A newer program wrote the snapshot. This one must not continue from an empty state.
            None => self.lose_vote(VoteLostReason::UnreadableState, actions),
        }
    }

    /// Stops this agent's voter until the agent is restarted. Without one, the agent forwards commands to other voters.
    pub(super) fn lose_vote(
        &mut self,
        reason: VoteLostReason,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        if self.voter.take().is_some() {
            actions.push(CoordinatorAction::VoteLost(reason));
        }
    }

    /// Applies a committed entry, and passes its outcome to the leases and to the call that waits for it.
    fn apply(&mut self, now: Micros, entry: &LogEntry, actions: &mut Vec<CoordinatorAction>) {
        let previous_handover = self.state.handovers.back().cloned();
        let applied = self.state.apply(entry.index, &entry.payload);
        let Some(AppliedCommand { command, outcome }) = applied else {
            return;
        };
        self.grantor.on_applied(now, &self.state);
        self.holder.on_applied(&command, &outcome, &self.state);
        let last_handover = self.state.handovers.back();
        if last_handover != previous_handover.as_ref() {
            actions.extend(
                last_handover
                    .cloned()
                    .map(CoordinatorAction::RoleHandedOver),
            );
        }
        match &command.operation {
            Operation::UpdateAlarm { alarm, raised }
                if outcome == Outcome::Applied && command.id.process == self.me.process =>
            {
                actions.push(CoordinatorAction::AlarmChanged {
                    alarm: alarm.clone(),
                    raised: raised.clone(),
                });
            }
            // A deposed leader can't commit an entry, so a majority has agreed on the state at a committed barrier.
            Operation::ReadBarrier => return self.on_read_barrier(command.id, actions),
            _ => {}
        }
        self.pending.on_applied(&command, outcome, actions);
    }
}
