//! Owns the true values of a machine, drawn once from the seed and told to no node.

use rand::Rng;

use super::{Micros, SECOND};
use crate::scenario::{Fleet, Kind};

/// The true values of a machine.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub cores: f64,
    pub speed: f64,
    pub slots: usize,
    pub queue: usize,
    pub crowding: f64,
    pub crowded_at: f64,
    pub cold_from: f64,
    pub cold_for: Micros,
    pub pause_every: Micros,
    pub pause: Micros,
    pub error_rate: f64,
    pub key_gain: f64,
    pub key_memory: Micros,
    pub keys: usize,
    pub connections: usize,
    pub handshake: f64,
    pub full_tax: f64,
    pub probe: f64,
    pub jam_at: f64,
    pub jam_after: Micros,
    pub jam_slower: f64,
    pub jam_rest: Micros,
    pub jam_below: f64,
    pub jam_most: Micros,
}

impl Machine {
    /// A machine of a kind.
    pub fn draw(fleet: &Fleet, form: &Kind, rng: &mut impl Rng) -> Machine {
        let cores = form.cores.max(1) as f64;
        let micros = |seconds: f64| (seconds * 1e6) as Micros;
        Machine {
            cores,
            speed: form.speed.draw(rng).max(0.01),
            slots: ((form.slots_per_core.draw(rng) * cores) as usize).max(1),
            queue: (form.queue_per_core.draw(rng) * cores) as usize,
            crowding: form.crowding.draw(rng),
            crowded_at: form.crowded_at.draw(rng),
            cold_from: form.cold_from.draw(rng).clamp(0.01, 1.0),
            cold_for: micros(form.cold_s.draw(rng)).max(1),
            pause_every: micros(form.pause_every_s.draw(rng)).max(SECOND),
            pause: micros(form.pause_ms.draw(rng) / 1e3),
            error_rate: form.error_rate.draw(rng),
            key_gain: fleet.key_gain.draw(rng).min(0.95),
            key_memory: micros(fleet.key_memory_s.draw(rng)),
            keys: (fleet.keys_per_core.draw(rng) * cores) as usize,
            connections: (fleet.connections_per_core.draw(rng) * cores) as usize,
            handshake: fleet.handshake_ms.draw(rng) * 1e3,
            full_tax: fleet.full_table_tax.draw(rng).min(0.9),
            probe: fleet.probe_ms.draw(rng) * 1e3,
            jam_at: fleet.jam.held_per_core.draw(rng),
            jam_after: micros(fleet.jam.after_s.draw(rng)),
            jam_slower: fleet.jam.slower.draw(rng).max(1.0),
            jam_rest: micros(fleet.jam.rest_s.draw(rng)),
            jam_below: fleet.jam.rest_below.draw(rng),
            jam_most: micros(fleet.jam.most_s.draw(rng)),
        }
    }
}
