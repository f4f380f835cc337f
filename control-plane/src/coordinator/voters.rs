//! The voters: their names and identifiers, who of them is present, and the messages among them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Coordinator, CoordinatorAction};
use crate::consensus::{ConsensusEvent, PersistedState, VoterId};
use crate::lease::ReplicatedState;
use crate::membership::Name;
use crate::Micros;

/// Maximum number of voters whose names are remembered from their messages.
const MAX_PEERS: usize = 64;

/// The identifier of a voter with which the fleet was founded.
pub fn voter_id(name: &Name) -> VoterId {
    xxh3_64(name.as_str().as_bytes()).max(1)
}

/// The identifier of a voter that joins later. Each database of a name has its own, so that the vote of a lost one is
/// never taken for that of its successor.
pub fn joining_id(name: &Name, nonce: u64) -> VoterId {
    xxh3_64_with_seed(name.as_str().as_bytes(), nonce.max(1)).max(1)
}

/// The state with which each of a fleet's first voters begins. It is the same at all of them.
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

    /// Sends a voter's message. One to a voter without a known name is dropped: the voter's own next message names it.
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

    /// Passes a message of another voter to this agent's, and remembers the sender's name.
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
}
