//! Owns when this process may act under a duty, by its own monotonic clock alone. A lease counts from when it was *asked*
//! for, which is before anybody could know of it: so it is over here before it can be given on elsewhere.

use std::collections::BTreeMap;

use super::{Command, Duty, Lease, Outcome, State, What, Why};
use crate::membership::Name;
use crate::Micros;

/// What this process holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    me: Name,
    process: u64,
    /// How long it may act, and how often it asks.
    held: Micros,
    renew_every: Micros,
    /// Renewals on their way: the number of the command, and when it was asked.
    asked: BTreeMap<u64, Micros>,
    /// The token, and until when it may be used.
    until: BTreeMap<Duty, (u64, Micros)>,
    /// Tokens that were given up here: nothing lengthens them any more.
    given_up: BTreeMap<Duty, u64>,
    next_ask: Micros,
}

impl Holder {
    /// Holds nothing yet.
    pub fn new(me: Name, process: u64, lease: Lease) -> Holder {
        let (asked, until, given_up) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Holder {
            me,
            process,
            held: lease.held(),
            renew_every: lease.renew_every(),
            asked,
            until,
            given_up,
            next_ask: 0,
        }
    }

    /// The token under which this process may act now, if it may.
    pub fn may_act(&self, now: Micros, duty: Duty) -> Option<u64> {
        self.until
            .get(&duty)
            .filter(|(_, until)| now < *until)
            .map(|(token, _)| *token)
    }

    /// How much longer this process may act.
    pub fn left(&self, now: Micros, duty: Duty) -> Micros {
        self.until
            .get(&duty)
            .map_or(0, |(_, until)| until.saturating_sub(now))
    }

    /// When it is to ask again.
    pub fn next_ask(&self) -> Micros {
        self.next_ask
    }

    /// What to ask for now: all duties that are this process' by the agreed state. `number` tells the command from all
    /// others of this process.
    pub fn ask(&mut self, now: Micros, state: &State, number: u64) -> Option<What> {
        self.next_ask = now + self.renew_every;
        let mine = state
            .held_by(self.process)
            .filter(|(duty, token)| !self.gave_up(*duty, *token));
        let tokens: Vec<(Duty, u64)> = mine.collect();
        if tokens.is_empty() {
            return None;
        }
        // What was asked so long ago that it could not matter any more is forgotten.
        let lease = self.held;
        self.asked.retain(|_, asked| now < *asked + lease);
        self.asked.insert(number, now);
        Some(What::Renew(tokens))
    }

    /// An agreed command was applied here.
    pub fn applied(&mut self, command: &Command, outcome: &Outcome, state: &State) {
        match &command.what {
            What::Renew(tokens) if command.id.0 == self.process => {
                let Some(asked) = self.asked.remove(&command.id.1) else {
                    return;
                };
                for (duty, token) in tokens {
                    let held = state
                        .held
                        .get(duty)
                        .is_some_and(|held| held.token == *token);
                    if held && !self.gave_up(*duty, *token) {
                        let until = asked + self.held;
                        let entry = self.until.entry(*duty).or_insert((*token, until));
                        *entry = (
                            *token,
                            if entry.0 == *token {
                                until.max(entry.1)
                            } else {
                                until
                            },
                        );
                    }
                }
            }
            What::Give {
                duty, to, process, ..
            } if *outcome == Outcome::Done => {
                if *to == self.me && *process == self.process {
                    // It is given, and not yet leased: that begins with the first renewal, asked for at once.
                    self.next_ask = 0;
                } else {
                    self.until.remove(duty);
                }
            }
            What::Release { duty, .. } if *outcome == Outcome::Done => {
                self.until.remove(duty);
            }
            _ => {}
        }
    }

    fn gave_up(&self, duty: Duty, token: u64) -> bool {
        self.given_up.get(&duty) == Some(&token)
    }

    /// Gives a duty up: from now on it does not act under that token, whatever is on its way. `None` where it is not its
    /// own, or was given up before.
    pub fn release(&mut self, duty: Duty, state: &State, why: Why, at_ms: u64) -> Option<What> {
        let (_, token) = state
            .held_by(self.process)
            .find(|(held, _)| *held == duty)?;
        self.until.remove(&duty);
        let before = self.given_up.insert(duty, token);
        (before != Some(token)).then_some(What::Release {
            duty,
            token,
            why,
            at_ms,
        })
    }
}
