//! Owns what staff asked for until it is answered: yes only once it is agreed, no at once where it can't be, and
//! otherwise, in the end, that it was tried.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Action, Desk};
use crate::duty::{Command, CommandId, Outcome, What};
use crate::membership::Name;
use crate::Micros;

/// An ask that is not agreed by then is answered so: it may be yet.
const PATIENCE: Micros = 3_000_000;
/// It is proposed again this often: a change of leader loses proposals.
const AGAIN: Micros = 400_000;
/// Asks at a time.
const MOST: usize = 64;

/// The answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// Kept by a majority: it holds.
    Done,
    /// Nothing was changed, for this reason.
    Refused(String),
    /// Not agreed in time. It may or may not hold; asking again is harmless.
    Tried(String),
}

struct Ask {
    what: What,
    /// Set where this agent votes: it proposes the same command again.
    command: Option<Command>,
    until: Micros,
    again: Micros,
    /// It is with another agent now.
    away: bool,
}

/// What is not answered yet.
#[derive(Default)]
pub(super) struct Asks {
    open: BTreeMap<u64, Ask>,
    by_command: BTreeMap<CommandId, u64>,
}

impl Asks {
    pub fn applied(&mut self, command: &Command, outcome: &Outcome, actions: &mut Vec<Action>) {
        let Some(ask) = self.by_command.remove(&command.id) else { return };
        self.open.remove(&ask);
        let answer = match outcome {
            Outcome::Done | Outcome::Repeated => Answer::Done,
            Outcome::Overtaken => Answer::Refused("overtaken by another".into()),
            Outcome::Full => Answer::Refused("too many servers are out".into()),
        };
        actions.push(Action::Answer { ask, answer });
    }

    fn close(&mut self, ask: u64, answer: Answer, actions: &mut Vec<Action>) {
        if let Some(Ask { command: Some(command), .. }) = self.open.remove(&ask) {
            self.by_command.remove(&command.id);
        }
        actions.push(Action::Answer { ask, answer });
    }
}

fn names(names: &[Name]) -> String {
    names.iter().map(Name::as_str).collect::<Vec<_>>().join(", ")
}

impl Desk {
    pub(super) fn ask(&mut self, now: Micros, ask: u64, what: What, actions: &mut Vec<Action>) {
        let refusal = if self.voters.is_empty() {
            Some("this fleet has no voters: nothing can be agreed on".to_owned())
        } else if !self.has_majority() {
            let (missing, all) = (self.missing(), self.voters.len());
            let present = all - missing.len();
            Some(format!("no majority: {present} of {all} voters present, missing {}", names(&missing)))
        } else if self.asks.open.len() >= MOST {
            Some("too many calls at a time".to_owned())
        } else {
            None
        };
        if let Some(refusal) = refusal {
            return actions.push(Action::Answer { ask, answer: Answer::Refused(refusal) });
        }
        let command = self.voter.is_some().then(|| self.command(what.clone()));
        if let Some(command) = &command {
            self.asks.by_command.insert(command.id, ask);
        }
        let open = Ask { what, command, until: now + PATIENCE, again: now, away: false };
        self.asks.open.insert(ask, open);
        self.try_asks(now, actions);
    }

    /// Proposes again what is not agreed yet, and gives up what took too long.
    pub(super) fn try_asks(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let due: Vec<u64> =
            self.asks.open.iter().filter(|(_, ask)| now >= ask.again).map(|(id, _)| *id).collect();
        for id in due {
            let Some(ask) = self.asks.open.get_mut(&id) else { continue };
            if now >= ask.until {
                let missing = self.missing();
                let lacking =
                    if missing.is_empty() { String::new() } else { format!(", missing {}", names(&missing)) };
                self.asks.close(id, Answer::Tried(format!("not agreed in time{lacking}")), actions);
                continue;
            }
            ask.again = now + AGAIN;
            match ask.command.clone() {
                Some(command) => self.propose(now, &command, actions),
                None if ask.away => {}
                None => {
                    ask.away = true;
                    let what = ask.what.clone();
                    let voters = self.voters.values();
                    let to = voters.filter(|name| self.is_present(name)).nth(id as usize % self.voters.len());
                    let to = to.or_else(|| self.voters.values().find(|name| self.is_present(name))).cloned();
                    if let Some(to) = to {
                        actions.push(Action::Forward { ask: id, to, what });
                    }
                }
            }
        }
    }

    pub(super) fn forwarded(&mut self, ask: u64, answer: Option<Answer>, actions: &mut Vec<Action>) {
        match answer {
            Some(answer) => self.asks.close(ask, answer, actions),
            // Not answered: whether it was agreed is not known, and another voter may say.
            None => {
                if let Some(open) = self.asks.open.get_mut(&ask) {
                    open.away = false;
                }
            }
        }
    }
}
