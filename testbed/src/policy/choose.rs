//! Owns the baselines' choices: which of the ready servers gets a request. Each is a few lines; what they
//! have in common is in `baseline`.

use std::collections::BTreeMap;

use load_balancer::{Key, ServerId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Truth;

/// Places of a server on the ring.
const RING_PLACES: u64 = 100;
/// A server takes this multiple of the mean of this node's requests in flight.
const RING_BOUND: f64 = 1.25;
/// Slots of the bare table: a prime well over a hundred times the servers of a day.
const SLOTS: u64 = 65_537;

/// What a choice may look at.
pub struct View<'a> {
    /// Ready servers that this request has not been sent to, by id.
    pub ready: &'a [ServerId],
    /// This node's requests in flight.
    pub outstanding: &'a BTreeMap<ServerId, u32>,
    /// The request's key.
    pub key: Option<Key>,
    /// The client's guess at the work, in microseconds.
    pub work: u64,
    /// For the oracle alone.
    pub truth: Truth<'a>,
}

impl View<'_> {
    fn out(&self, server: ServerId) -> u32 {
        self.outstanding.get(&server).copied().unwrap_or(0)
    }

    fn key_hash(&self) -> u64 {
        hash(self.key.map_or(0, |key| key.0), 0)
    }
}

fn hash(value: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), seed)
}

/// A choice.
pub trait Choose {
    /// The ready list has changed.
    fn relisted(&mut self, _ready: &[ServerId]) {}
    /// One of the ready servers; `None` where there is none.
    fn choose(&mut self, view: View<'_>) -> Option<ServerId>;
}

pub struct Random(Pcg64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(Pcg64::seed_from_u64(seed))
    }

    fn one(&mut self, ready: &[ServerId]) -> Option<ServerId> {
        (!ready.is_empty()).then(|| ready[self.0.random_range(0..ready.len())])
    }
}

impl Choose for Random {
    fn choose(&mut self, view: View<'_>) -> Option<ServerId> {
        self.one(view.ready)
    }
}

pub struct RoundRobin(usize);

impl RoundRobin {
    /// Each node begins at a place of its own: in step they would all meet at one server.
    pub fn new(seed: u64) -> RoundRobin {
        RoundRobin(hash(seed, 0) as usize >> 1)
    }
}

impl Choose for RoundRobin {
    fn choose(&mut self, view: View<'_>) -> Option<ServerId> {
        self.0 = self.0.wrapping_add(1);
        (!view.ready.is_empty()).then(|| view.ready[self.0 % view.ready.len()])
    }
}

pub struct TwoChoices(Random);

impl TwoChoices {
    pub fn new(seed: u64) -> TwoChoices {
        TwoChoices(Random::new(seed))
    }
}

impl Choose for TwoChoices {
    fn choose(&mut self, view: View<'_>) -> Option<ServerId> {
        let (a, b) = (self.0.one(view.ready)?, self.0.one(view.ready)?);
        Some(if view.out(b) < view.out(a) { b } else { a })
    }
}

pub struct LeastOutstanding;

impl Choose for LeastOutstanding {
    fn choose(&mut self, view: View<'_>) -> Option<ServerId> {
        // Ties go by a hash of key and server: the lowest id would get them all.
        let by = |id: &ServerId| (view.out(*id), hash(view.key_hash(), u64::from(id.0)));
        view.ready.iter().copied().min_by_key(by)
    }
}

#[derive(Default)]
pub struct RingBounded {
    ring: BTreeMap<u64, ServerId>,
}

impl Choose for RingBounded {
    fn relisted(&mut self, ready: &[ServerId]) {
        let places = |id: &ServerId| {
            let id = *id;
            (0..RING_PLACES).map(move |place| (hash(u64::from(id.0), place + 1), id))
        };
        self.ring = ready.iter().flat_map(places).collect();
    }

    fn choose(&mut self, view: View<'_>) -> Option<ServerId> {
        let total: u32 = view.ready.iter().map(|id| view.out(*id)).sum();
        let bound =
            (RING_BOUND * f64::from(total + 1) / view.ready.len().max(1) as f64).ceil() as u32;
        let from = view.key_hash();
        let round = self
            .ring
            .range(from..)
            .chain(self.ring.range(..from))
            .map(|(_, id)| *id);
        round
            .filter(|id| view.ready.contains(id))
            .find(|id| view.out(*id) < bound)
    }
}

#[derive(Default)]
pub struct MaglevPlain {
    slots: Vec<ServerId>,
}

impl Choose for MaglevPlain {
    /// The fill of PAPER, section 3.4: servers take turns claiming their next free preferred slot.
    fn relisted(&mut self, ready: &[ServerId]) {
        self.slots.clear();
        if ready.is_empty() {
            return;
        }
        let mut slots: Vec<Option<ServerId>> = vec![None; SLOTS as usize];
        let walk = |id: &ServerId| {
            let offset = hash(u64::from(id.0), 1) % SLOTS;
            let skip = hash(u64::from(id.0), 2) % (SLOTS - 1) + 1;
            (*id, offset, skip)
        };
        let mut walks: Vec<(ServerId, u64, u64)> = ready.iter().map(walk).collect();
        let mut filled = 0;
        while filled < SLOTS {
            for (id, next, skip) in &mut walks {
                while slots[*next as usize].is_some() {
                    *next = (*next + *skip) % SLOTS;
                }
                slots[*next as usize] = Some(*id);
                filled += 1;
                if filled == SLOTS {
                    break;
                }
            }
        }
        self.slots = slots.into_iter().flatten().collect();
    }

    fn choose(&mut self, view: View<'_>) -> Option<ServerId> {
        let start = (view.key_hash() % SLOTS) as usize;
        let round = self
            .slots
            .iter()
            .skip(start)
            .chain(self.slots.iter().take(start));
        round.copied().find(|id| view.ready.contains(id))
    }
}

pub struct Oracle;

impl Choose for Oracle {
    /// The server that would have done it soonest, what keys save counted; none where each would be
    /// strained by it: a refusal now is better than a jam.
    fn choose(&mut self, view: View<'_>) -> Option<ServerId> {
        let wait = |id: &ServerId| {
            let server = &view.truth.world.servers()[*view.truth.places.get(id)?];
            let wait = server.expected_wait(view.truth.now, view.work, view.truth.key);
            wait.is_finite().then_some(wait)
        };
        let waits = view.ready.iter().filter_map(|id| Some((wait(id)?, *id)));
        waits
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, id)| id)
    }
}
