//! The voters: their names and identifiers, which of them are present, and the messages between them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Coordinator, CoordinatorAction};
use crate::consensus::{ConsensusEvent, PersistedState, VoterId};
use crate::lease::ReplicatedState;
use crate::membership::Name;
use crate::Micros;

/// Maximum number of voters whose names are remembered from their messages.
const MAX_PEER_NAMES: usize = 64;

/// The identifier of a founding voter.
pub fn voter_id(name: &Name) -> VoterId {
    xxh3_64(name.as_str().as_bytes()).max(1)
}

/// The identifier of a voter that joins later. Each database has its own, even under the same name, so that the vote of
/// a lost database is never taken for that of its replacement.
pub fn joining_id(name: &Name, nonce: u64) -> VoterId {
    xxh3_64_with_seed(name.as_str().as_bytes(), nonce.max(1)).max(1)
}

/// The initial state of each founding voter, which is the same at all of them.
pub fn bootstrap(voters: &[Name]) -> PersistedState {
    let by_id: BTreeMap<VoterId, Name> = voters
        .iter()
        .map(|name| (voter_id(name), name.clone()))
        .collect();
    let ids = by_id.keys().copied().collect();
    PersistedState::bootstrap(ids, ReplicatedState::bootstrap(by_id).to_bytes())
}

/// A voter's message with its sender, whose name the receiver may not know yet. `postcard` identifies fields by
/// position: their order must not change.
#[derive(Debug, Serialize, Deserialize)]
struct VoterEnvelope {
    from: VoterId,
    name: Name,
    message: Vec<u8>,
}

impl Coordinator {
    /// A voter's name, from the replicated state or as learned from the voter's messages.
    pub(super) fn name_of(&self, id: VoterId) -> Option<Name> {
        let (voters, learners) = (&self.state.voters, &self.state.learners);
        let member = voters.get(&id).or_else(|| learners.get(&id));
        member.or_else(|| self.peer_names.get(&id)).cloned()
    }

    /// The voters as far as known: from the replicated state, else from a received update, else from the configuration.
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

    /// The leader's name; `None` while the leader or its name is unknown.
    pub(super) fn leader(&self) -> Option<Name> {
        let leader = self.voter.as_ref()?.voter.leader()?;
        self.name_of(leader)
    }

    /// Sends a message of this agent's voter. A message to a voter whose name is unknown is dropped: the other voter's
    /// next message carries its name.
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

    /// Passes a message from another voter to this agent's voter, and remembers the sender's name.
    pub(super) fn on_message(
        &mut self,
        now: Micros,
        bytes: &[u8],
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let message = match postcard::from_bytes::<VoterEnvelope>(bytes) {
            Ok(envelope) => {
                let is_known = self.peer_names.contains_key(&envelope.from);
                if is_known || self.peer_names.len() < MAX_PEER_NAMES {
                    self.peer_names.insert(envelope.from, envelope.name);
                }
                envelope.message
            }
            // An empty message does not decode either, so the voter counts it as unreadable.
            Err(_) => Vec::new(),
        };
        self.step_voter(now, ConsensusEvent::Message(message), actions);
    }
}
