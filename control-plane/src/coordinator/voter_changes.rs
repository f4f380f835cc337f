//! Changes of the voters: how a voter joins, how it learns that it was removed, and how operators remove one.
//!
//! Invariant: the configuration changes by one voter at a time, and only while all others have caught up with the log.

use super::command::Rejection;
use super::{CommandRequest, Coordinator, CoordinatorAction, OperatorCommand, VoteLostReason};
use crate::consensus::{ConfigurationChange, ConfigurationChangeKind, ConsensusEvent, VoterId};
use crate::lease::{CommandId, VoterChangeContext};
use crate::membership::Name;
use crate::Micros;

/// Maximum number of committed entries that a member may lack to count as caught up.
const MAX_VOTER_LAG: u64 = 100;
/// How often a voter that is not a member yet requests to join, in microseconds.
const JOIN_INTERVAL: Micros = 1_000_000;
/// The call number of requests to join. Their results are ignored: the voter learns from the log that it has joined.
const JOIN_CALL: u64 = 0;

/// The attempts of this agent's voter to join.
#[derive(Default)]
pub(super) struct JoinAttempts {
    next_attempt: Micros,
    count: usize,
}

impl Coordinator {
    /// Checks whether this agent's voter is a member. A voter that never was one requests to join; a voter that was
    /// removed loses its vote.
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
        // A voter that has applied entries was a member once.
        let was_member = self.state.index > 0;
        if was_member {
            self.lose_vote(VoteLostReason::Removed, actions);
        } else if now >= self.join_attempts.next_attempt {
            self.request_to_join(now, id, actions);
        }
    }

    /// Whether a received update is newer than this voter's state and does not name this agent among the voters: the
    /// voter was removed while it was offline, and the others no longer send entries to it.
    fn was_removed_by_update(&self) -> bool {
        let is_ahead = self.updates.version() > self.state.version;
        let voters = self.updates.voters();
        is_ahead && !voters.is_empty() && !voters.contains(&self.me.name)
    }

    /// Sends a request to join to one of the voters that are present, another one in each attempt.
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

    /// Whether a member has caught up with the log, as far as this leader knows. A member from which no message came
    /// recently counts as lagging.
    fn is_caught_up(&self, member: VoterId) -> bool {
        let lag = self
            .voter
            .as_ref()
            .and_then(|local| local.voter.replication_lag(member));
        lag.is_some_and(|lag| lag <= MAX_VOTER_LAG)
    }

    /// Whether all voters except this one and `except` have caught up with the log.
    fn others_are_caught_up(&self, except: VoterId) -> bool {
        let Some(local) = &self.voter else {
            return false;
        };
        self.state
            .voters
            .keys()
            .filter(|id| **id != except && **id != local.id)
            .all(|id| self.is_caught_up(*id))
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

    /// At the leader: promotes a learner that has caught up to a voter.
    pub(super) fn promote_learner(&mut self, now: Micros, actions: &mut Vec<CoordinatorAction>) {
        let mut learners = self.state.learners.iter();
        let Some((&id, name)) = learners.find(|(id, _)| self.is_caught_up(**id)) else {
            return;
        };
        if self.others_are_caught_up(id) {
            let context = VoterChangeContext {
                name: name.clone(),
                request: None,
            };
            let kind = ConfigurationChangeKind::AddVoter;
            self.change_configuration(now, kind, id, &context, actions);
        }
    }

    /// At the leader: takes the next step of adding a voter, which joins as a learner first. Returns why the voter
    /// can't be added; `None` also while the addition is in progress.
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

    /// A learner with the same name and another database, which was abandoned before it had a vote.
    fn abandoned_learner(&self, id: VoterId, name: &Name) -> Option<VoterId> {
        let mut learners = self.state.learners.iter();
        let (other, _) = learners.find(|(other, learner)| **other != id && *learner == name)?;
        Some(*other)
    }

    /// At the leader: takes the next step of removing a voter or learner. Returns why it can't be removed; `None` also
    /// while a step has to wait, so that the command is retried.
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
            // A leader does not remove itself: it transfers leadership, and the next leader removes it.
            self.step_voter(now, ConsensusEvent::TransferLeadership, actions);
        } else if self.others_are_caught_up(id) {
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
