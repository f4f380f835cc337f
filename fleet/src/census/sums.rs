//! Owns the fleet's sums at the holder of a duty: whom it asks when, what each has told, and nothing counted twice. A
//! new holder asks for the whole hour, so that a change of hands loses nothing.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Counts, Look, Now, Tally, SLOT, SLOTS};
use crate::duty::Duty;
use crate::membership::Name;
use crate::Micros;

/// Each agent is asked this often, in small fleets.
const EVERY: Micros = 1_000_000;
/// Agents asked a second, at most: in large fleets each waits longer.
const A_SECOND: u64 = 200;
/// One that did not answer is asked again after this.
const PATIENCE: Micros = 3_000_000;
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
    /// When it is asked next.
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
    /// Agents present, and those of them that have told in the last 5 s.
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
    pub fn ask(&mut self, now: Micros, duty: Duty, token: u64, present: &[Name]) -> Vec<(Name, Look)> {
        if self.token != token {
            *self = Census { token, newest: now / SLOT, ..Census::default() };
        }
        self.seen.retain(|name, _| present.contains(name));
        let every = every(present.len());
        let mut looks = Vec::new();
        for name in present {
            let seen = self.seen.entry(name.clone()).or_default();
            if now >= seen.next {
                seen.next = now + every.max(PATIENCE);
                looks.push((name.clone(), Look { duty, token, process: seen.process, since: seen.slot }));
            }
        }
        looks
    }

    /// An agent has told.
    pub fn told(&mut self, now: Micros, name: &Name, tally: Tally) {
        let every = every(self.seen.len());
        self.turn(now);
        let Some(seen) = self.seen.get_mut(name) else { return };
        let known = if seen.process == tally.process { seen.slot } else { 0 };
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
        seen.next = now + every;
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
        self.ring.iter().rev().skip(2).take(slots).for_each(|counts| sum.add(counts));
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

    /// What staff are told.
    pub fn report(&mut self, now: Micros, holder: Name) -> CensusReport {
        self.turn(now);
        let rows = self.rows(now);
        let minutes: Vec<Counts> =
            self.ring.iter().collect::<Vec<_>>().chunks(MINUTE_SLOTS).map(sum).collect();
        CensusReport {
            holder: Some(holder),
            present: rows.len(),
            answered: rows.iter().filter(|row| row.age_ms.is_some_and(|age| age < 5_000)).count(),
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
    EVERY.max(present as Micros * 1_000_000 / A_SECOND)
}

fn sum(slots: &[&Counts]) -> Counts {
    let mut sum = Counts::default();
    slots.iter().for_each(|counts| sum.add(counts));
    sum
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::census::{Meter, Reading};

    const SECOND: Micros = 1_000_000;

    fn served(count: u64) -> Reading {
        Reading { counts: Counts { served: count, ..Counts::default() }, ..Reading::default() }
    }

    /// Three nodes, read each second; the second starts anew at 100 s, the third's agent does at 200 s and adopts it, and
    /// another holder takes the census over at 300 s. Each serves 7 requests a second.
    #[test]
    fn nothing_is_counted_twice_across_starts_and_a_new_holder_has_it_all() {
        let names: Vec<Name> = ["a", "b", "c"].iter().map(|name| name.parse().unwrap()).collect();
        let mut meters: Vec<(u64, Meter)> = (0..3).map(|at| (at + 1, Meter::new(at * 1_300_000))).collect();
        meters.iter_mut().for_each(|(_, meter)| meter.started(0));
        let mut since = [0u64; 3];
        let (mut census, mut token) = (Census::default(), 1);
        let mut lost = 0;
        for second in 1..400u64 {
            let now = second * SECOND + 300_000;
            if second == 100 {
                since[1] = second;
                meters[1].1.started(now);
            }
            if second == 200 {
                // The agent's own hour is lost with it, and what its node did until it is read again.
                let before = census.recent(SLOTS).served;
                meters[2] = (9, Meter::new(now));
                lost = before;
            }
            if second == 300 {
                (census, token) = (Census::default(), 2);
            }
            for (at, (_, meter)) in meters.iter_mut().enumerate() {
                meter.read(now, &served((second - since[at]) * 7));
            }
            for (name, look) in census.ask(now, Duty::Census, token, &names) {
                let (process, meter) = &mut meters[names.iter().position(|one| *one == name).unwrap()];
                let tally = meter.tally(now, &look, *process, Vec::new());
                census.told(now, &name, tally.clone());
                // The same answer twice, as after a retry.
                census.told(now, &name, tally);
            }
        }
        assert!(lost > 0);
        let (now, minute) = (400 * SECOND, census.recent(12).served);
        assert_eq!(minute, 3 * 7 * 60, "a minute of three nodes");
        // The first two nodes from the beginning, the third from its agent's start: the last closed slots are still open.
        let whole = 2 * 7 * 399 + 7 * 199;
        let hour = census.recent(SLOTS).served;
        assert!(hour <= whole && hour + 3 * 7 * 15 >= whole, "{hour} of {whole}");
        let report = census.report(now, names[0].clone());
        assert_eq!((report.present, report.answered, report.rows.len()), (3, 3, 3));
        assert_eq!(report.rows[0].last.served, 35, "of 5 s");
    }
}
