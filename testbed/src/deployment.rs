//! Owns what a node is told of its deployment, the same by every host: the settings that follow from a
//! scenario and none of the world's true values (WIRE, "What does an instance know at start?").

use load_balancer::{
    DiscoveryMode, Idempotency, RequestClass, Settings, WeightBasis, WeightSource,
};

use crate::scenario::{Kind, Mode, RetrySafety, Scenario};

/// Longest time for a connection to come up, in microseconds (BENCH: `connect_timeout_ms`).
const DIAL_TIMEOUT: u64 = 200_000;
/// Attempts for a request at the most (BRIEF 6.5).
const MAX_ATTEMPTS: u32 = 6;

/// The module's settings in a deployment of so many nodes.
pub fn settings(scenario: &Scenario, nodes: usize) -> Settings {
    let fleet = &scenario.fleet;
    let least = |of: fn(&Kind) -> f64| fleet.kind.iter().map(of).fold(1.0, f64::min);
    let most = |of: fn(&Kind) -> f64| fleet.kind.iter().map(of).fold(0.0, f64::max);
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
            Mode::Ask => DiscoveryMode::Poll,
        },
        node_count: scenario.run.told_nodes.unwrap_or(nodes as u32).max(1),
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
        max_retry_after: (scenario.clients.honour_most_ms.0 * 1e3) as u64,
        cold_capacity: least(|kind| kind.cold_from.low),
        slow_start_time: (most(|kind| kind.cold_s.high) * 1e6) as u64,
        cold_overload_factor: fleet.cold_overload_factor.0,
        cold_overload_window: fleet.cold_overload_window_s.micros(),
        connect_timeout: DIAL_TIMEOUT,
        ..Settings::default()
    }
}
