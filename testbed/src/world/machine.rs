//! The actual parameters of a machine, drawn once from the seed. No node knows them.

use rand::Rng;

use super::{Micros, SECOND};
use crate::scenario::{Fleet, MachineKind};

/// The actual parameters of a machine. Durations are in microseconds; `handshake_cost` and `probe_cost` are work in
/// microseconds of a core of speed 1. The congestion and recovery thresholds are requests per core.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub cores: f64,
    pub speed: f64,
    pub slots: usize,
    pub queue: usize,
    pub concurrency_penalty: f64,
    pub concurrency_penalty_from: f64,
    pub cold_capacity: f64,
    pub warm_up: Micros,
    pub pause_interval: Micros,
    pub pause: Micros,
    pub error_rate: f64,
    pub key_cache_saving: f64,
    pub key_cache_ttl: Micros,
    pub cached_keys: usize,
    pub connections: usize,
    pub handshake_cost: f64,
    pub full_connection_table_cost: f64,
    pub probe_cost: f64,
    pub congestion_threshold: f64,
    pub congestion_onset: Micros,
    pub congestion_slowdown: f64,
    pub recovery_time: Micros,
    pub recovery_threshold: f64,
    pub max_congestion: Micros,
}

impl Machine {
    /// Draws a machine of this kind.
    pub fn draw(fleet: &Fleet, kind: &MachineKind, rng: &mut impl Rng) -> Machine {
        let cores = kind.cores.max(1) as f64;
        let micros = |seconds: f64| (seconds * 1e6) as Micros;
        Machine {
            cores,
            speed: kind.speed.draw(rng).max(0.01),
            slots: ((kind.slots_per_core.draw(rng) * cores) as usize).max(1),
            queue: (kind.queue_per_core.draw(rng) * cores) as usize,
            concurrency_penalty: kind.concurrency_penalty.draw(rng),
            concurrency_penalty_from: kind.concurrency_penalty_from.draw(rng),
            cold_capacity: kind.cold_capacity.draw(rng).clamp(0.01, 1.0),
            warm_up: micros(kind.warm_up_s.draw(rng)).max(1),
            pause_interval: micros(kind.pause_interval_s.draw(rng)).max(SECOND),
            pause: micros(kind.pause_ms.draw(rng) / 1e3),
            error_rate: kind.error_rate.draw(rng),
            key_cache_saving: fleet.key_cache_saving.draw(rng).min(0.95),
            key_cache_ttl: micros(fleet.key_cache_ttl_s.draw(rng)),
            cached_keys: (fleet.cached_keys_per_core.draw(rng) * cores) as usize,
            connections: (fleet.connections_per_core.draw(rng) * cores) as usize,
            handshake_cost: fleet.handshake_ms.draw(rng) * 1e3,
            full_connection_table_cost: fleet.full_connection_table_cost.draw(rng).min(0.9),
            probe_cost: fleet.probe_ms.draw(rng) * 1e3,
            congestion_threshold: fleet.congestion.requests_per_core.draw(rng),
            congestion_onset: micros(fleet.congestion.onset_s.draw(rng)),
            congestion_slowdown: fleet.congestion.slowdown.draw(rng).max(1.0),
            recovery_time: micros(fleet.congestion.recovery_s.draw(rng)),
            recovery_threshold: fleet.congestion.recovery_requests_per_core.draw(rng),
            max_congestion: micros(fleet.congestion.max_duration_s.draw(rng)),
        }
    }
}
