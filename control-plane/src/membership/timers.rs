//! Owns what falls due when. It fires nothing by itself: the host asks for the next time and comes back.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use foca::Timer;

use super::suspicion::Suspicion;
use super::{Identity, Name};
use crate::Micros;

/// A suspicion is of one incarnation of one life.
pub type SuspectKey = (Name, u64, u16);

/// All that is to come.
#[derive(Debug, Default)]
pub struct Timers {
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    waiting: BTreeMap<u64, Timer<Identity>>,
    number: u64,
    suspects: BTreeMap<SuspectKey, (Suspicion, Identity)>,
    /// No suspect is asked before: the rate does not allow it.
    asks_from: Micros,
}

impl Timers {
    /// One of foca's timers is due at that time.
    pub fn set(&mut self, at: Micros, timer: Timer<Identity>) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number)));
        self.waiting.insert(self.number, timer);
    }

    /// Keeps the suspicions of those that are suspects now, and begins new ones with `begin`.
    pub fn set_suspects(
        &mut self,
        suspects: impl Iterator<Item = (Identity, u16)>,
        begin: impl Fn(&SuspectKey) -> Suspicion,
    ) {
        let mut before = std::mem::take(&mut self.suspects);
        for (identity, incarnation) in suspects {
            let key = (identity.name.clone(), identity.generation, incarnation);
            let kept = before
                .remove(&key)
                .unwrap_or_else(|| (begin(&key), identity));
            self.suspects.insert(key, kept);
        }
    }

    /// The suspicion of an incarnation, while it lasts.
    pub fn suspicion(&mut self, key: &SuspectKey) -> Option<&mut Suspicion> {
        self.suspects.get_mut(key).map(|(suspicion, _)| suspicion)
    }

    /// The incarnation of a life that is under suspicion, the newest.
    pub fn suspected(&self, name: &Name, generation: u64) -> Option<u16> {
        let range = (name.clone(), generation, 0)..=(name.clone(), generation, u16::MAX);
        self.suspects
            .range(range)
            .next_back()
            .map(|((_, _, incarnation), _)| *incarnation)
    }

    /// Whether anybody is under suspicion.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// The earliest time at which something is due.
    pub fn next(&self) -> Option<Micros> {
        let queued = self.queue.peek().map(|Reverse((at, _))| *at);
        let suspects = self
            .suspects
            .values()
            .map(|(suspicion, _)| suspicion.next(self.asks_from))
            .min();
        [queued, suspects].into_iter().flatten().min()
    }

    /// Suspects that are to be asked now, so many at most, with the incarnation doubted: whoever is judged first comes
    /// first, the others wait.
    pub fn take_asks(&mut self, now: Micros, most: usize) -> Vec<(Identity, u16)> {
        let suspects = self
            .suspects
            .iter_mut()
            .map(|((_, _, incarnation), of)| (*incarnation, of));
        let mut suspects: Vec<_> = suspects.collect();
        suspects.sort_by_key(|(_, (suspicion, _))| suspicion.deadline());
        let due = suspects
            .into_iter()
            .filter_map(|(incarnation, (suspicion, identity))| {
                suspicion.ask(now).then(|| (identity.clone(), incarnation))
            });
        due.take(most).collect()
    }

    /// No suspect is asked before that time.
    pub fn hold_asks(&mut self, until: Micros) {
        self.asks_from = until;
    }

    /// Suspects that had their time, with the incarnation doubted. They are suspects no more.
    pub fn take_failed(&mut self, now: Micros) -> Vec<(Identity, u16)> {
        let mut over = Vec::new();
        self.suspects
            .retain(|(_, _, incarnation), (suspicion, identity)| {
                let keep = suspicion.deadline() > now;
                if !keep {
                    over.push((identity.clone(), *incarnation));
                }
                keep
            });
        over
    }

    /// Takes foca's timers that are due, in its order.
    pub fn due(&mut self, now: Micros) -> Vec<Timer<Identity>> {
        let mut due = Vec::new();
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > now {
                break;
            }
            self.queue.pop();
            due.extend(self.waiting.remove(&number));
        }
        due.sort();
        due
    }

    /// Time passed that did not count: all moves on by as much.
    pub fn shift(&mut self, by: Micros) {
        self.queue = self
            .queue
            .drain()
            .map(|Reverse((at, number))| Reverse((at + by, number)))
            .collect();
        self.suspects
            .values_mut()
            .for_each(|(suspicion, _)| suspicion.shift(by));
    }
}
