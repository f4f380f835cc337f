//! Measures what a node decides: the module alone, by the length of its list, by nodes in the first seconds, and with
//! a table for each service.

use super::node::{BASE, LOOK_OVER};
use super::results::{About, Aspect, Loss, Measurement};
use super::{balancer, target, Effort};

/// A play of the first seconds with servers that fail, and with servers that hang.
const FIRST_S: u64 = 1;
const HANG_S: u64 = 3;
/// The play's list: a node's first seconds do not depend on its length.
const PLAYED: usize = 100;

const RETRIES: &str = "a burst of 20 resends a node, then 20 % of its requests";
const NONE: &str = "nothing: a node has one list and one table";

/// The figures of the module.
pub fn measure(effort: &Effort, told: &mut impl FnMut(&str)) -> Vec<Measurement> {
    let mut measurements = by_servers(effort, told);
    measurements.extend(first_seconds(effort, told));
    measurements.extend(services(effort, told));
    measurements
}

fn by_servers(effort: &Effort, told: &mut impl FnMut(&str)) -> Vec<Measurement> {
    let mut measurements = deals(effort);
    let mut rows: Vec<(f64, [f64; 7])> = Vec::new();
    for &servers in effort.timed {
        told(&format!("module: a list of {servers}"));
        let news = balancer::news(servers, effort.runs);
        let (sweep_us, sweeps) = balancer::sweep(servers, effort.runs);
        let dead = |server: u32| server.is_multiple_of(target::ZONES as u32);
        let count_from = effort.dead_s / 2;
        let lost = balancer::play(
            servers,
            1,
            effort.dead_s,
            count_from,
            dead,
            balancer::unconnected,
        );
        let spell = (effort.dead_s - count_from) as f64;
        let dead_servers = servers.div_ceil(target::ZONES) as f64;
        let probes = lost.probes as f64 / spell;
        rows.push((
            servers as f64,
            [
                balancer::table_build(servers, effort.runs),
                news.one_us,
                news.zone_ms,
                news.one_by_one_ms,
                sweep_us * sweeps / 1e4,
                balancer::decision(servers, effort.requests),
                probes * target::NODES as f64 / dead_servers,
            ],
        ));
    }
    let measurement = |about: About, at: usize| {
        let measured: Vec<(f64, f64)> = rows
            .iter()
            .map(|(size, values)| (*size, values[at]))
            .collect();
        Measurement::new(&about, &measured)
    };
    let processor = About {
        aspect: Aspect::Processor,
        ..BASE
    };
    measurements.extend([
        measurement(
            About {
                name: "table-build",
                unit: "ms",
                ..processor
            },
            0,
        ),
        measurement(
            About {
                name: "change-decided",
                unit: "us, with the table",
                ..processor
            },
            1,
        ),
        measurement(
            About {
                name: "zone-lost-at-once",
                unit: "ms of the core, in one piece of news",
                ..processor
            },
            2,
        ),
        measurement(
            About {
                name: "zone-lost-one-by-one",
                unit: "ms of the core, 6 s for it",
                budget: Some(target::TOLD_MS * target::CORE / 100.0),
                loss: Loss::Time,
                ..processor
            },
            3,
        ),
        measurement(
            About {
                name: "sweep",
                unit: "% of a core",
                budget: Some(target::CORE),
                carried_by: LOOK_OVER,
                ..processor
            },
            4,
        ),
        measurement(
            About {
                name: "decision",
                unit: "us a request with its answer",
                ..processor
            },
            5,
        ),
        measurement(
            About {
                aspect: Aspect::Messages,
                name: "probes",
                unit: "a second at each server of a dead zone, from all nodes",
                budget: Some(target::PEAK / target::SERVERS as f64),
                carried_by: "each node probes by itself what it has ejected",
                ..BASE
            },
            6,
        ),
    ]);
    measurements
}

/// How the table deals its slots to the servers.
fn deals(effort: &Effort) -> Vec<Measurement> {
    let dealt: Vec<(f64, balancer::Deal)> = effort
        .dealt
        .iter()
        .map(|&servers| (servers as f64, balancer::deal(servers)))
        .collect();
    let measurement = |about: About, of: fn(&balancer::Deal) -> f64| {
        let measured: Vec<(f64, f64)> =
            dealt.iter().map(|(size, deal)| (*size, of(deal))).collect();
        Measurement::new(&about, &measured)
    };
    let without = About {
        budget: Some(0.0),
        loss: Loss::Part,
        ..BASE
    };
    vec![
        measurement(
            About {
                name: "servers-without-slot",
                unit: "servers that no request finds",
                ..without
            },
            |deal| deal.without[0],
        ),
        measurement(
            About {
                name: "servers-without-slot-uneven",
                unit: "servers that no request finds, sizes 0.5, 1 and 1.5 in thirds",
                ..without
            },
            |deal| deal.without[1],
        ),
        measurement(
            About {
                name: "most-slots",
                unit: "of the mean, at one of servers alike",
                ..BASE
            },
            |deal| deal.most,
        ),
    ]
}

fn first_seconds(effort: &Effort, told: &mut impl FnMut(&str)) -> Vec<Measurement> {
    let (mut resent, mut held) = (Vec::new(), Vec::new());
    let mut sums = (0, 0);
    let mut played = 0;
    let none = |_| false;
    for &nodes in effort.nodes {
        told(&format!("module: the first seconds of {nodes} nodes"));
        for seed in played..nodes as u64 {
            sums.0 += balancer::play(PLAYED, seed, FIRST_S, 0, none, balancer::failing).resends;
            sums.1 += balancer::play(PLAYED, seed, HANG_S, 0, none, balancer::silent).in_flight;
        }
        played = nodes as u64;
        resent.push((nodes as f64, sums.0 as f64));
        held.push((nodes as f64, sums.1 as f64));
    }
    let about = About {
        aspect: Aspect::Messages,
        name: "resends-first-second",
        unit: "resends of all nodes in their first second, every answer an error",
        of: "nodes",
        target: target::NODES as f64,
        budget: Some(target::PEAK * target::RESENT),
        carried_by: RETRIES,
        ..BASE
    };
    let waits = About {
        aspect: Aspect::State,
        name: "held-first-seconds",
        unit: "attempts out at a time in the first 3 s, no server answering",
        budget: None,
        carried_by: "the limit, which is open until servers turn requests away or answer late",
        ..about
    };
    vec![
        Measurement::new(&about, &resent),
        Measurement::new(&waits, &held),
    ]
}

/// What a node would hold and do with a table for each service; today it has one for all.
fn services(effort: &Effort, told: &mut impl FnMut(&str)) -> Vec<Measurement> {
    let each = target::SERVERS / target::SERVICES;
    let mut rows: Vec<(f64, [f64; 3])> = Vec::new();
    for &services in effort.services {
        told(&format!("module: {services} services"));
        let whole = balancer::services(services, each, effort.runs.min(9));
        rows.push((
            services as f64,
            [whole.sweep_core * 100.0, whole.tables_mb, whole.build_ms],
        ));
    }
    let measurement = |about: About, at: usize| {
        let measured: Vec<(f64, f64)> = rows
            .iter()
            .map(|(size, values)| (*size, values[at]))
            .collect();
        Measurement::new(&about, &measured)
    };
    let about = About {
        of: "services",
        target: target::SERVICES as f64,
        carried_by: NONE,
        ..BASE
    };
    let (processor, memory) = (Aspect::Processor, Aspect::Memory);
    vec![
        measurement(
            About {
                aspect: processor,
                name: "services-sweep",
                unit: "% of a core, a module for each service",
                budget: Some(target::CORE),
                ..about
            },
            0,
        ),
        measurement(
            About {
                aspect: memory,
                name: "services-tables",
                unit: "MB of tables alone, one for each service",
                budget: Some(target::MEMORY_MB),
                ..about
            },
            1,
        ),
        measurement(
            About {
                aspect: processor,
                name: "services-build",
                unit: "ms to build all tables",
                ..about
            },
            2,
        ),
    ]
}
