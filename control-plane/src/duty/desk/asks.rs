//! Owns what staff asked for until it is answered: yes only once it is agreed, no at once where it can't be, and
//! otherwise, in the end, that it was tried.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Action, Desk};
use crate::consensus::VoterId;
use crate::duty::{Command, CommandId, Duty, Out, Outcome, What, Why};
use crate::membership::Name;
use crate::Micros;

/// An ask of staff's that is not agreed by then is answered so: it may be yet.
pub(super) const PATIENCE: Micros = 3_000_000;
/// A call from one agent to another ends by then, at either end: what it asked for is proposed for nobody later.
pub const CALL_PATIENCE: Micros = 2_000_000;
/// It is proposed again this often: messages get lost, and a change of leader loses proposals.
const AGAIN: Micros = 300_000;
/// Asks at a time: more than the calls that an agent takes from others and from staff.
const MOST: usize = 512;

/// What staff may ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wish {
    /// Take a server out of all nodes.
    Out {
        /// Its id on discovery's list.
        server: String,
        /// The rest of it.
        out: Out,
    },
    /// Put it back.
    Back {
        /// Its id.
        server: String,
    },
    /// The holder gives a duty up, and another takes it.
    Yield(Duty),
    /// One more voter: asked for by its own agent, which has made its store.
    AddVoter {
        /// Its store's number.
        id: VoterId,
        /// Its name.
        name: Name,
    },
    /// One voter less.
    RemoveVoter(Name),
}

/// A wish on its way: wherever it is tried again, it takes effect once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Of the agent whose staff asked.
    pub id: CommandId,
    /// What.
    pub wish: Wish,
}

/// The answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// Kept by a majority: it holds. Of a server, how it had been out before.
    Done(Option<Out>),
    /// Nothing was changed, for this reason.
    Refused(String),
    /// Not agreed in time. It may or may not hold; asking again is harmless.
    Tried(String),
}

impl Answer {
    /// Whether it holds.
    pub fn is_done(&self) -> bool {
        matches!(self, Answer::Done(_))
    }
}

struct Ask {
    request: Request,
    until: Micros,
    again: Micros,
    /// It is with another agent now.
    away: bool,
    /// It was with another and may take effect by that: nothing that is heard later can mean that nothing was changed.
    tried: bool,
    /// Of a duty that is to be given up: its token when that was first known.
    token: Option<u64>,
}

/// What is not answered yet.
#[derive(Default)]
pub(super) struct Asks {
    open: BTreeMap<u64, Ask>,
    by_command: BTreeMap<CommandId, u64>,
}

impl Asks {
    pub fn applied(&mut self, command: &Command, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(ask) = self.by_command.get(&command.id).copied() else {
            return;
        };
        let outcome = match outcome {
            Outcome::Repeated(first) => *first,
            outcome => outcome,
        };
        let answer = match outcome {
            Outcome::Set(before) => Answer::Done(before),
            Outcome::Done | Outcome::Repeated(_) => Answer::Done(None),
            Outcome::Overtaken => Answer::Refused("overtaken by another".into()),
            Outcome::Full => Answer::Refused("too many servers are out".into()),
        };
        self.close(ask, answer, actions);
    }

    fn close(&mut self, ask: u64, answer: Answer, actions: &mut Vec<Action>) {
        if let Some(open) = self.open.remove(&ask) {
            // A call of the same request that came later is still to be answered.
            if self.by_command.get(&open.request.id) == Some(&ask) {
                self.by_command.remove(&open.request.id);
            }
            actions.push(Action::Answer { ask, answer });
        }
    }
}

fn names(names: &[Name]) -> String {
    names
        .iter()
        .map(Name::as_str)
        .collect::<Vec<_>>()
        .join(", ")
}

impl Desk {
    pub(super) fn ask(
        &mut self,
        now: Micros,
        ask: u64,
        request: Request,
        patience: Micros,
        actions: &mut Vec<Action>,
    ) {
        let (all, missing) = (self.voters().len(), self.missing());
        let present = all - missing.len();
        let refusal = if all == 0 {
            Some("this fleet has no voters: nothing can be agreed on".to_owned())
        } else if present * 2 <= all {
            Some(format!(
                "no majority: {present} of {all} voters present, missing {}",
                names(&missing)
            ))
        } else if self.asks.open.len() >= MOST {
            Some("too many calls at a time".to_owned())
        } else {
            None
        };
        if let Some(refusal) = refusal {
            return actions.push(Action::Answer {
                ask,
                answer: Answer::Refused(refusal),
            });
        }
        self.asks.by_command.insert(request.id, ask);
        let open = Ask {
            request,
            until: now + patience,
            again: now,
            away: false,
            tried: false,
            token: None,
        };
        self.asks.open.insert(ask, open);
        self.try_asks(now, actions);
    }

    /// Tries again what is not agreed yet, and gives up what took too long.
    pub(super) fn try_asks(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let due: Vec<u64> = self
            .asks
            .open
            .iter()
            .filter(|(_, ask)| now >= ask.again)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(ask) = self.asks.open.get_mut(&id) else {
                continue;
            };
            if now >= ask.until {
                let missing = self.missing();
                let lacking = if missing.is_empty() {
                    String::new()
                } else {
                    format!(", missing {}", names(&missing))
                };
                self.asks.close(
                    id,
                    Answer::Tried(format!("not agreed in time{lacking}")),
                    actions,
                );
                continue;
            }
            ask.again = (now + AGAIN).min(ask.until);
            let (Request { id: command, wish }, token) = (ask.request.clone(), ask.token);
            if let Some(answer) = self.try_wish(now, id, command, wish, token, actions) {
                self.asks.close(id, answer, actions);
            }
        }
    }

    /// One try; an answer where the wish is fulfilled, or never will be.
    fn try_wish(
        &mut self,
        now: Micros,
        ask: u64,
        id: CommandId,
        wish: Wish,
        token: Option<u64>,
        actions: &mut Vec<Action>,
    ) -> Option<Answer> {
        if self.voter.is_none() {
            let others = self.other_voters();
            // Another one each time.
            let to = others
                .get((ask + now / AGAIN) as usize % others.len().max(1))
                .cloned();
            self.forward(ask, to, actions);
            return None;
        }
        if let (Some(open), Wish::Out { .. } | Wish::Back { .. }) =
            (self.asks.open.get_mut(&ask), &wish)
        {
            open.tried = true;
        }
        match wish {
            Wish::Out { server, out } => {
                self.propose(
                    now,
                    &Command {
                        id,
                        what: What::Out { server, out },
                    },
                    actions,
                );
            }
            Wish::Back { server } => {
                self.propose(
                    now,
                    &Command {
                        id,
                        what: What::Back { server },
                    },
                    actions,
                );
            }
            Wish::AddVoter { id: voter, name } if self.leads() => {
                let refused = self.add_voter(now, voter, &name, actions);
                self.propose(
                    now,
                    &Command {
                        id,
                        what: What::Look,
                    },
                    actions,
                );
                return refused;
            }
            Wish::RemoveVoter(name) if self.leads() => {
                let refused = self.remove_voter(now, id, &name, actions);
                self.propose(
                    now,
                    &Command {
                        id,
                        what: What::Look,
                    },
                    actions,
                );
                return refused;
            }
            Wish::AddVoter { .. } | Wish::RemoveVoter(_) => {
                let leader = self.leader();
                self.forward(ask, leader, actions);
            }
            Wish::Yield(duty) => {
                let Some(token) = token else {
                    // Which holder is meant, the log says: what is known here may be old.
                    self.propose(
                        now,
                        &Command {
                            id,
                            what: What::Look,
                        },
                        actions,
                    );
                    return None;
                };
                if self.state.token(duty) > token {
                    return Some(Answer::Done(None));
                }
                match self.state.held.get(&duty).cloned() {
                    Some(held) if held.process == self.me.process => {
                        self.release(now, duty, Why::Asked)
                    }
                    Some(held) => self.forward(ask, Some(held.holder), actions),
                    // It is about to be given.
                    None => {}
                }
            }
        }
        None
    }

    /// The log has answered whether a change of the voters is done.
    pub(super) fn looked(&mut self, id: CommandId, actions: &mut Vec<Action>) {
        let Some(ask) = self.asks.by_command.get(&id).copied() else {
            return;
        };
        let done = match self.asks.open.get(&ask).map(|open| &open.request.wish) {
            Some(Wish::AddVoter { id: voter, .. }) => self.state.voters.contains_key(voter),
            Some(Wish::RemoveVoter(name)) => {
                let mut known = self
                    .state
                    .voters
                    .values()
                    .chain(self.state.learners.values());
                self.state.has_removed(&id) || !known.any(|voter| voter == name)
            }
            Some(Wish::Yield(duty)) => {
                let token = self.state.token(*duty);
                if let Some(open) = self
                    .asks
                    .open
                    .get_mut(&ask)
                    .filter(|open| open.token.is_none())
                {
                    (open.token, open.again) = (Some(token), 0);
                }
                false
            }
            _ => false,
        };
        if done {
            self.asks.close(ask, Answer::Done(None), actions);
        }
    }

    fn forward(&mut self, ask: u64, to: Option<Name>, actions: &mut Vec<Action>) {
        let (Some(open), Some(to)) = (self.asks.open.get_mut(&ask), to) else {
            return;
        };
        if to != self.me.name && !std::mem::replace(&mut open.away, true) {
            actions.push(Action::Forward {
                ask,
                to,
                request: open.request.clone(),
            });
        }
    }

    pub(super) fn forwarded(
        &mut self,
        ask: u64,
        answer: Option<Answer>,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.asks.open.get_mut(&ask) else {
            return;
        };
        match answer {
            Some(done @ Answer::Done(_)) => self.asks.close(ask, done, actions),
            Some(refused @ Answer::Refused(_)) if !open.tried => {
                self.asks.close(ask, refused, actions)
            }
            // Until the patience here ends, another may know.
            _ => (open.away, open.tried) = (false, true),
        }
    }
}
