//! Owns one agent's part in the duties: its vote, if it has one, its leases, the fence before its node, what staff asked
//! for and has no answer yet, and bringing the servers out to every agent. Pure: events and time in, actions out.

mod acts;
mod asks;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Candidate, Command, CommandId, Duty, Fence, Holder, Keeper, Lease, Outcome, Stale, State, What};
use crate::agreement::{self, Kept, Save, Voter, VoterError, VoterId};
use crate::membership::Name;
use crate::Micros;

pub use acts::Act;
use acts::Acts;
pub use asks::Answer;
use asks::Asks;

/// Leases, acts and asks are looked at this often.
const BEAT: Micros = 50_000;

/// A member as the desk needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Its process.
    pub process: u64,
    /// Its zone.
    pub zone: String,
}

/// What a desk starts with.
pub struct Start {
    /// This agent.
    pub me: Member,
    /// The names of the voters; empty for a fleet without duties.
    pub voters: Vec<Name>,
    /// Leases.
    pub lease: Lease,
    /// The agreed log's pace.
    pub tick: std::time::Duration,
    /// Steps without a leader before an election.
    pub election_ticks: usize,
    /// What this voter kept; `None` where it has no vote, or has lost what it kept.
    pub kept: Option<Kept>,
    /// The fence, and what was enforced, as kept.
    pub fence: Fence,
    /// For the election time-out.
    pub seed: u64,
}

/// What the desk learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another voter's message.
    Message(Vec<u8>),
    /// A save is on disk for good.
    Saved(u64),
    /// A save failed: this voter promises nothing any more.
    NotSaved,
    /// The members present, this agent among them.
    Members(Vec<Member>),
    /// Staff, or an agent without a vote for its staff, ask for something.
    Ask {
        /// Comes back with the answer.
        ask: u64,
        /// What.
        what: What,
    },
    /// An agent that asked another for its staff got an answer, or none.
    Forwarded {
        /// The ask.
        ask: u64,
        /// The answer.
        answer: Option<Answer>,
    },
    /// A holder acts on this agent.
    Act {
        /// Comes back with the answer.
        ask: u64,
        /// What.
        act: Act,
    },
    /// An act of this agent's came to its end.
    Acted {
        /// At whom.
        to: Name,
        /// Which version of the servers out it brought.
        version: u64,
        /// What the other said; `None` for no answer.
        answer: Option<Result<(), Stale>>,
    },
    /// The time of [`Desk::next_wake`] has come.
    Wake {
        /// The wall clock in milliseconds: for the ends that staff gave, and nothing else.
        wall_ms: u64,
    },
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send to another voter.
    Send {
        /// Whom.
        to: Name,
        /// What.
        bytes: Vec<u8>,
    },
    /// Keep, for good, before [`Event::Saved`] is said.
    Save {
        /// Its number.
        number: u64,
        /// What.
        save: Save,
    },
    /// Ask another agent on behalf of one's staff.
    Forward {
        /// The ask.
        ask: u64,
        /// Whom.
        to: Name,
        /// What.
        what: What,
    },
    /// Answer an ask.
    Answer {
        /// Which.
        ask: u64,
        /// What.
        answer: Answer,
    },
    /// Act on another agent.
    Act {
        /// Whom.
        to: Name,
        /// What.
        act: Act,
    },
    /// Keep the fence, bring the node to this, and answer the ask with yes: in this order.
    Enforce {
        /// Which.
        ask: u64,
        /// What.
        act: Act,
        /// To be kept first.
        fence: Fence,
    },
    /// An act of an older token: nothing is done.
    Refuse {
        /// Which.
        ask: u64,
        /// Why.
        stale: Stale,
    },
    /// A duty changed hands, for logs.
    Moved {
        /// Which.
        duty: Duty,
        /// To whom; `None` where it was given up.
        to: Option<Name>,
        /// Under which token.
        token: u64,
    },
    /// Who leads the agreed log, for logs.
    Leader {
        /// The term.
        term: u64,
        /// Who.
        leader: Option<Name>,
    },
}

/// A duty, as told to staff.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyReport {
    /// Which.
    pub duty: Duty,
    /// Who holds it, as far as this agent knows.
    pub holder: Option<Name>,
    /// The newest token.
    pub token: u64,
    /// How much longer this agent may act under it, in milliseconds; 0 where it is another's.
    pub lease_ms: u64,
}

/// What staff are told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeskReport {
    /// Whether this agent votes.
    pub votes: bool,
    /// The voters.
    pub voters: Vec<Name>,
    /// Those that are not present.
    pub missing: Vec<Name>,
    /// Who leads the agreed log.
    pub leader: Option<Name>,
    /// The last agreed entry that this agent has; of one without a vote, the last that was brought to it.
    pub index: u64,
    /// The duties.
    pub duties: Vec<DutyReport>,
    /// Servers out.
    pub out: BTreeMap<String, super::Out>,
    /// Its version: the entry that last changed it.
    pub out_version: u64,
    /// Acts that were refused here, as their token was old.
    pub refused: u64,
    /// The last changes of hands seen here, the newest last: duty, holder, token.
    pub moves: Vec<(Duty, Option<Name>, u64)>,
}

/// Moves remembered for staff.
const MOVES: usize = 16;

/// One agent's part in the duties.
pub struct Desk {
    me: Member,
    voters: BTreeMap<VoterId, Name>,
    voter: Option<Voter>,
    state: State,
    holder: Holder,
    keeper: Keeper,
    fence: Fence,
    members: Vec<Member>,
    number: u64,
    asks: Asks,
    acts: Acts,
    next_beat: Micros,
    moves: Vec<(Duty, Option<Name>, u64)>,
}

/// A voter's number in the agreed log, by its name.
pub fn voter_id(name: &Name) -> VoterId {
    xxh3_64(name.as_str().as_bytes()).max(1)
}

impl Desk {
    /// A desk. It votes where it is among the voters and has what it kept.
    pub fn new(start: Start, now: Micros) -> Result<Desk, VoterError> {
        let Start { me, voters, lease, tick, election_ticks, kept, fence, seed } = start;
        let by_id: BTreeMap<VoterId, Name> =
            voters.iter().map(|name| (voter_id(name), name.clone())).collect();
        let mut state = State::default();
        let voter = match kept.filter(|_| voters.contains(&me.name)) {
            Some(kept) => {
                state = postcard::from_bytes(&kept.snapshot.data).unwrap_or_default();
                let settings = agreement::Settings {
                    me: voter_id(&me.name),
                    voters: by_id.keys().copied().collect(),
                    tick,
                    election_ticks,
                    compact_after: 2_000,
                };
                Some(Voter::new(settings, kept, seed, now)?)
            }
            None => None,
        };
        Ok(Desk {
            holder: Holder::new(me.name.clone(), me.process, lease),
            keeper: Keeper::new(lease),
            me,
            voters: by_id,
            voter,
            state,
            fence,
            members: Vec::new(),
            number: 0,
            asks: Asks::default(),
            acts: Acts::default(),
            next_beat: now,
            moves: Vec::new(),
        })
    }

    /// When [`Event::Wake`] is due.
    pub fn next_wake(&self) -> Micros {
        let voter = self.voter.as_ref().map_or(Micros::MAX, Voter::next_wake);
        if self.voters.is_empty() {
            Micros::MAX
        } else {
            self.next_beat.min(voter)
        }
    }

    /// Takes an event and appends what is to be done, in order.
    pub fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Message(bytes) => self.vote(now, agreement::Event::Message(bytes), actions),
            Event::Saved(number) => self.vote(now, agreement::Event::Saved(number), actions),
            // Silent from here on, as one that is gone: it can keep no promise.
            Event::NotSaved => self.voter = None,
            Event::Members(members) => self.members = members,
            Event::Ask { ask, what } => self.ask(now, ask, what, actions),
            Event::Forwarded { ask, answer } => self.forwarded(ask, answer, actions),
            Event::Act { ask, act } => self.acted_on(ask, act, actions),
            Event::Acted { to, version, answer } => self.acts.ended(now, &to, version, answer),
            Event::Wake { wall_ms } => {
                if self.voter.as_ref().is_some_and(|voter| now >= voter.next_wake()) {
                    self.vote(now, agreement::Event::Wake, actions);
                }
                if now >= self.next_beat {
                    self.next_beat = now + BEAT;
                    self.beat(now, wall_ms, actions);
                }
            }
        }
    }

    /// What staff are told.
    pub fn report(&self, now: Micros) -> DeskReport {
        let duty = |duty: Duty| DutyReport {
            duty,
            holder: self.state.held.get(&duty).map(|held| held.holder.clone()),
            token: self.state.token(duty),
            lease_ms: self.holder.left(now, duty) / 1_000,
        };
        let (out, out_version) = if self.voter.is_some() {
            (self.state.out.clone(), self.state.out_version)
        } else {
            self.acts.enforced()
        };
        DeskReport {
            votes: self.voter.is_some(),
            voters: self.voters.values().cloned().collect(),
            missing: self.missing(),
            leader: self.leader(),
            index: self.state.index,
            duties: super::DUTIES.into_iter().map(duty).collect(),
            out,
            out_version,
            refused: self.fence.refused,
            moves: self.moves.clone(),
        }
    }

    fn leader(&self) -> Option<Name> {
        let id = self.voter.as_ref()?.leader()?;
        self.voters.get(&id).cloned()
    }

    fn is_present(&self, name: &Name) -> bool {
        self.members.iter().any(|member| member.name == *name)
    }

    /// Voters that are not present.
    fn missing(&self) -> Vec<Name> {
        self.voters.values().filter(|name| !self.is_present(name)).cloned().collect()
    }

    fn has_majority(&self) -> bool {
        (self.voters.len() - self.missing().len()) * 2 > self.voters.len()
    }

    fn command(&mut self, what: What) -> Command {
        self.number += 1;
        Command { id: CommandId(self.me.process, self.number), what }
    }

    fn propose(&mut self, now: Micros, command: &Command, actions: &mut Vec<Action>) {
        let bytes = postcard::to_stdvec(command).unwrap_or_default();
        self.vote(now, agreement::Event::Propose(bytes), actions);
    }

    fn vote(&mut self, now: Micros, event: agreement::Event, actions: &mut Vec<Action>) {
        let Some(voter) = &mut self.voter else { return };
        let mut wanted = Vec::new();
        voter.on_event(now, event, &mut wanted);
        for action in wanted {
            match action {
                agreement::Action::Send { to, bytes } => {
                    if let Some(to) = self.voters.get(&to).cloned() {
                        actions.push(Action::Send { to, bytes });
                    }
                }
                agreement::Action::Save { number, save } => actions.push(Action::Save { number, save }),
                agreement::Action::Apply(item) => self.apply(now, item.index, &item.data, actions),
                agreement::Action::Restore(snapshot) => {
                    self.state = postcard::from_bytes(&snapshot.data).unwrap_or_default();
                    self.keeper.applied(now, &self.state);
                }
                agreement::Action::Leader { term, leader } => {
                    let leader = leader.and_then(|id| self.voters.get(&id).cloned());
                    actions.push(Action::Leader { term, leader });
                }
                agreement::Action::Compact => {
                    let (index, data) =
                        (self.state.index, postcard::to_stdvec(&self.state).unwrap_or_default());
                    self.vote(now, agreement::Event::Snapshot { index, data }, actions);
                }
                // Asks are tried again at each beat, leases too.
                agreement::Action::NotTried(_) => {}
            }
        }
    }

    fn apply(&mut self, now: Micros, index: u64, data: &[u8], actions: &mut Vec<Action>) {
        let Some((command, outcome)) = self.state.apply(index, data) else { return };
        self.keeper.applied(now, &self.state);
        self.holder.applied(&command, &outcome, &self.state);
        let moved = match &command.what {
            What::Give { duty, to, .. } if outcome == Outcome::Done => Some((*duty, Some(to.clone()), index)),
            What::Release { duty, token } if outcome == Outcome::Done => Some((*duty, None, *token)),
            _ => None,
        };
        if let Some((duty, to, token)) = moved {
            if self.moves.len() >= MOVES {
                self.moves.remove(0);
            }
            self.moves.push((duty, to.clone(), token));
            actions.push(Action::Moved { duty, to, token });
        }
        self.asks.applied(&command, &outcome, actions);
    }

    fn beat(&mut self, now: Micros, wall_ms: u64, actions: &mut Vec<Action>) {
        let leads = self.voter.as_ref().is_some_and(|voter| voter.leads().is_some());
        self.keeper.leads(now, leads);
        let mut wanted = Vec::new();
        if leads {
            let candidates: Vec<Candidate> = self
                .members
                .iter()
                .filter(|member| self.voters.values().any(|voter| *voter == member.name))
                .map(|m| Candidate { name: m.name.clone(), process: m.process, zone: m.zone.clone() })
                .collect();
            wanted.extend(self.keeper.give(now, &self.state, &candidates));
        }
        if now >= self.holder.next_ask() {
            wanted.extend(self.holder.ask(now, &self.state, self.number + wanted.len() as u64 + 1));
        }
        if self.holder.may_act(now, Duty::Maintenance).is_some() {
            let over = |until: Option<u64>| until.is_some_and(|until| wall_ms >= until);
            let ended = self.state.out.iter().find(|(_, out)| over(out.until_ms));
            wanted.extend(ended.map(|(server, _)| What::Back { server: server.clone() }));
        }
        for what in wanted {
            let command = self.command(what);
            self.propose(now, &command, actions);
        }
        self.try_asks(now, actions);
        self.bring(now, actions);
    }
}
