//! The slot table: which server owns which keys.
//!
//! A key is hashed to a slot, and each slot is owned by one server (Maglev hashing). All nodes build the
//! same table from the same endpoint list, so that they send a key to the same server without talking to
//! each other, and a change of one server moves few keys. A table has one layer of [`LAYER_SLOTS`] slots
//! for small fleets, and up to 64 layers for large ones. `docs/slot-table.md` describes the design.
//!
//! A table of several layers takes long to build. It is built in steps while the previous one stays in use,
//! unless more than a quarter of the servers have changed.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::server::{ServerIndex, ServerSet};
use crate::api::*;

/// Number of slots in a layer of the table. It is prime, so that every step of a server's permutation
/// visits all blocks.
pub const LAYER_SLOTS: usize = 16_381;
/// Number of slots that each further server adds while the table grows.
const ADDED_SLOTS_PER_SERVER: usize = 48;
/// Numbers of layers at which a growth of the table begins, once it has no more than eight slots per server.
/// Each growth ends at four times as many layers.
const GROWTH_LAYERS: [usize; 3] = [1, 4, 16];
/// Minimum credit that a server gains in a round, in slots, however small its weight.
const MIN_GAIN: f64 = 1.0 / 64.0;
/// A table of several layers is built at the pace of one slot per this much elapsed time, in microseconds.
const TIME_PER_SLOT: Micros = 3;
/// A table is built at once, not in steps, if more than one in this many servers has changed.
const FULL_REBUILD_DIVISOR: usize = 4;

// Seeds of the hashes. They must be the same at all nodes.
const OFFSET_SEED: u64 = 0x636f_7070_6572;
const SKIP_SEED: u64 = 0x7461_636b;
const KEY_SEED: u64 = 0x006b_6579;
/// Multiplier and increment of the linear congruential generator that continues a key's hash.
const LCG_MULTIPLIER: u64 = 0xD134_2543_DE82_EF95;
const LCG_INCREMENT: u64 = 1;
/// Multipliers of Fibonacci hashing: 2^64 and 2^32 over the golden ratio.
const FIBONACCI_64: u64 = 0x9E37_79B9_7F4A_7C15;
const FIBONACCI_32: u32 = 0x9E37_79B1;
/// Marks a slot that has no owner yet.
const UNASSIGNED: u32 = u32::MAX;

/// The number of slots of a table for this many servers.
///
/// One layer has eight slots per server at 2,047 servers. Each further server adds 48 slots until the table
/// has 4 layers. The same happens from 4 to 16 layers (from 8,190 servers on) and from 16 to 64 layers (from
/// 32,762 servers on). Growth in such small steps moves few keys when a server is added. The table has its
/// full size from 131,048 servers on.
pub fn table_slots(servers: usize) -> usize {
    let added = |layers: usize| {
        let slots = layers * LAYER_SLOTS;
        let servers_beyond = servers.saturating_sub(slots / 8);
        (ADDED_SLOTS_PER_SERVER * servers_beyond).min(3 * slots)
    };
    LAYER_SLOTS + GROWTH_LAYERS.map(added).iter().sum::<usize>()
}

/// The slot of a key in a table with this many slots. Beyond the first layer this is a jump consistent hash:
/// each added slot takes an even part of the keys of all others, and no other key moves.
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

/// A fixed pseudo-random level of a slot between 0 and 1, the same at every node and evenly distributed over
/// the slots. A server that serves a share of its slots serves those whose level is at most that share.
pub(super) fn slot_level(slot: usize) -> f64 {
    f64::from((slot as u32).wrapping_mul(FIBONACCI_32)) / f64::from(u32::MAX)
}

/// The state of one server while a table is built.
struct TableEntry {
    server: ServerId,
    /// The next block of its permutation of blocks.
    next_block: u64,
    /// The step from one block of the permutation to the next, modulo the number of blocks.
    skip: u64,
    /// Hash of the server, which decides the layer that it prefers in a block.
    hash: u64,
    /// Number of slots that it may claim now, and what each round adds to that.
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

    /// The next block of its permutation that has a free slot. At least one block must have one.
    fn next_free_block(&self, free_layers: &[u64]) -> u64 {
        let mut block = self.next_block;
        while free_layers[block as usize] == 0 {
            block = self.block_after(block);
        }
        block
    }

    /// The number of the layer bit (see [`layer_bit`]) that it prefers in a block, from 0 to 63.
    fn preferred_bit(&self, block: u64) -> u32 {
        ((self.hash ^ block).wrapping_mul(FIBONACCI_64) >> 58) as u32
    }
}

/// Builds a table from `(server, weight)` pairs.
///
/// The building proceeds in rounds, in each of which the servers take turns in the order of their ids. On
/// its turn a server gains credit in proportion to its weight, relative to the power of two at or above the
/// largest weight. If its credit is then 1 or more, it pays 1 for a slot in the next block of its
/// permutation that has a free slot. A block consists of the slots at the same position in all layers.
pub struct TableBuilder {
    entries: Vec<TableEntry>,
    /// Index of the entry whose turn is next.
    next_entry: usize,
    /// For each block, a bit set of the layers in which its slot is free (see [`layer_bit`]).
    free_layers: Vec<u64>,
    /// Number of slots without an owner.
    unassigned: usize,
    /// For each slot, the index of the entry that owns it, or `UNASSIGNED`.
    owners: Vec<u32>,
}

/// The number of the bit that stands for a layer in a block's bit set, and vice versa. It is the layer number
/// with its six bits in reverse order, so that neighbouring bits belong to layers far apart.
fn layer_bit(layer: u32) -> u32 {
    layer.reverse_bits() >> 26
}

/// The bit set of the layers in which a block has a slot, in a table with this many slots.
fn layers_of_block(block: usize, slots: usize) -> u64 {
    (block..slots)
        .step_by(LAYER_SLOTS)
        .zip(0_u32..)
        .map(|(_, layer)| 1_u64 << layer_bit(layer))
        .sum()
}

/// The power of two at or above the largest weight. Relative to it, a server gains at most 1 slot per round.
fn weight_unit(servers: &[(ServerId, f64)]) -> f64 {
    let mut largest = f64::MIN_POSITIVE;
    for &(_, weight) in servers {
        largest = largest.max(weight);
    }
    largest.log2().ceil().exp2()
}

impl TableBuilder {
    /// Begins a table in which no slot has an owner.
    pub fn new(mut servers: Vec<(ServerId, f64)>) -> TableBuilder {
        let slots = if servers.is_empty() {
            0
        } else {
            table_slots(servers.len())
        };
        let weight_unit = weight_unit(&servers);
        // With this minimum gain, every server gets a slot, however small its weight.
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

    /// Assigns up to this many slots to servers; returns whether every slot has an owner now.
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

    /// Assigns to an entry a slot in the next block of its permutation that has a free slot.
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

    /// The owner of each slot, as mapped by `map_server`. Every slot must have an owner.
    pub fn owners<T: Copy>(&self, map_server: impl Fn(ServerId) -> T) -> Vec<T> {
        let mapped: Vec<T> = self.entries.iter().map(|e| map_server(e.server)).collect();
        self.owners
            .iter()
            .map(|&owner| mapped[owner as usize])
            .collect()
    }
}

/// The table in use, and the next one while it is being built.
#[derive(Default)]
pub(super) struct SlotTable {
    /// For each slot of the table in use, its owner.
    owners: Vec<ServerIndex>,
    /// The next table; `None` when none is being built.
    builder: Option<TableBuilder>,
    /// The time of the latest step of building.
    built_at: Micros,
    /// Number of changes of servers since the building of the next table began.
    changes: usize,
}

impl SlotTable {
    /// The number of slots of the table in use; 0 before the first table.
    pub(super) fn len(&self) -> usize {
        self.owners.len()
    }

    /// The owner of a slot, which may have left since; `None` before the first table.
    pub(super) fn owner(&self, slot: usize) -> Option<ServerIndex> {
        self.owners.get(slot).copied()
    }

    /// Number of slots of the next table that have no owner yet; 0 when none is being built.
    pub(super) fn unassigned(&self) -> usize {
        self.builder
            .as_ref()
            .map_or(0, |builder| builder.unassigned)
    }

    /// Records that a server was added, has left, returned, or changed its weight.
    pub(super) fn record_change(&mut self) {
        self.changes += 1;
    }

    /// Starts or continues to build the next table, if there were changes; returns whether it is complete. If
    /// so, the caller removes servers that have left and then calls [`SlotTable::activate`].
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
        let slots_in_time = LAYER_SLOTS.min((elapsed / TIME_PER_SLOT) as usize);
        if slots_in_time > 0 {
            self.built_at = now;
        }
        let one_layer = builder.owners.len() <= LAYER_SLOTS;
        let slots = if at_once || one_layer {
            usize::MAX
        } else {
            slots_in_time
        };
        builder.claim(slots)
    }

    /// Puts the completed table into use. Owners that have left since get [`ServerIndex::NONE`].
    pub(super) fn activate(&mut self, servers: &ServerSet) {
        let Some(builder) = self.builder.take() else {
            return;
        };
        self.owners = builder.owners(|id| servers.index_of(id).unwrap_or(ServerIndex::NONE));
    }
}
