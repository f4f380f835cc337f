//! Owns what the agreed log adds up to: who holds which duty under which token, and which servers are out. Every voter
//! applies the same entries and comes to the same state; no clock is asked here.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::membership::Name;

/// Commands remembered by id, so that one that is tried twice takes effect once.
const REMEMBERED: usize = 1_024;
/// Servers out, at most.
const MOST_OUT: usize = 1_000;

/// A duty by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Duty {
    /// Brings the set of servers that staff took out to every node.
    Maintenance,
    /// Sums the fleet's figures.
    Census,
    /// Says staff's alarms once.
    Watch,
}

/// All duties.
pub const DUTIES: [Duty; 3] = [Duty::Maintenance, Duty::Census, Duty::Watch];

/// A command's id: who asked, and its number there. The same command tried again has the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId(pub u64, pub u64);

/// Something to agree on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Its id.
    pub id: CommandId,
    /// What it does.
    pub what: What,
}

/// What a command does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// The duty goes to that process, if nothing has happened to it since the proposer looked.
    Give {
        /// Which.
        duty: Duty,
        /// To whom.
        to: Name,
        /// Its process: a restarted one is another.
        process: u64,
        /// The token seen; 0 for none.
        after: u64,
        /// The renewals seen under it.
        renewals: u64,
    },
    /// The holder goes on with all that it holds under these tokens.
    Renew(Vec<(Duty, u64)>),
    /// The holder gives the duty up.
    Release {
        /// Which.
        duty: Duty,
        /// Under which token.
        token: u64,
    },
    /// Staff take a server out of all nodes.
    Out {
        /// Its id on discovery's list.
        server: String,
        /// The rest of it.
        out: Out,
    },
    /// Staff put it back, or its time is up.
    Back {
        /// Its id.
        server: String,
    },
}

/// Why a server is out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Out {
    /// Who said so.
    pub who: String,
    /// Why, for people.
    pub why: String,
    /// Since when, in milliseconds of the asker's wall clock: for people.
    pub since_ms: u64,
    /// Until when, in the same; `None` until it is put back.
    pub until_ms: Option<u64>,
}

/// A duty that is held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It took effect.
    Done,
    /// The duty went to another meanwhile, or was renewed: nothing changed.
    Overtaken,
    /// There are too many servers out: nothing changed.
    Full,
    /// It had taken effect before.
    Repeated,
}

/// What the log adds up to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The last entry in it.
    pub index: u64,
    /// Duties that are held.
    pub held: BTreeMap<Duty, Held>,
    /// The last token of each duty, held or not.
    pub tokens: BTreeMap<Duty, u64>,
    /// Servers out, by id.
    pub out: BTreeMap<String, Out>,
    /// The entry that last changed the servers out: a version that grows.
    pub out_version: u64,
    done: VecDeque<CommandId>,
}

impl State {
    /// Applies the next entry. What can't be read changes nothing, at every voter alike.
    pub fn apply(&mut self, index: u64, data: &[u8]) -> Option<(Command, Outcome)> {
        self.index = index;
        let command: Command = postcard::from_bytes(data).ok()?;
        if self.done.contains(&command.id) {
            return Some((command, Outcome::Repeated));
        }
        let outcome = self.carry_out(index, &command.what);
        // A renewal is tried anew under a new id; remembering them would push out what staff asked.
        if !matches!(command.what, What::Renew(_)) {
            self.done.push_back(command.id);
            if self.done.len() > REMEMBERED {
                self.done.pop_front();
            }
        }
        Some((command, outcome))
    }

    fn carry_out(&mut self, index: u64, what: &What) -> Outcome {
        match what {
            What::Give { duty, to, process, after, renewals } => {
                let seen =
                    self.held.get(duty).map_or((self.token(*duty), 0), |held| (held.token, held.renewals));
                if seen != (*after, *renewals) {
                    return Outcome::Overtaken;
                }
                // The entry's own place: no two entries share one, and later ones are higher.
                let held = Held { holder: to.clone(), process: *process, token: index, renewals: 0 };
                self.held.insert(*duty, held);
                self.tokens.insert(*duty, index);
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
            What::Release { duty, token } => {
                if self.held.get(duty).is_none_or(|held| held.token != *token) {
                    return Outcome::Overtaken;
                }
                self.held.remove(duty);
                Outcome::Done
            }
            What::Out { server, out } => {
                if self.out.len() >= MOST_OUT && !self.out.contains_key(server) {
                    return Outcome::Full;
                }
                self.out.insert(server.clone(), out.clone());
                self.out_version = index;
                Outcome::Done
            }
            What::Back { server } => {
                if self.out.remove(server).is_some() {
                    self.out_version = index;
                }
                Outcome::Done
            }
        }
    }

    /// The last token of a duty; 0 where nobody ever held it.
    pub fn token(&self, duty: Duty) -> u64 {
        self.tokens.get(&duty).copied().unwrap_or(0)
    }
}
