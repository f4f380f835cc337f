//! Owns the fleet's sums at the holder of a duty: whom it asks when, what each has told, and nothing counted twice. A
//! new holder asks for the whole hour, so that a change of hands loses nothing.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Counts, Look, Now, Tally, SLOT, SLOTS};
use crate::lease::Role;
use crate::membership::Name;
use crate::Micros;

/// Each agent is asked this often, in small fleets.
const EVERY: Micros = 1_000_000;
/// Agents asked a second, at most.
pub const A_SECOND: u64 = 500;
/// Agents asked a second in a round: in large fleets each waits longer, and with 2,000 a round still ends within a slot.
/// It is less than may be asked, so that what was held up is made up for.
const STEADY: u64 = 400;
/// One that did not answer is asked again after this.
const PATIENCE: Micros = 3_000_000;
/// One that told longer ago than this counts as silent, in small fleets.
const FRESH: Micros = 5_000_000;
const MINUTE_SLOTS: usize = 12;

/// What an agent has told.
#[derive(Debug, Default)]
struct Seen {
    process: u64,
    slot: u64,
    /// What its node did in its last closed slot.
    last: Counts,
    now: Option<Now>,
    starts: u64,
    by_hand: Vec<String>,
    told: Option<Micros>,
    /// When it was asked, and when it is asked next.
    asked: Micros,
    /// See [`asked`](Self::asked).
    next: Micros,
}

/// The sums.
#[derive(Debug, Default)]
pub struct Census {
    token: u64,
    /// By slots of the holder's clock, the newest last, and the number of that one.
    ring: VecDeque<Counts>,
    newest: u64,
    seen: BTreeMap<Name, Seen>,
    /// When there were questions last, and how many may be asked at once.
    asked: Micros,
    /// See [`asked`](Self::asked).
    allowed: u64,
}

/// An agent's node, as told to staff.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The agent.
    pub name: Name,
    /// How long ago it told, in milliseconds; `None` where it never did.
    pub age_ms: Option<u64>,
    /// What its node did in the last slot that it closed, of 5 s.
    pub last: Counts,
    /// Its newest reading; `None` without a node that answers.
    pub now: Option<Now>,
    /// Starts of the node in the last minute.
    pub starts: u64,
    /// Servers that staff took out at this node alone.
    pub by_hand: Vec<String>,
}

/// What staff are told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CensusReport {
    /// Who holds the census.
    pub holder: Option<Name>,
    /// Agents present, and those of them whose last word is fresh: of the last 5 s, in large fleets by as
    /// much longer as a round is.
    pub present: usize,
    /// See [`present`](Self::present).
    pub answered: usize,
    /// Sums of the last 10 s that are closed everywhere.
    pub ten_seconds: Counts,
    /// Of the last minute.
    pub minute: Counts,
    /// Of the last hour, as far as it is known.
    pub hour: Counts,
    /// Sums by minute, the newest last, 60 at most.
    pub minutes: Vec<Counts>,
    /// By agent, by name.
    pub rows: Vec<Row>,
}

impl Census {
    /// Questions due, under a token; a new token begins anew.
    pub fn ask(
        &mut self,
        now: Micros,
        duty: Role,
        token: u64,
        present: &[Name],
    ) -> Vec<(Name, Look)> {
        if self.token != token {
            *self = Census {
                token,
                newest: now / SLOT,
                ..Census::default()
            };
        }
        let here: BTreeSet<&Name> = present.iter().collect();
        self.seen.retain(|name, _| here.contains(name));
        for name in here {
            if !self.seen.contains_key(name) {
                self.seen.insert(name.clone(), Seen::default());
            }
        }
        // What was not asked for a while is not asked all at once.
        let since = now.saturating_sub(self.asked).min(EVERY);
        self.allowed = (self.allowed + since * A_SECOND / EVERY).min(A_SECOND);
        self.asked = now;
        let mut due: Vec<(&Name, &mut Seen)> = self
            .seen
            .iter_mut()
            .filter(|(_, seen)| now >= seen.next)
            .collect();
        due.sort_by_key(|(_, seen)| seen.next);
        due.truncate(self.allowed as usize);
        self.allowed -= due.len() as u64;
        let mut looks = Vec::new();
        for (name, seen) in due {
            (seen.asked, seen.next) = (now, now + PATIENCE);
            looks.push((
                name.clone(),
                Look {
                    duty,
                    token,
                    process: seen.process,
                    since: seen.slot,
                },
            ));
        }
        looks
    }

    /// An agent has told.
    pub fn told(&mut self, now: Micros, name: &Name, tally: Tally) {
        let every = every(self.seen.len());
        self.turn(now);
        let Some(seen) = self.seen.get_mut(name) else {
            return;
        };
        let known = if seen.process == tally.process {
            seen.slot
        } else {
            0
        };
        // An answer that was overtaken by a later one tells nothing new.
        let new = (tally.slot.saturating_sub(known) as usize).min(tally.slots.len());
        let closed = now.saturating_sub(tally.closed_ms * 1_000) / SLOT;
        for (back, counts) in tally.slots.iter().rev().take(new).enumerate() {
            let place = (self.newest - closed.min(self.newest)) as usize + back;
            if let Some(place) = self.ring.len().checked_sub(place + 1) {
                self.ring[place].add(counts);
            }
        }
        if let Some(last) = tally.slots.last().filter(|_| new > 0) {
            seen.last = *last;
        }
        if tally.slot >= known || seen.process != tally.process {
            (seen.process, seen.slot) = (tally.process, tally.slot);
        }
        (seen.now, seen.starts, seen.by_hand) = (tally.now, tally.starts, tally.by_hand);
        seen.told = Some(now);
        // From when it was asked: a round takes no longer than it should because the answers are under way.
        seen.next = seen.asked + every;
    }

    /// Makes room for the slots of now.
    fn turn(&mut self, now: Micros) {
        if self.ring.is_empty() {
            self.ring.resize(SLOTS, Counts::default());
        }
        let at = now / SLOT;
        let steps = at.saturating_sub(self.newest).min(SLOTS as u64);
        for _ in 0..steps {
            self.ring.pop_front();
            self.ring.push_back(Counts::default());
        }
        self.newest = self.newest.max(at);
    }

    /// Sums of the last slots that all have closed, the newest left out.
    pub fn recent(&self, slots: usize) -> Counts {
        let mut sum = Counts::default();
        // A slot of another's clock ends up to one slot later, and is told up to one later than that.
        self.ring
            .iter()
            .rev()
            .skip(2)
            .take(slots)
            .for_each(|counts| sum.add(counts));
        sum
    }

    /// What agents told that are heard of at the moment.
    pub fn rows(&self, now: Micros) -> Vec<Row> {
        let mut rows: Vec<Row> = self
            .seen
            .iter()
            .map(|(name, seen)| Row {
                name: name.clone(),
                age_ms: seen.told.map(|at| now.saturating_sub(at) / 1_000),
                last: seen.last,
                now: seen.now,
                starts: seen.starts,
                by_hand: seen.by_hand.clone(),
            })
            .collect();
        rows.sort_by(|one, other| one.name.as_str().cmp(other.name.as_str()));
        rows
    }

    /// Whether what an agent told last still stands for it: one question or answer may have been lost since.
    pub fn is_fresh(&self, row: &Row) -> bool {
        let fresh = FRESH + every(self.seen.len()) - EVERY;
        row.age_ms.is_some_and(|age| age * 1_000 < fresh)
    }

    /// What staff are told.
    pub fn report(&mut self, now: Micros, holder: Name) -> CensusReport {
        self.turn(now);
        let rows = self.rows(now);
        let minutes: Vec<Counts> = self
            .ring
            .iter()
            .collect::<Vec<_>>()
            .chunks(MINUTE_SLOTS)
            .map(sum)
            .collect();
        CensusReport {
            holder: Some(holder),
            present: rows.len(),
            answered: rows.iter().filter(|row| self.is_fresh(row)).count(),
            ten_seconds: self.recent(2),
            minute: self.recent(MINUTE_SLOTS),
            hour: self.recent(SLOTS),
            minutes,
            rows,
        }
    }
}

/// How often each of so many agents is asked.
fn every(present: usize) -> Micros {
    EVERY.max(present as Micros * 1_000_000 / STEADY)
}

fn sum(slots: &[&Counts]) -> Counts {
    let mut sum = Counts::default();
    slots.iter().for_each(|counts| sum.add(counts));
    sum
}

#[cfg(test)]
mod tests;
