//! Measures a node's decision code alone: by length of the endpoint list, by number of nodes in their first seconds, and
//! with a slot table for each service.

use super::node::{BASE, SWEEP};
use super::results::{Aspect, Impact, Measurement, MeasurementSpec};
use super::{balancer, target, RunParameters};

/// Seconds simulated from a node's start with servers that return errors.
const ERRORS_S: u64 = 1;
/// Seconds simulated from a node's start with servers that never respond.
const NO_RESPONSE_S: u64 = 3;
/// Servers in the simulated list; a node's first seconds do not depend on its length.
const SIMULATED_SERVERS: usize = 100;

const RETRIES: &str = "a burst of 20 resends a node, then 20 % of its requests";
const NO_MECHANISM: &str = "nothing: a node has one list and one table";

/// Returns the measurements of the decision code.
pub fn measure(parameters: &RunParameters, progress: &mut impl FnMut(&str)) -> Vec<Measurement> {
    let mut measurements = by_servers(parameters, progress);
    measurements.extend(first_seconds(parameters, progress));
    measurements.extend(services(parameters, progress));
    measurements
}

fn by_servers(parameters: &RunParameters, progress: &mut impl FnMut(&str)) -> Vec<Measurement> {
    let mut measurements = slot_measurements(parameters);
    let mut rows: Vec<(f64, [f64; 7])> = Vec::new();
    for &servers in parameters.timed_servers {
        progress(&format!("node: decisions with a list of {servers} servers"));
        let updates = balancer::update_cost(servers, parameters.timed_runs);
        let (sweep_us, sweeps) = balancer::sweep(servers, parameters.timed_runs);
        let dead = |server: u32| server.is_multiple_of(target::ZONES as u32);
        let count_from = parameters.dead_zone_s / 2;
        let dead_zone = balancer::simulate(
            servers,
            1,
            parameters.dead_zone_s,
            count_from,
            dead,
            balancer::refuse_connections,
        );
        let counted_s = (parameters.dead_zone_s - count_from) as f64;
        let dead_servers = servers.div_ceil(target::ZONES) as f64;
        let health_checks = dead_zone.health_checks as f64 / counted_s;
        rows.push((
            servers as f64,
            [
                balancer::table_build(servers, parameters.timed_runs),
                updates.one_server_us,
                updates.zone_ms,
                updates.one_by_one_ms,
                sweep_us * sweeps / 1e4,
                balancer::decision(servers, parameters.requests),
                health_checks * target::NODES as f64 / dead_servers,
            ],
        ));
    }
    let measurement = |spec: MeasurementSpec, at: usize| {
        let measured: Vec<(f64, f64)> = rows
            .iter()
            .map(|(size, values)| (*size, values[at]))
            .collect();
        Measurement::new(&spec, &measured)
    };
    let processor = MeasurementSpec {
        aspect: Aspect::Processor,
        ..BASE
    };
    measurements.extend([
        measurement(
            MeasurementSpec {
                name: "table-build",
                unit: "ms",
                ..processor
            },
            0,
        ),
        measurement(
            MeasurementSpec {
                name: "change-decided",
                unit: "us, with the table",
                ..processor
            },
            1,
        ),
        measurement(
            MeasurementSpec {
                name: "zone-lost-at-once",
                unit: "ms of the core, in one piece of news",
                ..processor
            },
            2,
        ),
        measurement(
            MeasurementSpec {
                name: "zone-lost-one-by-one",
                unit: "ms of the core, 6 s for it",
                budget: Some(target::UPDATE_WITHIN_MS * target::CORE_PERCENT / 100.0),
                impact: Impact::Delay,
                ..processor
            },
            3,
        ),
        measurement(
            MeasurementSpec {
                name: "sweep",
                unit: "% of a core",
                budget: Some(target::CORE_PERCENT),
                mechanism: SWEEP,
                ..processor
            },
            4,
        ),
        measurement(
            MeasurementSpec {
                name: "decision",
                unit: "us a request with its answer",
                ..processor
            },
            5,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Messages,
                name: "probes",
                unit: "a second at each server of a dead zone, from all nodes",
                budget: Some(target::PEAK_REQUESTS_PER_S / target::SERVERS as f64),
                mechanism: "each node probes by itself what it has ejected",
                ..BASE
            },
            6,
        ),
    ]);
    measurements
}

/// Measures the distribution of slots over servers.
fn slot_measurements(parameters: &RunParameters) -> Vec<Measurement> {
    let shares: Vec<(f64, balancer::SlotShares)> = parameters
        .slot_servers
        .iter()
        .map(|&servers| (servers as f64, balancer::slot_shares(servers)))
        .collect();
    let measurement = |spec: MeasurementSpec, value_of: fn(&balancer::SlotShares) -> f64| {
        let measured: Vec<(f64, f64)> = shares
            .iter()
            .map(|(size, shares)| (*size, value_of(shares)))
            .collect();
        Measurement::new(&spec, &measured)
    };
    let without_slot = MeasurementSpec {
        budget: Some(0.0),
        impact: Impact::Partial,
        ..BASE
    };
    vec![
        measurement(
            MeasurementSpec {
                name: "servers-without-slot",
                unit: "servers that no request finds",
                ..without_slot
            },
            |shares| shares.without_slot[0],
        ),
        measurement(
            MeasurementSpec {
                name: "servers-without-slot-uneven",
                unit: "servers that no request finds, sizes 0.5, 1 and 1.5 in thirds",
                ..without_slot
            },
            |shares| shares.without_slot[1],
        ),
        measurement(
            MeasurementSpec {
                name: "most-slots",
                unit: "of the mean, at one of servers alike",
                ..BASE
            },
            |shares| shares.max_share,
        ),
    ]
}

fn first_seconds(parameters: &RunParameters, progress: &mut impl FnMut(&str)) -> Vec<Measurement> {
    let (mut retries, mut in_flight) = (Vec::new(), Vec::new());
    let mut totals = (0, 0);
    let mut simulated = 0;
    let no_server = |_| false;
    for &nodes in parameters.nodes {
        progress(&format!(
            "node: simulating the first seconds of {nodes} nodes"
        ));
        for seed in simulated..nodes as u64 {
            totals.0 += balancer::simulate(
                SIMULATED_SERVERS,
                seed,
                ERRORS_S,
                0,
                no_server,
                balancer::respond_with_errors,
            )
            .retries;
            totals.1 += balancer::simulate(
                SIMULATED_SERVERS,
                seed,
                NO_RESPONSE_S,
                0,
                no_server,
                balancer::never_respond,
            )
            .in_flight;
        }
        simulated = nodes as u64;
        retries.push((nodes as f64, totals.0 as f64));
        in_flight.push((nodes as f64, totals.1 as f64));
    }
    let spec = MeasurementSpec {
        aspect: Aspect::Messages,
        name: "resends-first-second",
        unit: "resends of all nodes in their first second, every answer an error",
        size_unit: "nodes",
        target: target::NODES as f64,
        budget: Some(target::PEAK_REQUESTS_PER_S * target::MAX_RETRY_SHARE),
        mechanism: RETRIES,
        ..BASE
    };
    let in_flight_spec = MeasurementSpec {
        aspect: Aspect::State,
        name: "held-first-seconds",
        unit: "attempts out at a time in the first 3 s, no server answering",
        budget: None,
        mechanism: "the limit, which is open until servers turn requests away or answer late",
        ..spec
    };
    vec![
        Measurement::new(&spec, &retries),
        Measurement::new(&in_flight_spec, &in_flight),
    ]
}

/// Measures what a slot table for each service would cost; a node has one table for all services.
fn services(parameters: &RunParameters, progress: &mut impl FnMut(&str)) -> Vec<Measurement> {
    let servers_each = target::SERVERS / target::SERVICES;
    let mut rows: Vec<(f64, [f64; 3])> = Vec::new();
    for &services in parameters.services {
        progress(&format!("node: decisions with {services} services"));
        let cost = balancer::services(services, servers_each, parameters.timed_runs.min(9));
        rows.push((
            services as f64,
            [cost.sweep_core * 100.0, cost.tables_mb, cost.build_ms],
        ));
    }
    let measurement = |spec: MeasurementSpec, at: usize| {
        let measured: Vec<(f64, f64)> = rows
            .iter()
            .map(|(size, values)| (*size, values[at]))
            .collect();
        Measurement::new(&spec, &measured)
    };
    let spec = MeasurementSpec {
        size_unit: "services",
        target: target::SERVICES as f64,
        mechanism: NO_MECHANISM,
        ..BASE
    };
    let (processor, memory) = (Aspect::Processor, Aspect::Memory);
    vec![
        measurement(
            MeasurementSpec {
                aspect: processor,
                name: "services-sweep",
                unit: "% of a core, a module for each service",
                budget: Some(target::CORE_PERCENT),
                ..spec
            },
            0,
        ),
        measurement(
            MeasurementSpec {
                aspect: memory,
                name: "services-tables",
                unit: "MB of tables alone, one for each service",
                budget: Some(target::MEMORY_MB),
                ..spec
            },
            1,
        ),
        measurement(
            MeasurementSpec {
                aspect: processor,
                name: "services-build",
                unit: "ms to build all tables",
                ..spec
            },
            2,
        ),
    ]
}
