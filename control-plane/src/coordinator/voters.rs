//! The voters: their names and identifiers, how a voter joins and how one is removed.
//!
//! The configuration changes one voter at a time, and only while all others keep up with the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::command::Rejection;
use super::{CommandRequest, Coordinator, CoordinatorAction, OperatorCommand, VoteLostReason};
use crate::consensus::{
    ConfigurationChange, ConfigurationChangeKind, ConsensusEvent, PersistedState, VoterId,
};
use crate::lease::{CommandId, ReplicatedState, VoterChangeContext};
use crate::membership::Name;
use crate::Micros;

/// Maximum number of committed entries that a voter may lack and still keeps up.
const MAX_VOTER_LAG: u64 = 100;
/// How often a voter that is no member yet requests to join, in microseconds.
const JOIN_INTERVAL: Micros = 1_000_000;
/// Maximum number of voters whose names are remembered from their messages.
const MAX_PEERS: usize = 64;
/// The call of a request to join. Nobody waits for its result: the log brings it.
const JOIN_CALL: u64 = 0;

/// The identifier of a voter with which the fleet was founded.
pub fn voter_id(name: &Name) -> VoterId {
    xxh3_64(name.as_str().as_bytes()).max(1)
}

/// The identifier of a voter that joins later. Each database of a name has its own, so that the vote of a lost one is
/// never taken for that of its successor.
pub fn joining_id(name: &Name, nonce: u64) -> VoterId {
    xxh3_64_with_seed(name.as_str().as_bytes(), nonce.max(1)).max(1)
}

/// The state with which each of a fleet's first voters begins.
pub fn bootstrap(voters: &[Name]) -> PersistedState {
    let by_id: BTreeMap<VoterId, Name> = voters
        .iter()
        .map(|name| (voter_id(name), name.clone()))
        .collect();
    let ids = by_id.keys().copied().collect();
    PersistedState::bootstrap(ids, ReplicatedState::bootstrap(by_id).to_bytes())
}

/// A voter's message with its sender, whose name the receiver may not know yet. The order of fields must not change.
#[derive(Debug, Serialize, Deserialize)]
struct VoterEnvelope {
    from: VoterId,
    name: Name,
    message: Vec<u8>,
}

/// Requests of this agent's voter to join.
#[derive(Default)]
pub(super) struct JoinAttempts {
    next_attempt: Micros,
    count: usize,
}

impl Coordinator {
    /// A voter's name: by the replicated state, or by its own messages.
    pub(super) fn name_of(&self, id: VoterId) -> Option<Name> {
        let (voters, learners) = (&self.state.voters, &self.state.learners);
        let agreed = voters.get(&id).or_else(|| learners.get(&id));
        agreed.or_else(|| self.peers.get(&id)).cloned()
    }

    /// The voters as far as known: by the replicated state, else by an update received, else by the configuration.
    pub(super) fn voters(&self) -> Vec<Name> {
        if self.voter.is_some() && !self.state.voters.is_empty() {
            return self.state.voters.values().cloned().collect();
        }
        let received = self.updates.voters();
        if received.is_empty() {
            self.configured_voters.clone()
        } else {
            received.to_vec()
        }
    }

    /// The other voters that are present.
    pub(super) fn other_voters(&self) -> Vec<Name> {
        self.voters()
            .into_iter()
            .filter(|name| *name != self.me.name && self.is_present(name))
            .collect()
    }

    /// The voters that are not present.
    pub(super) fn missing_voters(&self) -> Vec<Name> {
        self.voters()
            .into_iter()
            .filter(|name| !self.is_present(name))
            .collect()
    }

    /// The leader's name, as far as known.
    pub(super) fn leader(&self) -> Option<Name> {
        let leader = self.voter.as_ref()?.voter.leader()?;
        self.name_of(leader)
    }

    pub(super) fn send_message(
        &self,
        me: VoterId,
        to: VoterId,
        message: Vec<u8>,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let Some(to) = self.name_of(to) else {
            return;
        };
        let envelope = VoterEnvelope {
            from: me,
            name: self.me.name.clone(),
            message,
        };
        // Serializing plain data into memory does not fail.
        let bytes = postcard::to_stdvec(&envelope).unwrap_or_default();
        actions.push(CoordinatorAction::Send { to, bytes });
    }

    pub(super) fn on_message(
        &mut self,
        now: Micros,
        bytes: &[u8],
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let message = match postcard::from_bytes::<VoterEnvelope>(bytes) {
            Ok(envelope) => {
                let is_known = self.peers.contains_key(&envelope.from);
                if is_known || self.peers.len() < MAX_PEERS {
                    self.peers.insert(envelope.from, envelope.name);
                }
                envelope.message
            }
            // An empty message does not decode: the voter counts it as unreadable.
            Err(_) => Vec::new(),
        };
        self.step_voter(now, ConsensusEvent::Message(message), actions);
    }

    /// Requests to join where this agent's voter is no member yet; gives up the vote where it was removed.
    pub(super) fn join(&mut self, now: Micros, actions: &mut Vec<CoordinatorAction>) {
        let Some(local) = &self.voter else {
            return;
        };
        let id = local.id;
        let configuration = local.voter.configuration();
        let is_voter = configuration.voters.contains(&id);
        if is_voter || configuration.learners.contains(&id) {
            if is_voter && self.was_removed_by_update() {
                self.lose_vote(VoteLostReason::Removed, actions);
            }
            return;
        }
        if self.state.index > 0 {
            return self.lose_vote(VoteLostReason::Removed, actions);
        }
        if now >= self.join_attempts.next_attempt {
            self.request_to_join(now, id, actions);
        }
    }

    /// Whether an update received is ahead of this voter and names other voters: it was removed while it was away.
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

    /// Whether a member keeps up with the log, as this leader knows it.
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
        let learner = self
            .state
            .learners
            .iter()
            .find(|(id, _)| self.keeps_up(**id));
        let Some((id, name)) = learner.map(|(id, name)| (*id, name.clone())) else {
            return;
        };
        if self.others_keep_up(id) {
            let context = VoterChangeContext {
                name,
                request: None,
            };
            let kind = ConfigurationChangeKind::AddVoter;
            self.change_configuration(now, kind, id, &context, actions);
        }
    }

    /// The leader's next step towards one more voter. Returns why it can't be added.
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
        // A database of the same name that was abandoned before it had a vote.
        let stale = self
            .state
            .learners
            .iter()
            .find(|(other, learner)| **other != id && *learner == name)
            .map(|(other, _)| *other);
        let (kind, member) = match stale {
            Some(other) => (ConfigurationChangeKind::Remove, other),
            None if self.state.learners.contains_key(&id) => return None,
            None => (ConfigurationChangeKind::AddLearner, id),
        };
        let context = VoterChangeContext {
            name: name.clone(),
            request: None,
        };
        self.change_configuration(now, kind, member, &context, actions);
        None
    }

    /// The leader's next step towards one voter less. Returns why it can't be removed.
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
        let (voters, learners) = (&self.state.voters, &self.state.learners);
        let id = voters
            .iter()
            .chain(learners)
            .find(|(_, voter)| *voter == name)
            .map(|(id, _)| *id)?;
        if voters.keys().all(|voter| *voter == id) {
            return Some(Rejection::LastVoter(name.clone()));
        }
        let is_self = self.voter.as_ref().is_some_and(|local| local.id == id);
        if is_self {
            // The next leader removes it.
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
