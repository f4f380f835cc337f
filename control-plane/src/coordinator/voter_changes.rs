//! Changes of the voters: how a voter joins, how it learns that it was removed, and how operators remove one.
//!
//! The configuration changes one voter at a time, and only while all others keep up with the log.

use super::command::Rejection;
use super::{CommandRequest, Coordinator, CoordinatorAction, OperatorCommand, VoteLostReason};
use crate::consensus::{ConfigurationChange, ConfigurationChangeKind, ConsensusEvent, VoterId};
use crate::lease::{CommandId, VoterChangeContext};
use crate::membership::Name;
use crate::Micros;

/// Maximum number of committed entries that a voter may lack and still keeps up.
const MAX_VOTER_LAG: u64 = 100;
/// How often a voter that is no member yet requests to join, in microseconds.
const JOIN_INTERVAL: Micros = 1_000_000;
/// The call of a request to join. Nobody waits for its result: the log brings it.
const JOIN_CALL: u64 = 0;

/// Requests of this agent's voter to join.
#[derive(Default)]
pub(super) struct JoinAttempts {
    next_attempt: Micros,
    count: usize,
}

impl Coordinator {
    /// Checks whether this agent's voter is a member. One that never was requests to join; one that was removed loses its
    /// vote.
    pub(super) fn check_membership(&mut self, now: Micros, actions: &mut Vec<CoordinatorAction>) {
        let Some(local) = &self.voter else {
            return;
        };
        let id = local.id;
        let configuration = local.voter.configuration();
        if configuration.voters.contains(&id) {
            if self.was_removed_by_update() {
                self.lose_vote(VoteLostReason::Removed, actions);
            }
            return;
        }
        if configuration.learners.contains(&id) {
            return;
        }
        // It has applied entries, so it was a member once.
        let was_member = self.state.index > 0;
        if was_member {
            self.lose_vote(VoteLostReason::Removed, actions);
        } else if now >= self.join_attempts.next_attempt {
            self.request_to_join(now, id, actions);
        }
    }

    /// Whether an update received is ahead of this voter and names other voters: it was removed while it was away, and
    /// the others send it no entries any more.
    fn was_removed_by_update(&self) -> bool {
        let is_ahead = self.updates.version() > self.state.version;
        let voters = self.updates.voters();
        is_ahead && !voters.is_empty() && !voters.contains(&self.me.name)
    }

    /// Requests to join from the next of the voters that are present.
    fn request_to_join(
        &mut self,
        now: Micros,
        voter: VoterId,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        self.join_attempts.next_attempt = now + JOIN_INTERVAL;
        self.join_attempts.count += 1;
        let others = self.other_voters();
        let next = self.join_attempts.count % others.len().max(1);
        let Some(to) = others.get(next).cloned() else {
            return;
        };
        let name = self.me.name.clone();
        let request = CommandRequest {
            id: self.next_command_id(),
            command: OperatorCommand::AddVoter { voter, name },
        };
        actions.push(CoordinatorAction::Forward {
            call: JOIN_CALL,
            to,
            request,
        });
    }

    /// Whether a member keeps up with the log, as this leader knows it. One that was not heard of lately does not.
    fn keeps_up(&self, member: VoterId) -> bool {
        let lag = self
            .voter
            .as_ref()
            .and_then(|local| local.voter.replication_lag(member));
        lag.is_some_and(|lag| lag <= MAX_VOTER_LAG)
    }

    /// Whether all voters but this one and `except` keep up with the log.
    fn others_keep_up(&self, except: VoterId) -> bool {
        let Some(local) = &self.voter else {
            return false;
        };
        self.state
            .voters
            .keys()
            .filter(|id| **id != except && **id != local.id)
            .all(|id| self.keeps_up(*id))
    }

    fn change_configuration(
        &mut self,
        now: Micros,
        kind: ConfigurationChangeKind,
        voter: VoterId,
        context: &VoterChangeContext,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        // Serializing plain data into memory does not fail.
        let context = postcard::to_stdvec(context).unwrap_or_default();
        let change = ConfigurationChange {
            kind,
            voter,
            context,
        };
        self.step_voter(now, ConsensusEvent::ChangeConfiguration(change), actions);
    }

    /// The leader makes a learner a voter once it has caught up.
    pub(super) fn promote_learner(&mut self, now: Micros, actions: &mut Vec<CoordinatorAction>) {
        let mut learners = self.state.learners.iter();
        let Some((&id, name)) = learners.find(|(id, _)| self.keeps_up(**id)) else {
            return;
        };
        if self.others_keep_up(id) {
            let context = VoterChangeContext {
                name: name.clone(),
                request: None,
            };
            let kind = ConfigurationChangeKind::AddVoter;
            self.change_configuration(now, kind, id, &context, actions);
        }
    }

    /// The leader's next step towards one more voter, which first follows as a learner. Returns why it can't be added.
    pub(super) fn add_voter(
        &mut self,
        now: Micros,
        id: VoterId,
        name: &Name,
        actions: &mut Vec<CoordinatorAction>,
    ) -> Option<Rejection> {
        if self.state.voters.contains_key(&id) {
            return None;
        }
        if self.state.was_removed(id) {
            return Some(Rejection::VoterWasRemoved(name.clone()));
        }
        if self.state.voters.values().any(|voter| voter == name) {
            return Some(Rejection::NameVotesAlready(name.clone()));
        }
        let context = VoterChangeContext {
            name: name.clone(),
            request: None,
        };
        if let Some(abandoned) = self.abandoned_learner(id, name) {
            let kind = ConfigurationChangeKind::Remove;
            self.change_configuration(now, kind, abandoned, &context, actions);
        } else if !self.state.learners.contains_key(&id) {
            let kind = ConfigurationChangeKind::AddLearner;
            self.change_configuration(now, kind, id, &context, actions);
        }
        None
    }

    /// Another database of the same name, which was given up before it had a vote.
    fn abandoned_learner(&self, id: VoterId, name: &Name) -> Option<VoterId> {
        let mut learners = self.state.learners.iter();
        let (other, _) = learners.find(|(other, learner)| **other != id && *learner == name)?;
        Some(*other)
    }

    /// The leader's next step towards one voter less. Returns why it can't be removed; `None` also while a step has to
    /// wait, so that the command is retried.
    pub(super) fn remove_voter(
        &mut self,
        now: Micros,
        request: CommandId,
        name: &Name,
        actions: &mut Vec<CoordinatorAction>,
    ) -> Option<Rejection> {
        if self.state.has_applied_removal(&request) {
            return None;
        }
        let voters = &self.state.voters;
        let id = voters
            .iter()
            .chain(&self.state.learners)
            .find(|(_, voter)| *voter == name)
            .map(|(id, _)| *id)?;
        if voters.keys().all(|voter| *voter == id) {
            return Some(Rejection::LastVoter(name.clone()));
        }
        let is_self = self.voter.as_ref().is_some_and(|local| local.id == id);
        if is_self {
            // A leader does not remove itself: the next one does.
            self.step_voter(now, ConsensusEvent::TransferLeadership, actions);
        } else if self.others_keep_up(id) {
            let context = VoterChangeContext {
                name: name.clone(),
                request: Some(request),
            };
            let kind = ConfigurationChangeKind::Remove;
            self.change_configuration(now, kind, id, &context, actions);
        }
        None
    }
}
