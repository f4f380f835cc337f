//! How each baseline policy selects one of the ready servers for a request. `baseline` has what they share.

use std::collections::BTreeMap;

use load_balancer::{Key, ServerId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::GroundTruth;

/// Virtual nodes of a server on the hash ring.
const VIRTUAL_NODES: u64 = 100;
/// Limit of a server's requests in flight, as a multiple of the mean over the servers (of this node's requests).
const RING_LOAD_FACTOR: f64 = 1.25;
/// Size of the slot table: a prime well over a hundred times the maximum number of servers.
const SLOTS: u64 = 65_537;

/// What a baseline policy knows when it selects the server for an attempt of a request.
pub struct SelectionContext<'a> {
    /// Ready servers that this request has not been sent to, sorted by id.
    pub ready: &'a [ServerId],
    /// This node's requests in flight, by server.
    pub outstanding: &'a BTreeMap<ServerId, u32>,
    /// Key of the request, if it has one.
    pub key: Option<Key>,
    /// The client's estimate of the work, in microseconds; 0 if it gave none.
    pub cost: u64,
    /// The actual state of the servers, only for [`Oracle`].
    pub truth: GroundTruth<'a>,
}

impl SelectionContext<'_> {
    fn in_flight(&self, server: ServerId) -> u32 {
        self.outstanding.get(&server).copied().unwrap_or(0)
    }

    fn key_hash(&self) -> u64 {
        hash(self.key.map_or(0, |key| key.0), 0)
    }
}

fn hash(value: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), seed)
}

/// Selects the server for a request.
pub trait SelectServer {
    /// Called with the new list whenever the ready servers have changed.
    fn update_ready(&mut self, _ready: &[ServerId]) {}
    /// One of the ready servers; `None` if none is suitable.
    fn select(&mut self, context: SelectionContext<'_>) -> Option<ServerId>;
}

pub struct Random(Pcg64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(Pcg64::seed_from_u64(seed))
    }

    fn random_server(&mut self, ready: &[ServerId]) -> Option<ServerId> {
        (!ready.is_empty()).then(|| ready[self.0.random_range(0..ready.len())])
    }
}

impl SelectServer for Random {
    fn select(&mut self, context: SelectionContext<'_>) -> Option<ServerId> {
        self.random_server(context.ready)
    }
}

pub struct RoundRobin(usize);

impl RoundRobin {
    /// Each node starts at a different position. Otherwise all nodes would send to the same server at the same time.
    pub fn new(seed: u64) -> RoundRobin {
        RoundRobin(hash(seed, 0) as usize >> 1)
    }
}

impl SelectServer for RoundRobin {
    fn select(&mut self, context: SelectionContext<'_>) -> Option<ServerId> {
        self.0 = self.0.wrapping_add(1);
        (!context.ready.is_empty()).then(|| context.ready[self.0 % context.ready.len()])
    }
}

pub struct TwoChoices(Random);

impl TwoChoices {
    pub fn new(seed: u64) -> TwoChoices {
        TwoChoices(Random::new(seed))
    }
}

impl SelectServer for TwoChoices {
    fn select(&mut self, context: SelectionContext<'_>) -> Option<ServerId> {
        let (a, b) = (
            self.0.random_server(context.ready)?,
            self.0.random_server(context.ready)?,
        );
        Some(if context.in_flight(b) < context.in_flight(a) {
            b
        } else {
            a
        })
    }
}

pub struct LeastOutstanding;

impl SelectServer for LeastOutstanding {
    fn select(&mut self, context: SelectionContext<'_>) -> Option<ServerId> {
        // A hash of key and server breaks ties. By id, the lowest one would get all of them.
        let rank = |id: &ServerId| {
            (
                context.in_flight(*id),
                hash(context.key_hash(), u64::from(id.0)),
            )
        };
        context.ready.iter().copied().min_by_key(rank)
    }
}

#[derive(Default)]
pub struct RingBounded {
    ring: BTreeMap<u64, ServerId>,
}

impl SelectServer for RingBounded {
    fn update_ready(&mut self, ready: &[ServerId]) {
        let virtual_nodes = |id: &ServerId| {
            let id = *id;
            (0..VIRTUAL_NODES).map(move |nth| (hash(u64::from(id.0), nth + 1), id))
        };
        self.ring = ready.iter().flat_map(virtual_nodes).collect();
    }

    fn select(&mut self, context: SelectionContext<'_>) -> Option<ServerId> {
        let total: u32 = context.ready.iter().map(|id| context.in_flight(*id)).sum();
        let limit = (RING_LOAD_FACTOR * f64::from(total + 1) / context.ready.len().max(1) as f64)
            .ceil() as u32;
        let start = context.key_hash();
        let clockwise = self
            .ring
            .range(start..)
            .chain(self.ring.range(..start))
            .map(|(_, id)| *id);
        clockwise
            .filter(|id| context.ready.contains(id))
            .find(|id| context.in_flight(*id) < limit)
    }
}

#[derive(Default)]
pub struct MaglevPlain {
    slots: Vec<ServerId>,
}

impl SelectServer for MaglevPlain {
    /// Fills the table as in section 3.4 of PAPER: the servers take turns, and each claims the next free slot of its
    /// permutation.
    fn update_ready(&mut self, ready: &[ServerId]) {
        self.slots.clear();
        if ready.is_empty() {
            return;
        }
        let mut slots: Vec<Option<ServerId>> = vec![None; SLOTS as usize];
        let permutation = |id: &ServerId| {
            let offset = hash(u64::from(id.0), 1) % SLOTS;
            let skip = hash(u64::from(id.0), 2) % (SLOTS - 1) + 1;
            (*id, offset, skip)
        };
        let mut permutations: Vec<(ServerId, u64, u64)> = ready.iter().map(permutation).collect();
        let mut filled = 0;
        while filled < SLOTS {
            for (id, next, skip) in &mut permutations {
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

    fn select(&mut self, context: SelectionContext<'_>) -> Option<ServerId> {
        let start = (context.key_hash() % SLOTS) as usize;
        let from_start = self
            .slots
            .iter()
            .skip(start)
            .chain(self.slots.iter().take(start));
        from_start.copied().find(|id| context.ready.contains(id))
    }
}

pub struct Oracle;

impl SelectServer for Oracle {
    /// The server that would complete the request first, with the saving for a cached key taken into account. None
    /// where the request could lead to congestion on every server: rejecting it costs less than congestion.
    fn select(&mut self, context: SelectionContext<'_>) -> Option<ServerId> {
        let expected_wait = |id: &ServerId| {
            let server = &context.truth.world.servers()[*context.truth.server_indices.get(id)?];
            let wait = server.expected_wait(context.truth.now, context.cost, context.truth.key);
            wait.is_finite().then_some(wait)
        };
        let waits = context
            .ready
            .iter()
            .filter_map(|id| Some((expected_wait(id)?, *id)));
        waits
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, id)| id)
    }
}
