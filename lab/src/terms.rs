//! Owns what a node is told of its deployment, the same by every host: the settings that follow from a
//! scenario and none of the world's true values (WIRE, "What does an instance know at start?").

use woodgap::{Class, Discovery, Semantics, Settings, WeightSource, WorthBy};

use crate::scenario::{Kind, Mode, Repeats, Scenario};

/// Longest time for a connection to come up, in microseconds (BENCH: `connect_timeout_ms`).
const DIAL_TIMEOUT: u64 = 200_000;
/// Attempts for a request at the most (BRIEF 6.5).
const MAX_ATTEMPTS: u32 = 6;

/// The module's settings in a deployment of so many nodes.
pub fn settings(scenario: &Scenario, nodes: usize) -> Settings {
    let fleet = &scenario.fleet;
    let least = |of: fn(&Kind) -> f64| fleet.kind.iter().map(of).fold(1.0, f64::min);
    let most = |of: fn(&Kind) -> f64| fleet.kind.iter().map(of).fold(0.0, f64::max);
    let classes = scenario.load.class.iter().map(|class| Class {
        aim: (class.aim_ms.0 * 1e3) as u64,
        deadline: (class.deadline_ms.0 * 1e3) as u64,
        points: class.worth.0,
        late_share: class.late_worth.0,
        semantics: match class.repeats {
            Repeats::Safe => Semantics::Safe,
            Repeats::Unsafe => Semantics::Unsafe,
        },
        in_order: false,
    });
    Settings {
        discovery: match scenario.discovery.mode {
            Mode::Push => Discovery::Push,
            Mode::Ask => Discovery::Ask,
        },
        group_size: scenario.run.told_nodes.unwrap_or(nodes as u32).max(1),
        classes: classes.collect(),
        over_share_worth: 0.1,
        worth_by: WorthBy::Work,
        weight_source: WeightSource::Rough,
        warm_keys: true,
        cancelling: true,
        may_probe: true,
        second_copies: true,
        max_attempts: MAX_ATTEMPTS,
        retry_after: true,
        max_retry_after: (scenario.clients.honour_most_ms.0 * 1e3) as u64,
        start_capacity: least(|kind| kind.cold_from.low),
        ramp_time: (most(|kind| kind.cold_s.high) * 1e6) as u64,
        fall_multiple: fleet.fall_multiple.0,
        overload_for: fleet.fall_s.micros(),
        dial_timeout: DIAL_TIMEOUT,
        ..Settings::default()
    }
}
