//! The settings of a node that follow from a scenario, the same in real and in virtual time. They contain none of
//! the values that the world draws from the seed (WIRE, "What does an instance know at start?").

use load_balancer::{
    DiscoveryMode, Idempotency, RequestClass, Settings, WeightBasis, WeightSource,
};

use crate::scenario::{MachineKind, Mode, RetrySafety, Scenario};

/// Time-out of a connection attempt, in microseconds (BENCH: `connect_timeout_ms`).
const CONNECT_TIMEOUT: u64 = 200_000;
/// Maximum number of attempts for a request (BRIEF 6.5).
const MAX_ATTEMPTS: u32 = 6;

/// Settings of a node in a deployment of `nodes` nodes.
pub fn settings(scenario: &Scenario, nodes: usize) -> Settings {
    let fleet = &scenario.fleet;
    let least = |of: fn(&MachineKind) -> f64| fleet.kind.iter().map(of).fold(1.0, f64::min);
    let most = |of: fn(&MachineKind) -> f64| fleet.kind.iter().map(of).fold(0.0, f64::max);
    let classes = scenario.load.class.iter().map(|class| RequestClass {
        latency_objective: (class.latency_objective_ms.0 * 1e3) as u64,
        deadline: (class.deadline_ms.0 * 1e3) as u64,
        priority_weight: class.priority_weight.0,
        late_value: class.late_value.0,
        idempotency: match class.retry_safety {
            RetrySafety::Safe => Idempotency::Idempotent,
            RetrySafety::Unsafe => Idempotency::NonIdempotent,
        },
        in_order: false,
    });
    Settings {
        discovery_mode: match scenario.discovery.mode {
            Mode::Push => DiscoveryMode::Push,
            Mode::Poll => DiscoveryMode::Poll,
        },
        node_count: scenario
            .run
            .configured_node_count
            .unwrap_or(nodes as u32)
            .max(1),
        classes: classes.collect(),
        over_quota_value: 0.1,
        weight_basis: WeightBasis::Work,
        weight_source: WeightSource::Rough,
        key_affinity: true,
        may_cancel: true,
        may_health_check: true,
        may_hedge: true,
        max_attempts: MAX_ATTEMPTS,
        retry_after: true,
        max_retry_after: (scenario.clients.max_retry_after_ms.0 * 1e3) as u64,
        cold_capacity: least(|kind| kind.cold_capacity.low),
        slow_start_time: (most(|kind| kind.warm_up_s.high) * 1e6) as u64,
        cold_overload_factor: fleet.cold_overload_factor.0,
        cold_overload_window: fleet.cold_overload_window_s.micros(),
        connect_timeout: CONNECT_TIMEOUT,
        ..Settings::default()
    }
}
