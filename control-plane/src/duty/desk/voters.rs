//! Owns who votes: their names and numbers, one that joins, one that is removed, each a step at a time and only while all
//! others keep up.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Action, Answer, Desk, Request, Wish};
use crate::consensus::{self, Change, Kept, Role, VoterId};
use crate::duty::{CommandId, Context, State};
use crate::membership::Name;
use crate::Micros;

/// Entries that a voter may lack and still keeps up.
const KEEPS_UP: u64 = 100;
/// One that is no voter yet asks this often to become one.
const KNOCK: Micros = 1_000_000;
/// Voters' names remembered, at most.
const PEERS: usize = 64;

/// The number of a founding voter, by its name.
pub fn voter_id(name: &Name) -> VoterId {
    xxh3_64(name.as_str().as_bytes()).max(1)
}

/// The number of a voter that joins later: another one for each store of the same name, so that a lost vote is never
/// taken for the one that follows it.
pub fn joining_id(name: &Name, nonce: u64) -> VoterId {
    xxh3_64_with_seed(name.as_str().as_bytes(), nonce.max(1)).max(1)
}

/// What each of a fleet's first voters keeps at the start.
pub fn founded(voters: &[Name]) -> Kept {
    let by_id: std::collections::BTreeMap<VoterId, Name> = voters
        .iter()
        .map(|name| (voter_id(name), name.clone()))
        .collect();
    let ids = by_id.keys().copied().collect();
    Kept::founded(ids, State::founded(by_id).to_bytes())
}

/// A voter's message, with who says so: its name may be new to the receiver.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Letter {
    pub from: VoterId,
    pub name: Name,
    pub bytes: Vec<u8>,
}

/// A voter on its way in.
#[derive(Default)]
pub(super) struct Joining {
    next_knock: Micros,
    knocks: usize,
}

impl Desk {
    /// A voter's name: by what is agreed, or by what it said itself.
    pub(super) fn name_of(&self, id: VoterId) -> Option<Name> {
        let agreed = self
            .state
            .voters
            .get(&id)
            .or_else(|| self.state.learners.get(&id));
        agreed.or_else(|| self.peers.get(&id)).cloned()
    }

    /// The voters as far as known here: agreed, else brought by a holder, else configured.
    pub(super) fn voters(&self) -> Vec<Name> {
        if self.voter.is_some() && !self.state.voters.is_empty() {
            return self.state.voters.values().cloned().collect();
        }
        let brought = self.acts.voters();
        if brought.is_empty() {
            self.configured.clone()
        } else {
            brought.to_vec()
        }
    }

    /// Other voters that are present: whom this agent may ask.
    pub(super) fn other_voters(&self) -> Vec<Name> {
        let others = self
            .voters()
            .into_iter()
            .filter(|name| *name != self.me.name && self.is_present(name));
        others.collect()
    }

    pub(super) fn leader(&self) -> Option<Name> {
        let (_, voter) = self.voter.as_ref()?;
        self.name_of(voter.leader()?)
    }

    /// Voters that are not present.
    pub(super) fn missing(&self) -> Vec<Name> {
        self.voters()
            .into_iter()
            .filter(|name| !self.is_present(name))
            .collect()
    }

    pub(super) fn letter(&mut self, now: Micros, bytes: &[u8], actions: &mut Vec<Action>) {
        match postcard::from_bytes::<Letter>(bytes) {
            Ok(Letter { from, name, bytes }) => {
                if self.peers.len() < PEERS || self.peers.contains_key(&from) {
                    self.peers.insert(from, name);
                }
                self.vote(now, consensus::Event::Message(bytes), actions);
            }
            // The voter's own room counts it.
            Err(_) => self.vote(now, consensus::Event::Message(Vec::new()), actions),
        }
    }

    /// A voter that nobody knows yet asks to be added; one that staff removed has no vote any more.
    pub(super) fn join(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some((id, voter)) = &self.voter else {
            return;
        };
        let id = *id;
        let conf = voter.conf();
        if conf.voters.contains(&id) || conf.learners.contains(&id) {
            // Others that are ahead say who votes now: it may have been removed while it was away.
            let newer = self.acts.version() > self.state.version && !self.acts.voters().is_empty();
            if newer && conf.voters.contains(&id) && !self.acts.voters().contains(&self.me.name) {
                self.lose_vote("staff removed this voter", actions);
            }
            return;
        }
        if self.state.index > 0 {
            return self.lose_vote("staff removed this voter", actions);
        }
        if now < self.joining.next_knock {
            return;
        }
        self.joining.next_knock = now + KNOCK;
        self.joining.knocks += 1;
        let others = self.other_voters();
        let Some(to) = others
            .get(self.joining.knocks % others.len().max(1))
            .cloned()
        else {
            return;
        };
        let wish = Wish::AddVoter {
            id,
            name: self.me.name.clone(),
        };
        self.number += 1;
        let request = Request {
            id: CommandId(self.me.process, self.number),
            wish,
        };
        // Ask 0 is nobody's: the answer is what the agreed log brings.
        actions.push(Action::Forward {
            ask: 0,
            to,
            request,
        });
    }

    /// Whether all voters but one keep up with the log.
    fn keep_up(&self, but: VoterId) -> bool {
        let Some((me, voter)) = &self.voter else {
            return false;
        };
        let others = self
            .state
            .voters
            .keys()
            .filter(|id| **id != but && *id != me);
        others
            .into_iter()
            .all(|id| voter.lacks(*id).is_some_and(|lacks| lacks <= KEEPS_UP))
    }

    fn change(
        &mut self,
        now: Micros,
        to: Role,
        id: VoterId,
        context: Context,
        actions: &mut Vec<Action>,
    ) {
        let context = postcard::to_stdvec(&context).unwrap_or_default();
        self.vote(
            now,
            consensus::Event::Change(Change { to, id, context }),
            actions,
        );
    }

    /// The leader gives a learner its vote once it has caught up.
    pub(super) fn promote(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some((_, voter)) = &self.voter else {
            return;
        };
        let ready = |id: &VoterId| voter.lacks(*id).is_some_and(|lacks| lacks <= KEEPS_UP);
        let learner = self.state.learners.iter().find(|(id, _)| ready(id));
        if let Some((id, name)) = learner.map(|(id, name)| (*id, name.clone())) {
            if self.keep_up(id) {
                self.change(
                    now,
                    Role::Voter,
                    id,
                    Context {
                        name,
                        request: None,
                    },
                    actions,
                );
            }
        }
    }

    /// The leader's step towards one more voter; an answer where it can't be.
    pub(super) fn add_voter(
        &mut self,
        now: Micros,
        id: VoterId,
        name: &Name,
        actions: &mut Vec<Action>,
    ) -> Option<Answer> {
        if self.state.voters.contains_key(&id) {
            return None;
        }
        if self.state.is_gone(id) {
            return Some(Answer::Refused(format!(
                "this store of {name} was removed: make a new one"
            )));
        }
        if self.state.voters.values().any(|voter| voter == name) {
            return Some(Answer::Refused(format!(
                "{name} votes already, with another store: remove it first"
            )));
        }
        let stale = self
            .state
            .learners
            .iter()
            .find(|(other, voter)| **other != id && *voter == name);
        let context = Context {
            name: name.clone(),
            request: None,
        };
        match stale.map(|(other, _)| *other) {
            // A store that was given up before it had a vote.
            Some(other) => self.change(now, Role::Gone, other, context, actions),
            None if self.state.learners.contains_key(&id) => {}
            None => self.change(now, Role::Learner, id, context, actions),
        }
        None
    }

    /// The leader's step towards one voter less; an answer where it can't be.
    pub(super) fn remove_voter(
        &mut self,
        now: Micros,
        request: CommandId,
        name: &Name,
        actions: &mut Vec<Action>,
    ) -> Option<Answer> {
        if self.state.has_removed(&request) {
            return None;
        }
        let known = self
            .state
            .voters
            .iter()
            .chain(&self.state.learners)
            .find(|(_, voter)| *voter == name);
        let id = known.map(|(id, _)| *id)?;
        let others = self
            .state
            .voters
            .keys()
            .filter(|voter| **voter != id)
            .count();
        if others == 0 {
            return Some(Answer::Refused(format!("{name} is the last voter")));
        }
        if self.voter.as_ref().is_some_and(|(me, _)| *me == id) {
            // The next leader removes it.
            self.vote(now, consensus::Event::StepDown, actions);
        } else if self.keep_up(id) {
            let context = Context {
                name: name.clone(),
                request: Some(request),
            };
            self.change(now, Role::Gone, id, context, actions);
        }
        None
    }
}
