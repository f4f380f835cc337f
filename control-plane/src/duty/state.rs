//! Owns what the agreed log adds up to: who votes, who holds which duty under which token, which servers are out and
//! which alarms stand. Every voter applies the same entries and comes to the same state; no clock is asked here.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::command::{Alarm, Change, Command, CommandId, Duty, Out, Outcome, What, Why, DUTIES};
use crate::consensus::{self, Content, Role, VoterId};
use crate::membership::Name;

/// Commands remembered by id, so that one that is tried twice takes effect once.
const REMEMBERED: usize = 1_024;
/// Servers out, at most.
const MOST_OUT: usize = 1_000;
/// Removals of voters remembered by request.
const REMOVALS: usize = 64;
/// Changes of hands remembered for staff.
const CHANGES: usize = 32;
/// The form of a state in a snapshot: the first byte.
const FORMAT: u8 = 1;

/// What goes with a change of who votes.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Context {
    /// The voter's name.
    pub name: Name,
    /// The request that removes it.
    pub request: Option<CommandId>,
}

/// A duty that is held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// By whom.
    pub holder: Name,
    /// By which process of that name.
    pub process: u64,
    /// Grows with each change of hands.
    pub token: u64,
    /// Renewals under this token.
    pub renewals: u64,
}

/// An alarm that stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Raised {
    /// For people.
    pub words: String,
    /// Since when, in milliseconds of the watcher's wall clock.
    pub since_ms: u64,
}

/// What the log adds up to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    /// The last entry in it.
    pub index: u64,
    /// Who votes, by number.
    pub voters: BTreeMap<VoterId, Name>,
    /// Who follows until it has caught up.
    pub learners: BTreeMap<VoterId, Name>,
    /// Duties that are held.
    pub held: BTreeMap<Duty, Held>,
    /// The last holder of each duty, whether it holds it still or not.
    pub last: BTreeMap<Duty, Held>,
    /// The last changes of hands, the newest last.
    pub changes: VecDeque<Change>,
    /// Servers out, by id.
    pub out: BTreeMap<String, Out>,
    /// Alarms that stand.
    pub alarms: BTreeMap<Alarm, Raised>,
    /// The entry that last changed the servers out or the voters: a version that grows.
    pub version: u64,
    done: VecDeque<(CommandId, Outcome)>,
    /// Requests by which voters were removed: one that is tried again must not remove whoever joined under the name since.
    removals: VecDeque<CommandId>,
    /// Stores that were removed: a knock of theirs that comes late must not bring them back.
    gone: VecDeque<VoterId>,
}

impl State {
    /// What a fleet begins with.
    pub fn founded(voters: BTreeMap<VoterId, Name>) -> State {
        State {
            index: 1,
            voters,
            version: 1,
            ..State::default()
        }
    }

    /// The bytes of a snapshot.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Into memory, of plain data: nothing of it can fail.
        postcard::to_stdvec(&(FORMAT, self)).unwrap_or_default()
    }

    /// Reads a snapshot; `None` for one of another form, which must not be taken for an empty state.
    pub fn of_bytes(bytes: &[u8]) -> Option<State> {
        match bytes.first() {
            Some(&FORMAT) => postcard::from_bytes(&bytes[1..]).ok(),
            _ => None,
        }
    }

    /// Applies the next entry. What can't be read changes nothing, at every voter alike.
    pub fn apply(&mut self, index: u64, content: &Content) -> Option<(Command, Outcome)> {
        self.index = index;
        let data = match content {
            Content::Command(data) => data,
            Content::Change(change) => {
                self.change(index, change);
                return None;
            }
        };
        let command: Command = postcard::from_bytes(data).ok()?;
        if let Some((_, outcome)) = self.done.iter().find(|(id, _)| *id == command.id) {
            let outcome = outcome.clone();
            return Some((command, Outcome::Repeated(Box::new(outcome))));
        }
        let outcome = self.carry_out(index, &command.what);
        // A renewal is tried anew under a new id; remembering them would push out what staff asked.
        if !matches!(command.what, What::Renew(_)) {
            self.done.push_back((command.id, outcome.clone()));
            if self.done.len() > REMEMBERED {
                self.done.pop_front();
            }
        }
        Some((command, outcome))
    }

    fn change(&mut self, index: u64, change: &consensus::Change) {
        self.version = index;
        self.voters.remove(&change.id);
        let learner = self.learners.remove(&change.id);
        let (name, request) = match postcard::from_bytes::<Context>(&change.context) {
            Ok(Context { name, request }) => (Some(name), request),
            Err(_) => (learner, None),
        };
        if let Some(request) = request {
            if self.removals.len() >= REMOVALS {
                self.removals.pop_front();
            }
            self.removals.push_back(request);
        }
        if change.to == Role::Gone {
            if self.gone.len() >= REMOVALS {
                self.gone.pop_front();
            }
            self.gone.push_back(change.id);
        }
        match (change.to, name) {
            (Role::Learner, Some(name)) => drop(self.learners.insert(change.id, name)),
            (Role::Voter, Some(name)) => drop(self.voters.insert(change.id, name)),
            _ => {}
        }
    }

    /// Whether that request has removed a voter.
    pub fn has_removed(&self, request: &CommandId) -> bool {
        self.removals.contains(request)
    }

    /// Whether that voter's store was removed before.
    pub fn is_gone(&self, id: VoterId) -> bool {
        self.gone.contains(&id)
    }

    fn carry_out(&mut self, index: u64, what: &What) -> Outcome {
        match what {
            What::Give {
                duty,
                to,
                process,
                after,
                renewals,
                at_ms,
            } => {
                let seen = self
                    .held
                    .get(duty)
                    .map_or((self.token(*duty), 0), |held| (held.token, held.renewals));
                if seen != (*after, *renewals) {
                    return Outcome::Overtaken;
                }
                let why = match (self.held.contains_key(duty), self.last.contains_key(duty)) {
                    (true, _) => Why::Lapsed,
                    (false, true) => Why::Free,
                    (false, false) => Why::First,
                };
                // The entry's own place: no two entries share one, and later ones are higher.
                let held = Held {
                    holder: to.clone(),
                    process: *process,
                    token: index,
                    renewals: 0,
                };
                let from = self
                    .last
                    .insert(*duty, held.clone())
                    .map(|last| last.holder);
                self.held.insert(*duty, held);
                self.moved(Change {
                    duty: *duty,
                    from,
                    to: Some(to.clone()),
                    token: index,
                    why,
                    at_ms: *at_ms,
                });
                Outcome::Done
            }
            What::Renew(tokens) => {
                let mut outcome = Outcome::Done;
                for (duty, token) in tokens {
                    match self.held.get_mut(duty).filter(|held| held.token == *token) {
                        Some(held) => held.renewals += 1,
                        None => outcome = Outcome::Overtaken,
                    }
                }
                outcome
            }
            What::Release {
                duty,
                token,
                why,
                at_ms,
            } => {
                if self.held.get(duty).is_none_or(|held| held.token != *token) {
                    return Outcome::Overtaken;
                }
                let from = self.held.remove(duty).map(|held| held.holder);
                self.moved(Change {
                    duty: *duty,
                    from,
                    to: None,
                    token: *token,
                    why: *why,
                    at_ms: *at_ms,
                });
                Outcome::Done
            }
            What::Out { server, out } => {
                if self.out.len() >= MOST_OUT && !self.out.contains_key(server) {
                    return Outcome::Full;
                }
                let before = self.out.insert(server.clone(), out.clone());
                self.version = index;
                Outcome::Set(before)
            }
            What::Back { server } => {
                let before = self.out.remove(server);
                if before.is_some() {
                    self.version = index;
                }
                Outcome::Set(before)
            }
            What::Look => Outcome::Done,
            What::Alarm { alarm, raised } => match raised {
                Some(raised) if !self.alarms.contains_key(alarm) => {
                    drop(self.alarms.insert(alarm.clone(), raised.clone()));
                    Outcome::Done
                }
                None if self.alarms.remove(alarm).is_some() => Outcome::Done,
                _ => Outcome::Overtaken,
            },
        }
    }

    fn moved(&mut self, change: Change) {
        if self.changes.len() >= CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// The last token of a duty; 0 where nobody ever held it.
    pub fn token(&self, duty: Duty) -> u64 {
        self.last.get(&duty).map_or(0, |held| held.token)
    }

    /// The duties that a process holds, with their tokens.
    pub fn held_by(&self, process: u64) -> impl Iterator<Item = (Duty, u64)> + '_ {
        let mine = move |duty: &Duty| self.held.get(duty).filter(|held| held.process == process);
        DUTIES
            .into_iter()
            .filter_map(move |duty| mine(&duty).map(|held| (duty, held.token)))
    }
}
