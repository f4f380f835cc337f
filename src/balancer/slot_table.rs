//! The slot table: which server owns which part of the keys.
//!
//! A key is hashed to a slot, and a slot belongs to one server (Maglev hashing). All nodes build the
//! same table from the same endpoint list, so they send a key to the same server without talking to
//! each other, and a change of one server moves few keys. The table has one layer of
//! [`LAYER_SLOTS`] slots and grows with the number of servers. `docs/slot-table.md` describes the design.
//!
//! A table of several layers takes long to build: it is built in steps while the previous one stays
//! in use, unless more than a quarter of the servers changed.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::server::{ServerIndex, ServerSet};
use crate::api::*;

/// Slots of a layer of the table: a prime number.
pub const LAYER_SLOTS: usize = 16_381;
/// Slots that each server adds to the table, once there are eight slots a server or fewer.
const ADDED_SLOTS_PER_SERVER: usize = 48;
/// Numbers of layers from which the table grows to four times its size.
const GROWTH_LAYERS: [usize; 3] = [1, 4, 16];
/// The smallest part of a round's slot that a server gains, however small its weight.
const MIN_GAIN: f64 = 1.0 / 64.0;
/// Time budget for building one slot of a table of several layers, in microseconds.
const TIME_PER_SLOT: Micros = 3;
/// Share of the servers that must change for a table to be built at once: one part of this many.
const FULL_REBUILD_DIVISOR: usize = 4;

// Seeds of the hashes, alike at all nodes.
const OFFSET_SEED: u64 = 0x636f_7070_6572;
const SKIP_SEED: u64 = 0x7461_636b;
const KEY_SEED: u64 = 0x006b_6579;
/// Multiplier and increment of the linear congruential generator that continues a key's hash.
const LCG_MULTIPLIER: u64 = 0xD134_2543_DE82_EF95;
const LCG_INCREMENT: u64 = 1;
/// Multipliers of Fibonacci hashing: 2^64 and 2^32 over the golden ratio.
const FIBONACCI_64: u64 = 0x9E37_79B9_7F4A_7C15;
const FIBONACCI_32: u32 = 0x9E37_79B1;
/// The entry of a slot that is not assigned yet.
const UNASSIGNED: u32 = u32::MAX;

/// The number of slots of a table over this many servers.
///
/// A layer has eight slots a server at 2,047 servers. From there on each server adds 48 slots until
/// the table has four layers, and likewise from 4 to 16 and from 16 to 64 layers (8,190 and 32,762
/// servers), so that one added server moves few keys. The table is complete at 131,048 servers.
pub fn table_slots(servers: usize) -> usize {
    let added = |layers: usize| {
        let slots = layers * LAYER_SLOTS;
        let servers_beyond = servers.saturating_sub(slots / 8);
        (ADDED_SLOTS_PER_SERVER * servers_beyond).min(3 * slots)
    };
    LAYER_SLOTS + GROWTH_LAYERS.map(added).iter().sum::<usize>()
}

/// The slot of a key in a table of this many slots: a jump consistent hash above the first layer, so
/// that each slot that is added takes an even part of the keys of all others.
pub fn slot_of_key(key: Key, slots: usize) -> usize {
    let layer = LAYER_SLOTS as u64;
    let mut hash = xxh3_64_with_seed(&key.0.to_le_bytes(), KEY_SEED);
    let mut slot = 0;
    let mut next = hash % layer;
    while next < slots as u64 {
        slot = next;
        hash = hash
            .wrapping_mul(LCG_MULTIPLIER)
            .wrapping_add(LCG_INCREMENT);
        next = ((slot + 1).max(layer) << 31) / ((hash >> 33) + 1);
    }
    slot as usize
}

/// A fixed pseudo-random level of a slot between 0 and 1, the same at every node and spread evenly
/// over the slots. A server that serves a share of its slots serves those of a level up to it.
pub(super) fn slot_level(slot: usize) -> f64 {
    f64::from((slot as u32).wrapping_mul(FIBONACCI_32)) / f64::from(u32::MAX)
}

/// A server's state while a table is built.
struct TableEntry {
    server: ServerId,
    /// The block of its permutation that it tries next.
    next_block: u64,
    /// The step of its permutation, in blocks.
    skip: u64,
    /// Hash of the server: decides the layer it claims first.
    hash: u64,
    /// Slots it may claim, and what a round adds to them.
    credit: f64,
    gain: f64,
}

impl TableEntry {
    fn new(server: ServerId, gain: f64) -> Self {
        let hash = |seed| xxh3_64_with_seed(&server.0.to_le_bytes(), seed);
        let layer = LAYER_SLOTS as u64;
        let offset = hash(OFFSET_SEED);
        let skip = hash(SKIP_SEED);
        TableEntry {
            server,
            next_block: offset % layer,
            skip: skip % (layer - 1) + 1,
            hash: offset ^ skip,
            credit: 0.0,
            gain,
        }
    }

    /// The block that follows `block` in its permutation.
    fn block_after(&self, block: u64) -> u64 {
        (block + self.skip) % LAYER_SLOTS as u64
    }

    /// The next block of its permutation that has a free slot.
    fn next_free_block(&self, free_layers: &[u64]) -> u64 {
        let mut block = self.next_block;
        while free_layers[block as usize] == 0 {
            block = self.block_after(block);
        }
        block
    }

    /// The layer bit that it prefers in a block.
    fn preferred_bit(&self, block: u64) -> u32 {
        ((self.hash ^ block).wrapping_mul(FIBONACCI_64) >> 58) as u32
    }
}

/// Builds a table over `(server, weight)` pairs.
///
/// In rounds in the order of their ids, servers gain credit in proportion to their weight, relative
/// to the power of two at or above the largest weight. A server with a credit of 1 claims a slot of
/// the next block of its permutation that has a free one; a block is one slot in each layer.
pub struct TableBuilder {
    entries: Vec<TableEntry>,
    /// Index of the entry whose turn comes next.
    next_entry: usize,
    /// By block, one bit for each layer in which its slot is free; see [`layer_bit`].
    free_layers: Vec<u64>,
    unassigned: usize,
    /// By slot, the index of the entry that owns it.
    owners: Vec<u32>,
}

/// The bit of a layer in a block's set of free layers, and the reverse: the six bits reversed, so that
/// neighbouring bits belong to layers far apart.
fn layer_bit(layer: u32) -> u32 {
    layer.reverse_bits() >> 26
}

/// The bits of the layers in which a block has a slot.
fn layers_of_block(block: usize, slots: usize) -> u64 {
    (block..slots)
        .step_by(LAYER_SLOTS)
        .zip(0_u32..)
        .map(|(_, layer)| 1_u64 << layer_bit(layer))
        .sum()
}

/// The power of two at or above the largest weight: a round gains a server 1 slot at most.
fn weight_unit(servers: &[(ServerId, f64)]) -> f64 {
    let mut largest = f64::MIN_POSITIVE;
    for &(_, weight) in servers {
        largest = largest.max(weight);
    }
    largest.log2().ceil().exp2()
}

impl TableBuilder {
    /// A table without an owner of any slot.
    pub fn new(mut servers: Vec<(ServerId, f64)>) -> TableBuilder {
        let slots = if servers.is_empty() {
            0
        } else {
            table_slots(servers.len())
        };
        let weight_unit = weight_unit(&servers);
        // High enough that every server gets a slot.
        let slots_per_server = slots / servers.len().max(1);
        let min_gain = MIN_GAIN.max(1.0 / (slots_per_server as f64 - 0.5));
        servers.sort_by_key(|&(server, _)| server);
        TableBuilder {
            entries: servers
                .iter()
                .map(|&(server, weight)| {
                    TableEntry::new(server, (weight / weight_unit).max(min_gain))
                })
                .collect(),
            next_entry: 0,
            free_layers: (0..LAYER_SLOTS)
                .map(|block| layers_of_block(block, slots))
                .collect(),
            unassigned: slots,
            owners: vec![UNASSIGNED; slots],
        }
    }

    /// Assigns up to this many slots; returns whether every slot has an owner.
    pub fn claim(&mut self, slots: usize) -> bool {
        let remaining = self.unassigned.saturating_sub(slots);
        while self.unassigned > remaining {
            let index = self.next_entry;
            self.next_entry = (index + 1) % self.entries.len();
            let entry = &mut self.entries[index];
            entry.credit += entry.gain;
            if entry.credit >= 1.0 {
                entry.credit -= 1.0;
                self.claim_slot(index);
            }
        }
        self.unassigned == 0
    }

    /// Assigns to an entry a slot of the next block of its permutation that has a free one.
    fn claim_slot(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let block = entry.next_free_block(&self.free_layers);
        entry.next_block = entry.block_after(block);
        let first = entry.preferred_bit(block);
        let free = &mut self.free_layers[block as usize];
        let bit = (free.rotate_right(first).trailing_zeros() + first) % 64;
        *free ^= 1 << bit;
        let slot = block as usize + layer_bit(bit) as usize * LAYER_SLOTS;
        self.owners[slot] = index as u32;
        self.unassigned -= 1;
    }

    /// The owners of the slots, each as `place` maps it. Every slot must have an owner.
    pub fn owners<T: Copy>(&self, place: impl Fn(ServerId) -> T) -> Vec<T> {
        let places: Vec<T> = self.entries.iter().map(|e| place(e.server)).collect();
        self.owners
            .iter()
            .map(|&owner| places[owner as usize])
            .collect()
    }
}

/// The table in use, and the next one while it is built.
#[derive(Default)]
pub(super) struct SlotTable {
    /// By slot, its owner.
    owners: Vec<ServerIndex>,
    builder: Option<TableBuilder>,
    /// When building last went on.
    built_at: Micros,
    /// Servers that changed since the build under way began.
    changes: usize,
}

impl SlotTable {
    /// The number of slots: 0 before the first table.
    pub(super) fn len(&self) -> usize {
        self.owners.len()
    }

    /// The owner of a slot, which may have left; `None` before the first table.
    pub(super) fn owner(&self, slot: usize) -> Option<ServerIndex> {
        self.owners.get(slot).copied()
    }

    /// Slots that the next table lacks; 0 when none is being built.
    pub(super) fn unassigned(&self) -> usize {
        self.builder
            .as_ref()
            .map_or(0, |builder| builder.unassigned)
    }

    /// A server was added, left, or changed its weight.
    pub(super) fn record_change(&mut self) {
        self.changes += 1;
    }

    /// Starts or continues to build the next table after changes; returns whether it is complete.
    /// The caller then removes servers that have left and calls [`SlotTable::activate`].
    pub(super) fn build(&mut self, servers: &ServerSet, now: Micros) -> bool {
        let at_once = FULL_REBUILD_DIVISOR * self.changes > servers.len();
        if self.changes > 0 && (at_once || self.builder.is_none()) {
            self.builder = Some(TableBuilder::new(servers.weights_in_service()));
            self.changes = 0;
        }
        let Some(builder) = &mut self.builder else {
            return false;
        };
        let elapsed = now - self.built_at;
        let affordable = LAYER_SLOTS.min((elapsed / TIME_PER_SLOT) as usize);
        if affordable > 0 {
            self.built_at = now;
        }
        let one_layer = builder.owners.len() <= LAYER_SLOTS;
        let slots = if at_once || one_layer {
            usize::MAX
        } else {
            affordable
        };
        builder.claim(slots)
    }

    /// Puts the completed table into use, with the servers' present indices.
    pub(super) fn activate(&mut self, servers: &ServerSet) {
        let Some(builder) = self.builder.take() else {
            return;
        };
        self.owners = builder.owners(|id| servers.index_of(id).unwrap_or(ServerIndex::NONE));
    }
}
